/* pwfleetint.h: private state of a fleet, for pwfleet.c, pwfleetpick.c and pwfleetroll.c. */
#ifndef PWFLEETINT_H
#define PWFLEETINT_H

#include "pwfleet.h"

struct pw_fleet {
  char *availability_zone;
  int64_t beat_ms;
  int64_t keep_ms;
  uint64_t turn;         /* counter of PWPICK_BY_ROUND_ROBIN */
  int64_t others_age_ms; /* age of the other gateways' reported loads */
  int trusts_updates; /* updates come from control instances, which have checked them */
  uint64_t evacuated_at; /* revision of `evacuated` */
  char **evacuated;      /* names of availability zones */
  size_t nevacuated;
  pw_fleet_rollout *rollouts;
  size_t nrollouts;
  pw_target *by_id;
  pw_target *retired;
  pw_pick *row;        /* candidates of one pick */
  pw_target **targets; /* the target of each row */
  size_t rows;         /* allocated length of both arrays */
};

/* Whether a target belongs to a service and is on this side of its rollout. */
int pwflt_is_of(const pw_target *t, const char *service, pw_fleet_side side);

/* --- pwfleetprompt.c --- */

/* What a target has to do before the first chunk of the prompt's answer; `holder`: the target from whose KV
** cache it may copy a prefix, or NULL. */
pw_prefill_work pwflt_prefill_work(const pw_target *t, const pw_fleet_prompt *p,
                                   const pw_target *holder);

/* Adds the home of a prompt to the targets that have it cached, if none is known and the home may have got it
** before this process could know. */
void pwflt_assume_home(pw_fleet_prompt *p, uint64_t key, const pw_pick *row,
                       pw_target *const *targets, int n);

/* Fills in the fields of each row that depend on the prompt. */
void pwflt_fill_prompt(const pw_fleet_prompt *p, pw_pick *row,
                       pw_target *const *targets, int n);

/* The target to name as the source of a copy for the one in row `best`: the one that has the most of the prompt
** cached, or the home where none is known; NULL: there is none, or computing is faster. It may have nothing more. */
pw_target *pwflt_copy_source(const pw_fleet_prompt *p, uint64_t key,
                             const pw_pick *row, pw_target *const *targets,
                             int n, int best);

/* --- pwfleetroll.c --- */

/* Reassigns the targets of a service to the sides of its rollout. */
void pwflt_sort(pw_fleet *f, const char *service);

#endif
