/* pwzones.h: the availability zones that are evacuated, read from the
** resources. */
#ifndef PWZONES_H
#define PWZONES_H

#include "pwres.h"

#include <stddef.h>

/* A list of names; {0} is empty. */
typedef struct pw_zones {
  uint64_t revision; /* of the resources from which it was read */
  char **name;
  size_t n, cap;
} pw_zones;

/* Reads the list again if the resources have changed, and logs each
** evacuation that began or ended. */
void pwzones_read(pw_zones *z, const pw_res *resources);

int pwzones_has(const pw_zones *z, const char *name);

void pwzones_free(pw_zones *z);

#endif
