/* pwcons.h: consensus of the control group, a Raft-like protocol as a pure state machine.
**
** Messages and ticks go in; what to store, send and apply comes out. It does
** no I/O, starts no thread and reads no clock: the caller passes times in
** milliseconds, and random numbers come from a seed. See
** docs/design/consensus.md. */
#ifndef PWCONS_H
#define PWCONS_H

#include "peatwell.pb-c.h"
#include "pwcode.h"

#include <stddef.h>
#include <stdint.h>

/* Largest number of members of a control group, learners included. */
#define PWCONS_MEMBERS 9

/* Size of a member's address, with the terminating zero. */
#define PWCONS_ADDR 64

typedef struct pw_cons_member {
  uint64_t id;   /* random, new for each empty disk */
  uint32_t slot; /* identifies the instance across replacements of its disk */
  int voter;     /* 0: a learner */
  char addr[PWCONS_ADDR]; /* address for messages between processes */
  char http[PWCONS_ADDR]; /* address of its HTTP interface */
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
  PWCONS_NOOP, /* first entry of each leader */
  PWCONS_COMMAND,
  PWCONS_CONFIG /* a pw_cons_config */
} pw_cons_kind;

typedef enum pw_cons_type {
  PWCONS_PREVOTE = 1,
  PWCONS_PREVOTE_REPLY,
  PWCONS_VOTE,
  PWCONS_VOTE_REPLY,
  PWCONS_APPEND,
  PWCONS_APPEND_REPLY,
  PWCONS_SNAPSHOT,
  PWCONS_TIMEOUT_NOW, /* asks a voter to campaign at once */
  PWCONS_COMMITTED    /* states that the entry of log_term at index is
                      ** committed; members of older builds ignore it */
} pw_cons_type;

/* Timing of a member, and the state on its disk that it starts from. */
typedef struct pw_cons_setup {
  uint64_t id;
  uint64_t seed;
  int64_t now;       /* ms */
  int64_t heartbeat; /* interval of a leader's heartbeats, ms */
  int64_t retry;     /* shortest interval between snapshots to one member, ms */
  int64_t lease;     /* duration of a lease, ms */
  size_t batch;      /* most entries in one append; 0: the default */
  uint64_t term;
  uint64_t vote;
  /* Never NULL; the snapshot of index 0 holds the initial configuration. */
  const Pw__Snapshot *snapshot;
  Pw__Entry **entries; /* log after the snapshot, in order */
  size_t nentries;
} pw_cons_setup;

/* Work for the caller, in this order: send `early`, store the hard state (term
** and vote) and the entries with one sync, send `late`, call pwcons_advance.
** `late` messages depend on what the sync stores; `early` ones do not. */
typedef struct pw_cons_ready {
  int must_sync;
  uint64_t term;
  uint64_t vote;
  Pw__Entry **entries; /* borrowed from the log */
  size_t nentries;
  const Pw__Snapshot *install; /* a snapshot that replaces the log, or NULL */
  Pw__Cons **early;
  size_t n_early;
  Pw__Cons **late;
  size_t n_late;
} pw_cons_ready;

typedef struct pw_cons pw_cons;

pw_cons *pwcons_new(const pw_cons_setup *setup);
void pwcons_free(pw_cons *c);

/* Advances the clock to `now`, ms. */
void pwcons_tick(pw_cons *c, int64_t now);

/* Handles a received message. Messages for another id are ignored, except
** statements of pwcons_state_committed, which are for all members. */
void pwcons_step(pw_cons *c, int64_t now, const Pw__Cons *m);

/* Appends a command to the log; PW_E_NOT_LEADER unless this member leads. The
** command is applied at *index if the entry committed there has term *term. */
pw_code pwcons_propose(pw_cons *c, const void *data, size_t len,
                       uint64_t *index, uint64_t *term);

/* Appends a configuration that changes at most one voter. PW_E_CONFLICT if it
** changes more, or while an earlier change is not committed. */
pw_code pwcons_propose_config(pw_cons *c, const pw_cons_config *config);

/* Fills r, which stays valid until the next call; 0: no work. */
int pwcons_ready(pw_cons *c, pw_cons_ready *r);

/* Confirms that the early messages of pwcons_ready were sent, so that they are
** not sent again if the rest cannot be stored yet. */
void pwcons_early_sent(pw_cons *c);

/* Confirms that all work of pwcons_ready was done. */
void pwcons_advance(pw_cons *c);

/* Fills m with the statement that the entry at `index`, which must be
** committed here and not before the snapshot, is committed. The statement stays
** true whoever leads, so it names no receiver and may arrive late. */
void pwcons_state_committed(const pw_cons *c, uint64_t index, Pw__Cons *m);

/* The next committed entry that this function has not returned yet, or NULL. */
const Pw__Entry *pwcons_next_committed(pw_cons *c);

/* Frees the state in the snapshot, which is large, so that memory never holds
** two states. Only allowed right before pwcons_compact with a newer state. */
void pwcons_free_snapshot_state(pw_cons *c);

/* Replaces the log up to `index`, which is past the snapshot's, by a snapshot
** with the state as of that index. Takes ownership of state. */
void pwcons_compact(pw_cons *c, uint64_t index, uint8_t *state, size_t len);

/* The log entries that follow the snapshot; valid until the next call. */
Pw__Entry **pwcons_entries(const pw_cons *c, size_t *n);

/* The snapshot that the log starts from. */
const Pw__Snapshot *pwcons_snapshot(const pw_cons *c);

/* Transfers leadership to the voter with the longest log. Returns 0 if this
** member does not lead, or if no other voter has all committed entries and has
** replied within a lease. */
int pwcons_transfer_leadership(pw_cons *c, int64_t now);

pw_cons_role pwcons_role(const pw_cons *c);
uint64_t pwcons_term(const pw_cons *c);
uint64_t pwcons_leader(const pw_cons *c); /* id; 0: no leader is known */
uint64_t pwcons_commit(const pw_cons *c);
uint64_t pwcons_last(const pw_cons *c);
const pw_cons_config *pwcons_config(const pw_cons *c);

/* Whether this member leads, has committed an entry of its term, and holds a
** lease at `now`, during which no other member can become leader. */
int pwcons_holds_lease(const pw_cons *c, int64_t now);

/* Time since the last message from a leader, ms; 0 while this member leads. */
int64_t pwcons_silence(const pw_cons *c);

/* On the leader: time since member `id` answered, ms; INT64_MAX if `id` is no
** member. */
int64_t pwcons_peer_silence(const pw_cons *c, uint64_t id);

/* Whether this member leads and member `id` holds every committed entry. */
int pwcons_caught_up(const pw_cons *c, uint64_t id);

void pwcons_config_pack(const pw_cons_config *config, Pw__Config **out);
void pwcons_config_unpack(const Pw__Config *in, pw_cons_config *config);

/* Deep copies, freed by the functions of protobuf-c. */
Pw__Entry *pwcons_copy_entry(const Pw__Entry *e);
Pw__Snapshot *pwcons_copy_snapshot(const Pw__Snapshot *s);

#endif
