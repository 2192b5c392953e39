/* pwsurge.h: which workspaces send many times their usual, while others do not.
**
** Pure: time comes in as an argument. A workspace's usual part of all requests is
** learned over minutes; what it sends now is compared with what that part would be of
** what the others send now, so that a rush of all is no surge of any. */
#ifndef PWSURGE_H
#define PWSURGE_H

#include <stdint.h>

typedef struct pw_surge pw_surge;

pw_surge *pwsurge_new(int64_t now);
void pwsurge_free(pw_surge *s);

/* A request of the workspace came. The part of its requests that are more than it may
** send before others have theirs, 0 to 1. */
double pwsurge_note(pw_surge *s, const char *workspace, int64_t now);

#endif
