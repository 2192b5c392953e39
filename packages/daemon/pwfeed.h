/* pwfeed.h: the parent's side of the distribution tree.
**
** Control instances are parents of entries, and an entry is the parent of
** its agents. A child sends a Hello with its revision of the resources. The
** parent answers with a Welcome that has the changes since, and also sends a
** Welcome on its own when resources change. */
#ifndef PWFEED_H
#define PWFEED_H

#include "pwproc.h"
#include "pwres.h"

/* A child, by its last Hello. */
typedef struct pw_child {
  pw_peer peer;
  char name[PW_NAME_MAX];
  char role[16];
  char availability_zone[PW_NAME_MAX];
  char http[PW_NAME_MAX];
  char target[PW_NAME_MAX]; /* the target of an agent; else "" */
  char behind[PW_NAME_MAX]; /* process below it with the lowest revision */
  uint64_t incarnation;
  uint64_t revision;       /* of its resources */
  uint64_t sent;           /* revision last sent to it */
  int64_t sent_at;         /* when that was sent, ms */
  uint64_t below_revision; /* lowest in force at it and the processes below */
  uint32_t below;          /* number of these processes */
  uint32_t entries;        /* entries among them */
  int64_t clock;           /* its clock, which the Welcome returns to it */
  int64_t last_hello_at;   /* time of its last Hello, ms */
  int stopping;            /* it is about to end */
  struct pw_child *next;
} pw_child;

/* The state of the control group, which each Welcome contains. */
typedef struct pw_feed_state {
  int leader; /* the parent is the leader and holds the lease */
  /* ms since the last certain contact with a leader; <0: there was none */
  int64_t touch_age;
  const char *leader_wire;
  const char *leader_http;
  uint64_t term;
  uint32_t entries;
  uint64_t group; /* id of the control group; 0: not known yet */
} pw_feed_state;

typedef struct pw_feed pw_feed;

/* Serves the resources `res` through `sock`. Agents get only the resources that
** they need. They count as up to date until a change concerns them. */
pw_feed *pwfeed_new(pw_proc *p, pw_sock *sock, const pw_res *res);
void pwfeed_free(pw_feed *f);

/* Handles a child's Hello and answers it with a Welcome. `pools` may be
** NULL. */
void pwfeed_hello(pw_feed *f, const pw_peer *from, const Pw__Envelope *e,
                  const pw_feed_state *st, Pw__PoolLoad **pools, size_t npools,
                  int64_t now);

/* Sends a Welcome to each child that lacks a change which concerns it. */
void pwfeed_push(pw_feed *f, const pw_feed_state *st, int64_t now);

/* Discounts a stall of this process of `ms`: it could receive nothing, so this
** time does not count as the children's silence. */
void pwfeed_discount_stall(pw_feed *f, int64_t ms);

/* Drops children that have been silent for PW_CHILD_KEEP, and stopping ones
** after PW_PARENT_LOST. Calls `left` for each before it is freed. */
void pwfeed_expire(pw_feed *f, void (*left)(void *arg, const pw_child *c),
                   void *arg, int64_t now);

/* The first child; follow ->next for the others. */
const pw_child *pwfeed_children(const pw_feed *f);

/* Summary of this process and all processes below it. */
typedef struct pw_feed_sum {
  uint32_t count;           /* processes, this one included */
  uint32_t entries;         /* entries below */
  uint64_t revision;        /* lowest in force */
  char behind[PW_NAME_MAX]; /* name of a process that has it */
} pw_feed_sum;

/* Returns the children as a JSON list of {name, role, http, ...}, as a new
** reference. */
json_t *pwfeed_json(const pw_feed *f, int64_t now);

/* Sums up the children. `own_revision` is the revision of this process. */
void pwfeed_sum(const pw_feed *f, uint64_t own_revision, pw_feed_sum *out);

#endif
