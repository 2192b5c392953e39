/* pwtold.h: loads as they travel between gateways, in datagrams of parts. */
#ifndef PWTOLD_H
#define PWTOLD_H

#include "peatwell.pb-c.h"
#include "pwloads.h"

#define PWTOLD_PARTS 8    /* datagrams of one telling */
#define PWTOLD_LOADS 160  /* a datagram has room for so many ... */
#define PWTOLD_PROMPTS 30 /* ... and so many prompts */
#define PWTOLD_BYTES 1400 /* of a datagram at most */
#define PWTOLD_ROWS (PWTOLD_PARTS * PWTOLD_LOADS) /* of one telling */
#define PWTOLD_MOVED (PWTOLD_PARTS * PWTOLD_PROMPTS)

/* Kinds of a telling. */
typedef enum pw_told_kind {
  PWTOLD_OWN,     /* what a gateway has, to all */
  PWTOLD_REPORT,  /* the same, to the first of its group */
  PWTOLD_SUM,     /* what a group has, to the firsts of the others */
  PWTOLD_TOTAL,   /* what all have, to the members of a group */
  PWTOLD_SUSPECTS /* no loads: requests under which targets ended */
} pw_told_kind;

/* Prompts that were sent where nobody would look for them. */
typedef struct pw_told_prompts {
  uint64_t key[PWTOLD_MOVED];
  uint32_t to[PWTOLD_MOVED];
  size_t n;
} pw_told_prompts;

/* Full: it is left out, and may be read again. */
void pwtold_moved(pw_told_prompts *p, uint64_t key, uint32_t to);

/* What another gateway told last. {0}: nothing. */
typedef struct pw_told_loads {
  uint64_t incarnation;
  int64_t at; /* when something came last, ms; 0: never */
  uint32_t parts;
  struct {
    uint64_t seq;
    pw_load_row *row;
    size_t n;
  } part[PWTOLD_PARTS];
} pw_told_loads;

/* Takes a datagram; 0 when it is older than what was told, or none of ours. */
int pwtold_take(pw_told_loads *t, const Pw__Gossip *m, int64_t now);

/* Adds it up. */
void pwtold_add(const pw_told_loads *t, pw_loads *sum);

void pwtold_free(pw_told_loads *t);

/* Packs a telling part by part: calls `send` with each datagram. *seq counts them. */
void pwtold_pack(pw_told_kind kind, uint64_t incarnation, uint64_t *seq,
                 const pw_loads *loads, const pw_told_prompts *moved,
                 void (*send)(void *arg, const uint8_t *data, size_t n),
                 void *arg);

/* Packs a telling of PWTOLD_SUSPECTS. */
void pwtold_pack_suspects(uint64_t incarnation, Pw__Suspect **list, size_t n,
                          void (*send)(void *arg, const uint8_t *data,
                                       size_t n),
                          void *arg);

#endif
