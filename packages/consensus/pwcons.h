/* pwcons.h: consensus of the control group, as a pure state machine.
**
** Messages and ticks go in; what to store, send and apply comes out. It does
** no I/O, starts no thread and reads no clock: times are milliseconds given by
** the caller, randomness comes from a seed. See docs/design/consensus.md. */
#ifndef PWCONS_H
#define PWCONS_H

#include "peatwell.pb-c.h"
#include "pwcode.h"

#include <stddef.h>
#include <stdint.h>

/* Most members of a control group, learners included. */
#define PWCONS_MEMBERS 9

/* Longest address of a member. */
#define PWCONS_ADDR 64

typedef struct pw_cons_member {
  uint64_t id;
  uint32_t slot;
  int voter;
  char addr[PWCONS_ADDR];
  char http[PWCONS_ADDR];
} pw_cons_member;

typedef struct pw_cons_config {
  int n;
  pw_cons_member m[PWCONS_MEMBERS];
} pw_cons_config;

typedef enum pw_cons_role {
  PWCONS_FOLLOWER,
  PWCONS_PRECANDIDATE,
  PWCONS_CANDIDATE,
  PWCONS_LEADER
} pw_cons_role;

typedef enum pw_cons_kind {
  PWCONS_NOOP,
  PWCONS_COMMAND,
  PWCONS_CONFIG
} pw_cons_kind;

typedef enum pw_cons_type {
  PWCONS_PREVOTE = 1,
  PWCONS_PREVOTE_REPLY,
  PWCONS_VOTE,
  PWCONS_VOTE_REPLY,
  PWCONS_APPEND,
  PWCONS_APPEND_REPLY,
  PWCONS_SNAPSHOT,
  PWCONS_TIMEOUT_NOW
} pw_cons_type;

/* Where a member starts from: what its disk holds. */
typedef struct pw_cons_setup {
  uint64_t id;
  uint64_t seed;
  int64_t now;
  int64_t heartbeat; /* ms */
  int64_t retry;     /* ms */
  int64_t lease;     /* ms */
  size_t batch;      /* entries in one append; 0: as many as is usual */
  uint64_t term;
  uint64_t vote;
  const Pw__Snapshot
      *snapshot;       /* always there; index 0 holds the first config */
  Pw__Entry **entries; /* log after the snapshot, in order */
  size_t nentries;
} pw_cons_setup;

/* What must be done now, in this order: send `early`, store the hard state
** and entries with one sync, send `late`, then call pwcons_advance. */
typedef struct pw_cons_ready {
  int must_sync;
  uint64_t term;
  uint64_t vote;
  Pw__Entry **entries; /* borrowed from the log */
  size_t nentries;
  const Pw__Snapshot *install; /* a snapshot that replaces the log, or NULL */
  Pw__Cons **early;
  size_t nearly;
  Pw__Cons **late;
  size_t nlate;
} pw_cons_ready;

typedef struct pw_cons pw_cons;

pw_cons *pwcons_new(const pw_cons_setup *setup);
void pwcons_free(pw_cons *c);

/* Time has come to `now`. */
void pwcons_tick(pw_cons *c, int64_t now);

/* A message arrived. Messages for another id are ignored. */
void pwcons_step(pw_cons *c, int64_t now, const Pw__Cons *m);

/* Adds a command to the log; PW_E_NOT_LEADER unless it leads. *index is where
** it will be applied if its term is still *term there. */
pw_code pwcons_propose(pw_cons *c, const void *data, size_t len,
                       uint64_t *index, uint64_t *term);

/* Changes one member. PW_E_CONFLICT while another change is not committed, or
** when more than one voter would change. */
pw_code pwcons_propose_config(pw_cons *c, const pw_cons_config *config);

/* Fills r; 0 when there is nothing to do. r is valid until the next call. */
int pwcons_ready(pw_cons *c, pw_cons_ready *r);

/* The early messages that pwcons_ready gave have been sent: they are not given
** again if the rest cannot be stored yet. */
void pwcons_early_sent(pw_cons *c);

/* What pwcons_ready gave has been stored and sent. */
void pwcons_advance(pw_cons *c);

/* Next committed entry not yet handed out, or NULL. */
const Pw__Entry *pwcons_next(pw_cons *c);

/* Gives back the memory of the snapshot's state, which is large: only right
** before pwcons_compact with a newer one, so that there never are two. */
void pwcons_shed(pw_cons *c);

/* Drops the log up to `index`, which is past the snapshot's, for the given
** state of that index. Takes ownership of state. */
void pwcons_compact(pw_cons *c, uint64_t index, uint8_t *state, size_t len);

/* The entries that follow the snapshot; borrowed until the next call. */
Pw__Entry **pwcons_entries(const pw_cons *c, size_t *n);

/* The snapshot the log starts from. */
const Pw__Snapshot *pwcons_snapshot(const pw_cons *c);

/* Asks the best follower to take over; 0 when there is none. */
int pwcons_hand_over(pw_cons *c, int64_t now);

pw_cons_role pwcons_role(const pw_cons *c);
uint64_t pwcons_term(const pw_cons *c);
uint64_t pwcons_leader(const pw_cons *c); /* id, or 0 if none is known */
uint64_t pwcons_commit(const pw_cons *c);
uint64_t pwcons_last(const pw_cons *c);
const pw_cons_config *pwcons_config(const pw_cons *c);

/* Non-zero while it leads, has committed in its own term, and holds a lease
** that no other leader can overlap at `now`. */
int pwcons_lease(const pw_cons *c, int64_t now);

/* Milliseconds since it heard a leader; 0 when it leads. */
int64_t pwcons_silence(const pw_cons *c);

/* As leader: milliseconds since member `id` answered; INT64_MAX if no member.
 */
int64_t pwcons_peer_silence(const pw_cons *c, uint64_t id);

/* Non-zero when learner `id` lacks nothing committed. */
int pwcons_caught_up(const pw_cons *c, uint64_t id);

void pwcons_config_pack(const pw_cons_config *config, Pw__Config **out);
void pwcons_config_unpack(const Pw__Config *in, pw_cons_config *config);

/* Deep copies, by packing and unpacking; freed by the pb functions. */
Pw__Entry *pwcons_copy_entry(const Pw__Entry *e);
Pw__Snapshot *pwcons_copy_snapshot(const Pw__Snapshot *s);

#endif
