/* pwshare.c: a gateway's share of the slots of a service, and of the connections
** to its targets. */
#include "pwshare.h"

/* Time constant in ms of the request rate. With one second the share of a
** gateway with forty requests a second fluctuates at random by 16 in 100. */
#define DECAY_MS 3000.0

/* Multiple of the free slots that a gateway may use beyond its share. With 0,
** 2, 4 and 8 the share of requests answered in time, weighted by class, is
** 0.90, 0.95, 0.96 and 0.98 at three times the load, and that of the most
** urgent class 0.77, 0.76, 0.72 and 0.68 at six times. */
#define FREE_TIMES 2

/* While more than this part of the slots is free, no gateway is limited to
** its share. */
#define FREE_ENOUGH 0.5

/* Weight of the reserve for more urgent requests in a gateway's share. With 1,
** 3 and 6 the share of requests answered in time is 0.76, 0.84 and 0.84 for the
** most urgent class at six times the load, and 0.46, 0.44 and 0.42 for all
** classes together, weighted by class. */
#define RESERVE_TIMES 3

/* Least slots of a gateway, however few requests it gets; up to one more while
** slots are free. The reserve for more urgent requests is taken off both. */
#define SLOTS_LEAST 1

/* Part of the connections to a target that is divided evenly. */
#define CONNECTIONS_EVEN 0.3

/* Connections to one target that a gateway may always have, however many
** gateways there are. */
#define CONNECTIONS_LEAST 2

void pwshare_note(pw_share *s, int64_t now) {
  pwrate_note(&s->requests, DECAY_MS, now);
}

double pwshare_rate(const pw_share *s, int64_t now) {
  return pwrate_per_s(&s->requests, DECAY_MS, now);
}

double pwshare_slots(double mine, double all, double slots, double used,
                     double reserved) {
  double share = all > mine ? mine / all : 1;
  double free_part = used < slots ? 1 - used / slots : 0;
  if (free_part > FREE_ENOUGH)
    return slots;
  double limit = share * slots * (1 + FREE_TIMES * free_part);
  double least = SLOTS_LEAST + free_part;
  return (limit > least ? limit : least) * (1 - RESERVE_TIMES * reserved);
}

int pwshare_connections(int most, int gateways, double part) {
  double share = CONNECTIONS_EVEN / gateways + (1 - CONNECTIONS_EVEN) * part;
  int mine = (int)(most * share);
  return most > 0 && mine < CONNECTIONS_LEAST ? CONNECTIONS_LEAST : mine;
}
