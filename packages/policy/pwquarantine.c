/* pwquarantine.c: requests under which targets ended, and which are sent to none any more. */
#include "pwquarantine.h"

#include "pwbuf.h"

#include <assert.h>
#include <stdlib.h>
#include <uthash.h>
#include <xxhash.h>

/* News are told so often: with one datagram in ten lost, one of 100,000 news does not arrive. */
#define TELLINGS 5

/* What is in quarantine is told so often, ms: an instance that starts knows it before it has been
** in touch for the shortest time that anything is asked of it (3 s). */
#define REFRESH_MS 1000

/* A request that was answered counts no ends for so long, ms: what callers ask alike comes again
** within seconds. A request that ends targets since a new version is found so much later. */
#define ANSWERED_MS 10000

/* A request that was answered within PW_QUARANTINE_MS goes back after so long at first, ms, and twice as
** long each time that it ends a target again: what many ask alike must not stay away for minutes after
** a loss of all targets, and it is one more end each time if it is the cause since a new version. */
#define KNOWN_MS 5000

#define ANSWERED_SLOTS 4096 /* requests that are remembered, a power of two */

/* Ends that are worth taking back at other instances: a single one is common, each end leaves it at all
** that ran there, and it does nothing alone. */
#define TAKE_BACK 2

/* An end of the same start that is seen so much later, ms, is another: instances see one within the
** time in which a silent connection is given up (1.5 s). */
#define AGAIN_MS 2000

/* Requests that are kept: an end leaves one for each that ran there, at most 64; 30 ends at once. */
#define CASES_MAX 2048

/* A request under which targets ended, or which was answered after that. */
typedef struct quar_case {
  pw_quar_row row; /* but for its age */
  int64_t at;      /* of the newest end, or of the answer, ms */
  int64_t held_at; /* since when it is in quarantine, ms; 0: it is not ... */
  int64_t hold_ms; /* ... and for how long */
  int holds;       /* quarantines that are over, since it was answered */
  int told;
  int64_t told_at;
  UT_hash_handle hh;
} quar_case;

typedef struct answered {
  uint64_t sign;
  int64_t at;
} answered;

struct pw_quarantine {
  quar_case *cases;
  int held;
  int nnews; /* cases that are news: told less than TELLINGS times */
  int64_t total;
  answered answered[ANSWERED_SLOTS];
};

pw_quarantine *pwquar_new(void) {
  return pw_alloc(sizeof(pw_quarantine));
}

static void drop(pw_quarantine *q, quar_case *c) {
  q->held -= c->held_at != 0;
  q->nnews -= c->told < TELLINGS;
  HASH_DEL(q->cases, c);
  free(c);
}

void pwquar_free(pw_quarantine *q) {
  quar_case *c, *tmp;
  if (!q)
    return;
  HASH_ITER(hh, q->cases, c, tmp) {
    drop(q, c);
  }
  free(q);
}

static quar_case *find(const pw_quarantine *q, uint64_t sign) {
  quar_case *c;
  HASH_FIND(hh, q->cases, &sign, sizeof sign, c);
  return c;
}

/* The oldest gives way; what is in quarantine stays, unless there is nothing else. */
static void make_room(pw_quarantine *q) {
  if (HASH_COUNT(q->cases) < CASES_MAX)
    return;
  quar_case *c = q->cases;
  while (c && c->held_at)
    c = c->hh.next;
  drop(q, c ? c : q->cases);
}

static quar_case *add(pw_quarantine *q, uint64_t sign) {
  make_room(q);
  quar_case *c = pw_alloc(sizeof *c);
  c->row.sign = sign;
  q->nnews++;
  HASH_ADD(hh, q->cases, row.sign, sizeof c->row.sign, c);
  return c;
}

/* --- answers --- */

static answered *slot_of(pw_quarantine *q, uint64_t sign) {
  return &q->answered[sign & (ANSWERED_SLOTS - 1)];
}

static int was_answered(pw_quarantine *q, uint64_t sign, int64_t now) {
  const answered *a = slot_of(q, sign);
  return a->sign == sign && now - a->at < ANSWERED_MS;
}

/* How long it is in quarantine when it comes there after so many times. */
static int64_t hold_of(pw_quarantine *q, uint64_t sign, int holds,
                       int64_t now) {
  const answered *a = slot_of(q, sign);
  if (a->sign != sign || now - a->at >= PW_QUARANTINE_MS)
    return PW_QUARANTINE_MS;
  int64_t ms = KNOWN_MS;
  for (int i = 0; i < holds && ms < PW_QUARANTINE_MS; i++)
    ms *= 2;
  return ms < PW_QUARANTINE_MS ? ms : PW_QUARANTINE_MS;
}

static void make_news(pw_quarantine *q, quar_case *c) {
  q->nnews += c->told >= TELLINGS;
  c->told = 0;
}

static void release(pw_quarantine *q, quar_case *c, int64_t at) {
  c->holds = 0;
  q->held -= c->held_at != 0;
  c->held_at = 0;
  c->row.n = 0;
  c->at = at;
  make_news(q, c);
}

/* It was answered at `at`: ends before that are taken back, at other instances too if there are several. */
static pw_quar_news take_back(pw_quarantine *q, uint64_t sign, int64_t at) {
  quar_case *c = find(q, sign);
  if (!c || c->row.n == 0)
    return PWQUAR_OLD;
  if (c->row.n < TAKE_BACK) {
    drop(q, c);
    return PWQUAR_OLD;
  }
  int was_held = c->held_at != 0;
  release(q, c, at);
  return was_held ? PWQUAR_RELEASED : PWQUAR_OLD;
}

pw_quar_news pwquar_answered(pw_quarantine *q, uint64_t sign, int64_t now) {
  *slot_of(q, sign) = (answered){sign, now};
  return take_back(q, sign, now);
}

/* --- ends --- */

static int has_target(const pw_quar_row *row, uint64_t target) {
  for (int i = 0; i < row->n; i++)
    if (row->target[i] == target)
      return 1;
  return 0;
}

/* Counts a target that was not counted; gives whether it was. */
static int count(pw_quarantine *q, quar_case *c, uint64_t target) {
  if (c->row.n == PW_QUARANTINE_ENDS || has_target(&c->row, target))
    return 0;
  c->row.target[c->row.n++] = target;
  make_news(q, c);
  return 1;
}

static pw_quar_news hold(pw_quarantine *q, quar_case *c, int64_t at) {
  if (c->row.n < PW_QUARANTINE_ENDS || c->held_at)
    return PWQUAR_ENDED;
  c->held_at = at;
  c->hold_ms = hold_of(q, c->row.sign, c->holds, at);
  q->held++;
  return PWQUAR_BEGUN;
}

/* How this end is told apart; the same at every instance that knows of those before it. */
static uint64_t name_of_end(const quar_case *c, uint64_t target, int64_t now) {
  if (!has_target(&c->row, target) || now - c->at < AGAIN_MS)
    return target;
  uint64_t both[2] = {target, (uint64_t)c->row.n};
  return XXH3_64bits(both, sizeof both);
}

pw_quar_news pwquar_ended(pw_quarantine *q, uint64_t sign, uint64_t target,
                          int64_t now) {
  assert(sign);
  if (was_answered(q, sign, now))
    return PWQUAR_OLD;
  quar_case *c = find(q, sign);
  if (!c)
    c = add(q, sign);
  if (!count(q, c, name_of_end(c, target, now)))
    return PWQUAR_OLD;
  q->total++;
  c->at = now;
  return hold(q, c, now);
}

int64_t pwquar_left(const pw_quarantine *q, uint64_t sign, int64_t now) {
  if (!q->held)
    return 0;
  const quar_case *c = find(q, sign);
  if (!c || !c->held_at)
    return 0;
  int64_t left = c->held_at + c->hold_ms - now;
  return left > 0 ? left : 0;
}

int pwquar_ends(const pw_quarantine *q, uint64_t sign) {
  const quar_case *c = find(q, sign);
  return c ? c->row.n : 0;
}

/* --- telling --- */

static int is_due(const quar_case *c, int64_t now) {
  return c->told < TELLINGS || (c->held_at && now - c->told_at >= REFRESH_MS);
}

static pw_quar_row row_of(const quar_case *c, int64_t now) {
  pw_quar_row row = c->row;
  row.age_ms = now - (c->held_at ? c->held_at : c->at);
  return row;
}

static void tell(pw_quarantine *q, quar_case *c, pw_quar_row *row,
                 int64_t now) {
  *row = row_of(c, now);
  c->told_at = now;
  if (c->told >= TELLINGS)
    return;
  c->told++;
  q->nnews -= c->told == TELLINGS;
}

/* Those told least come first, so that many that ended together do not keep news waiting. */
size_t pwquar_tell(pw_quarantine *q, pw_quar_row *row, int64_t now) {
  size_t n = 0;
  if (!q->nnews && !q->held)
    return 0;
  for (int told = 0; told <= TELLINGS && n < PWQUAR_ROWS; told++)
    for (quar_case *c = q->cases; c && n < PWQUAR_ROWS; c = c->hh.next)
      if (c->told == told && c->told_at < now && is_due(c, now))
        tell(q, c, &row[n++], now);
  return n;
}

size_t pwquar_list(const pw_quarantine *q, size_t *at, pw_quar_row *row,
                   int64_t now) {
  size_t n = 0, seen = 0;
  for (const quar_case *c = q->cases; c && n < PWQUAR_ROWS; c = c->hh.next) {
    if (!c->held_at && c->row.n)
      continue;
    if (seen++ < *at)
      continue;
    row[n++] = row_of(c, now);
  }
  *at = n < PWQUAR_ROWS ? 0 : *at + n;
  return n;
}

/* Another instance saw it answered. */
static pw_quar_news hear_answer(pw_quarantine *q, const pw_quar_row *row,
                                int64_t now) {
  answered *a = slot_of(q, row->sign);
  if (a->sign != row->sign || a->at < now - row->age_ms)
    *a = (answered){row->sign, now - row->age_ms};
  return take_back(q, row->sign, now - row->age_ms);
}

/* Whoever told of ends is told that it was answered here. */
static void contradict(pw_quarantine *q, uint64_t sign) {
  quar_case *c = find(q, sign);
  if (!c)
    c = add(q, sign);
  release(q, c, slot_of(q, sign)->at);
}

pw_quar_news pwquar_hear(pw_quarantine *q, const pw_quar_row *row,
                         int64_t now) {
  if (!row->sign || row->n < 0 || row->n > PW_QUARANTINE_ENDS ||
      row->age_ms < 0 || row->age_ms >= PW_QUARANTINE_MS)
    return PWQUAR_OLD;
  if (row->n == 0)
    return hear_answer(q, row, now);
  if (was_answered(q, row->sign, now)) {
    if (row->n >= TAKE_BACK)
      contradict(q, row->sign);
    return PWQUAR_OLD;
  }
  quar_case *c = find(q, row->sign);
  int holds = c ? c->holds : 0;
  if (row->n == PW_QUARANTINE_ENDS &&
      row->age_ms >= hold_of(q, row->sign, holds ? holds - 1 : 0, now))
    return PWQUAR_OLD; /* it is over here */
  if (!c)
    c = add(q, row->sign);
  int more = 0;
  for (int i = 0; i < row->n; i++)
    more += count(q, c, row->target[i]);
  if (!more)
    return PWQUAR_OLD;
  q->total += more;
  c->at = now - row->age_ms;
  return hold(q, c, row->n == PW_QUARANTINE_ENDS ? now - row->age_ms : now);
}

/* --- upkeep --- */

/* Over: it may run again, and one more end is enough. */
static void end_quarantine(pw_quarantine *q, quar_case *c, int64_t now) {
  q->held--;
  c->held_at = 0;
  c->holds++;
  c->row.n = PW_QUARANTINE_ENDS - 1;
  c->at = now;
  q->nnews -= c->told < TELLINGS;
  c->told = TELLINGS;
}

void pwquar_tick(pw_quarantine *q, int64_t now) {
  quar_case *c, *tmp;
  HASH_ITER(hh, q->cases, c, tmp) {
    if (c->held_at && now - c->held_at >= c->hold_ms)
      end_quarantine(q, c, now);
    else if (!c->held_at && now - c->at >= PW_QUARANTINE_MS)
      drop(q, c);
    else if (c->row.n == 0 && now - c->at >= ANSWERED_MS)
      drop(q, c);
  }
}

int pwquar_count(const pw_quarantine *q) {
  return q->held;
}

int64_t pwquar_total(const pw_quarantine *q) {
  return q->total;
}
