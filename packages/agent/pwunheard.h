/* pwunheard.h: streams whose entry could not be reached. Each may be resumed for
** PWUNHEARD_MS and is then cancelled at the target. */
#ifndef PWUNHEARD_H
#define PWUNHEARD_H

#include "pwlimits.h"

#include <stdint.h>

#define PWUNHEARD_MS 5000

typedef struct pw_unheard pw_unheard;

pw_unheard *pwunheard_new(void);
void pwunheard_free(pw_unheard *u);

/* Adds the stream that was started by attempt `origin`. */
void pwunheard_put(pw_unheard *u, const char *origin, int64_t now);

/* Removes a stream that is resumed. */
void pwunheard_forget(pw_unheard *u, const char *origin);

/* Removes a stream that was not resumed in time and copies its id to `origin`.
** Returns 0 when there is none. */
int pwunheard_expired(pw_unheard *u, int64_t now, char origin[PW_NAME_MAX]);

#endif
