/* pwspike.h: detects load spikes of single workspaces.
**
** Pure: time comes in as an argument. The baseline is a workspace's share of
** all requests over minutes. Its current rate is compared with that share of
** what the other workspaces send now, so that a rise of the whole load is a
** spike of none. */
#ifndef PWSPIKE_H
#define PWSPIKE_H

#include <stdint.h>

typedef struct pw_spike pw_spike;

pw_spike *pwspike_new(int64_t now);
void pwspike_free(pw_spike *s);

/* Counts a request of the workspace. Returns the share of its current requests
** that exceeds what it may send before other workspaces take precedence, 0 to
** 1. */
double pwspike_note(pw_spike *s, const char *workspace, int64_t now);

#endif
