/* pwplannerint.h: state of the planner of models, for pwplanner.c and pwplanread.c alone. */
#ifndef PWPLANNERINT_H
#define PWPLANNERINT_H

#include "pwplanner.h"

#include "pwassign.h"
#include "pwplace.h"
#include "pwplan.h"

#include <uthash.h>

#define PWPL_LOADS_AT_ONCE 2 /* where no policy says it */

typedef struct target target;

/* One target as a carrier of one model. */
typedef struct slot {
  target *t;
  char model[PW_NAME_MAX];
  uint64_t attempt; /* of its order */
  uint64_t failed;  /* attempt whose failure was counted */
  pw_plan_slot s;
} slot;

struct target {
  char name[PW_NAME_MAX];
  uint64_t id;
  int drain;
  int gone; /* its resource is deleted */
  char role[PW_NAME_MAX];
  slot *slot;
  int nslots;
  int in_batch; /* number of the batch that writes it */
  UT_hash_handle hh;
};

typedef struct model {
  char name[PW_NAME_MAX];
  uint64_t asked; /* version of its resource; 0: deleted */
  char wanted[PW_NAME_MAX];
  int replicas;
  int managed;
  int has_rollout;
  pw_rollout rollout;
  uint64_t rollout_version;
  char adapter[PWASSIGN_ADAPTERS][PW_NAME_MAX];
  int nadapters;
  double done_to, failed_to, done_from, failed_from; /* when the step began */
  int counted_step; /* step and version that these are of */
  char counted[PW_NAME_MAX];
  int64_t full_at; /* when the step's share came in force; 0: not yet */
  UT_hash_handle hh;
} model;

struct pw_planner {
  const pw_res *res;
  const pw_news *news;
  target *targets;
  model *models;
  uint64_t read; /* revision up to which the resources were read */
  uint64_t seen; /* changes of the news that were looked at */
  int64_t passed;
  int64_t next_load; /* the weight store's limit */
  double weights;    /* its bytes a second; 0: no limit */
  int loads_at_once;
  int batch; /* number of the batch */
  int proposed;
};

/* --- pwplanread.c --- */

/* Reads what has changed in the resources since it did so last. */
void pwpl_read(pw_planner *pl);

/* A target's slot of a model; NULL: it has none. */
const slot *pwpl_find_slot(const slot *list, int n, const char *name);

/* Forgets all that was read. */
void pwpl_clear(pw_planner *pl);

#endif
