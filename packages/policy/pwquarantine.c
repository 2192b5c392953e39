/* pwquarantine.c: requests that crash the targets which run them. */
#include "pwquarantine.h"

#include "pwbuf.h"

#include <assert.h>
#include <stdlib.h>
#include <uthash.h>
#include <xxhash.h>

/* How often a change is sent: with one datagram in ten lost, one change in
** 100,000 does not arrive. */
#define SENDS 5

/* Interval in ms at which requests in quarantine are announced again, so that
** an instance that starts knows them before it gets its first requests, after
** at least 3 s. */
#define REFRESH_MS 1000

/* Time in ms after an answer in which no crash is counted: a request that many
** callers send alike is answered again within seconds. A request that crashes
** targets only since a new version is detected that much later. */
#define ANSWERED_MS 10000

/* First quarantine in ms of a request that was answered within
** PW_QUARANTINE_MS; it doubles each time the request crashes a target again. A
** request that many callers send alike must not be refused for minutes after a
** loss of all targets. If it is the cause after all, since a new version, each
** time costs one more crash. */
#define ANSWERED_QUARANTINE_MS 5000

#define ANSWERED_SLOTS 4096 /* answered requests remembered; a power of two */

/* Crashes from which on an answer that retracts them is announced to the other
** instances. A single crash is common, as each crash counts for all requests
** that the target was running, and has no effect by itself. */
#define RETRACT_LEAST 2

/* A crash of the same incarnation that is seen this many ms later is another
** crash. All instances see one crash within the time after which a silent
** connection is closed (1.5 s). */
#define AGAIN_MS 2000

/* Most cases kept: a crash makes one for each request that the target was
** running, at most 64, so 30 simultaneous crashes fit. */
#define CASES_MAX 2048

/* A request that was running at targets when they crashed, or that was answered
** after that. */
typedef struct quar_case {
  pw_quar_row row;        /* without its age */
  int64_t at;             /* time of the newest crash, or of the answer, ms */
  int64_t quarantined_at; /* start of its quarantine, ms; 0: it is in none */
  int64_t quarantine_ms;  /* length of its quarantine, ms */
  int quarantines; /* quarantines that have ended since it was answered */
  int sends;       /* how often the newest change was sent */
  int64_t sent_at; /* time of the newest send, ms */
  UT_hash_handle hh;
} quar_case;

/* When a request was last answered with success. */
typedef struct answered {
  uint64_t fingerprint;
  int64_t at;
} answered;

struct pw_quarantine {
  quar_case *cases;
  int nquarantined; /* cases in quarantine */
  int nunsent; /* cases whose newest change was sent less than SENDS times */
  int64_t total;
  answered answered[ANSWERED_SLOTS];
};

pw_quarantine *pwquar_new(void) {
  return pw_alloc(sizeof(pw_quarantine));
}

static void drop(pw_quarantine *q, quar_case *c) {
  q->nquarantined -= c->quarantined_at != 0;
  q->nunsent -= c->sends < SENDS;
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

static quar_case *find(const pw_quarantine *q, uint64_t fingerprint) {
  quar_case *c;
  HASH_FIND(hh, q->cases, &fingerprint, sizeof fingerprint, c);
  return c;
}

/* Drops the oldest case that is not in quarantine; without one, the oldest. */
static void make_room(pw_quarantine *q) {
  if (HASH_COUNT(q->cases) < CASES_MAX)
    return;
  quar_case *c = q->cases;
  while (c && c->quarantined_at)
    c = c->hh.next;
  drop(q, c ? c : q->cases);
}

static quar_case *add(pw_quarantine *q, uint64_t fingerprint) {
  make_room(q);
  quar_case *c = pw_alloc(sizeof *c);
  c->row.fingerprint = fingerprint;
  q->nunsent++;
  HASH_ADD(hh, q->cases, row.fingerprint, sizeof c->row.fingerprint, c);
  return c;
}

/* --- answers --- */

static answered *slot_of(pw_quarantine *q, uint64_t fingerprint) {
  return &q->answered[fingerprint & (ANSWERED_SLOTS - 1)];
}

static int was_answered(pw_quarantine *q, uint64_t fingerprint, int64_t now) {
  const answered *a = slot_of(q, fingerprint);
  return a->fingerprint == fingerprint && now - a->at < ANSWERED_MS;
}

/* Length in ms of the next quarantine of a request, after `ended` of them since
** its answer. */
static int64_t quarantine_length(pw_quarantine *q, uint64_t fingerprint,
                                 int ended, int64_t now) {
  const answered *a = slot_of(q, fingerprint);
  if (a->fingerprint != fingerprint || now - a->at >= PW_QUARANTINE_MS)
    return PW_QUARANTINE_MS;
  int64_t ms = ANSWERED_QUARANTINE_MS;
  for (int i = 0; i < ended && ms < PW_QUARANTINE_MS; i++)
    ms *= 2;
  return ms < PW_QUARANTINE_MS ? ms : PW_QUARANTINE_MS;
}

/* Makes a changed case due to be sent to the other instances SENDS times. */
static void mark_changed(pw_quarantine *q, quar_case *c) {
  q->nunsent += c->sends >= SENDS;
  c->sends = 0;
}

static void release(pw_quarantine *q, quar_case *c, int64_t at) {
  c->quarantines = 0;
  q->nquarantined -= c->quarantined_at != 0;
  c->quarantined_at = 0;
  c->row.n = 0;
  c->at = at;
  mark_changed(q, c);
}

/* Retracts the crashes counted before an answer at `at`. If there are several,
** the answer is announced to the other instances. */
static pw_quar_change retract(pw_quarantine *q, uint64_t fingerprint,
                              int64_t at) {
  quar_case *c = find(q, fingerprint);
  if (!c || c->row.n == 0)
    return PWQUAR_UNCHANGED;
  if (c->row.n < RETRACT_LEAST) {
    drop(q, c);
    return PWQUAR_UNCHANGED;
  }
  int was_quarantined = c->quarantined_at != 0;
  release(q, c, at);
  return was_quarantined ? PWQUAR_RELEASED : PWQUAR_UNCHANGED;
}

pw_quar_change pwquar_answered(pw_quarantine *q, uint64_t fingerprint,
                               int64_t now) {
  *slot_of(q, fingerprint) = (answered){fingerprint, now};
  return retract(q, fingerprint, now);
}

/* --- crashes --- */

static int has_target(const pw_quar_row *row, uint64_t target) {
  for (int i = 0; i < row->n; i++)
    if (row->target[i] == target)
      return 1;
  return 0;
}

/* Counts a crash unless it was counted before; returns whether it was new. */
static int count_crash(pw_quarantine *q, quar_case *c, uint64_t target) {
  if (c->row.n == PW_QUARANTINE_CRASHES || has_target(&c->row, target))
    return 0;
  c->row.target[c->row.n++] = target;
  mark_changed(q, c);
  return 1;
}

/* Puts the request in quarantine if enough targets have crashed. */
static pw_quar_change check_quarantine(pw_quarantine *q, quar_case *c,
                                       int64_t at) {
  if (c->row.n < PW_QUARANTINE_CRASHES || c->quarantined_at)
    return PWQUAR_CRASHED;
  c->quarantined_at = at;
  c->quarantine_ms =
      quarantine_length(q, c->row.fingerprint, c->quarantines, at);
  q->nquarantined++;
  return PWQUAR_BEGUN;
}

/* Id of this crash; the same at every instance that knows of the crashes before
** it. */
static uint64_t id_of_crash(const quar_case *c, uint64_t target, int64_t now) {
  if (!has_target(&c->row, target) || now - c->at < AGAIN_MS)
    return target;
  uint64_t both[2] = {target, (uint64_t)c->row.n};
  return XXH3_64bits(both, sizeof both);
}

pw_quar_change pwquar_crashed(pw_quarantine *q, uint64_t fingerprint,
                              uint64_t target, int64_t now) {
  assert(fingerprint);
  if (was_answered(q, fingerprint, now))
    return PWQUAR_UNCHANGED;
  quar_case *c = find(q, fingerprint);
  if (!c)
    c = add(q, fingerprint);
  if (!count_crash(q, c, id_of_crash(c, target, now)))
    return PWQUAR_UNCHANGED;
  q->total++;
  c->at = now;
  return check_quarantine(q, c, now);
}

int64_t pwquar_left(const pw_quarantine *q, uint64_t fingerprint, int64_t now) {
  if (!q->nquarantined)
    return 0;
  const quar_case *c = find(q, fingerprint);
  if (!c || !c->quarantined_at)
    return 0;
  int64_t left = c->quarantined_at + c->quarantine_ms - now;
  return left > 0 ? left : 0;
}

int pwquar_crashes(const pw_quarantine *q, uint64_t fingerprint) {
  const quar_case *c = find(q, fingerprint);
  return c ? c->row.n : 0;
}

/* --- updates between instances --- */

static int is_due(const quar_case *c, int64_t now) {
  return c->sends < SENDS ||
         (c->quarantined_at && now - c->sent_at >= REFRESH_MS);
}

static pw_quar_row row_of(const quar_case *c, int64_t now) {
  pw_quar_row row = c->row;
  row.age_ms = now - (c->quarantined_at ? c->quarantined_at : c->at);
  return row;
}

static void send_row(pw_quarantine *q, quar_case *c, pw_quar_row *row,
                     int64_t now) {
  *row = row_of(c, now);
  c->sent_at = now;
  if (c->sends >= SENDS)
    return;
  c->sends++;
  q->nunsent -= c->sends == SENDS;
}

/* Cases sent least often come first, so that a large number of simultaneous
** crashes does not delay newer changes. */
size_t pwquar_updates(pw_quarantine *q, pw_quar_row *row, int64_t now) {
  size_t n = 0;
  if (!q->nunsent && !q->nquarantined)
    return 0;
  for (int sends = 0; sends <= SENDS && n < PWQUAR_ROWS; sends++)
    for (quar_case *c = q->cases; c && n < PWQUAR_ROWS; c = c->hh.next)
      if (c->sends == sends && c->sent_at < now && is_due(c, now))
        send_row(q, c, &row[n++], now);
  return n;
}

size_t pwquar_list(const pw_quarantine *q, size_t *at, pw_quar_row *row,
                   int64_t now) {
  size_t n = 0, seen = 0;
  for (const quar_case *c = q->cases; c && n < PWQUAR_ROWS; c = c->hh.next) {
    if (!c->quarantined_at && c->row.n)
      continue;
    if (seen++ < *at)
      continue;
    row[n++] = row_of(c, now);
  }
  *at = n < PWQUAR_ROWS ? 0 : *at + n;
  return n;
}

/* Applies an answer that another instance announced. */
static pw_quar_change receive_answer(pw_quarantine *q, const pw_quar_row *row,
                                     int64_t now) {
  answered *a = slot_of(q, row->fingerprint);
  if (a->fingerprint != row->fingerprint || a->at < now - row->age_ms)
    *a = (answered){row->fingerprint, now - row->age_ms};
  return retract(q, row->fingerprint, now - row->age_ms);
}

/* Announces that the request was answered here, in reply to a row with crashes
** from another instance. */
static void contradict(pw_quarantine *q, uint64_t fingerprint) {
  quar_case *c = find(q, fingerprint);
  if (!c)
    c = add(q, fingerprint);
  release(q, c, slot_of(q, fingerprint)->at);
}

pw_quar_change pwquar_receive(pw_quarantine *q, const pw_quar_row *row,
                              int64_t now) {
  if (!row->fingerprint || row->n < 0 || row->n > PW_QUARANTINE_CRASHES ||
      row->age_ms < 0 || row->age_ms >= PW_QUARANTINE_MS)
    return PWQUAR_UNCHANGED;
  if (row->n == 0)
    return receive_answer(q, row, now);
  if (was_answered(q, row->fingerprint, now)) {
    if (row->n >= RETRACT_LEAST)
      contradict(q, row->fingerprint);
    return PWQUAR_UNCHANGED;
  }
  quar_case *c = find(q, row->fingerprint);
  int ended = c ? c->quarantines : 0;
  if (row->n == PW_QUARANTINE_CRASHES &&
      row->age_ms >=
          quarantine_length(q, row->fingerprint, ended ? ended - 1 : 0, now))
    return PWQUAR_UNCHANGED; /* the quarantine has ended here */
  if (!c)
    c = add(q, row->fingerprint);
  int added = 0;
  for (int i = 0; i < row->n; i++)
    added += count_crash(q, c, row->target[i]);
  if (!added)
    return PWQUAR_UNCHANGED;
  q->total += added;
  c->at = now - row->age_ms;
  return check_quarantine(
      q, c, row->n == PW_QUARANTINE_CRASHES ? now - row->age_ms : now);
}

/* --- expiry --- */

/* The request may run again, and one more crash begins the next quarantine. */
static void end_quarantine(pw_quarantine *q, quar_case *c, int64_t now) {
  q->nquarantined--;
  c->quarantined_at = 0;
  c->quarantines++;
  c->row.n = PW_QUARANTINE_CRASHES - 1;
  c->at = now;
  q->nunsent -= c->sends < SENDS;
  c->sends = SENDS;
}

void pwquar_tick(pw_quarantine *q, int64_t now) {
  quar_case *c, *tmp;
  HASH_ITER(hh, q->cases, c, tmp) {
    if (c->quarantined_at && now - c->quarantined_at >= c->quarantine_ms)
      end_quarantine(q, c, now);
    else if (!c->quarantined_at && now - c->at >= PW_QUARANTINE_MS)
      drop(q, c);
    else if (c->row.n == 0 && now - c->at >= ANSWERED_MS)
      drop(q, c);
  }
}

int pwquar_count(const pw_quarantine *q) {
  return q->nquarantined;
}

int64_t pwquar_total(const pw_quarantine *q) {
  return q->total;
}
