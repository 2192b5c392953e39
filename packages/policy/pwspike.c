/* pwspike.c: detects load spikes of single workspaces. */
#include "pwspike.h"

#include "pwbuf.h"
#include "pwlimits.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Time constants in ms of the current rate and of the baseline. */
#define NOW_MS 1000.0
#define BASELINE_MS 300000.0
#define MS_PER_S 1000.0

/* A workspace may send TIMES times its baseline share plus EXTRA requests; the
** rest is its surplus. Both allow for requests that arrive in bursts. */
#define TIMES 2.0
#define EXTRA 8.0

/* PRIOR requests a second at their baseline are added to those of the other
** workspaces: the few requests of small ones make no rise of the load. While
** the others send less than OTHERS_LEAST a second, none of them needs the
** slots. */
#define PRIOR 1.0
#define OTHERS_LEAST 0.1

/* While a workspace has a surplus, its baseline grows by at most GROWTH times
** what is expected of it, or by GROWTH_LEAST requests a second if that is more.
** Otherwise a spike of seconds would soon be the baseline of a process that has
** just started; a lasting change becomes the baseline within half an hour. */
#define GROWTH 1.5
#define GROWTH_LEAST 1.0

/* Interval at which requests are added to the baselines, ms. If each was added
** at once, the first second of a spike, in which the current rate is still
** rising, would double or triple a baseline of 8 s. */
#define UPDATE_MS 1000

/* Workspaces that are tracked; the others are never seen as spiking. */
#define WORKSPACES_MAX 1000

/* When all rows are in use, the rows with the lowest rates are dropped at each
** report, this many of them. Otherwise a spike of a workspace that sends its
** first request after 1,000 others have would never be seen. */
#define DROPPED 10

/* Reports of other gateways are ignored after this time, ms. */
#define STALE_MS 1000

/* A gateway that has been running for less than this time, in ms, decides on
** the sums of the others and reports nothing. Its own baseline would be the
** spike itself if it starts amid one, and would lack what was sent before. */
#define YOUNG_MS 3000

/* Counts in reports are in units of 1 / SCALE requests. The baseline of a
** workspace with one request a second is 3 units at each of 22 gateways. */
#define SCALE 64.0

/* Bits of all keys of this file, by which reports that are too large are cut. */
#define KEY_MASK 0xf0000000u
#define KEY_BITS 0x50000000u
#define KEY_BASELINE 1u /* set in the key of a baseline */

/* Surplus from which a workspace is reported as spiking, and the time without
** any surplus after which it no longer is, ms. */
#define SPIKING 0.25
#define CALM_MS 2000

/* Decaying counts of requests. */
typedef struct counts {
  double now, baseline;
  int64_t at; /* time up to which they have decayed, ms */
} counts;

/* Requests a second, currently and by the baseline. */
typedef struct rates {
  double now, baseline;
} rates;

typedef struct row {
  char workspace[PW_NAME_MAX];
  uint32_t key;
  counts n;
  double recent; /* requests that are not in the baseline yet */
  rates others;  /* sums over the other gateways */
  uint64_t refused, refused_surplus; /* requests since the row was added */
  int is_spiking;
  int64_t surplus_at; /* time of the last surplus while spiking, ms */
  UT_hash_handle hh;
} row;

struct pw_spike {
  row *rows;
  counts all;
  rates others; /* of all workspaces, at the other gateways */
  int64_t others_at;
  int64_t started, updated; /* updated: when the baselines were */
  uint64_t service;
  uint32_t key; /* of the counts of all workspaces */
  int nspiking;
};

static uint32_t key_of(uint64_t service, const char *workspace) {
  uint32_t hash =
      (uint32_t)XXH3_64bits_withSeed(workspace, strlen(workspace), service);
  return (hash & ~KEY_MASK & ~KEY_BASELINE) | KEY_BITS;
}

int pwspike_is_key(uint32_t key) {
  return (key & KEY_MASK) == KEY_BITS;
}

int pwspike_is_rate(uint32_t key) {
  return !(key & KEY_BASELINE);
}

uint32_t pwspike_other_key(uint32_t key) {
  return key ^ KEY_BASELINE;
}

pw_spike *pwspike_new(const char *service, int64_t now) {
  pw_spike *s = pw_alloc(sizeof *s);
  s->all.at = s->started = s->updated = now;
  s->service = XXH3_64bits(service, strlen(service));
  s->key = key_of(~s->service, "");
  return s;
}

void pwspike_free(pw_spike *s) {
  row *r, *tmp;
  if (!s)
    return;
  HASH_ITER(hh, s->rows, r, tmp) {
    HASH_DEL(s->rows, r);
    free(r);
  }
  free(s);
}

static void decay(counts *c, int64_t now) {
  double passed = (double)(now - c->at);
  c->now *= exp(-passed / NOW_MS);
  c->baseline *= exp(-passed / BASELINE_MS);
  c->at = now;
}

static row *row_of(pw_spike *s, const char *workspace, int64_t now) {
  row *r;
  HASH_FIND_STR(s->rows, workspace, r);
  if (r || HASH_COUNT(s->rows) >= WORKSPACES_MAX)
    return r;
  r = pw_alloc(sizeof *r);
  pw_copy(r->workspace, sizeof r->workspace, workspace);
  r->key = key_of(s->service, workspace);
  r->n.at = now;
  HASH_ADD_STR(s->rows, workspace, r);
  return r;
}

static int is_young(const pw_spike *s, int64_t now) {
  return now - s->started < YOUNG_MS;
}

/* Own rates. The baseline is divided by the time over which it was counted, so
** that the sums weigh a gateway that started a minute ago as the others. */
static rates rates_of(const pw_spike *s, counts *c, int64_t now) {
  decay(c, now);
  double counted_ms =
      BASELINE_MS * (1 - exp(-(double)(s->updated - s->started) / BASELINE_MS));
  return (rates){c->now,
                 counted_ms > 0 ? c->baseline * MS_PER_S / counted_ms : 0};
}

static rates sum_of(rates a, rates b) {
  return (rates){a.now + b.now, a.baseline + b.baseline};
}

/* What a workspace may be expected to send now: its baseline, or its baseline
** share of a load that has risen. When the load of the others falls, slots are
** free, so it may still send its baseline. */
static double expected_of(rates all, rates mine) {
  double now = all.now - mine.now, baseline = all.baseline - mine.baseline;
  if (baseline <= OTHERS_LEAST)
    return mine.now;
  double rise = (now + PRIOR) / (baseline + PRIOR);
  return mine.baseline * (rise > 1 ? rise : 1);
}

/* The share of a workspace's current requests that exceeds what it may send.
** Every gateway applies the share to what it receives, which divides the one
** allowance among them. */
static double surplus_of(rates mine, double expected) {
  double surplus = mine.now - TIMES * expected - EXTRA;
  return surplus > 0 ? surplus / mine.now : 0;
}

static int is_summed(const pw_spike *s, const row *r, int64_t now) {
  return s->others_at && now - s->others_at <= STALE_MS &&
         s->others.baseline > 0 && r->others.now + r->others.baseline > 0;
}

/* Decides on the sums if another gateway reports the workspace, else on the own
** rates. */
static pw_spike_state state_of(pw_spike *s, row *r, int64_t now) {
  rates all = rates_of(s, &s->all, now), mine = rates_of(s, &r->n, now);
  pw_spike_state state = {.workspace = r->workspace,
                          .here = mine.now,
                          .refused = r->refused,
                          .refused_surplus = r->refused_surplus,
                          .is_spiking = r->is_spiking,
                          .is_summed = is_summed(s, r, now)};
  if (state.is_summed) {
    all = is_young(s, now) ? s->others : sum_of(all, s->others);
    mine = is_young(s, now) ? r->others : sum_of(mine, r->others);
  }
  state.now = mine.now;
  state.expected = expected_of(all, mine);
  state.surplus = surplus_of(mine, state.expected);
  return state;
}

/* What of the requests since the last update counts for the baseline. In a
** process that has just started, a spike of seconds would soon make up most of
** the baseline. In its first seconds all but the surplus counts, since
** workspaces that begin a little later than the others look like spikes. */
static double counted_of(pw_spike *s, row *r, int64_t now) {
  pw_spike_state state = state_of(s, r, now);
  if (state.surplus <= 0 || (is_young(s, now) && !state.is_summed))
    return r->recent * (1 - state.surplus);
  double most = GROWTH * state.expected;
  most = most > GROWTH_LEAST ? most : GROWTH_LEAST;
  return most < state.now ? r->recent * most / state.now : r->recent;
}

/* Adds the requests since the last update to the baselines. All parts are known
** before the first one is added, since each depends on all baselines. */
static void update_baselines(pw_spike *s, int64_t now) {
  if (now - s->updated < UPDATE_MS)
    return;
  for (row *r = s->rows; r; r = r->hh.next)
    r->recent = counted_of(s, r, now);
  for (row *r = s->rows; r; r = r->hh.next) {
    r->n.baseline += r->recent;
    s->all.baseline += r->recent;
    r->recent = 0;
  }
  s->updated = now;
}

double pwspike_note(pw_spike *s, const char *workspace, int64_t now) {
  update_baselines(s, now);
  row *r = row_of(s, workspace, now);
  if (!r)
    return 0;
  decay(&s->all, now);
  decay(&r->n, now);
  s->all.now++;
  r->n.now++;
  r->recent++;
  return state_of(s, r, now).surplus;
}

void pwspike_refused(pw_spike *s, const char *workspace, int is_surplus) {
  row *r;
  HASH_FIND_STR(s->rows, workspace, r);
  if (!r)
    return;
  r->refused++;
  r->refused_surplus += is_surplus != 0;
}

/* --- reports --- */

typedef struct ranked {
  row *r;
  rates n;
} ranked;

/* By the sum of current rate and baseline. By the current rate alone, a small
** workspace would be reported by those gateways that happen to receive more of
** it than usual, and one whose callers have moved to another gateway would lose
** its baseline. */
static int by_rate(const void *a, const void *b) {
  const ranked *x = a, *y = b;
  double rx = x->n.now + x->n.baseline, ry = y->n.now + y->n.baseline;
  return rx != ry ? (rx < ry) - (rx > ry)
                  : strcmp(x->r->workspace, y->r->workspace);
}

/* All rows, those with the highest rates first. */
static ranked *rank_rows(pw_spike *s, int64_t now) {
  ranked *list = pw_alloc(sizeof *list * (HASH_COUNT(s->rows) + 1));
  size_t n = 0;
  for (row *r = s->rows; r; r = r->hh.next)
    list[n++] = (ranked){r, rates_of(s, &r->n, now)};
  qsort(list, n, sizeof *list, by_rate);
  return list;
}

static void drop_row(pw_spike *s, row *r) {
  s->nspiking -= r->is_spiking;
  HASH_DEL(s->rows, r);
  free(r);
}

static size_t add_rates(pw_spike_row *rows, size_t at, uint32_t key, rates n) {
  uint32_t now = (uint32_t)(n.now * SCALE + 0.5);
  uint32_t baseline = (uint32_t)(n.baseline * SCALE + 0.5);
  if (now)
    rows[at++] = (pw_spike_row){key, now};
  if (baseline)
    rows[at++] = (pw_spike_row){key | KEY_BASELINE, baseline};
  return at;
}

/* Whether any gateway has received requests in the last seconds. */
static int is_in_use(const pw_spike *s, rates all) {
  return (all.now + s->others.now) * SCALE >= 1;
}

size_t pwspike_report(pw_spike *s, int64_t now, pw_spike_row *rows) {
  rates all = rates_of(s, &s->all, now);
  update_baselines(s, now);
  size_t n = 0, count = HASH_COUNT(s->rows);
  if (is_young(s, now) || !is_in_use(s, all))
    return 0;
  ranked *list = rank_rows(s, now);
  n = add_rates(rows, n, s->key, all);
  for (size_t i = 0; i < count && i < PWSPIKE_REPORTED; i++)
    n = add_rates(rows, n, list[i].r->key, list[i].n);
  for (size_t i = count - DROPPED; count == WORKSPACES_MAX && i < count; i++)
    drop_row(s, list[i].r);
  free(list);
  return n;
}

static rates received(pw_spike_sum sum, void *arg, uint32_t key) {
  return (rates){sum(arg, key) / SCALE, sum(arg, key | KEY_BASELINE) / SCALE};
}

void pwspike_receive(pw_spike *s, pw_spike_sum sum, void *arg, int64_t now) {
  s->others = received(sum, arg, s->key);
  s->others_at = now;
  for (row *r = s->rows; r; r = r->hh.next)
    r->others = received(sum, arg, r->key);
}

/* --- for operators --- */

/* Updates whether the workspace spikes; returns whether that has changed. */
static int update_spiking(pw_spike *s, row *r, double surplus, int64_t now) {
  if (surplus > 0)
    r->surplus_at = now;
  int is_spiking = r->is_spiking
                       ? now - r->surplus_at < CALM_MS
                       : surplus >= SPIKING && s->nspiking < PWSPIKE_REPORTED;
  int is_changed = is_spiking != r->is_spiking;
  r->is_spiking = is_spiking;
  s->nspiking += is_changed ? (is_spiking ? 1 : -1) : 0;
  return is_changed;
}

int pwspike_check(pw_spike *s, int64_t now,
                  void (*on_change)(void *arg, const pw_spike_state *state),
                  void *arg) {
  for (row *r = s->rows; r; r = r->hh.next) {
    pw_spike_state state = state_of(s, r, now);
    if (!update_spiking(s, r, state.surplus, now))
      continue;
    state.is_spiking = r->is_spiking;
    on_change(arg, &state);
  }
  return s->nspiking;
}

size_t pwspike_list(pw_spike *s, int64_t now, pw_spike_state *states,
                    size_t most) {
  ranked *list = rank_rows(s, now);
  size_t n = HASH_COUNT(s->rows);
  n = n < most ? n : most;
  for (size_t i = 0; i < n; i++)
    states[i] = state_of(s, list[i].r, now);
  free(list);
  return n;
}
