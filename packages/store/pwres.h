/* pwres.h: a set of resources with revisions, and deltas between revisions.
**
** Control instances, entries and agents each have one. Resources are linked in
** order of revision, so the delta since a revision is the tail of the list and
** is never larger than the full set. */
#ifndef PWRES_H
#define PWRES_H

#include "peatwell.pb-c.h"
#include "pwcode.h"

#include <stdint.h>

/* Kind of resource: an availability zone whose targets get no new requests. The
** resource has the availability zone's name. */
#define PW_KIND_EVACUATION "evacuation"

/* Kind of resource: the progress of a service's rollout to targets of another
** version. The resource has the service's name. */
#define PW_KIND_SERVICE_ROLLOUT "service-rollout"

/* Kinds of resources, roughly in order of dependency: most refer only to kinds
** that stand before them. */
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

/* One resource, or the tombstone of a deleted one. `spec` is JSON text; that
** of a tombstone is "". */
typedef struct pw_resource {
  char *id; /* "KIND/NAME" */
  char *kind;
  char *name;
  uint64_t version;
  uint64_t revision;
  int deleted;
  char *spec;
  struct pw_resource *prev, *next; /* in order of revision */
} pw_resource;

typedef struct pw_res pw_res;

pw_res *pwres_new(void);
void pwres_free(pw_res *r);

/* The newest revision, and the oldest one that a delta can start from. */
uint64_t pwres_revision(const pw_res *r);
uint64_t pwres_floor(const pw_res *r);

/* Finds a resource; NULL when there is none or it was deleted. */
const pw_resource *pwres_get(const pw_res *r, const char *kind,
                             const char *name);

/* Finds a resource or the tombstone of a deleted one, which keeps its version.
** NULL when there is neither. */
const pw_resource *pwres_find(const pw_res *r, const char *kind,
                              const char *name);

/* The first resource in order of revision; follow ->next for the others.
** Tombstones are included. */
const pw_resource *pwres_first(const pw_res *r);

/* Whether a resource is of this kind and not deleted. */
int pwres_is_live(const pw_resource *one, const char *kind);

/* The first resource or tombstone newer than `since`, or NULL. */
const pw_resource *pwres_after(const pw_res *r, uint64_t since);

/* Writes a resource at the given revision, which must not be older than that of
** any other resource. */
void pwres_put(pw_res *r, const char *kind, const char *name, uint64_t version,
               uint64_t revision, int deleted, const char *spec);

/* Raises the revision without a change of resources. */
void pwres_advance(pw_res *r, uint64_t revision);

/* Merges a delta from `since` to `revision`, or, when `full`, the complete
** set. Returns 1 when merged; 0 when it is not newer and was ignored, since
** revisions never go back; -1 when the delta starts after the newest
** revision here, so that changes in between are missing and must be
** requested. */
int pwres_merge(pw_res *r, int full, uint64_t since, uint64_t revision,
                Pw__Resource **list, size_t n);

/* Removes all resources before a snapshot is loaded. Revision and floor become
** `floor`. */
void pwres_clear(pw_res *r, uint64_t floor);

/* Copies a resource into a protobuf message; free it with
** pw__resource__free_unpacked. */
Pw__Resource *pwres_pack(const pw_resource *one);

/* Whether a kind is known, and whether only the control leader writes it. */
int pwres_is_kind(const char *kind);
int pwres_is_leader_only(const char *kind);

#endif
