/* pwdetached.h: streams whose entry could not be reached. Each may be resumed for
** PWDETACHED_MS and is then cancelled at the target. */
#ifndef PWDETACHED_H
#define PWDETACHED_H

#include "pwlimits.h"

#include <stdint.h>

#define PWDETACHED_MS 5000 /* time in which a stream may be resumed */

typedef struct pw_detached pw_detached;

pw_detached *pwdetached_new(void);
void pwdetached_free(pw_detached *d);

/* Adds the stream that was started by attempt `origin`. */
void pwdetached_add(pw_detached *d, const char *origin, int64_t now);

/* Removes a stream that is resumed. */
void pwdetached_remove(pw_detached *d, const char *origin);

/* Removes a stream that was not resumed in time and copies its id to `origin`.
** Returns 0 when there is none. */
int pwdetached_take_expired(pw_detached *d, int64_t now,
                            char origin[PW_NAME_MAX]);

#endif
