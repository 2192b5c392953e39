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
  pw_target *by_id;
  pw_target *retired;
};

#endif
