/* pwtopology.h: the groups in which many gateways exchange their loads.
**
** Pure: time comes in as an argument. If each of 103 gateways sent its loads
** to every other one, it could do so 1.2 times a second, and what it knew of
** the others' requests would be older than a request takes. In groups, each
** member sends its loads to the aggregator of its group. It sends the sum of
** its group to the aggregators of the other groups, and the sum of all groups
** to its members: a tenth of the messages, eight times as often. */
#ifndef PWTOPOLOGY_H
#define PWTOPOLOGY_H

#include <stdint.h>

/* Up to this number of gateways, each one sends to each other one directly. */
#define PWTOPOLOGY_DIRECT_MAX 12

/* A gateway as seen by another one. */
typedef struct pw_topology_peer {
  uint64_t hash; /* of its address: decides its group and its rank there */
  int64_t awaiting_since; /* its first unanswered message, ms; 0: none */
  /* It did not answer, and is no aggregator until then, ms. */
  int64_t skip_until;
  int is_self;
} pw_topology_peer;

/* Number of groups for n gateways; 1: they send to each other directly. It
** changes rarely, so that gateways agree on it while some join and leave. */
uint32_t pwtopology_groups(int n);

/* The group of a gateway. */
uint32_t pwtopology_group(uint64_t hash, uint32_t groups);

/* Index of the aggregator of a group: its first gateway that answers, else its
** first; -1: the group is empty. */
int pwtopology_aggregator(const pw_topology_peer *p, int n, uint32_t groups,
                          uint32_t group, int64_t now);

/* A message was sent to the gateway that it has to answer. */
void pwtopology_sent(pw_topology_peer *p, int64_t now);

/* The gateway has answered. */
void pwtopology_answered(pw_topology_peer *p);

#endif
