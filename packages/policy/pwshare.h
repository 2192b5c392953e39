/* pwshare.h: a gateway's share of the slots of a service, and of the
** connections to its targets.
**
** Pure: time comes in as an argument. Prevents this failure: under several
** times the load that the targets can take, a hundred gateways learn of each
** other's requests later than a request takes, and all of them fill the same
** free slots. The targets refuse three to six in ten of the requests that
** reach them, and queues build up at all of them. A gateway's share of all
** requests changes slowly, and alike for all gateways when the load rises, so
** it may be known late. */
#ifndef PWSHARE_H
#define PWSHARE_H

#include "pwrate.h"

#include <stdint.h>

/* The recent request rate at one gateway. */
typedef struct pw_share {
  pw_rate requests;
} pw_share;

/* Counts a request. */
void pwshare_note(pw_share *s, int64_t now);

/* Recent requests a second. */
double pwshare_rate(const pw_share *s, int64_t now);

/* How many requests this gateway may have in flight at targets with `slots` in
** total, of which `used` are in use as far as it knows. `mine` and `all` are
** the requests a second at this gateway and at all of them, including this
** one. While slots are free it may exceed its share. `reserved` is the share of
** the slots reserved for more urgent requests (pwshed_reserve). */
double pwshare_slots(double mine, double all, double slots, double used,
                     double reserved);

/* How many connections this gateway may have to one target that accepts `most`
** from all of them; 0: no limit. `part` is its part of the requests that all
** gateways get. Prevents this failure: most callers are sent to one gateway,
** which stops at an even part of the connections while others use none. A part
** is divided evenly all the same, for gateways whose requests have just become
** more. Over all gateways it adds up to `most`, but for the least that each
** may have. */
int pwshare_connections(int most, int gateways, double part);

#endif
