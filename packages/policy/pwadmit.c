/* pwadmit.c: an agent's decision on a request: start, queue or refuse it. */
#include "pwadmit.h"

#define MS 1000.0
#define SERVED_WINDOW_MS 1000 /* length of an averaging window */
#define SERVED_KEEP 0.7       /* weight of the past in the average */
#define WAIT_MAX_MS 600000.0  /* longest wait that is estimated */

/* A wait for a slot of up to this many ms costs less than a refusal: the entry
** would try another target, with a round trip (1.4 ms one way between
** availability zones) and perhaps another refusal. */
#define HOP_MS 10

/* A wait of up to this part of the request's age is accepted as well. After an
** agent stalled for 1 s, refusals instead of such waits cost 76 more hops for
** 600 requests, and no caller gets its answer earlier. */
#define AGE_PART 0.1

void pwadmit_init(pw_admit *a, int slots, int queue, double rate, int64_t now) {
  *a = (pw_admit){.queue = pwqueue_new(queue),
                  .slots = slots,
                  .bound = PWBOUND_DEFAULT,
                  .reuse = PWADMIT_REUSE,
                  .served = rate,
                  .served_at = now,
                  .slot_ms_at = now};
  pwload_init(&a->load, rate, now);
}

void pwadmit_free(pw_admit *a) {
  pwqueue_free(a->queue);
}

static int fits(pw_admit *a, double cost, const pw_pool_sum *pool,
                int64_t now) {
  return pwbound_fits(pwload_now(&a->load, now), cost, pool, &a->bound, now);
}

/* Whether a request may start that no other target had room for, or that has
** waited in the queue. */
static int may_start(pw_admit *a, double cost, const pw_pool_sum *pool,
                     int64_t now) {
  return pwbound_admits(pwload_now(&a->load, now), cost, pool, &a->bound, now);
}

/* Updates the slot time; called before `running` changes. */
static void count_slot_ms(pw_admit *a, int64_t now) {
  a->slot_ms += (double)a->running * (double)(now - a->slot_ms_at);
  a->slot_ms_at = now;
}

static void start(pw_admit *a, double cost, int64_t now) {
  pwload_add(&a->load, cost, now);
  count_slot_ms(a, now);
  a->running++;
}

/* Whether one more queued request would get a slot soon, by the recent duration
** of a request. The recent token rate would be too low an estimate for a target
** that had little to do until now. */
static int is_wait_short(const pw_admit *a, int64_t age_ms) {
  if (a->running < a->slots || a->request_ms <= 0)
    return 0;
  double turns = (pwqueue_count(a->queue) + 0.5) / a->slots;
  double short_ms = AGE_PART * (double)age_ms;
  return turns * a->request_ms <= (short_ms > HOP_MS ? short_ms : HOP_MS);
}

uint32_t pwadmit_wait(const pw_admit *a, const char *workspace, double weight,
                      int priority) {
  double ahead = pwqueue_ahead(a->queue, workspace, weight, priority);
  double rate = a->served > 1 ? a->served : 1;
  /* A request in progress has to end first, and half of the mean cost is left
  ** of it on average. */
  double first = a->running ? a->load.actual / a->running / 2 : 0;
  double ms = (ahead + first) / rate * MS;
  return (uint32_t)(ms > WAIT_MAX_MS ? WAIT_MAX_MS : ms);
}

/* Longest wait in ms that pays for the cached prefix: the time in which the
** target would compute the prompt again at its recent rate, times `reuse`. */
static uint32_t worth_of(const pw_admit *a, double recompute) {
  double rate = a->served > 1 ? a->served : 1;
  double ms = a->reuse * PWBOUND_PROMPT_WEIGHT * recompute / rate * MS;
  return (uint32_t)(ms > WAIT_MAX_MS ? WAIT_MAX_MS : ms);
}

pw_admit_answer pwadmit_decide(pw_admit *a, const pw_admit_request *request,
                               const pw_pool_sum *pool, int64_t now) {
  pw_admit_answer out = {.verdict = PW_ADMIT_REFUSED, .code = PW_E_BUSY};
  int64_t hold_off_ms = pwholdoff_left(&a->hold_off, now);
  int free_slot = a->running < a->slots && hold_off_ms == 0;
  int has_room = request->may_queue ? may_start(a, request->cost, pool, now)
                                    : fits(a, request->cost, pool, now);
  if (free_slot && has_room && pwqueue_count(a->queue) == 0) {
    start(a, request->cost, now);
    out.verdict = PW_ADMIT_START;
    out.code = PW_OK;
    return out;
  }
  out.by_bound = free_slot && !has_room;
  out.wait =
      pwadmit_wait(a, request->workspace, request->weight, request->priority);
  if (out.wait < hold_off_ms)
    out.wait = (uint32_t)hold_off_ms;
  if (now + out.wait >= request->deadline) {
    out.code = PW_E_DEADLINE;
    return out;
  }
  out.worth = worth_of(a, request->recompute);
  if (!request->may_queue && out.wait >= out.worth &&
      (hold_off_ms || !is_wait_short(a, request->age_ms)))
    return out;
  pw_item item = {.weight = request->weight,
                  .priority = request->priority,
                  .cost = request->cost,
                  .deadline = request->deadline,
                  .since = now,
                  .job = request->job};
  int n = 0;
  for (; request->workspace[n] && n < PW_NAME_MAX - 1; n++)
    item.workspace[n] = request->workspace[n];
  out.evicted_job = pwqueue_push(a->queue, &item);
  if (out.evicted_job == request->job) {
    out.evicted_job = 0;
    return out;
  }
  out.verdict = PW_ADMIT_QUEUED;
  out.code = PW_OK;
  return out;
}

void *pwadmit_next(pw_admit *a,
                   const pw_pool_sum *(*pool_of)(void *arg, void *job),
                   void *arg, int64_t now) {
  pw_item item;
  if (a->running >= a->slots || pwholdoff_left(&a->hold_off, now) ||
      !pwqueue_peek(a->queue, &item))
    return 0;
  if (!may_start(a, item.cost, pool_of(arg, item.job), now))
    return 0;
  pwqueue_pop(a->queue);
  start(a, item.cost, now);
  return item.job;
}

/* Averages the duration of a request: slot time per request that ended. */
static void average_request_ms(pw_admit *a, int64_t now) {
  count_slot_ms(a, now);
  if (a->ended_since) {
    double ms = a->slot_ms / a->ended_since;
    a->request_ms = a->request_ms > 0
                        ? SERVED_KEEP * a->request_ms + (1 - SERVED_KEEP) * ms
                        : ms;
  }
  a->slot_ms = 0;
  a->ended_since = 0;
}

/* Averages the tokens done per second over about three seconds. */
static void average_served(pw_admit *a, double tokens, int64_t now) {
  a->tokens_since += tokens;
  int64_t passed = now - a->served_at;
  if (passed < SERVED_WINDOW_MS)
    return;
  double rate = a->tokens_since / (double)passed * MS;
  average_request_ms(a, now);
  if (a->running)
    a->served = SERVED_KEEP * a->served + (1 - SERVED_KEEP) * rate;
  a->tokens_since = 0;
  a->served_at = now;
}

void pwadmit_progress(pw_admit *a, double tokens, int64_t now) {
  pwload_add(&a->load, -tokens, now);
  average_served(a, tokens, now);
}

void pwadmit_end(pw_admit *a, double left, int64_t now) {
  pwload_add(&a->load, -left, now);
  average_served(a, 0, now);
  count_slot_ms(a, now);
  a->ended_since++;
  a->running--;
}
