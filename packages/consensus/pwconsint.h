/* pwconsint.h: state of one member, for pwcons.c, pwelect.c and pwrepl.c alone.
 */
#ifndef PWCONSINT_H
#define PWCONSINT_H

#include "pwcons.h"
#include "pwconslog.h"

/* Entries in one append, and entries sent ahead of their acknowledgement. */
#define BATCH_MAX 256
#define AHEAD_MAX 4096

/* A lease ends this share earlier for its holder, to allow for clock drift. */
#define LEASE_NUM 9
#define LEASE_DEN 10

/* Deliberate faults for the tests that must catch them; see Makefile. */
#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_OLD_TERM_COMMIT = 1, /* counts entries of older terms */
  MUT_EMPTY_VOTES = 2,     /* grants votes without comparing logs */
  MUT_VOTE_TWICE = 3,      /* forgets whom it voted for */
  MUT_LEARNER_COUNTS = 4,  /* a learner counts in quorums */
  MUT_SMALL_QUORUM = 5,    /* half of the voters are enough */
  MUT_NO_TRUNCATE = 6,     /* keeps a conflicting tail */
  MUT_LEASE_FOREVER = 7,   /* holds the lease as long as it leads */
  MUT_BIG_CHANGE = 8,      /* changes several voters at once */
  MUT_SKIP_TERM_SYNC = 9,  /* speaks of a term that is not stored */
  MUT_COMMIT_AHEAD = 10,   /* follower commits past what it matched */
  MUT_FRESH_QUORUM = 28,   /* a quorum that has just started is enough */
  MUT_FRESH_LEADER = 29    /* a leader says that it has just started */
};

/* Values of `hint` in questions for votes and their answers. */
enum {
  HINT_TRANSFER = 1, /* the leader has handed over */
  HINT_NO_LEASE = 2  /* nobody can hold a lease: all voters are new */
};

typedef struct pw_progress {
  uint64_t id;
  uint64_t match;
  uint64_t next;
  int64_t heard;   /* when it last answered, ms */
  int64_t round;   /* newest send time it has echoed, ms */
  int64_t snap_at; /* when it was last sent a snapshot, ms */
  int granted;     /* vote or pre-vote */
  int is_new;      /* it answered that it is new, after this life began */
} pw_progress;

typedef struct pw_outbox {
  Pw__Cons **m;
  size_t n;
  size_t cap;
} pw_outbox;

struct pw_cons {
  uint64_t id;
  uint64_t seed;
  uint64_t draws;
  int64_t now;
  int64_t heartbeat, retry, lease;
  size_t batch;

  uint64_t term;
  uint64_t vote;
  pw_cons_log log;
  uint64_t commit;
  uint64_t applied;
  uint64_t synced; /* last index on the disk */
  int hard_dirty;
  int install_dirty;

  pw_cons_role role;
  uint64_t leader;
  pw_cons_config config;
  uint64_t config_index;
  int64_t heard_leader;
  int is_new;    /* it has neither led nor heard of a leader in this life */
  uint64_t life; /* drawn at the start, tells this life from others */
  int64_t election_at;
  int64_t beat_at;
  int64_t since; /* when the role was taken */
  int transferring;
  uint64_t noop_index;
  pw_progress peer[PWCONS_MEMBERS];
  int npeers;

  pw_outbox early, late;
  Pw__Entry **fresh; /* view handed out by pwcons_ready */
  uint64_t ready_last;
  uint64_t ready_term; /* term of entry ready_last when it was handed out */
};

/* Whether id votes. */
int pwci_is_voter(const pw_cons *c, uint64_t id);

/* How many voters make a quorum. */
int pwci_quorum(const pw_cons *c);

/* Progress of a member, or NULL. */
pw_progress *pwci_peer_of(pw_cons *c, uint64_t id);

/* Takes the configuration from the log anew. */
void pwci_reload_config(pw_cons *c);

/* Draws when the next election may start: one to one and a half leases from now. */
void pwci_plan_election(pw_cons *c);

/* The same for who has just asked. To ask whether votes could be had changes nothing
** anywhere, so that is done again soon: after a start voters may have promised a lease
** that ends any moment. Votes that were split are asked for again a little later. */
void pwci_plan_again(pw_cons *c, int pre);

/* Adds a message to an outbox; it is filled by the caller. */
Pw__Cons *pwci_send(pw_cons *c, pw_outbox *box, pw_cons_type type, uint64_t to);

/* Follows, in a newer term if that is given. */
void pwci_become_follower(pw_cons *c, uint64_t term, uint64_t leader);

/* Asks for votes, or first whether there would be any; `hint` goes with the question. */
void pwci_campaign(pw_cons *c, int pre, int hint);

/* A member asks whether it would get a vote. */
void pwci_on_prevote(pw_cons *c, const Pw__Cons *m);

/* A member asks for a vote. */
void pwci_on_vote(pw_cons *c, const Pw__Cons *m);

/* An answer to one of those. */
void pwci_on_vote_reply(pw_cons *c, const Pw__Cons *m, int pre);

/* Sends a member entries, or a snapshot. */
void pwci_send_append(pw_cons *c, pw_progress *p);

/* Sends every other member what it lacks, or a heartbeat. */
void pwci_broadcast(pw_cons *c);

/* Appends an entry of the own term. */
void pwci_append_own(pw_cons *c, pw_cons_kind kind, const void *data,
                     size_t len);

/* Commits what a quorum holds on disk. */
void pwci_advance_commit(pw_cons *c);

/* Entries or a heartbeat of a leader. */
void pwci_on_append(pw_cons *c, const Pw__Cons *m);

/* A snapshot of a leader. */
void pwci_on_snapshot(pw_cons *c, const Pw__Cons *m);

/* An answer to one of those. */
void pwci_on_append_reply(pw_cons *c, const Pw__Cons *m);

#endif
