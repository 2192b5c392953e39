/* pwfleetpick.c: which of the known targets a request goes to, and what was seen of
** each that speaks for or against it. */
#include "pwfleetint.h"

#include "pwbuf.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* One that answered this gateway within so many heartbeats is there, whatever
** control hears of it. */
#define ALIVE_BEATS 3

/* Set aside after a failure: at first, and at most; ms. */
#define ASIDE_MS 400
#define ASIDE_MAX_MS 6400
#define ASIDE_AFTER 2 /* failures in a row */

/* A target that sends nothing to this gateway for so long, ms, while requests
** wait for it: several times what a busy one's events are apart. */
#define DARK_MS 500

/* Errors: weight of the newest answer; the time in which a share fades by half
** without answers, ms; and how far above the mean of its service a target's share
** may be before others are preferred. */
#define ERROR_SHARE 0.1
#define ERROR_HALF_MS 1500.0
#define ERROR_MARGIN 0.2

#define WORK_SHARE 0.1 /* weight of the newest measurement */
#define WORK_FIRST_MS                                                          \
  50 /* while nothing was measured at any target of a service */

/* A target is new for so many times as long as prompts are worth going back to:
** by then those that are its own have been used there. */
#define NEW_TIMES 2
#define GENERATION_BEATS 4

/* --- picking --- */

static int is_heard(const pw_fleet *f, const pw_target *t, int64_t now) {
  return !t->is_silent || now - t->answered_at <= ALIVE_BEATS * f->beat_ms;
}

static double errors_of(const pw_target *t, int64_t now) {
  return t->errors * exp2(-(double)(now - t->errors_at) / ERROR_HALF_MS);
}

/* What targets of a service have in common at one moment. */
typedef struct common {
  const char *service;
  pw_fleet_side side;
  int64_t now;
  int64_t oldest;  /* when the first of them joined, ms */
  double errors;   /* mean share of errors */
  double others;   /* mean of what other gateways have there */
  double work_ms;  /* mean time of one request, where it was measured */
  int most_silent; /* more than half of them: who listens is at fault */
} common;

int pwflt_is_of(const pw_target *t, const char *service, pw_fleet_side side) {
  if (strcmp(t->service, service) != 0)
    return 0;
  if (side == PWFLEET_TO)
    return t->side == PWFLEET_TO && t->takes_part;
  return side == PWFLEET_BOTH || t->side != PWFLEET_TO;
}

static common common_of(const pw_fleet *f, const char *service,
                        pw_fleet_side side, int64_t now) {
  common c = {.service = service, .side = side, .now = now, .oldest = now};
  int n = 0, silent = 0, measured = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (t->is_gone || !pwflt_is_of(t, service, side))
      continue;
    if (t->joined_at < c.oldest)
      c.oldest = t->joined_at;
    c.errors += errors_of(t, now);
    c.others += t->others;
    c.work_ms += t->work_ms;
    measured += t->work_ms > 0;
    silent += t->is_silent;
    n++;
  }
  c.errors = n ? c.errors / n : 0;
  c.others = n ? c.others / n : 0;
  c.work_ms = measured ? c.work_ms / measured : WORK_FIRST_MS;
  c.most_silent = 2 * silent > n;
  return c;
}

/* One that nothing is known of is taken for one like the others: with a time of its own it got
** no request while the others had less to do. */
static double work_of(const pw_target *t, const common *c) {
  return t->work_ms > 0 ? t->work_ms : c->work_ms;
}

static int is_alive(const pw_fleet *f, const pw_target *t, const common *c) {
  return !t->is_gone && (c->most_silent || is_heard(f, t, c->now)) &&
         t->set_aside <= c->now;
}

/* Whether it stays, and where it stands. */
static int stays(const pw_target *t) {
  return !t->is_gone && !t->is_leaving && !t->says_leaving &&
         !t->is_evacuated && !t->is_outdated;
}

int pwfleet_may_send(const pw_target *t, int64_t now) {
  return stays(t) && pwholdoff_left(&t->hold_off, now) == 0;
}

static int is_usable(const pw_fleet *f, const pw_target *t, const common *c) {
  return is_alive(f, t, c) && pwfleet_may_send(t, c->now) &&
         errors_of(t, c->now) <= c->errors + ERROR_MARGIN;
}

static int is_among(const pw_target *t, pw_target *const *list, int n) {
  for (int i = 0; i < n; i++)
    if (list[i] == t)
      return 1;
  return 0;
}

int pwfleet_has_other(pw_fleet *f, const char *service, pw_fleet_side side,
                      pw_target *const *tried, int ntried, int64_t now) {
  common c = common_of(f, service, side, now);
  for (const pw_target *t = f->by_id; t; t = t->hh.next)
    if (pwflt_is_of(t, service, side) && is_usable(f, t, &c) &&
        !is_among(t, tried, ntried))
      return 1;
  return 0;
}

static int count(const pw_fleet *f, const char *service, int64_t now,
                 int (*fits)(const pw_fleet *f, const pw_target *t,
                             const common *c)) {
  common c = common_of(f, service, PWFLEET_BOTH, now);
  int n = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    n += !strcmp(t->service, service) && fits(f, t, &c);
  return n;
}

int pwfleet_usable(pw_fleet *f, const char *service, int64_t now) {
  return count(f, service, now, is_usable);
}

int pwfleet_alive(pw_fleet *f, const char *service, int64_t now) {
  return count(f, service, now, is_alive);
}

int64_t pwfleet_held_off(pw_fleet *f, const char *service, int64_t now) {
  int64_t least = 0;
  for (const pw_target *t = f->by_id; t; t = t->hh.next) {
    if (strcmp(t->service, service) != 0 || !stays(t))
      continue;
    int64_t left = pwholdoff_left(&t->hold_off, now);
    if (left == 0)
      return 0;
    if (least == 0 || left < least)
      least = left;
  }
  return least;
}

pw_fleet_sum pwfleet_sum(pw_fleet *f, const char *service, pw_fleet_side side,
                         int64_t now) {
  common c = common_of(f, service, side, now);
  pw_fleet_sum out = {0};
  int n = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (!pwflt_is_of(t, service, side) || !pwfleet_may_send(t, now) ||
        !is_alive(f, t, &c))
      continue;
    out.slots += t->slots;
    out.inflight += t->inflight;
    out.others += t->others;
    out.work_ms += work_of(t, &c);
    n++;
  }
  out.work_ms = n ? out.work_ms / n : 0;
  out.targets = n;
  out.others_age_ms = (double)f->others_age_ms;
  return out;
}

static int was_tried(const pw_fleet_ask *ask, const pw_target *t) {
  return is_among(t, ask->tried, ask->ntried);
}

/* Targets that started together are not new to each other. */
static int is_new(const pw_fleet *f, const pw_target *t, const common *c) {
  return c->now - t->joined_at < NEW_TIMES * f->keep_ms &&
         t->joined_at - c->oldest > GENERATION_BEATS * f->beat_ms;
}

static int find_row(pw_target *const *who, const pw_pick *row, int n,
                    uint32_t short_hash) {
  for (int i = 0; short_hash && i < n; i++)
    if (who[i]->short_hash == short_hash && row[i].is_alive)
      return i;
  return -1;
}

/* Requests at a target. Where requests are short, how the other gateways' differ from
** their mean is out of date: all gateways would send to who had the fewest when they were
** told last. */
static double load_of(const pw_fleet *f, const pw_target *t, const common *c,
                      const pw_fleet_ask *ask) {
  if (ask->is_sticky)
    return t->inflight + t->others;
  double is_still_so = exp(-(double)f->others_age_ms / work_of(t, c));
  return t->inflight + round(c->others + is_still_so * (t->others - c->others));
}

static int has_connection(const pw_target *t, const pw_fleet_ask *ask) {
  return ask->conns == 0 || t->idle || t->nconns < ask->conns;
}

/* Whether this gateway may send to it, warm or cold. */
static int is_its_turn(pw_target *t, const pw_fleet_ask *ask, int64_t now) {
  return pwcold_may(&t->cold, &ask->cold, ask->part, ask->draw, now);
}

static int has_rejected(const pw_target *t, int64_t now) {
  return t->others_rejects || pwreject_is_recent(&t->rejects, now);
}

static int has_missed(const pw_target *t, int64_t now) {
  return t->others_misses || pwreject_is_recent(&t->misses, now);
}

/* Whether others are preferred: it can't be reached, or turns requests away and there are few retries
** left. While there are enough, what it does take is worth more than the hop: at three times the load,
** with a third of the targets turning four in ten away, the others alone had too much. */
static int is_avoided(const pw_target *t, const pw_fleet_ask *ask,
                      int64_t now) {
  return has_missed(t, now) || (ask->spares_retries && has_rejected(t, now));
}

/* The targets of the service as rows; gives how many. */
static int fill_rows(pw_fleet *f, const pw_fleet_ask *ask, const common *c,
                     pw_pick *row, pw_target **who) {
  int n = 0, usable = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (t->is_gone || !pwflt_is_of(t, ask->service, ask->side))
      continue;
    row[n] = (pw_pick){
        .id = t->hash,
        .load = load_of(f, t, c, ask),
        .own = t->inflight,
        .slots = t->slots,
        .work_ms = work_of(t, c),
        .is_usable = is_usable(f, t, c) && !was_tried(ask, t) &&
                     has_connection(t, ask) && is_its_turn(t, ask, c->now),
        .counts = is_usable(f, t, c),
        .is_near = !strcmp(t->availability_zone, f->availability_zone),
        .is_alive = is_alive(f, t, c),
        .is_new = is_new(f, t, c)};
    usable += row[n].is_usable;
    who[n++] = t;
  }
  /* Where none is usable, whatever may be sent to is the last resort. */
  for (int i = 0; usable == 0 && i < n; i++)
    row[i].is_usable = pwfleet_may_send(who[i], c->now) &&
                       !was_tried(ask, who[i]) && has_connection(who[i], ask) &&
                       is_its_turn(who[i], ask, c->now);
  return n;
}

static int pick_row(pw_fleet *f, const pw_fleet_ask *ask, const pw_pick *row,
                    int n) {
  static const pw_pick_bound boundless = {1e9, 1e9, 0, 0};
  int best = -1;
  if (ask->how == PWPICK_BY_TURN)
    return pwpick_turn(row, n, f->turn++);
  if (ask->how == PWPICK_BY_HASH && ask->is_sticky)
    return pwpick_home(row, n, ask->key, boundless);
  if (ask->how == PWPICK_BY_HOME && ask->is_sticky)
    best = pwpick_home(row, n, ask->key, ask->bound);
  int stays = ask->how == PWPICK_BY_HOME && ask->is_sticky && ask->stays;
  if (best < 0 && !stays)
    best = pwpick_least(row, n, ask->wait_ms, ask->draw, ask->bound);
  return best;
}

/* One that is avoided is picked only when no other has clear room. With less than that, at high load, the
** others would be late with what it can do. */
static int pick_of_all(pw_fleet *f, const pw_fleet_ask *ask, pw_pick *row,
                       pw_target *const *who, int n, int64_t now) {
  int best = pick_row(f, ask, row, n);
  if (best < 0 || !is_avoided(who[best], ask, now))
    return best;
  for (int i = 0; i < n; i++)
    row[i].is_usable &= !is_avoided(who[i], ask, now) &&
                        pwreject_had_room(row[i].load + 1, row[i].slots);
  int other = pick_row(f, ask, row, n);
  return other >= 0 ? other : best;
}

/* Rows for all targets that are known. */
static void make_room(pw_fleet *f) {
  size_t n = HASH_COUNT(f->by_id);
  if (n <= f->rows)
    return;
  f->rows = 2 * n;
  free(f->row);
  free(f->who);
  f->row = pw_alloc(sizeof *f->row * f->rows);
  f->who = pw_alloc(sizeof(pw_target *) * f->rows);
}

pw_fleet_picked pwfleet_pick(pw_fleet *f, const pw_fleet_ask *ask,
                             int64_t now) {
  pw_fleet_picked out = {0};
  make_room(f);
  pw_pick *row = f->row;
  pw_target **who = f->who;
  common c = common_of(f, ask->service, ask->side, now);
  int n = fill_rows(f, ask, &c, row, who);
  int best = pick_of_all(f, ask, row, who, n, now);
  if (best < 0)
    return out;
  out.target = pwfleet_hold(who[best]);
  pwcold_sent(&who[best]->cold, &ask->cold, ask->part, now);
  if (!ask->is_sticky)
    return out;
  int home = pwpick_holder(row, n, ask->key);
  int last = find_row(who, row, n, ask->last);
  int holder = last >= 0 && last != best ? last : home;
  out.is_home = home == best;
  if (last != best && (holder < 0 || holder == best))
    holder = find_row(who, row, n, ask->beginning);
  out.holder = holder >= 0 && holder != best ? who[holder] : NULL;
  return out;
}

/* --- evidence --- */

static void note_error(pw_target *t, double is_error, int64_t now) {
  double before = errors_of(t, now);
  t->errors = before + ERROR_SHARE * (is_error - before);
  t->errors_at = now;
}

void pwfleet_rejected(pw_target *t, int had_room, int64_t now) {
  t->seen_at = t->answered_at = now;
  if (had_room)
    pwreject_note(&t->rejects, now);
}

int pwfleet_note_leaving(pw_target *t) {
  int is_news = !t->says_leaving;
  t->says_leaving = 1;
  return is_news;
}

int pwfleet_note_hold_off(pw_target *t, int64_t ms, int64_t now) {
  return pwholdoff_asked(&t->hold_off, ms, now);
}

void pwfleet_answered(pw_target *t, double work_ms, int64_t now) {
  t->failures = 0;
  t->set_aside = 0;
  t->answered_at = t->seen_at = now;
  note_error(t, 0, now);
  if (work_ms > 0 && t->work_ms == 0)
    t->work_ms = work_ms;
  else if (work_ms > 0)
    t->work_ms += WORK_SHARE * (work_ms - t->work_ms);
}

void pwfleet_erred(pw_target *t, int64_t now) {
  t->failures = 0;
  t->answered_at = t->seen_at = now;
  note_error(t, 1, now);
}

int pwfleet_is_dark(const pw_target *t, int64_t now) {
  return now - t->seen_at > DARK_MS;
}

static void set_aside(pw_target *t, int doublings, int64_t now) {
  int64_t ms = ASIDE_MS << (doublings < 4 ? doublings : 4);
  t->set_aside = now + (ms < ASIDE_MAX_MS ? ms : ASIDE_MAX_MS);
}

void pwfleet_failed(pw_target *t, int64_t now) {
  t->failures++;
  if (t->failures >= ASIDE_AFTER)
    set_aside(t, t->failures - ASIDE_AFTER, now);
}

/* One lost packet keeps a connection from coming up in time: that alone says
** nothing of a target that has just sent something. */
void pwfleet_unreached(pw_target *t, int64_t now) {
  t->failures++;
  if (t->failures < ASIDE_AFTER && !pwfleet_is_dark(t, now))
    return;
  set_aside(t, t->failures - 1, now);
  pwreject_note(&t->misses, now); /* each gateway would wait in vain, too */
}
