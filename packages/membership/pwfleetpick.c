/* pwfleetpick.c: choice of a target for a request, and the evidence (answers, errors, failures)
** that the choice uses. */
#include "pwfleetint.h"

#include "pwbuf.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A target that answered this gateway within this many heartbeat intervals counts as alive, even
** if control instances report it as silent. */
#define ALIVE_BEATS 3

/* Length of the first ejection after failures, doubled with each further failure, and its
** maximum, ms. */
#define EJECT_MS 400
#define EJECT_MAX_MS 6400
#define EJECT_AFTER 2 /* consecutive failures */

/* Time without a byte after which a target with waiting requests counts as unresponsive, ms:
** several times the interval between the events of a busy target. */
#define UNRESPONSIVE_MS 500

/* Error share of a target: weight of the newest answer; half-life without answers, ms; and the
** excess over the mean of the service from which other targets are preferred. */
#define ERROR_WEIGHT 0.1
#define ERROR_HALF_MS 1500.0
#define ERROR_MARGIN 0.2

/* Smoothed duration of a request: weight of the newest measurement; the value while no target of
** a service has been measured, ms; and the least value, the resolution of the clock, ms. */
#define WORK_WEIGHT 0.1
#define WORK_FIRST_MS 50
#define WORK_LEAST_MS 1

/* A duration that was measured longer ago than this says nothing of the target any more, ms. */
#define WORK_STALE_MS 5000

/* Durations that differ by no more than this count as equal, ms: the clock counts whole ms, and the
** scheduler may add one more. */
#define WORK_NOISE_MS 2

/* A new duration below this part of the old, stale one is reliable only after WORK_SAMPLES measurements in
** all, of which the least counts: chance can only add to a duration. */
#define WORK_FASTER_PART 0.5
#define WORK_SAMPLES 4

/* A target counts as new for this multiple of keep_ms: by then each prompt that belongs there has
** been sent there, and is in its prompt cache. */
#define NEW_TIMES 2

/* Targets that joined within this many heartbeat intervals of the first one started together and
** are not new to each other. */
#define GENERATION_BEATS 4

/* --- candidates --- */

/* Whether heartbeats or a recent answer show that a target is alive. */
static int is_responsive(const pw_fleet *f, const pw_target *t, int64_t now) {
  return !t->is_silent || now - t->answered_at <= ALIVE_BEATS * f->beat_ms;
}

/* The error share of a target, decayed until now. */
static double errors_of(const pw_target *t, int64_t now) {
  return t->errors * exp2(-(double)(now - t->errors_at) / ERROR_HALF_MS);
}

/* Figures over all targets of a service at one moment. */
typedef struct service_stats {
  const char *service;
  pw_fleet_side side;
  int64_t now;
  int64_t oldest;       /* earliest joined_at, ms */
  double errors;        /* mean error share */
  double others;        /* mean number of other gateways' requests */
  double work_ms;       /* mean measured duration of a request */
  double least_work_ms; /* least measured duration of a request at a target */
  int most_silent; /* more than half are silent: the receiver of the heartbeats is at fault */
  int has_answering; /* some usable target is not suspected of leaving requests unanswered */
} service_stats;

int pwflt_is_of(const pw_target *t, const char *service, pw_fleet_side side) {
  if (strcmp(t->service, service) != 0)
    return 0;
  if (side == PWFLEET_NEW_VERSION)
    return t->side == PWFLEET_NEW_VERSION && t->is_in_canary;
  return side == PWFLEET_ANY_VERSION || t->side != PWFLEET_NEW_VERSION;
}

static int has_answering(const pw_fleet *f, const service_stats *s);

static service_stats stats_of(const pw_fleet *f, const char *service,
                              pw_fleet_side side, int64_t now) {
  service_stats s = {
      .service = service, .side = side, .now = now, .oldest = now};
  int n = 0, silent = 0, measured = 0, suspected = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (t->is_gone || !pwflt_is_of(t, service, side))
      continue;
    if (t->joined_at < s.oldest)
      s.oldest = t->joined_at;
    s.errors += errors_of(t, now);
    s.others += t->others;
    s.work_ms += t->work_ms;
    if (t->work_ms > 0 && (measured == 0 || t->work_ms < s.least_work_ms))
      s.least_work_ms = t->work_ms;
    measured += t->work_ms > 0;
    silent += t->is_silent;
    suspected += t->unanswered.is_suspected;
    n++;
  }
  s.errors = n ? s.errors / n : 0;
  s.others = n ? s.others / n : 0;
  s.work_ms = measured ? s.work_ms / measured : WORK_FIRST_MS;
  s.least_work_ms = measured ? s.least_work_ms : WORK_FIRST_MS;
  s.most_silent = 2 * silent > n;
  s.has_answering = suspected && has_answering(f, &s);
  return s;
}

/* Duration of a request at a target. An unmeasured target gets the mean of its service: with a
** fixed initial value it got no request while the others were less loaded. */
static double work_of(const pw_target *t, const service_stats *s) {
  return t->work_ms > 0 ? t->work_ms : s->work_ms;
}

/* Whether the smoothed duration of a target says nothing of it now. */
static int has_stale_duration(const pw_target *t, int64_t now) {
  return t->work_ms == 0 || now - t->measured_at > WORK_STALE_MS;
}

/* Whether nothing reliable shows that a target is slower than the fastest one. */
static int may_be_fastest(const pw_target *t, const service_stats *s) {
  return has_stale_duration(t, s->now) || t->samples_needed > 0 ||
         t->work_ms <= s->least_work_ms + WORK_NOISE_MS;
}

/* Duration that a request is expected to take at a target with this load. An idle target that may be the
** fastest is assumed to be, so that it gets requests and is measured: a figure that is stale, or of one answer
** that is late by chance, must not keep it from all of them while another one is idle. */
static double expected_work_of(const pw_target *t, double load,
                               const service_stats *s) {
  int is_idle = t->inflight == 0 && load < t->slots;
  return is_idle && may_be_fastest(t, s) ? s->least_work_ms : work_of(t, s);
}

/* Whether a target can answer: it is responsive, not gone and not ejected. If most targets of the
** service are silent, silence does not count. */
static int is_alive(const pw_fleet *f, const pw_target *t,
                    const service_stats *s) {
  return !t->is_gone && (s->most_silent || is_responsive(f, t, s->now)) &&
         t->ejected_until <= s->now;
}

/* Whether a target stays in service: it is not leaving, evacuated, outdated or gone. */
static int stays_in_service(const pw_target *t) {
  return !t->is_gone && !t->is_leaving && !t->announced_leaving &&
         !t->is_evacuated && !t->is_outdated;
}

int pwfleet_may_send(const pw_target *t, int64_t now) {
  return stays_in_service(t) && pwholdoff_left(&t->hold_off, now) == 0;
}

/* Whether a target is alive, accepts requests and has no excess of errors. */
static int is_usable(const pw_fleet *f, const pw_target *t,
                     const service_stats *s) {
  return is_alive(f, t, s) && pwfleet_may_send(t, s->now) &&
         errors_of(t, s->now) <= s->errors + ERROR_MARGIN;
}

static int has_answering(const pw_fleet *f, const service_stats *s) {
  for (const pw_target *t = f->by_id; t; t = t->hh.next)
    if (pwflt_is_of(t, s->service, s->side) && !t->unanswered.is_suspected &&
        is_usable(f, t, s))
      return 1;
  return 0;
}

/* Whether a target is ejected since it leaves requests unanswered. If all usable targets are
** suspected, none is: the cause is elsewhere, or there is no better choice. */
static int is_unanswering(const pw_target *t, const service_stats *s) {
  return t->unanswered.is_suspected && s->has_answering;
}

static int is_among(const pw_target *t, pw_target *const *list, int n) {
  for (int i = 0; i < n; i++)
    if (list[i] == t)
      return 1;
  return 0;
}

static int is_version(const pw_target *t, uint64_t version) {
  return !version || t->version_hash == version;
}

static int is_among_versions(const pw_target *t, const pw_fleet_versions *v) {
  for (int i = 0; i < v->n; i++)
    if (v->hash[i] == t->version_hash)
      return 1;
  return 0;
}

static int fits_version(const pw_target *t, const pw_fleet_criteria *criteria) {
  return is_version(t, criteria->version) &&
         (!criteria->versions || is_among_versions(t, criteria->versions));
}

int pwfleet_has_other(pw_fleet *f, const char *service, pw_fleet_side side,
                      uint64_t version, pw_target *const *tried, int ntried,
                      int64_t now) {
  service_stats s = stats_of(f, service, side, now);
  for (const pw_target *t = f->by_id; t; t = t->hh.next)
    if (pwflt_is_of(t, service, side) && is_version(t, version) &&
        is_usable(f, t, &s) && !is_unanswering(t, &s) &&
        !is_among(t, tried, ntried))
      return 1;
  return 0;
}

int pwfleet_has_version(pw_fleet *f, const char *service, uint64_t version,
                        int64_t now) {
  service_stats s = stats_of(f, service, PWFLEET_ANY_VERSION, now);
  for (const pw_target *t = f->by_id; t; t = t->hh.next)
    if (pwflt_is_of(t, service, PWFLEET_ANY_VERSION) &&
        is_version(t, version) && is_alive(f, t, &s) &&
        pwfleet_may_send(t, now))
      return 1;
  return 0;
}

int pwfleet_has_live(pw_fleet *f, const char *service,
                     const uint32_t *short_hash, int n, int64_t now) {
  service_stats s = stats_of(f, service, PWFLEET_ANY_VERSION, now);
  for (const pw_target *t = f->by_id; t && n > 0; t = t->hh.next)
    for (int i = 0; i < n; i++)
      if (t->short_hash == short_hash[i] && is_alive(f, t, &s) &&
          pwflt_is_of(t, service, PWFLEET_ANY_VERSION))
        return 1;
  return 0;
}

static int count(const pw_fleet *f, const char *service, int64_t now,
                 int (*fits)(const pw_fleet *f, const pw_target *t,
                             const service_stats *s)) {
  service_stats s = stats_of(f, service, PWFLEET_ANY_VERSION, now);
  int n = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    n += !strcmp(t->service, service) && fits(f, t, &s);
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
    if (strcmp(t->service, service) != 0 || !stays_in_service(t))
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
  service_stats s = stats_of(f, service, side, now);
  pw_fleet_sum out = {0};
  int n = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (!pwflt_is_of(t, service, side) || !pwfleet_may_send(t, now) ||
        !is_alive(f, t, &s) || is_unanswering(t, &s))
      continue;
    out.slots += t->slots;
    out.inflight += t->inflight;
    out.others += t->others;
    out.work_ms += work_of(t, &s);
    n++;
  }
  out.work_ms = n ? out.work_ms / n : 0;
  out.targets = n;
  out.others_age_ms = (double)f->others_age_ms;
  return out;
}

static int was_tried(const pw_fleet_criteria *criteria, const pw_target *t) {
  return is_among(t, criteria->tried, criteria->ntried);
}

/* Whether a target joined so recently, and so long after the oldest, that others may still have
** its prompts cached. */
static int is_new(const pw_fleet *f, const pw_target *t,
                  const service_stats *s) {
  return s->now - t->joined_at < NEW_TIMES * f->keep_ms &&
         t->joined_at - s->oldest > GENERATION_BEATS * f->beat_ms;
}

/* Estimated requests in flight at a target. The reported requests of other gateways are pulled
** towards their mean by their age relative to the duration of a request: with short requests
** the report is out of date, and all gateways would send to the target that was the least
** loaded in it. */
static double load_of(const pw_fleet *f, const pw_target *t,
                      const service_stats *s,
                      const pw_fleet_criteria *criteria) {
  if (criteria->is_sticky)
    return t->inflight + t->others;
  double freshness = exp(-(double)f->others_age_ms / work_of(t, s));
  return t->inflight + round(s->others + freshness * (t->others - s->others));
}

/* Whether a target has an idle connection or may get another one. */
static int has_connection(const pw_target *t,
                          const pw_fleet_criteria *criteria) {
  return criteria->conns == 0 || t->idle || t->nconns < criteria->conns;
}

/* Whether the rate limit of a cold target lets this gateway send to it now; always so for a warm
** one. */
static int passes_cold_limit(pw_target *t, const pw_fleet_criteria *criteria,
                             int64_t now) {
  return pwcold_may_send(&t->cold, &criteria->cold, criteria->part,
                         criteria->draw, now);
}

/* Whether a target that leaves requests unanswered may get this one: as a probe, if the request may run
** again elsewhere. */
static int passes_unanswered(const pw_target *t, const service_stats *s,
                             const pw_fleet_criteria *criteria) {
  return !is_unanswering(t, s) ||
         (criteria->may_probe &&
          pwunanswered_may_probe(&t->unanswered, criteria->part, s->now));
}

/* Whether the quota of this gateway lets it send one more request to target number `i`. */
static int has_quota(const pw_target *t, const pw_fleet_criteria *criteria,
                     const service_stats *s, int i) {
  return !criteria->quota ||
         pwslotorder_has_room(criteria->quota, t->inflight, t->slots,
                              work_of(t, s), i, criteria->draw);
}

static int has_rejected(const pw_target *t, int64_t now) {
  return t->peer_rejects || pwreject_is_recent(&t->rejects, now);
}

static int is_unreachable(const pw_target *t, int64_t now) {
  return t->peer_connect_failures ||
         pwreject_is_recent(&t->connect_failures, now);
}

/* Whether other targets are preferred, because connects to this one fail, or because it rejects
** requests and few retries are left. While retries last, the requests that it does take are worth
** the extra hops: at three times the load, with a third of the targets rejecting four in ten, the
** other targets alone were overloaded. */
static int is_avoided(const pw_target *t, const pw_fleet_criteria *criteria,
                      int64_t now) {
  return is_unreachable(t, now) ||
         (criteria->save_retries && has_rejected(t, now));
}

/* Fills one row for each target of the service. Returns their number. */
static int fill_rows(pw_fleet *f, const pw_fleet_criteria *criteria,
                     const service_stats *s, pw_pick *row,
                     pw_target **targets) {
  int n = 0, usable = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (t->is_gone || !pwflt_is_of(t, criteria->service, criteria->side))
      continue;
    double load = load_of(f, t, s, criteria);
    row[n] = (pw_pick){
        .id = t->hash,
        .load = load,
        .own = t->inflight,
        .slots = t->slots,
        .work_ms = expected_work_of(t, load, s),
        .is_usable =
            fits_version(t, criteria) && is_usable(f, t, s) &&
            !was_tried(criteria, t) && passes_unanswered(t, s, criteria) &&
            has_connection(t, criteria) && has_quota(t, criteria, s, n) &&
            passes_cold_limit(t, criteria, s->now),
        .counts = is_usable(f, t, s),
        .is_near = !strcmp(t->availability_zone, f->availability_zone),
        .is_alive = is_alive(f, t, s),
        .is_new = is_new(f, t, s)};
    usable += row[n].is_usable;
    targets[n++] = t;
  }
  /* If no target is usable, any target that accepts requests is the last resort. */
  for (int i = 0; usable == 0 && i < n; i++)
    row[i].is_usable = fits_version(targets[i], criteria) &&
                       pwfleet_may_send(targets[i], s->now) &&
                       !was_tried(criteria, targets[i]) &&
                       passes_unanswered(targets[i], s, criteria) &&
                       has_connection(targets[i], criteria) &&
                       has_quota(targets[i], criteria, s, i) &&
                       passes_cold_limit(targets[i], criteria, s->now);
  return n;
}

static int is_by_prompt(pw_pick_policy how) {
  return how == PWPICK_BY_PREFILL || how == PWPICK_BY_HOME;
}

static int pick_row(pw_fleet *f, const pw_fleet_criteria *criteria,
                    const pw_pick *row, int n) {
  static const pw_pick_bound no_bound = {1e9, 1e9, 0, 0};
  int best = -1;
  if (criteria->how == PWPICK_BY_ROUND_ROBIN)
    return pwpick_round_robin(row, n, f->turn++);
  if (criteria->how == PWPICK_BY_HASH && criteria->is_sticky)
    return pwpick_home(row, n, criteria->key, no_bound);
  if (criteria->how == PWPICK_BY_PREFILL && criteria->is_sticky)
    best = pwpick_in_time(row, n, criteria->key, criteria->bound,
                          &criteria->prompt.times);
  if (criteria->how == PWPICK_BY_HOME && criteria->is_sticky)
    best = pwpick_home(row, n, criteria->key, criteria->bound);
  int home_only =
      is_by_prompt(criteria->how) && criteria->is_sticky && criteria->home_only;
  if (best < 0 && !home_only)
    best = pwpick_least(row, n, criteria->wait_ms, criteria->draw,
                        criteria->bound);
  return best;
}

/* Picks an avoided target only if no other one has ample free slots. With fewer free slots, at
** high load, requests would queue at the others while the avoided target could run some. */
static int pick_preferred(pw_fleet *f, const pw_fleet_criteria *criteria,
                          pw_pick *row, pw_target *const *targets, int n,
                          int64_t now) {
  int best = pick_row(f, criteria, row, n);
  if (best < 0 || !is_avoided(targets[best], criteria, now))
    return best;
  for (int i = 0; i < n; i++)
    row[i].is_usable &= !is_avoided(targets[i], criteria, now) &&
                        pwreject_had_room(row[i].load + 1, row[i].slots);
  int other = pick_row(f, criteria, row, n);
  return other >= 0 ? other : best;
}

/* Index of a suspected target that the request probes; -1: none. By its load alone it would be probed too
** rarely where it is also slower than the others. */
static int find_probe(const pw_pick *row, pw_target *const *targets, int n,
                      const service_stats *s) {
  for (int i = 0; i < n; i++)
    if (is_unanswering(targets[i], s) && row[i].is_usable &&
        row[i].load < row[i].slots)
      return i;
  return -1;
}

/* Fills the rows and picks one; -1: none fits. */
static int fill_and_pick(pw_fleet *f, const pw_fleet_criteria *criteria,
                         const service_stats *s, pw_fleet_prompt *prompt,
                         int *n) {
  *n = fill_rows(f, criteria, s, f->row, f->targets);
  *prompt = criteria->prompt;
  if (criteria->is_sticky) {
    pwflt_assume_home(prompt, criteria->key, f->row, f->targets, *n);
    pwflt_fill_prompt(prompt, f->row, f->targets, *n);
  }
  int probe = find_probe(f->row, f->targets, *n, s);
  return probe >= 0
             ? probe
             : pick_preferred(f, criteria, f->row, f->targets, *n, s->now);
}

/* Picks among responsive targets for a request that has failed elsewhere while most targets are
** silent; -1: none fits. If silent targets are really gone they are idle and come first: seven
** connects failed, all that a request may try, and the live targets were not asked. A first attempt
** may go to a silent target, since the receiver of the heartbeats may be at fault; then silent
** targets that are busy are responsive by their answers. */
static int pick_responsive(pw_fleet *f, const pw_fleet_criteria *criteria,
                           service_stats s, pw_fleet_prompt *prompt, int *n) {
  if (!s.most_silent || criteria->ntried == 0)
    return -1;
  s.most_silent = 0;
  int best = fill_and_pick(f, criteria, &s, prompt, n);
  return best >= 0 && is_responsive(f, f->targets[best], s.now) ? best : -1;
}

/* Grows the rows to hold all known targets. */
static void reserve_rows(pw_fleet *f) {
  size_t n = HASH_COUNT(f->by_id);
  if (n <= f->rows)
    return;
  f->rows = 2 * n;
  free(f->row);
  free(f->targets);
  f->row = pw_alloc(sizeof *f->row * f->rows);
  f->targets = pw_alloc(sizeof(pw_target *) * f->rows);
}

pw_fleet_picked pwfleet_pick(pw_fleet *f, const pw_fleet_criteria *criteria,
                             int64_t now) {
  pw_fleet_picked out = {0};
  reserve_rows(f);
  pw_pick *row = f->row;
  pw_target **targets = f->targets;
  service_stats s = stats_of(f, criteria->service, criteria->side, now);
  pw_fleet_prompt prompt;
  int n = 0;
  int best = pick_responsive(f, criteria, s, &prompt, &n);
  if (best < 0)
    best = fill_and_pick(f, criteria, &s, &prompt, &n);
  if (best < 0) {
    out.is_late = criteria->is_sticky && criteria->how == PWPICK_BY_PREFILL &&
                  pwpick_has_room(row, n, criteria->bound);
    return out;
  }
  out.target = pwfleet_retain(targets[best]);
  pwcold_sent(&targets[best]->cold, &criteria->cold, criteria->part, now);
  pwunanswered_sent(&targets[best]->unanswered, now);
  if (!criteria->is_sticky)
    return out;
  pw_target *holder =
      pwflt_copy_source(&prompt, criteria->key, row, targets, n, best);
  out.work = pwflt_prefill_work(out.target, &prompt, holder);
  out.holder = holder;
  return out;
}

/* --- evidence --- */

static void note_error(pw_target *t, double is_error, int64_t now) {
  double before = errors_of(t, now);
  t->errors = before + ERROR_WEIGHT * (is_error - before);
  t->errors_at = now;
}

void pwfleet_rejected(pw_target *t, int had_room, int64_t now) {
  t->received_at = t->answered_at = now;
  if (had_room)
    pwreject_note(&t->rejects, now);
}

int pwfleet_note_leaving(pw_target *t) {
  int was_unknown = !t->announced_leaving;
  t->announced_leaving = 1;
  return was_unknown;
}

int pwfleet_note_hold_off(pw_target *t, int64_t ms, int64_t now) {
  return pwholdoff_asked(&t->hold_off, ms, now);
}

void pwfleet_answered(pw_target *t, int64_t now) {
  t->failures = 0;
  t->ejected_until = 0;
  t->answered_at = t->received_at = now;
  note_error(t, 0, now);
}

void pwfleet_measured(pw_target *t, double ms, int64_t now) {
  double sample = ms > WORK_LEAST_MS ? ms : WORK_LEAST_MS;
  if (has_stale_duration(t, now)) {
    int is_faster = sample < WORK_FASTER_PART * t->work_ms;
    t->samples_needed = is_faster ? WORK_SAMPLES - 1 : 0;
    t->work_ms = sample;
  } else if (t->samples_needed > 0) {
    t->samples_needed--;
    t->work_ms = fmin(t->work_ms, sample);
  } else {
    t->work_ms += WORK_WEIGHT * (sample - t->work_ms);
  }
  t->measured_at = now;
}

void pwfleet_error_answered(pw_target *t, int64_t now) {
  t->failures = 0;
  t->answered_at = t->received_at = now;
  note_error(t, 1, now);
}

int pwfleet_is_unresponsive(const pw_target *t, int64_t now) {
  return now - t->received_at > UNRESPONSIVE_MS;
}

/* Ejects a target for EJECT_MS, doubled `doublings` times. */
static void eject(pw_target *t, int doublings, int64_t now) {
  int64_t ms = EJECT_MS << (doublings < 4 ? doublings : 4);
  t->ejected_until = now + (ms < EJECT_MAX_MS ? ms : EJECT_MAX_MS);
}

void pwfleet_failed(pw_target *t, int64_t now) {
  t->failures++;
  if (t->failures >= EJECT_AFTER)
    eject(t, t->failures - EJECT_AFTER, now);
}

/* A single lost packet can delay a connection past its timeout, so one failed connect does not
** count against a target that has sent something recently. */
void pwfleet_connect_failed(pw_target *t, int64_t now) {
  t->failures++;
  if (t->failures < EJECT_AFTER && !pwfleet_is_unresponsive(t, now))
    return;
  eject(t, t->failures - 1, now);
  pwreject_note(&t->connect_failures,
                now); /* spares other gateways the same timeout */
}
