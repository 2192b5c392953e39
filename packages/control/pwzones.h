/* pwzones.h: the availability zones that are evacuated, as the resources say. */
#ifndef PWZONES_H
#define PWZONES_H

#include "pwres.h"

#include <stddef.h>

/* {0} is empty. */
typedef struct pw_zones {
  uint64_t revision; /* of the resources that were read */
  char **name;
  size_t n, cap;
} pw_zones;

/* Reads them anew when the resources have changed; each that came or went is logged. */
void pwzones_read(pw_zones *z, const pw_res *resources);

int pwzones_holds(const pw_zones *z, const char *name);

void pwzones_free(pw_zones *z);

#endif
