/* pwfleetint.h: state of a fleet, for pwfleet.c and pwfleetpick.c alone. */
#ifndef PWFLEETINT_H
#define PWFLEETINT_H

#include "pwfleet.h"

struct pw_fleet {
  char *availability_zone;
  int64_t beat_ms;
  int64_t keep_ms;
  uint64_t turn;
  int64_t others_age_ms;
  int is_told; /* by control instances, which have judged what they hear */
  uint64_t evacuated_at; /* revision */
  char **evacuated;      /* availability zones */
  size_t nevacuated;
  pw_fleet_rollout *rollouts;
  size_t nrollouts;
  pw_target *by_id;
  pw_target *retired;
  pw_pick *row; /* of the targets that are weighed ... */
  pw_target **who;
  size_t rows; /* ... for which there is room */
};

/* Whether it is a target of that service and side. */
int pwflt_is_of(const pw_target *t, const char *service, pw_fleet_side side);

/* --- pwfleetroll.c --- */

/* Finds anew which side a service's targets are on. */
void pwflt_sort(pw_fleet *f, const char *service);

#endif
