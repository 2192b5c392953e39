/* pwtold.h: messages between gateways, which carry loads and are split into datagrams. */
#ifndef PWTOLD_H
#define PWTOLD_H

#include "peatwell.pb-c.h"
#include "pwloads.h"

#define PWTOLD_PARTS 8    /* most datagrams of one message */
#define PWTOLD_LOADS 160  /* loads in one datagram */
#define PWTOLD_PROMPTS 30 /* prompts in one datagram */
#define PWTOLD_BYTES 1400 /* largest datagram */
#define PWTOLD_ROWS (PWTOLD_PARTS * PWTOLD_LOADS) /* loads in one message */
/* Prompts in one message. */
#define PWTOLD_MOVED (PWTOLD_PARTS * PWTOLD_PROMPTS)

/* Kinds of messages. */
typedef enum pw_told_kind {
  PWTOLD_OWN,     /* a gateway's own loads, to all others */
  PWTOLD_REPORT,  /* the same, to the aggregator of its group */
  PWTOLD_SUM,     /* sum of a group, to the aggregators of the other groups */
  PWTOLD_TOTAL,   /* sum of all groups, to the members of a group */
  PWTOLD_SUSPECTS /* no loads: requests whose targets crashed */
} pw_told_kind;

/* Prompts that were sent to a target other than their home, where other gateways would not look. */
typedef struct pw_told_prompts {
  uint64_t key[PWTOLD_MOVED];
  uint32_t to[PWTOLD_MOVED];
  size_t n;
} pw_told_prompts;

/* Adds a prompt. When the list is full the prompt is left out, and a target may compute it again. */
void pwtold_moved(pw_told_prompts *p, uint64_t key, uint32_t to);

/* Loads last received from another gateway. {0}: none. */
typedef struct pw_told_loads {
  uint64_t incarnation;
  int64_t at; /* time of the last datagram, ms; 0: never */
  uint32_t parts;
  struct {
    uint64_t seq;
    pw_load_row *row;
    size_t n;
  } part[PWTOLD_PARTS];
} pw_told_loads;

/* Takes a datagram; 0: it is outdated or malformed. */
int pwtold_take(pw_told_loads *t, const Pw__Gossip *m, int64_t now);

/* Adds the received loads to *sum. */
void pwtold_add(const pw_told_loads *t, pw_loads *sum);

void pwtold_free(pw_told_loads *t);

/* Packs a message and calls `send` with each datagram. *seq numbers the datagrams. */
void pwtold_pack(pw_told_kind kind, uint64_t incarnation, uint64_t *seq,
                 const pw_loads *loads, const pw_told_prompts *moved,
                 void (*send)(void *arg, const uint8_t *data, size_t n),
                 void *arg);

/* Packs a message of kind PWTOLD_SUSPECTS. */
void pwtold_pack_suspects(uint64_t incarnation, Pw__Suspect **list, size_t n,
                          void (*send)(void *arg, const uint8_t *data,
                                       size_t n),
                          void *arg);

#endif
