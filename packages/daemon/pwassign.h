/* pwassign.h: resources that the control leader writes, as typed values.
**
** An `assignment` names, for a target, the version of each model that it
** must load and the one that it serves. A `rollout` names the two versions
** that share a model's chats. A target whose assignment does not name a
** model serves the model as installed, without a version. */
#ifndef PWASSIGN_H
#define PWASSIGN_H

#include "pwres.h"
#include "pwrollout.h"

#include <jansson.h>

#define PWASSIGN_MODELS 16                    /* models of a target, at most */
#define PWASSIGN_ADAPTERS 16                  /* adapters of a model, at most */
#define PWASSIGN_POOL_BYTES (2 * PW_NAME_MAX) /* bytes of a pool's name */

/* The entry of an assignment for one model. */
typedef struct pw_assigned {
  char model[PW_NAME_MAX];
  int has_load; /* 0: the target must not have the model loaded */
  char load[PW_NAME_MAX];
  uint64_t attempt; /* number of the order to load the model */
  int has_serve;    /* 0: the target gets no requests for the model */
  char serve[PW_NAME_MAX];
  char adapter[PWASSIGN_ADAPTERS][PW_NAME_MAX];
  int nadapters;
} pw_assigned;

typedef struct pw_assignment {
  uint64_t term; /* of the leader that wrote the assignment */
  /* revision of the assignment; with the term it is the fencing token of
  ** orders */
  uint64_t sequence;
  uint64_t version; /* of the resource; 0: there is no assignment */
  char role[PW_NAME_MAX];
  pw_assigned model[PWASSIGN_MODELS];
  int nmodels;
} pw_assignment;

/* Reads a target's assignment. It is empty when there is none. */
void pwassign_read(const pw_res *r, const char *target, pw_assignment *out);

/* Finds the entry of an assignment for a model; NULL when there is none. */
pw_assigned *pwassign_model(pw_assignment *a, const char *model);

/* Finds the entry of an assignment for a model, and adds an empty one if there
** is none. NULL when there are PWASSIGN_MODELS already. */
pw_assigned *pwassign_add(pw_assignment *a, const char *model);

/* Returns the spec of an assignment as a new reference. */
json_t *pwassign_json(const pw_assignment *a);

/* Writes the name of the pool of targets that serve a version of a model. */
void pwassign_pool_name(char out[PWASSIGN_POOL_BYTES], const char *model,
                        const char *version);

/* Calls `add` for each pool to which a target with these `models` belongs. */
void pwassign_each_pool(const pw_assignment *a, const json_t *models,
                        void (*add)(void *arg, const char *pool), void *arg);

/* Reads a model's rollout. Returns 0 when there is none. */
int pwassign_read_rollout(const pw_res *r, const char *model, pw_rollout *out);

/* Returns the spec of a rollout as a new reference. */
json_t *pwassign_rollout_json(const pw_rollout *r);

#endif
