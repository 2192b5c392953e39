/* pwgossipint.h: private state of the gossip between gateways, for pwgossip.c and pwgossipstream.c. Prefix: pwgsp
** (gossip). */
#ifndef PWGOSSIPINT_H
#define PWGOSSIPINT_H

#include "pwgate.h"
#include "pwgossipmsg.h"
#include "pwprefixsync.h"
#include "pwtopology.h"

#include <netinet/in.h>

/* Another gateway. */
typedef struct pw_gossip_peer {
  struct sockaddr_in addr;
  pw_gossip_loads own; /* its own loads, as received */
  pw_gossip_loads sum; /* the sum of its group, as received */
} pw_gossip_peer;

struct pw_gossip {
  pw_gate *g;
  const pw_gossip_callbacks *calls;
  int fd;
  pw_gossip_peer *peers;      /* peers[0] is this gateway itself */
  pw_topology_peer *topology; /* of each peer, to choose aggregators by */
  uint64_t *other_hash;       /* of peers[1] and on, in this order */
  int npeers;
  int64_t peers_changed_at; /* when their number last changed, ms */
  uint64_t seq;
  int64_t reported_at, summed_at;
  /* Prompts to announce to the aggregator of the group; at an aggregator, to those of the other groups. */
  pw_gossip_prompts prompts_up;
  /* Prompts to announce to the members of the group; used at an aggregator. */
  pw_gossip_prompts prompts_down;
  pw_prefix_sync sync;        /* for gateways that have started since */
  pw_loads own;               /* loads of this gateway, as last counted */
  pw_loads sum, all;          /* loads of the group, and of all gateways */
  pw_loads fitted;            /* rows of the current message that fit into it */
  pw_loads fitted_workspaces; /* the same, before rejections are left out */
  /* Loads of all gateways, as received from the aggregator. */
  pw_gossip_loads total;
  ev_io io;
};

/* Gateways that a message goes to. */
typedef struct pw_gossip_receivers {
  pw_gossip *s;
  const int *to; /* indices into peers */
  int n;
} pw_gossip_receivers;

/* The hash by which gateways name each other. */
uint64_t pwgsp_hash_of(const struct sockaddr_in *addr);

/* Sends a datagram. One that cannot be sent is dropped; the reason is logged unless the socket is full. */
void pwgsp_send_to(const pw_gossip *s, const struct sockaddr_in *addr,
                   const uint8_t *data, size_t n);

/* The same to all gateways of a pw_gossip_receivers, which is `arg`. */
void pwgsp_send_to_peers(void *arg, const uint8_t *data, size_t n);

/* Whether a message of this kind is about versions of streams. */
int pwgsp_is_about_streams(uint32_t kind);

/* Handles a message about versions of streams. */
void pwgsp_receive_streams(pw_gossip *s, const struct sockaddr_in *from,
                           const Pw__Gossip *m);

#endif
