/* pwfeed.h: the parent's side of the distribution tree.
**
** Control serves entries, an entry serves its agents. A child says Hello with
** the revision it holds; the parent answers Welcome with what it lacks, and
** sends one unasked when something new is in force. */
#ifndef PWFEED_H
#define PWFEED_H

#include "pwproc.h"
#include "pwres.h"

/* A child, as its last Hello told. */
typedef struct pw_child {
  pw_peer peer;
  char name[PW_NAME_MAX];
  char role[16];
  char availability_zone[PW_NAME_MAX];
  char http[PW_NAME_MAX];
  char target[PW_NAME_MAX]; /* that an agent stands before */
  char behind[PW_NAME_MAX]; /* who below it has the lowest revision */
  uint64_t incarnation;
  uint64_t revision; /* it holds */
  uint64_t sent;     /* it was sent */
  int64_t sent_at;
  uint64_t below_revision; /* lowest in force below, itself included */
  uint32_t below;
  uint32_t entries;
  int64_t clock; /* its clock, to be echoed */
  int64_t heard;
  int stopping;
  struct pw_child *next;
} pw_child;

/* What the parent tells all children. */
typedef struct pw_feed_state {
  int leader;        /* this is the leader, under a lease */
  int64_t touch_age; /* ms since surely in touch with a leader; <0: never */
  const char *leader_wire;
  const char *leader_http;
  uint64_t term;
  uint32_t entries;
  uint64_t group; /* number of the control group; 0: not known yet */
} pw_feed_state;

typedef struct pw_feed pw_feed;

/* Serves `res` through `sock`; children of role agent are sent only what
** agents need, and are in force up to the first change that concerns them. */
pw_feed *pwfeed_new(pw_proc *p, pw_sock *sock, const pw_res *res);
void pwfeed_free(pw_feed *f);

/* A Hello arrived: answers it. pools may be NULL. */
void pwfeed_hello(pw_feed *f, const pw_peer *from, const Pw__Envelope *e,
                  const pw_feed_state *st, Pw__PoolLoad **pools, size_t npools,
                  int64_t now);

/* Something changed: children that lack it are sent it. */
void pwfeed_push(pw_feed *f, const pw_feed_state *st, int64_t now);

/* Drops children that have gone silent, each told of before. */
/* This process could hear nobody for `ms`: no silence of children. */
void pwfeed_excuse(pw_feed *f, int64_t ms);

void pwfeed_expire(pw_feed *f, void (*left)(void *arg, const pw_child *c),
                   void *arg, int64_t now);

/* First child; follow ->next. */
const pw_child *pwfeed_children(const pw_feed *f);

/* Sums up those below: count, lowest revision in force, and who has it. */
typedef struct pw_feed_sum {
  uint32_t count;
  uint32_t entries;
  uint64_t revision;
  char behind[PW_NAME_MAX];
} pw_feed_sum;

/* The children as a JSON list of {name, role, http, ...}; new reference. */
json_t *pwfeed_json(const pw_feed *f, int64_t now);

void pwfeed_sum(const pw_feed *f, uint64_t own_revision, pw_feed_sum *out);

#endif
