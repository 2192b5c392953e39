/* pwplannerint.h: state of the planner of models, for pwplanner.c and
** pwplanread.c alone. */
#ifndef PWPLANNERINT_H
#define PWPLANNERINT_H

#include "pwplanner.h"

#include "pwassign.h"
#include "pwplace.h"
#include "pwplan.h"

#include <uthash.h>

#define PWPL_LOADS_AT_ONCE 2 /* unless the policy sets loads_at_once */

typedef struct target target;

/* One model at one target. */
typedef struct slot {
  target *t;
  char model[PW_NAME_MAX];
  uint64_t attempt;        /* number of the order in its assignment */
  uint64_t failed_attempt; /* the last attempt that was counted as failed */
  pw_plan_slot s;
} slot;

struct target {
  char name[PW_NAME_MAX];
  uint64_t id;
  int drain;
  int gone; /* its resource was deleted */
  char role[PW_NAME_MAX];
  slot *slot;
  int nslots;
  int batch; /* number of the last batch that wrote its assignment */
  UT_hash_handle hh;
};

typedef struct model {
  char name[PW_NAME_MAX];
  uint64_t resource_version; /* version of its resource; 0: deleted */
  char wanted_version[PW_NAME_MAX];
  int replicas;
  int managed;
  int has_rollout;
  pw_rollout rollout;
  uint64_t rollout_version;
  char adapter[PWASSIGN_ADAPTERS][PW_NAME_MAX];
  int nadapters;
  /* sums of finished and failed attempts when the rollout step began */
  double done_to, failed_to, done_from, failed_from;
  int counted_step; /* step and version to which these sums belong */
  char counted_version[PW_NAME_MAX];
  /* when the share of the step came into force, ms; 0: not yet */
  int64_t share_reached_at;
  UT_hash_handle hh;
} model;

struct pw_planner {
  const pw_res *res;
  const pw_treereport *treereport;
  target *targets;
  model *models;
  uint64_t read_revision; /* revision up to which the resources were read */
  /* number of changes of target states up to the last pass */
  uint64_t changes_seen;
  int64_t last_pass_at; /* ms */
  /* earliest time of the next load, ms; limits the load on the weight store */
  int64_t next_load_at;
  /* bytes a second that the weight store may deliver; 0: no limit */
  double weights_rate;
  int loads_at_once;
  int batch; /* number of the current batch of assignments */
  int is_proposed;
};

/* --- pwplanread.c --- */

/* Reads the resources that have changed since the call before. */
void pwpl_read(pw_planner *pl);

/* The slot of a model among a target's slots; NULL: there is none. */
const slot *pwpl_find_slot(const slot *list, int n, const char *name);

/* Drops all that was read. */
void pwpl_clear(pw_planner *pl);

#endif
