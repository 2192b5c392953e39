/* pwgossipmsg.h: messages between gateways, which carry loads and are split into datagrams. */
#ifndef PWGOSSIPMSG_H
#define PWGOSSIPMSG_H

#include "peatwell.pb-c.h"
#include "pwloads.h"

#define PWGOSSIPMSG_PARTS 8    /* most datagrams of one message */
#define PWGOSSIPMSG_LOADS 160  /* loads in one datagram */
#define PWGOSSIPMSG_PROMPTS 30 /* prompts in one datagram */
#define PWGOSSIPMSG_BYTES 1400 /* largest datagram */
#define PWGOSSIPMSG_ROWS                                                       \
  (PWGOSSIPMSG_PARTS * PWGOSSIPMSG_LOADS) /* loads in one message */
/* Prompts in one message. */
#define PWGOSSIPMSG_PROMPTS_ALL (PWGOSSIPMSG_PARTS * PWGOSSIPMSG_PROMPTS)

/* Kinds of messages. */
typedef enum pw_gossip_kind {
  PWGOSSIPMSG_OWN,    /* a gateway's own loads, to all others */
  PWGOSSIPMSG_REPORT, /* the same, to the aggregator of its group */
  PWGOSSIPMSG_SUM, /* sum of a group, to the aggregators of the other groups */
  PWGOSSIPMSG_TOTAL,    /* sum of all groups, to the members of a group */
  PWGOSSIPMSG_SUSPECTS, /* no loads: requests whose targets crashed */
  /* No loads: which version began a stream, as announced, queried and answered. */
  PWGOSSIPMSG_STREAMS_BEGUN,
  PWGOSSIPMSG_STREAMS_QUERIED,
  PWGOSSIPMSG_STREAMS_ANSWERED,
  PWGOSSIPMSG_CRASHING_PARTS /* no loads: parts of prompts that may crash targets */
} pw_gossip_kind;

/* Prompts that were sent to a target other than their home target, where other gateways would not look for
** them. */
typedef struct pw_gossip_prompts {
  uint64_t key[PWGOSSIPMSG_PROMPTS_ALL];
  uint32_t to[PWGOSSIPMSG_PROMPTS_ALL];
  size_t n;
} pw_gossip_prompts;

/* Adds a prompt. When the list is full the prompt is left out, and a target may compute it again. */
void pwgossipmsg_add_prompt(pw_gossip_prompts *p, uint64_t key, uint32_t to);

/* Loads last received from another gateway. {0}: none. */
typedef struct pw_gossip_loads {
  uint64_t incarnation;
  int64_t at; /* time of the last datagram, ms; 0: never */
  uint32_t parts;
  struct {
    uint64_t seq;
    pw_load_row *row;
    size_t n;
  } part[PWGOSSIPMSG_PARTS];
} pw_gossip_loads;

/* Stores the loads of a datagram. Returns 0 if it is outdated or malformed. */
int pwgossipmsg_take(pw_gossip_loads *t, const Pw__Gossip *m, int64_t now);

/* Adds the received loads to *sum. */
void pwgossipmsg_sum(const pw_gossip_loads *t, pw_loads *sum);

void pwgossipmsg_free(pw_gossip_loads *t);

/* Packs a message and calls `send` with each datagram. *seq numbers the datagrams. */
void pwgossipmsg_pack(pw_gossip_kind kind, uint64_t incarnation, uint64_t *seq,
                      const pw_loads *loads, const pw_gossip_prompts *moved,
                      void (*send)(void *arg, const uint8_t *data, size_t n),
                      void *arg);

/* Packs a message of kind PWGOSSIPMSG_SUSPECTS. */
void pwgossipmsg_pack_suspects(
    uint64_t incarnation, Pw__Suspect **list, size_t n,
    void (*send)(void *arg, const uint8_t *data, size_t n), void *arg);

/* Packs a message of kind PWGOSSIPMSG_CRASHING_PARTS. */
void pwgossipmsg_pack_parts(
    uint64_t incarnation, Pw__CrashingPart **list, size_t n,
    void (*send)(void *arg, const uint8_t *data, size_t n), void *arg);

/* Packs a message of one of the kinds PWGOSSIPMSG_STREAMS_*, about one stream. */
void pwgossipmsg_pack_stream(
    pw_gossip_kind kind, uint64_t incarnation, Pw__StreamOrigin *stream,
    void (*send)(void *arg, const uint8_t *data, size_t n), void *arg);

#endif
