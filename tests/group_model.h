/* group_model.h: randomized simulation of a control group, with messages that
** are lost, duplicated or late, crashes that lose unsynced writes, stalls, cut
** links, replaced disks, and a second loss right after a replacement. The real
** consensus, membership and state code runs on simulated disks and network. A
** failing seed is printed and can be run again with PW_SEED. */
#ifndef GROUP_MODEL_H
#define GROUP_MODEL_H

#include "pwcons.h"

#include <stddef.h>
#include <stdint.h>

/* Most nodes of a group. */
#define NODES 5

/* A leader's lease, ms. */
#define LEASE 1000

/* What a node has stored. */
typedef struct model_disk {
  uint64_t id, term, vote;
  Pw__Snapshot *snapshot;
  Pw__Entry **entry;
  size_t n;
} model_disk;

void model_disk_clear(model_disk *d);

/* Stores the first configuration of a group on an empty disk. */
void model_disk_init(model_disk *d, const pw_cons_config *c);

/* Stores an entry and drops what follows it. */
void model_disk_append(model_disk *d, const Pw__Entry *e);

/* What a simulation injects and checks besides the common faults. */
enum {
  MODEL_SUSPENDS = 1, /* nodes are suspended, and disks are lost at the end */
  MODEL_READS = 2     /* members that do not lead answer reads */
};

/* Which seeds are run: the members of a group with an odd one are named by
** address, those of a group with an even one by number. */
typedef enum model_seeds {
  MODEL_ALL_SEEDS,
  MODEL_ODD_SEEDS,
  MODEL_EVEN_SEEDS
} model_seeds;

/* Runs the simulations of these seeds from 1 to `last`, or the one of PW_SEED.
** CHECKs that none breaks a rule. */
void model_run_seeds(int with, model_seeds which, int last);

/* Starts a group of `nodes` within `spread` ms, except the last one with `absent`. Returns the time until a leader
** is elected, ms, from the last start; with `absent` from the end of a lease after the start that completes a quorum,
** when it may vote. */
int64_t model_cold_start(uint64_t seed, int nodes, int64_t spread, int absent);

#endif
