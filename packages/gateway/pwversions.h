/* pwversions.h: services that are rolled out to another version: what control tells of them, and
** what it is told of their answers. */
#ifndef PWVERSIONS_H
#define PWVERSIONS_H

#include "pwgate.h"

#include "peatwell.pb-c.h"

typedef struct pw_versions pw_versions;

pw_versions *pwversions_new(pw_gate *g);
void pwversions_free(pw_versions *v);

/* Roll-outs as a control instance knows them; older ones than are known change nothing. */
void pwversions_take(pw_versions *v, const Pw__Notice *n, int64_t now);

/* Whether one is under way, so that control waits for what is answered. */
int pwversions_is_any(const pw_versions *v);

/* A target has answered a request of the service: well, or with a failure of its own or
** slowly. */
void pwversions_note(pw_versions *v, const pw_target *t, const char *route,
                     int is_bad);

/* Puts all that was answered into a message; freed with pwversions_clear. */
void pwversions_fill(const pw_versions *v, Pw__Watch *m);
void pwversions_clear(Pw__Watch *m);

#endif
