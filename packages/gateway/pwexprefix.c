/* pwexprefix.c: prompts of requests: what they share with others, and requests that wait for a prefix.
**
** An engine looks up what it has cached when it accepts a request. A second request with the same prefix that
** reaches it during the prefill of the first one makes it compute the prefix twice, so the second one waits
** here until the first chunk of the first one has come. */
#include "pwexint.h"

#include <utlist.h>

#define MS_PER_S 1000

/* A target is expected to have a prefix cached for this multiple of gateway.keep_s. A longer time costs a
** prefill where none was expected, a shorter one sends prompts away from where they are cached. */
#define KEEP_TIMES 3

/* A prefill that was announced longer ago is not awaited, ms: its request may have failed. */
#define PREFILL_KEEP_MS 1000

/* Shorter prefixes are not awaited, tokens: their prefill takes less time than the news of its end. */
#define AWAIT_TOKENS 500

/* Longest wait for a prefix, as a part of the shortest goal of the service. */
#define WAIT_PART 0.5

/* A first chunk within this part of the shortest goal is soon enough: the rest is left for targets that are slower
** than others. */
#define SOON_PART 0.5

/* Part of the longest time to the first chunk for which a request may wait for others. */
#define QUEUE_PART 0.25

#define NO_LIMIT_MS 1e9

int64_t pwexchange_prefix_keep_ms(const pw_gate *g) {
  return (int64_t)(KEEP_TIMES * g->p->set->gateway_keep * MS_PER_S);
}

/* Number of leading parts that a prompt may share with others; its last part is its own. */
static int shared_parts(const pw_request_info *info) {
  return info->nparts > 1 ? info->nparts - 1 : info->nparts;
}

static uint64_t key_of(const pw_prompt_part *part) {
  return part->id & ~PWAFFINITY_PREFILL;
}

uint64_t pwexi_prompt_key(const pw_request_info *info) {
  int n = shared_parts(info);
  return n ? key_of(&info->part[n - 1]) : 0;
}

/* --- the prompt of a request --- */

/* Adds the targets that have the part cached, with the tokens up to its end. */
static void add_cached(pw_fleet_prompt *p, const pw_gate *g, uint64_t key,
                       double tokens, int64_t now) {
  uint32_t holder[PWAFFINITY_HOLDERS];
  int n = pwaffinity_holders(g->affinity, key, now,
                             pwexchange_prefix_keep_ms(g), holder);
  for (int i = 0; i < n && p->ncached < PWFLEET_CACHED_MAX; i++)
    p->cached[p->ncached++] = (pw_fleet_cached){holder[i], tokens};
}

/* Fills in the sizes, and who has which part cached, the deepest part first. */
static void add_parts(pw_fleet_prompt *p, const pw_exchange *x, int64_t now) {
  const pw_request_info *info = &x->request_info;
  int shared = shared_parts(info);
  double tokens = 0;
  for (int i = 0; i < info->nparts; i++)
    tokens += info->part[i].tokens;
  p->tokens = info->prompt_tokens > tokens ? info->prompt_tokens : tokens;
  for (int i = info->nparts - 1; i >= 0; i--) {
    if (i == shared - 1)
      p->shared_tokens = tokens;
    if (i < shared)
      add_cached(p, x->g, key_of(&info->part[i]), tokens, now);
    tokens -= info->part[i].tokens;
  }
}

/* All requests are measured by the shortest goal of their service: otherwise those with long goals would fill the
** time that those with short ones have. A request that has been tried before is sent wherever it can be. While
** answers are in time prompts return to their homes, where gateways that have just started look for them; when
** they are late, the copies that this takes would make more of them late. */
static pw_pick_times times_of(const pw_exchange *x, int is_first_attempt) {
  double goal_ms = (double)x->service->shortest_goal_ms;
  double part = x->service_state->prefill.goal_part;
  pw_pick_times times = {.soon_ms = NO_LIMIT_MS,
                         .latest_ms = NO_LIMIT_MS,
                         .queue_ms = NO_LIMIT_MS,
                         .home_first = part >= 1};
  if (goal_ms > 0)
    times.soon_ms = SOON_PART * goal_ms;
  if (goal_ms <= 0 || !is_first_attempt)
    return times;
  times.latest_ms = part * goal_ms;
  times.queue_ms = QUEUE_PART * times.latest_ms;
  return times;
}

pw_fleet_prompt pwexi_prompt(const pw_exchange *x, int is_first_attempt,
                             int64_t now) {
  pw_fleet_prompt p = {.can_copy = x->service->moves_kv,
                       .is_first_attempt = is_first_attempt,
                       .known_since = now - x->g->started_at <
                                              pwexchange_prefix_keep_ms(x->g)
                                          ? x->g->started_at
                                          : 0,
                       .prefill = x->service_state->prefill,
                       .times = times_of(x, is_first_attempt)};
  if (x->service->kv_copy_per_ms > 0)
    p.prefill.ms_per_copy = 1 / x->service->kv_copy_per_ms;
  add_parts(&p, x, now);
  return p;
}

/* --- requests that wait for a prefix --- */

static int has_prompt(const pw_exchange *x) {
  return x->service->is_engine && x->route->is_sticky &&
         x->request_info.nparts > 0;
}

/* Tokens of the deepest shared part. */
static uint32_t prefix_tokens(const pw_exchange *x) {
  return x->request_info.part[shared_parts(&x->request_info) - 1].tokens;
}

/* Whether a live target has the part cached, or computes it (`key` with PWAFFINITY_PREFILL). */
static int has_holder(const pw_exchange *x, uint64_t key, int64_t now,
                      int64_t keep_ms) {
  uint32_t target[PWAFFINITY_HOLDERS];
  int n = pwaffinity_holders(x->g->affinity, key, now, keep_ms, target);
  return n > 0 &&
         pwfleet_has_live(x->g->fleet, x->service->name, target, n, now);
}

/* Whether a target computes the prefix of the prompt and none has it cached. Targets that have crashed do not count:
** otherwise a prefix would be computed many times at once after its holders have crashed. */
static int is_in_prefill(const pw_exchange *x, int64_t now) {
  uint64_t key = pwexi_prompt_key(&x->request_info);
  return has_holder(x, key | PWAFFINITY_PREFILL, now, PREFILL_KEEP_MS) &&
         !has_holder(x, key, now, pwexchange_prefix_keep_ms(x->g));
}

int pwexi_await_prefix(pw_exchange *x, int64_t now) {
  int64_t wait_ms = (int64_t)(WAIT_PART * (double)x->service->shortest_goal_ms);
  if (wait_ms <= 0 || x->has_awaited_prefix || !has_prompt(x) ||
      prefix_tokens(x) < AWAIT_TOKENS || wait_ms >= pwexi_time_left(x) ||
      !is_in_prefill(x, now))
    return 0;
  x->has_awaited_prefix = 1;
  x->awaits_prefix = 1;
  DL_APPEND(x->g->prefix_waiters, x);
  pwcount_add(x->g->p->counters, PWC_GW_PREFIX_WAITS, 1);
  pwexi_set_timer(x, wait_ms);
  return 1;
}

void pwexi_leave_prefix_queue(pw_exchange *x) {
  if (!x->awaits_prefix)
    return;
  x->awaits_prefix = 0;
  DL_DELETE(x->g->prefix_waiters, x);
}

void pwexi_end_prefix_wait(pw_exchange *x) {
  pwexi_leave_prefix_queue(x);
  pwexi_set_timer(x, pwexi_time_left(x));
  pwexi_dispatch(x);
}

void pwexchange_prefix_cached(pw_gate *g, uint64_t key) {
  pw_exchange *x, *next;
  DL_FOREACH_SAFE(g->prefix_waiters, x, next) {
    if (pwexi_prompt_key(&x->request_info) == key)
      pwexi_end_prefix_wait(x);
  }
}

/* --- prefill --- */

/* Records that the target of the request has a prefix cached, or computes it (`key` with PWAFFINITY_PREFILL), and
** announces it unless the others know. */
static void note_prefix(const pw_exchange *x, uint64_t key, int64_t now,
                        int64_t keep_ms) {
  uint32_t target = x->t->short_hash;
  if (pwaffinity_note(x->g->affinity, key, target, now, keep_ms))
    pwgossip_announce_prefix(x->g->gossip, key, target);
}

void pwexi_begin_prefill(pw_exchange *x, const pw_fleet_picked *picked,
                         int64_t now) {
  x->work = picked->work;
  x->t->prefill += x->work.own;
  x->t->copies += x->work.copied;
  if (x->work.copied > 0) {
    x->source = pwfleet_retain(picked->holder);
    x->source->copies += x->work.copied;
  }
  if (has_prompt(x) && prefix_tokens(x) >= AWAIT_TOKENS &&
      x->work.own >= prefix_tokens(x))
    note_prefix(x, pwexi_prompt_key(&x->request_info) | PWAFFINITY_PREFILL, now,
                PREFILL_KEEP_MS);
}

void pwexi_end_prefill(pw_exchange *x) {
  if (x->t) {
    x->t->prefill -= x->work.own;
    x->t->copies -= x->work.copied;
  }
  if (x->source) {
    x->source->copies -= x->work.copied;
    pwfleet_release(x->source);
    x->source = NULL;
  }
  x->work = (pw_prefill_work){0};
}

void pwexi_note_cached(pw_exchange *x, int64_t now) {
  const pw_request_info *info = &x->request_info;
  if (!x->t || !has_prompt(x))
    return;
  for (int i = shared_parts(info) - 1; i >= 0; i--)
    note_prefix(x, key_of(&info->part[i]), now,
                pwexchange_prefix_keep_ms(x->g));
  pwexchange_prefix_cached(x->g, pwexi_prompt_key(info));
}

/* The time of a copy says nothing of the time per token of prefill. */
void pwexi_note_first_chunk(pw_exchange *x, int64_t now) {
  x->has_chunk = 1;
  if (!x->t || !has_prompt(x))
    return;
  if (x->work.own > 0 && x->work.copied == 0)
    pwprefill_measured(&x->service_state->prefill, x->work.ahead + x->work.own,
                       (double)pwexi_target_ms(x, now));
  pwexi_end_prefill(x);
  pwexi_note_cached(x, now);
}
