/* pwrolltold.h: roll-outs of services as gateways are told of them. */
#ifndef PWROLLTOLD_H
#define PWROLLTOLD_H

#include "pwres.h"

/* {0} is empty. */
typedef struct pw_rolltold {
  uint64_t revision; /* of the resources that were read */
  Pw__ServiceRollout **list;
  size_t n;
} pw_rolltold;

/* Reads them anew when the resources have changed. */
void pwrolltold_read(pw_rolltold *t, const pw_res *resources);

void pwrolltold_free(pw_rolltold *t);

#endif
