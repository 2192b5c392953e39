/* pwrolltold.h: rollouts of services in the form in which Notices carry them
** to gateways. */
#ifndef PWROLLTOLD_H
#define PWROLLTOLD_H

#include "pwres.h"

/* A list of rollouts; {0} is empty. */
typedef struct pw_rolltold {
  uint64_t revision; /* of the resources from which it was read */
  Pw__ServiceRollout **list;
  size_t n;
} pw_rolltold;

/* Reads the list again if the resources have changed. */
void pwrolltold_read(pw_rolltold *t, const pw_res *resources);

void pwrolltold_free(pw_rolltold *t);

#endif
