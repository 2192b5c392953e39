/* pwres.h: a set of resources with revisions, and deltas between them.
**
** Control instances, entries and agents all hold one. Resources are linked in
** order of revision, so a delta since any revision is a walk from the end and
** is never larger than everything. */
#ifndef PWRES_H
#define PWRES_H

#include "peatwell.pb-c.h"
#include "pwcode.h"

#include <stdint.h>

/* An availability zone whose targets get nothing new; its name is the zone's. */
#define PW_KIND_EVACUATION "evacuation"

/* Where the roll-out of a service to targets of another version stands; its name is the
** service's. */
#define PW_KIND_SERVICE_ROLLOUT "service-rollout"

/* Kinds of resources; the order is that in which they depend on each other. */
#define PW_KINDS(X)                                                            \
  X("model")                                                                   \
  X("adapter")                                                                 \
  X("version")                                                                 \
  X("workspace")                                                               \
  X("target")                                                                  \
  X("service")                                                                 \
  X("policy")                                                                  \
  X(PW_KIND_EVACUATION)                                                        \
  X(PW_KIND_SERVICE_ROLLOUT)                                                   \
  X("rollout")                                                                 \
  X("assignment")

/* One resource. `spec` is JSON text, "" once deleted. */
typedef struct pw_resource {
  char *id; /* "KIND/NAME" */
  char *kind;
  char *name;
  uint64_t version;
  uint64_t revision;
  int deleted;
  char *spec;
  struct pw_resource *prev, *next; /* by revision */
} pw_resource;

typedef struct pw_res pw_res;

pw_res *pwres_new(void);
void pwres_free(pw_res *r);

/* Newest revision held, and the oldest a delta can start from. */
uint64_t pwres_revision(const pw_res *r);
uint64_t pwres_floor(const pw_res *r);

/* A live resource, or NULL. */
const pw_resource *pwres_get(const pw_res *r, const char *kind,
                             const char *name);

/* Also those deleted: the tombstone keeps its version. */
const pw_resource *pwres_find(const pw_res *r, const char *kind,
                              const char *name);

/* First in order of revision; follow ->next. Tombstones are included. */
const pw_resource *pwres_first(const pw_res *r);

/* Whether it is of that kind and not deleted. */
int pwres_is(const pw_resource *one, const char *kind);

/* First one newer than `since`, or NULL. */
const pw_resource *pwres_after(const pw_res *r, uint64_t since);

/* Writes one at the given revision, which must not be older than any. */
void pwres_put(pw_res *r, const char *kind, const char *name, uint64_t version,
               uint64_t revision, int deleted, const char *spec);

/* Moves on to a revision that changed nothing here. */
void pwres_advance(pw_res *r, uint64_t revision);

/* Takes in a delta from `since` to `revision`, or, when full, all there is.
** Never goes back: an older one is ignored and gives 0. A delta that starts
** past what is held gives -1: ask again. Else 1. */
int pwres_merge(pw_res *r, int full, uint64_t since, uint64_t revision,
                Pw__Resource **list, size_t n);

/* Forgets everything, for loading a snapshot. */
void pwres_clear(pw_res *r, uint64_t floor);

/* A pb copy of one resource; freed by the pb functions. */
Pw__Resource *pwres_pack(const pw_resource *one);

/* Non-zero for a known kind, and for one that only the leader writes. */
int pwres_is_kind(const char *kind);
int pwres_is_leaders(const char *kind);

#endif
