/* pwserved.h: which software versions of each service's targets serve or served lately, as part of the replicated
** state.
**
** A process that has just started has watched no targets. From this record it knows whether a service had targets of
** more than one version within the time for which callers may resume a stream. */
#ifndef PWSERVED_H
#define PWSERVED_H

#include "peatwell.pb-c.h"

/* Most versions that are recorded of a service; from the second one on a reader knows that there were several. */
#define PWSERVED_VERSIONS_MAX 8

/* Most services in the record. */
#define PWSERVED_SERVICES_MAX 256

typedef struct pw_served {
  Pw__ServedVersions **list; /* one item a service */
  size_t n;
  uint64_t number; /* of changes applied so far */
} pw_served;

/* Replaces the versions of a service, or removes the service if the list has none. Commands beyond the limits change
** nothing but the number, alike at every instance. */
void pwserved_apply(pw_served *s, const Pw__ServedVersions *m);

/* The record of a service; NULL: there is none. */
const Pw__ServedVersions *pwserved_get(const pw_served *s, const char *service);

/* Whether the record of a service, which may be NULL, has this version. */
int pwserved_has(const Pw__ServedVersions *m, const char *version);

/* Replaces the whole record by copies of `list`. */
void pwserved_replace(pw_served *s, Pw__ServedVersions *const *list, size_t n,
                      uint64_t number);

void pwserved_free(pw_served *s);

#endif
