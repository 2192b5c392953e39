/* pwsurge.h: detects load spikes of single workspaces.
**
** Pure: time comes in as an argument. The baseline is a workspace's share of
** all requests over minutes. Its current rate is compared with that share of
** what the other workspaces send now, so that a rise of the whole load is a
** spike of none. */
#ifndef PWSURGE_H
#define PWSURGE_H

#include <stdint.h>

typedef struct pw_surge pw_surge;

pw_surge *pwsurge_new(int64_t now);
void pwsurge_free(pw_surge *s);

/* Counts a request of the workspace. Returns the share of its current requests
** that exceeds what it may send before other workspaces take precedence, 0 to
** 1. */
double pwsurge_note(pw_surge *s, const char *workspace, int64_t now);

#endif
