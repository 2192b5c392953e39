/* pwassign.h: the resources that the control leader writes, as typed values.
**
** An `assignment` says for a target which version of each model it is to
** load, and which one it serves; a `rollout` says for a model which two
** versions share its chats. A target whose assignment does not name a model
** serves it as it came, without a version. */
#ifndef PWASSIGN_H
#define PWASSIGN_H

#include "pwres.h"
#include "pwrollout.h"

#include <jansson.h>

#define PWASSIGN_MODELS 16 /* most models of one target */
#define PWASSIGN_ADAPTERS 16
#define PWASSIGN_POOL (2 * PW_NAME_MAX) /* bytes of a pool's name */

typedef struct pw_assigned {
  char model[PW_NAME_MAX];
  int has_load; /* else the target is not to carry it */
  char load[PW_NAME_MAX];
  uint64_t attempt; /* number of the order to load it */
  int has_serve;
  char serve[PW_NAME_MAX];
  char adapter[PWASSIGN_ADAPTERS][PW_NAME_MAX];
  int nadapters;
} pw_assigned;

typedef struct pw_assignment {
  uint64_t term;     /* of the leader that wrote it ... */
  uint64_t sequence; /* ... and its revision: together they fence orders */
  uint64_t version;  /* of the resource; 0: there is none */
  char role[PW_NAME_MAX];
  pw_assigned model[PWASSIGN_MODELS];
  int nmodels;
} pw_assignment;

/* Reads a target's assignment; an empty one when there is none. */
void pwassign_read(const pw_res *r, const char *target, pw_assignment *out);

/* The row of a model, or NULL. */
pw_assigned *pwassign_model(pw_assignment *a, const char *model);

/* The row of a model, added if need be; NULL when there is no room. */
pw_assigned *pwassign_add(pw_assignment *a, const char *model);

/* The spec of an assignment; new reference. */
json_t *pwassign_json(const pw_assignment *a);

/* Name of the pool of those that serve a version of a model. */
void pwassign_pool(char out[PWASSIGN_POOL], const char *model,
                   const char *version);

/* Calls add for each pool that a target with these `models` is in. */
void pwassign_pools(const pw_assignment *a, const json_t *models,
                    void (*add)(void *arg, const char *pool), void *arg);

/* Reads a model's rollout; 0 when there is none. */
int pwassign_rollout(const pw_res *r, const char *model, pw_rollout *out);
json_t *pwassign_rollout_json(const pw_rollout *r);

#endif
