/* pwconsint.h: private state of one member, for pwcons.c, pwelect.c and
** pwrepl.c. */
#ifndef PWCONSINT_H
#define PWCONSINT_H

#include "pwcons.h"
#include "pwconslog.h"

/* Most entries in one append, and most entries sent to a member that it has not
** acknowledged. */
#define BATCH_MAX 256
#define UNACKED_MAX 4096

/* The holder of a lease uses only this fraction of it, to allow for clock
** drift. */
#define LEASE_NUM 9
#define LEASE_DEN 10

/* Deliberate faults, which tests must detect; see Makefile. */
#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_OLD_TERM_COMMIT = 1, /* counts entries of older terms */
  MUT_EMPTY_VOTES = 2,     /* grants votes without comparing logs */
  MUT_VOTE_TWICE = 3,      /* votes for several candidates in one term */
  MUT_LEARNER_COUNTS = 4,  /* a learner counts in quorums */
  MUT_SMALL_QUORUM = 5,    /* half of the voters make a quorum */
  MUT_NO_TRUNCATE = 6,     /* keeps a conflicting tail */
  MUT_LEASE_FOREVER = 7,   /* holds the lease as long as it leads */
  MUT_BIG_CHANGE = 8,      /* changes several voters at once */
  MUT_SKIP_TERM_SYNC = 9,  /* sends a term before it is stored */
  MUT_COMMIT_AHEAD = 10,   /* commits entries that may not match the leader's */
  MUT_FRESH_QUORUM = 28,   /* ignores leases when only a quorum is new */
  MUT_FRESH_LEADER = 29,   /* a leader claims to be new */
  MUT_COMMIT_ANY_TERM = 61, /* ignores the term of an entry that is stated to be
                            ** committed */
  MUT_NEVER_YIELD = 68      /* grants pre-votes to every candidate */
};

/* Values of `hint` in vote and pre-vote requests and their replies. */
enum {
  HINT_TRANSFER = 1, /* request: the leader has transferred its leadership */
  HINT_NO_LEASE = 2  /* request: all voters are new, so no lease exists; reply:
                     ** the sender is new and lets the candidate go first */
};

typedef struct pw_progress {
  uint64_t id;
  uint64_t match;           /* highest index known to be on its disk */
  uint64_t next;            /* next index to send */
  int64_t replied_at;       /* time of its last reply, ms */
  int64_t echoed;           /* newest send time that a reply of it echoed, ms */
  int64_t snapshot_sent_at; /* ms */
  int granted;              /* it granted the vote or pre-vote */
  int is_new; /* it replied to this incarnation of the process that it is new */
} pw_progress;

typedef struct pw_outbox {
  Pw__Cons **m;
  size_t n;
  size_t cap;
} pw_outbox;

struct pw_cons {
  uint64_t id;
  uint64_t seed;
  uint64_t draws; /* random numbers drawn so far */
  int64_t now;
  int64_t heartbeat, retry, lease; /* as in pw_cons_setup, ms */
  size_t batch;

  uint64_t term;
  uint64_t vote;
  pw_cons_log log;
  uint64_t commit;
  uint64_t applied;
  uint64_t synced;       /* last index on the disk */
  uint64_t stated_index; /* highest entry that was stated to be committed, */
  uint64_t stated_term;  /* and its term; it may not be in this log yet */
  int hard_dirty;        /* term or vote must be stored */
  int install_dirty;     /* a received snapshot must be stored */

  pw_cons_role role;
  uint64_t leader;
  pw_cons_config config;
  uint64_t config_index;
  int64_t leader_contact_at; /* time of the last message from a leader, ms */
  int is_new; /* since its start it has not led, nor got a message of a leader */
  uint64_t incarnation; /* random number, drawn at the start */
  int64_t election_at;  /* the next election or retry starts then */
  int64_t heartbeat_at; /* the next heartbeat is due then */
  int64_t since;        /* start of the role, or of a leadership transfer */
  int transferring;     /* a leadership transfer is in progress */
  uint64_t noop_index;  /* first entry of this leader's term */
  pw_progress peer[PWCONS_MEMBERS];
  int npeers;

  pw_outbox early, late;
  Pw__Entry **unsynced; /* entries that pwcons_ready returned */
  uint64_t ready_last;  /* last index at that time */
  uint64_t ready_term;  /* term of entry ready_last at that time */
};

/* Whether member `id` is a voter. */
int pwci_is_voter(const pw_cons *c, uint64_t id);

/* The number of voters that make a quorum. */
int pwci_quorum(const pw_cons *c);

/* Replication progress of a member, or NULL. */
pw_progress *pwci_peer_of(pw_cons *c, uint64_t id);

/* Reloads the configuration from the log. */
void pwci_reload_config(pw_cons *c);

/* Resets the election timer to one to one and a half leases from now. */
void pwci_reset_election_timer(pw_cons *c);

/* Sets the election timer of a member that has just campaigned. A pre-vote (`pre`) changes no
** state, so it is retried soon: after a start, voters may still honour a lease that is about to
** end. An election is retried later, since its votes may have been split. */
void pwci_set_retry_timer(pw_cons *c, int pre);

/* Adds a message to an outbox, for the caller to fill in. */
Pw__Cons *pwci_send(pw_cons *c, pw_outbox *box, pw_cons_type type, uint64_t to);

/* Becomes a follower, in `term` if that is newer. */
void pwci_become_follower(pw_cons *c, uint64_t term, uint64_t leader);

/* Starts a pre-vote (`pre`) or an election; `hint` goes into the requests. */
void pwci_campaign(pw_cons *c, int pre, int hint);

/* Handles a pre-vote request. */
void pwci_on_prevote(pw_cons *c, const Pw__Cons *m);

/* Handles a vote request. */
void pwci_on_vote(pw_cons *c, const Pw__Cons *m);

/* Handles a reply to a pre-vote (`pre`) or vote request. */
void pwci_on_vote_reply(pw_cons *c, const Pw__Cons *m, int pre);

/* Sends a member the next entries, or a snapshot if they are compacted. */
void pwci_send_append(pw_cons *c, pw_progress *p);

/* Sends every other member an append, which is a heartbeat if it has no entries. */
void pwci_broadcast(pw_cons *c);

/* Appends an entry of the current term to the leader's log. */
void pwci_append_own(pw_cons *c, pw_cons_kind kind, const void *data,
                     size_t len);

/* Raises the commit index to what a quorum holds on disk. */
void pwci_advance_commit(pw_cons *c);

/* Handles entries or a heartbeat from a leader. */
void pwci_on_append(pw_cons *c, const Pw__Cons *m);

/* Handles the statement that an entry is committed. */
void pwci_on_committed(pw_cons *c, const Pw__Cons *m);

/* Handles a snapshot from a leader. */
void pwci_on_snapshot(pw_cons *c, const Pw__Cons *m);

/* Handles a reply to an append or a snapshot. */
void pwci_on_append_reply(pw_cons *c, const Pw__Cons *m);

#endif
