/* pwunheard.h: streams whose entry could not be reached. They may be resumed
** for a while; one that nobody resumes is to be cancelled at the target. */
#ifndef PWUNHEARD_H
#define PWUNHEARD_H

#include "pwlimits.h"

#include <stdint.h>

#define PWUNHEARD_MS 5000

typedef struct pw_unheard pw_unheard;

pw_unheard *pwunheard_new(void);
void pwunheard_free(pw_unheard *u);

/* The stream the engine knows as `origin` rests from now on. */
void pwunheard_put(pw_unheard *u, const char *origin, int64_t now);

/* It is resumed, or over. */
void pwunheard_forget(pw_unheard *u, const char *origin);

/* Takes one that has rested too long; 0 when there is none. */
int pwunheard_expired(pw_unheard *u, int64_t now, char origin[PW_NAME_MAX]);

#endif
