/* pwrollwire.h: rollouts of services in the form in which Notices carry them
** to gateways. */
#ifndef PWROLLWIRE_H
#define PWROLLWIRE_H

#include "pwres.h"

/* A list of rollouts; {0} is empty. */
typedef struct pw_rollwire {
  uint64_t revision; /* of the resources from which it was read */
  Pw__ServiceRollout **list;
  size_t n;
} pw_rollwire;

/* Reads the list again if the resources have changed. */
void pwrollwire_read(pw_rollwire *t, const pw_res *resources);

void pwrollwire_free(pw_rollwire *t);

#endif
