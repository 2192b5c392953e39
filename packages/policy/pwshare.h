/* pwshare.h: a gateway's part of the places of a service.
**
** Pure: time comes in as an argument. Answers this load: all of a hundred gateways are asked
** for several times what the targets can do. What each knows of the others' requests is
** older than a request takes, so each found places free that all had found free: three to
** six in ten of what reached targets was turned away, and queues stood before all of
** them. What a gateway is asked for beside what all are asked for is known without haste: it
** changes alike for all when a rush begins. */
#ifndef PWSHARE_H
#define PWSHARE_H

#include <stdint.h>

/* How much a gateway is asked for. */
typedef struct pw_share {
  double asked; /* requests lately */
  int64_t at;   /* when this was right, ms */
} pw_share;

/* A request came. */
void pwshare_asked(pw_share *s, int64_t now);

/* Requests a second, lately. */
double pwshare_rate(const pw_share *s, int64_t now);

/* How many requests this gateway may have at targets of `slots` together, of which `used` are
** taken as far as it knows: `mine` and `all` are what it and all gateways, it too, are asked for,
** requests a second. While places are free it may have more than its part. `kept` is the share of
** places that is kept for more urgent requests (pwplaces). */
double pwshare_places(double mine, double all, double slots, double used,
                      double kept);

#endif
