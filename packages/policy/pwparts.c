/* pwparts.c: parts of prompts that crash the targets which answer them. */
#include "pwpartrow.h"

#include "pwbuf.h"
#include "pwlimits.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_BLAME_EACH_PART = 70,    /* no part explains the crashes of another */
  MUT_REFUSE_HALF_A_PAIR = 71, /* one of two parts alike is enough */
  MUT_KEEP_AFTER_ANSWER = 72   /* an answer retracts nothing */
};

/* Crashes, one by one, from which on a part is refused. Fewer suffice if it was
** not answered lately while other prompts were: then nothing speaks for it. */
#define CRASHES_TO_REFUSE 5
#define CRASHES_IF_UNKNOWN 3

/* How long crashes are kept, ms. Of a part that was answered within
** PW_QUARANTINE_MS they are kept for a shorter time: it is probably needed, and
** may be harmless again with the next version of the targets. */
#define KEEP_MS PW_QUARANTINE_MS
#define KEEP_ANSWERED_MS 60000

#define ANSWERED_SLOTS 4096 /* answered parts remembered; a power of two */

/* Largest update in bytes, and what a row and a crash take of it. */
#define UPDATE_BYTES 1250
#define ROW_BYTES 28
#define CRASH_BYTES 16

/* How often a change is sent, as datagrams get lost, and the interval in ms at
** which refused parts are sent again, for instances that have just started. */
#define SENDS 4
#define REFRESH_MS 1000

/* Crashes from which on a part that was answered lately is sent to others, and
** from which on an answer that retracts some is. */
#define SEND_ANSWERED_LEAST 2

/* How long others are told, ms, that a part with crashes was answered. */
#define HARMLESS_MS 10000

/* Most parts with crashes that are kept. A crash leaves one for each part of
** the up to 64 requests that ran there. */
#define CASES_MAX 1024

/* Crashes that are remembered, whichever parts the targets had. */
#define RECENT_MAX 512

/* Most bits of forgotten targets that still tell one target from another. */
#define FORGOTTEN_MAX 32

/* Most parts that are compared with each other to find which one is to blame.
*/
#define SUSPECTS_MAX 64

/* A part during whose answers targets crashed. */
typedef struct part_case {
  /* `answered` is kept in the slots; are_others_answered says what other
  ** instances know. */
  pw_part_row row;
  int64_t answers_before; /* of all prompts, before its first crash */
  uint64_t forgotten;     /* bits of targets for which the row had no room */
  int is_refused;
  int is_reported; /* is_refused when it was last reported as a change */
  int sends;       /* how often the newest change was sent */
  int64_t sent_at; /* time of the newest send, ms */
  UT_hash_handle hh;
} part_case;

/* When a part was last answered with success. */
typedef struct answered {
  uint64_t key;
  int64_t at;
} answered;

struct pw_parts {
  part_case *cases;
  int nunsent;
  int nchanged;      /* cases whose change is to be reported */
  int must_evaluate; /* crashes or answers came since the last evaluation */
  int awaits_answer; /* an answer of any prompt may make a part refused */
  int64_t answers;   /* prompts that were answered at this instance */
  pw_part_crash recent[RECENT_MAX]; /* seen here or told; `sent` is unused */
  int next_recent;
  part_case *refused[SUSPECTS_MAX];
  int nrefused;
  answered answered[ANSWERED_SLOTS];
};

pw_parts *pwparts_new(void) {
  return pw_alloc(sizeof(pw_parts));
}

uint64_t pwparts_key(const char *workspace, uint64_t id) {
  uint64_t both[2] = {XXH3_64bits(workspace, strlen(workspace)), id};
  uint64_t key = XXH3_64bits(both, sizeof both);
  return key ? key : 1;
}

/* --- cases --- */

static part_case *find(const pw_parts *q, uint64_t key) {
  part_case *c;
  HASH_FIND(hh, q->cases, &key, sizeof key, c);
  return c;
}

static int is_many(const part_case *c) {
  return c->row.n >= CRASHES_IF_UNKNOWN;
}

static void drop(pw_parts *q, part_case *c) {
  q->nunsent -= c->sends < SENDS;
  q->nchanged -= c->is_refused != c->is_reported;
  q->must_evaluate = 1; /* it may be among the refused ones */
  HASH_DEL(q->cases, c);
  free(c);
}

void pwparts_free(pw_parts *q) {
  part_case *c, *tmp;
  if (!q)
    return;
  HASH_ITER(hh, q->cases, c, tmp) {
    drop(q, c);
  }
  free(q);
}

/* Drops the oldest case with one crash; without one, the oldest that is not
** refused; without one, the oldest. */
static void make_room(pw_parts *q) {
  part_case *c, *other = NULL;
  if (HASH_COUNT(q->cases) < CASES_MAX)
    return;
  for (c = q->cases; c && c->row.n > 1; c = c->hh.next)
    if (!other && !c->is_refused)
      other = c;
  if (!c)
    c = other ? other : q->cases;
  drop(q, c);
}

static part_case *find_or_add(pw_parts *q, uint64_t key) {
  part_case *c = find(q, key);
  if (c)
    return c;
  make_room(q);
  c = pw_alloc(sizeof *c);
  c->row.key = key;
  c->sends = SENDS; /* no change to send yet */
  HASH_ADD(hh, q->cases, row.key, sizeof c->row.key, c);
  return c;
}

/* Makes a changed case due to be sent to the other instances SENDS times. */
static void mark_changed(pw_parts *q, part_case *c) {
  q->nunsent += c->sends >= SENDS;
  c->sends = 0;
  q->must_evaluate = 1;
}

/* --- answers --- */

static answered *slot_of(pw_parts *q, uint64_t key) {
  return &q->answered[key & (ANSWERED_SLOTS - 1)];
}

/* When the part was last answered, ms; 0: not known. */
static int64_t answered_at(pw_parts *q, uint64_t key) {
  const answered *a = slot_of(q, key);
  return a->key == key ? a->at : 0;
}

static int was_answered_lately(pw_parts *q, uint64_t key, int64_t now) {
  int64_t at = answered_at(q, key);
  return at && now - at < PW_QUARANTINE_MS;
}

/* Retracts the crashes of a part before an answer. Only what was worth telling
** others is retracted there. */
static void retract(pw_parts *q, part_case *c, int64_t at) {
  int was_alone = c->row.n == 1;
  if (PW_MUTATION == MUT_KEEP_AFTER_ANSWER ||
      pwpartrow_drop_until(&c->row, at) == 0)
    return;
  if (was_alone)
    drop(q, c);
  else
    mark_changed(q, c);
}

void pwparts_answered(pw_parts *q, const pw_part_list *parts, int64_t now) {
  if (parts->n == 0)
    return;
  for (int i = 0; i < parts->n; i++) {
    *slot_of(q, parts->key[i]) = (answered){parts->key[i], now};
    part_case *c = q->cases ? find(q, parts->key[i]) : NULL;
    if (c)
      retract(q, c, now);
  }
  q->answers++;
  q->must_evaluate |= q->awaits_answer;
}

/* --- crashes --- */

/* A single crash of a part that was answered lately is not: each crash leaves
** one for every part of what ran there. */
static int is_worth_sending(pw_parts *q, const part_case *c, int64_t now) {
  return c->row.n >= SEND_ANSWERED_LEAST ||
         !was_answered_lately(q, c->row.key, now);
}

/* A bit for each of some targets, which others may share. */
static uint64_t bit_of(const pw_part_crash *crash) {
  return UINT64_C(1) << (crash->target % 64);
}

static void add_crash(pw_parts *q, uint64_t key, const pw_part_crash *crash) {
  part_case *c = find_or_add(q, key);
  if (c->row.n == 0) {
    c->answers_before = q->answers;
    c->forgotten = 0;
    c->row.are_others_answered = 0;
  }
  if (pwpartrow_merge(&c->row, crash))
    return;
  if (c->row.n == PWPARTS_CRASHES) {
    pw_part_crash forgotten = pwpartrow_forget(&c->row);
    c->forgotten |= bit_of(&forgotten);
  }
  pwpartrow_insert(&c->row, crash);
  q->must_evaluate = 1;
  if (is_worth_sending(q, c, crash->crashed))
    mark_changed(q, c);
}

/* Remembers that the target crashed, whichever parts it had. */
static void note_recent(pw_parts *q, const pw_part_crash *crash) {
  for (int i = 0; i < RECENT_MAX; i++)
    if (pwpartrow_is_one_crash(&q->recent[i], crash))
      return;
  q->recent[q->next_recent] = *crash;
  q->next_recent = (q->next_recent + 1) % RECENT_MAX;
}

void pwparts_crashed(pw_parts *q, const pw_part_list *parts,
                     const pw_part_crash *crash) {
  note_recent(q, crash);
  for (int i = 0; i < parts->n; i++)
    add_crash(q, parts->key[i], crash);
}

/* --- which parts are to blame --- */

static int have_same_crashes(const part_case *a, const part_case *b) {
  return pwpartrow_has_all(&a->row, &b->row) &&
         pwpartrow_has_all(&b->row, &a->row);
}

/* Whether `a` explains the crashes that it shares with `b` better than `b`
** does: nothing speaks for `a`, or it was there in more crashes. */
static int is_more_suspect(pw_parts *q, const part_case *a, const part_case *b,
                           int64_t now) {
  int a_answered = was_answered_lately(q, a->row.key, now);
  int b_answered = was_answered_lately(q, b->row.key, now);
  if (a_answered != b_answered)
    return b_answered;
  return pwpartrow_has_all(&a->row, &b->row) && !have_same_crashes(a, b);
}

/* Whether prompts without the part were answered since its first crash. Answers
** of its own would have retracted that crash. */
static int are_others_answered(const pw_parts *q, const part_case *c) {
  return c->row.are_others_answered || q->answers > c->answers_before;
}

static int is_enough(pw_parts *q, const part_case *c, int crashes,
                     int64_t now) {
  int others = are_others_answered(q, c);
  if (was_answered_lately(q, c->row.key, now))
    return others && crashes >= CRASHES_TO_REFUSE;
  return crashes >= (others ? CRASHES_IF_UNKNOWN : CRASHES_TO_REFUSE);
}

/* Whether the target may have had the part, as far as the case remembers. The
** bits of many targets would say so of any. */
static int may_have_had_part(const part_case *c, const pw_part_crash *crash) {
  int is_known = __builtin_popcountll(c->forgotten) <= FORGOTTEN_MAX &&
                 (c->forgotten & bit_of(crash));
  return is_known || pwpartrow_has(&c->row, crash);
}

/* Whether a target without the part crashed at the same moment. */
static int is_coincident(const pw_parts *q, const part_case *c,
                         const pw_part_crash *crash) {
  for (int i = 0; i < RECENT_MAX; i++) {
    const pw_part_crash *other = &q->recent[i];
    int64_t between = crash->crashed - other->crashed;
    if (other->target && between <= PWPARTS_COINCIDENT_MS &&
        between >= -PWPARTS_COINCIDENT_MS && !may_have_had_part(c, other))
      return 1;
  }
  return 0;
}

/* The crashes of a part that prove nothing, a bit each. Once it is refused, it has
** no more crashes, and those of others that are told late do not release it. */
static unsigned coincident(const pw_parts *q, const part_case *c) {
  unsigned bits = 0;
  for (int i = 0; i < c->row.n && !c->is_refused; i++)
    bits |= (unsigned)is_coincident(q, c, &c->row.crash[i]) << i;
  return bits;
}

/* The crashes of suspect[i] that more suspect parts explain, a bit each. */
static unsigned explained(pw_parts *q, part_case *const *suspect, int n, int i,
                          int64_t now) {
  unsigned bits = 0;
  const pw_part_row *r = &suspect[i]->row;
  for (int j = 0; j < n; j++) {
    if (j == i || !is_more_suspect(q, suspect[j], suspect[i], now) ||
        PW_MUTATION == MUT_BLAME_EACH_PART)
      continue;
    for (int k = 0; k < r->n; k++)
      bits |= (unsigned)pwpartrow_has(&suspect[j]->row, &r->crash[k]) << k;
  }
  return bits;
}

static void set_refused(pw_parts *q, part_case *c, int is_refused) {
  q->nchanged -= c->is_refused != c->is_reported;
  c->is_refused = is_refused;
  q->nchanged += c->is_refused != c->is_reported;
  if (is_refused)
    q->refused[q->nrefused++] = c;
}

/* Whether a part has enough crashes to be refused, but for those that prove
** nothing, of which `ignored` gets a bit each. */
static int is_suspect(pw_parts *q, const part_case *c, int64_t now,
                      unsigned *ignored) {
  if (!is_many(c) || !is_enough(q, c, pwpartrow_count_apart(&c->row, 0), now))
    return 0;
  *ignored = coincident(q, c);
  return is_enough(q, c, pwpartrow_count_apart(&c->row, *ignored), now);
}

/* Decides anew which parts are refused. */
static void evaluate(pw_parts *q, int64_t now) {
  part_case *suspect[SUSPECTS_MAX];
  unsigned ignored[SUSPECTS_MAX];
  int n = 0;
  if (!q->must_evaluate)
    return;
  q->must_evaluate = q->awaits_answer = 0;
  q->nrefused = 0;
  for (part_case *c = q->cases; c; c = c->hh.next) {
    q->awaits_answer |= is_many(c) && !are_others_answered(q, c);
    if (n < SUSPECTS_MAX && is_suspect(q, c, now, &ignored[n]))
      suspect[n++] = c;
    else if (c->is_refused)
      set_refused(q, c, 0);
  }
  for (int i = 0; i < n; i++) {
    ignored[i] |= explained(q, suspect, n, i, now);
    int left = pwpartrow_count_apart(&suspect[i]->row, ignored[i]);
    set_refused(q, suspect[i], is_enough(q, suspect[i], left, now));
  }
}

/* --- refusals --- */

static int index_of(const pw_part_list *parts, uint64_t key) {
  for (int i = 0; i < parts->n; i++)
    if (parts->key[i] == key)
      return i;
  return -1;
}

/* Whether the prompt has all parts that cannot be told apart from `c`. */
static int has_all_like(const pw_parts *q, const part_case *c,
                        const pw_part_list *parts) {
  for (int i = 0; i < q->nrefused; i++)
    if (index_of(parts, q->refused[i]->row.key) < 0 &&
        have_same_crashes(c, q->refused[i]) &&
        PW_MUTATION != MUT_REFUSE_HALF_A_PAIR)
      return 0;
  return 1;
}

static int64_t keep_ms(pw_parts *q, uint64_t key, int64_t now) {
  return was_answered_lately(q, key, now) ? KEEP_ANSWERED_MS : KEEP_MS;
}

pw_part_refusal pwparts_refusal(pw_parts *q, const pw_part_list *parts,
                                int64_t now) {
  evaluate(q, now);
  for (int i = 0; i < q->nrefused; i++) {
    const part_case *c = q->refused[i];
    int at = index_of(parts, c->row.key);
    if (at < 0 || !has_all_like(q, c, parts))
      continue;
    int64_t left = c->row.crash[0].crashed + keep_ms(q, c->row.key, now) - now;
    return (pw_part_refusal){at, c->row.n, left > 0 ? left : 1};
  }
  return (pw_part_refusal){0};
}

int pwparts_count(pw_parts *q, int64_t now) {
  evaluate(q, now);
  return q->nrefused;
}

size_t pwparts_cases(const pw_parts *q) {
  return HASH_COUNT(q->cases);
}

size_t pwparts_changes(pw_parts *q, pw_part_change *out, size_t most,
                       int64_t now) {
  size_t n = 0;
  evaluate(q, now);
  for (part_case *c = q->cases; c && q->nchanged && n < most; c = c->hh.next) {
    if (c->is_refused == c->is_reported)
      continue;
    c->is_reported = c->is_refused;
    q->nchanged--;
    out[n++] = (pw_part_change){c->row.key, c->is_refused, c->row.n};
  }
  return n;
}

/* --- updates between instances --- */

static int is_due(const part_case *c, int64_t now) {
  return c->sends < SENDS || (c->is_refused && now - c->sent_at >= REFRESH_MS);
}

/* Whether a row fits the update that has `bytes` so far; counts it if so. */
static int fits(const pw_part_row *row, int *bytes) {
  int more = ROW_BYTES + CRASH_BYTES * row->n;
  if (*bytes + more > UPDATE_BYTES)
    return 0;
  *bytes += more;
  return 1;
}

static pw_part_row row_of(pw_parts *q, const part_case *c) {
  pw_part_row row = c->row;
  row.answered = answered_at(q, c->row.key);
  row.are_others_answered = c->row.n > 0 && are_others_answered(q, c);
  return row;
}

static void send_row(pw_parts *q, part_case *c, pw_part_row *row, int64_t now) {
  *row = row_of(q, c);
  c->sent_at = now;
  if (c->sends >= SENDS)
    return;
  c->sends++;
  q->nunsent -= c->sends == SENDS;
}

/* Parts with the most crashes come first, so that those of a large outage, with
** one crash each, do not delay them. */
size_t pwparts_updates(pw_parts *q, pw_part_row *row, int64_t now) {
  size_t n = 0;
  int bytes = 0;
  evaluate(q, now);
  if (!q->nunsent && !q->nrefused)
    return 0;
  for (int crashes = PWPARTS_CRASHES; crashes >= 0; crashes--)
    for (part_case *c = q->cases; c && n < PWPARTS_ROWS; c = c->hh.next)
      if (c->row.n == crashes && c->sent_at < now && is_due(c, now) &&
          fits(&c->row, &bytes))
        send_row(q, c, &row[n++], now);
  return n;
}

size_t pwparts_list(pw_parts *q, size_t *at, pw_part_row *row) {
  size_t n = 0, seen = 0;
  int bytes = 0;
  for (const part_case *c = q->cases; c && n < PWPARTS_ROWS; c = c->hh.next) {
    if ((!is_many(c) && c->row.n) || seen++ < *at)
      continue;
    if (!fits(&c->row, &bytes)) {
      *at += n;
      return n;
    }
    row[n++] = row_of(q, c);
  }
  *at = n < PWPARTS_ROWS ? 0 : *at + n;
  return n;
}

static int is_valid(const pw_part_row *row, int64_t now) {
  if (!row->key || row->n < 0 || row->n > PWPARTS_CRASHES)
    return 0;
  for (int i = 0; i < row->n; i++)
    if (row->crash[i].sent > row->crash[i].crashed ||
        now - row->crash[i].crashed >= KEEP_MS)
      return 0;
  return 1;
}

/* Applies an answer that another instance announced. */
static void receive_answer(pw_parts *q, const pw_part_row *row) {
  answered *a = slot_of(q, row->key);
  if (a->key != row->key || a->at < row->answered)
    *a = (answered){row->key, row->answered};
  part_case *c = find(q, row->key);
  if (c)
    retract(q, c, row->answered);
}

/* Another instance has answered prompts without the part. */
static void note_others_answered(pw_parts *q, uint64_t key) {
  part_case *c = find(q, key);
  if (!c || c->row.are_others_answered)
    return;
  c->row.are_others_answered = 1;
  q->must_evaluate = 1;
}

void pwparts_receive(pw_parts *q, const pw_part_row *row, int64_t now) {
  int retracted = 0;
  if (!is_valid(row, now))
    return;
  if (row->answered)
    receive_answer(q, row);
  int64_t since = answered_at(q, row->key);
  for (int i = 0; i < row->n; i++) {
    note_recent(q, &row->crash[i]);
    if (row->crash[i].crashed > since)
      add_crash(q, row->key, &row->crash[i]);
    else
      retracted++;
  }
  if (row->are_others_answered && retracted < row->n)
    note_others_answered(q, row->key);
  /* The sender does not know of the answer here. */
  if (retracted && row->n >= SEND_ANSWERED_LEAST)
    mark_changed(q, find_or_add(q, row->key));
}

/* --- expiry --- */

void pwparts_tick(pw_parts *q, int64_t now) {
  part_case *c, *tmp;
  HASH_ITER(hh, q->cases, c, tmp) {
    if (pwpartrow_drop_until(&c->row, now - keep_ms(q, c->row.key, now)))
      q->must_evaluate = 1;
    if (c->row.n == 0 && now - answered_at(q, c->row.key) >= HARMLESS_MS)
      drop(q, c);
  }
}
