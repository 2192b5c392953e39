/* test_prefill_storm.c: a replay of the load at which half of 56 engines crashed and the fleet was not back while the
** load held. Gateways decide by pwfleet_pick, pwprefill and pwaffinity as the real ones do; engines are a model.
**
** Guards against prompts that evict each other's prefixes and compute them again and again: each of the engines that
** were left had 30 to 40 requests that waited for prefill. */
#include "pwaffinity.h"
#include "pwbuf.h"
#include "pwfleet.h"
#include "pwtest.h"

#include <string.h>

enum {
  GATEWAYS = 12,
  ENGINES = 56,
  SLOTS = 64,
  KINDS = 3,
  PREFIXES = 218 + 416 + 338,
  KV_TOKENS = 174000,
  LATE_MS = 100, /* until a gateway knows of another one's requests */
  CRASH_MS = 4000,
  BACK_MS = 10000,
  SOON_MS = 3000, /* after that the fleet is to be back */
  LOAD_MS = 16000,
  END_MS = 18000,
  REQUESTS = 16000,
  NEWS = 1 << 16,
  START = 1000000, /* clock at the start, ms */
  KEEP_MS = 30000,
  WAIT_MS = 300, /* for a prefix: half of the shortest goal */
  PREFILL_KEEP_MS = 1000,
  AWAIT_TOKENS = 500,
  RETRY_MS = 500, /* until a caller that was refused comes back, once */
  NONE = -1
};

/* Milliseconds per token of prefill; tokens per ms of a copy; how much longer every third engine takes; and the part of
** its speed that a stream has beside prefill (a step of 5.5 ms takes some 55 ms with 2,000 tokens of prefill in it). */
static const double PREFILL_MS = 0.026, COPY_PER_MS = 210, SLOW = 1.3,
                    BESIDE = 0.1;
static const double LOAD_TIMES = 2, SHORTEST_GOAL_MS = 600;

static const struct {
  int shared, own, prefixes, goal_ms;
  double per_s, stream_ms;
} kind[KINDS] = {{8620, 580, 218, 600, 97, 400},
                 {2041, 360, 416, 1000, 123, 200},
                 {603, 110, 338, 1000, 101, 2000}};

typedef enum state { IDLE, WAITS, PREFILL, STREAMS, DONE } state;

typedef struct request {
  state state;
  int kind, prefix, gateway, engine, attempts, next;
  int came;         /* when its caller sent it first, ms */
  int arrived, due; /* ms; when it is sent (again), if it is IDLE or WAITS */
  int first_ms;     /* of its last attempt; 0: none yet */
  int is_refused;
  double left, ready_at; /* of its prefill, tokens, or of its stream, ms */
  pw_target *t, *source;
  pw_prefill_work work;
  int sent;
} request;

/* Its KV cache has the cached prefixes, and all tokens of each prompt that runs, those included that it shares. Where
** prompts that run use the cached prefix in place, no storm comes up by either decision (in trials, both were back). */
typedef struct engine {
  int used_at[PREFIXES]; /* 0: not cached */
  double kv, link_free_at;
  int queue, streams; /* lists of requests, the oldest first */
  int is_down;
} engine;

typedef struct news {
  uint64_t key;
  uint32_t target;
  int from, at;
} news;

static struct {
  pw_fleet *f[GATEWAYS];
  pw_affinity *a[GATEWAYS];
  pw_prefill p[GATEWAYS];
  pw_loads own[GATEWAYS], all;
  engine e[ENGINES];
  request r[REQUESTS];
  news news[NEWS];
  int nrequests, nnews, told;
  int now; /* ms */
  pw_pick_policy how;
  double computed; /* tokens of shared prefixes, by all engines */
  pw_random random;
} w;

static int tokens_of(int prefix) {
  return kind[prefix < 218 ? 0 : prefix < 218 + 416 ? 1 : 2].shared;
}

static uint64_t key_of(const request *r) {
  return XXH3_64bits(&r->prefix, sizeof r->prefix) & ~PWAFFINITY_PREFILL;
}

static double slowness(int i) {
  return i % 3 == 0 ? SLOW : 1;
}

static void append(int *list, int i) {
  while (*list != NONE)
    list = &w.r[*list].next;
  *list = i;
  w.r[i].next = NONE;
}

/* --- engines --- */

static void make_room(engine *e) {
  while (e->kv > KV_TOKENS) {
    int oldest = NONE;
    for (int i = 0; i < PREFIXES; i++)
      if (e->used_at[i] &&
          (oldest == NONE || e->used_at[i] < e->used_at[oldest]))
        oldest = i;
    if (oldest == NONE)
      return;
    e->used_at[oldest] = 0;
    e->kv -= tokens_of(oldest);
  }
}

/* An engine accepts a request, and copies its prefix from another one if that has it. */
static void accept_request(int i, int from) {
  request *r = &w.r[i];
  engine *e = &w.e[r->engine];
  int shared = kind[r->kind].shared, is_cached = e->used_at[r->prefix] > 0;
  r->state = PREFILL;
  r->left = kind[r->kind].own;
  r->ready_at = w.now;
  if (is_cached) {
    e->used_at[r->prefix] = w.now;
  } else if (from != NONE && w.e[from].used_at[r->prefix]) {
    engine *s = &w.e[from];
    double at =
        e->link_free_at > s->link_free_at ? e->link_free_at : s->link_free_at;
    r->ready_at = (at > w.now ? at : w.now) + shared / COPY_PER_MS;
    e->link_free_at = s->link_free_at = r->ready_at;
  } else {
    r->left += shared;
    w.computed += shared;
  }
  e->kv += kind[r->kind].own + shared;
  make_room(e);
  append(&e->queue, i);
}

/* The prefix of a request is in the cache from its first chunk on. */
static void cache_prefix(engine *e, const request *r) {
  if (!e->used_at[r->prefix])
    e->kv += tokens_of(r->prefix);
  e->used_at[r->prefix] = w.now;
  make_room(e);
}

/* --- gateways --- */

static void send_request(int i);

static void announce(const request *r, uint64_t key, int keep_ms) {
  if (pwaffinity_note(w.a[r->gateway], key, r->t->short_hash, START + w.now,
                      keep_ms) &&
      w.nnews < NEWS)
    w.news[w.nnews++] =
        (news){key, r->t->short_hash, r->gateway, w.now + LATE_MS};
}

static void end_waits(int gateway, uint64_t key) {
  for (int i = 0; i < w.nrequests; i++)
    if (w.r[i].state == WAITS && w.r[i].gateway == gateway &&
        key_of(&w.r[i]) == key)
      send_request(i);
}

static int has_live(int gateway, uint64_t key, int keep_ms) {
  uint32_t target[PWAFFINITY_HOLDERS];
  int n = pwaffinity_holders(w.a[gateway], key, START + w.now, keep_ms, target);
  return n && pwfleet_has_live(w.f[gateway], "s", target, n, START + w.now);
}

static int awaits_prefix(request *r) {
  uint64_t key = key_of(r);
  if (r->attempts || r->state == WAITS || kind[r->kind].shared < AWAIT_TOKENS ||
      has_live(r->gateway, key, KEEP_MS) ||
      !has_live(r->gateway, key | PWAFFINITY_PREFILL, PREFILL_KEEP_MS))
    return 0;
  r->state = WAITS;
  r->due = w.now + WAIT_MS;
  return 1;
}

static pw_fleet_prompt prompt_of(const request *r) {
  const pw_prefill *p = &w.p[r->gateway];
  uint32_t target[PWAFFINITY_HOLDERS];
  double latest = p->goal_part * SHORTEST_GOAL_MS;
  pw_fleet_prompt out = {.tokens = kind[r->kind].shared + kind[r->kind].own,
                         .shared_tokens = kind[r->kind].shared,
                         .can_copy = 1,
                         .is_first_attempt = r->attempts == 0,
                         .prefill = *p,
                         .times = {0.5 * SHORTEST_GOAL_MS, latest,
                                   0.25 * latest, p->goal_part >= 1}};
  if (r->attempts)
    out.times.latest_ms = out.times.queue_ms = 1e9;
  out.prefill.ms_per_copy = 1 / COPY_PER_MS;
  out.ncached = pwaffinity_holders(w.a[r->gateway], key_of(r), START + w.now,
                                   KEEP_MS, target);
  for (int i = 0; i < out.ncached; i++)
    out.cached[i] = (pw_fleet_cached){target[i], kind[r->kind].shared};
  return out;
}

static void count_work(const request *r, int sign) {
  r->t->prefill += sign * r->work.own;
  r->t->copies += sign * r->work.copied;
  if (r->source)
    r->source->copies += sign * r->work.copied;
}

static void send_request(int i) {
  request *r = &w.r[i];
  int has_waited = r->state == WAITS;
  if (awaits_prefix(r))
    return;
  double late_extra = w.p[r->gateway].goal_part < 1 ? 2 : 3;
  pw_fleet_criteria ask = {.service = "s",
                           .how = w.how,
                           .is_sticky = 1,
                           .key = key_of(r),
                           .home_only = r->attempts == 0,
                           .prompt = prompt_of(r),
                           .wait_ms = 1000,
                           .draw = pwrand_unit(&w.random),
                           .bound = {0.8 * LOAD_TIMES,
                                     has_waited ? 0 : late_extra,
                                     0.95 * LOAD_TIMES, 3},
                           .part = 1};
  pw_fleet_picked got = pwfleet_pick(w.f[r->gateway], &ask, START + w.now);
  if (!got.target) {
    r->state = r->is_refused || r->attempts ? DONE : IDLE;
    r->is_refused = 1;
    r->due = w.now + RETRY_MS;
    r->arrived = r->state == IDLE ? r->due : r->arrived;
    return;
  }
  r->attempts++;
  r->t = got.target;
  r->engine = atoi(got.target->id);
  r->work = got.work;
  r->source = got.work.copied > 0 ? pwfleet_retain(got.holder) : NULL;
  r->sent = w.now;
  r->t->inflight++;
  count_work(r, 1);
  if (got.work.own >= kind[r->kind].shared)
    announce(r, key_of(r) | PWAFFINITY_PREFILL, PREFILL_KEEP_MS);
  accept_request(i, got.holder ? atoi(got.holder->id) : NONE);
}

static void end_work(request *r) {
  count_work(r, -1);
  if (r->source)
    pwfleet_release(r->source);
  r->source = NULL;
  r->work = (pw_prefill_work){0};
}

static void release(request *r) {
  end_work(r);
  r->t->inflight--;
  pwfleet_release(r->t);
  r->t = NULL;
}

static int is_late(const request *r) {
  return r->first_ms > kind[r->kind].goal_ms;
}

static void note_first_chunk(request *r) {
  pw_prefill *p = &w.p[r->gateway];
  r->state = STREAMS;
  r->left = kind[r->kind].stream_ms;
  r->first_ms = w.now + 1 - r->arrived;
  if (r->work.own > 0 && r->work.copied == 0)
    pwprefill_measured(p, r->work.ahead + r->work.own, w.now + 1 - r->sent);
  if (is_late(r))
    pwprefill_answered(p, 1);
  end_work(r);
  announce(r, key_of(r), KEEP_MS);
  end_waits(r->gateway, key_of(r));
}

static void note_end(engine *e, request *r) {
  r->state = DONE;
  e->kv -= kind[r->kind].own + kind[r->kind].shared;
  if (!is_late(r))
    pwprefill_answered(&w.p[r->gateway], 0);
  release(r);
}

/* --- time --- */

/* One millisecond of an engine. */
static void run_engine(int which) {
  engine *e = &w.e[which];
  double tokens = 1 / (PREFILL_MS * slowness(which));
  int *at = &e->queue, is_busy = 0;
  while (*at != NONE && tokens > 0) {
    request *r = &w.r[*at];
    if (r->ready_at > w.now) {
      at = &r->next;
      continue;
    }
    double done = r->left < tokens ? r->left : tokens;
    is_busy = 1;
    r->left -= done;
    tokens -= done;
    if (r->left > 0)
      break;
    int i = *at;
    *at = r->next;
    cache_prefix(e, r);
    append(&e->streams, i);
    note_first_chunk(r);
  }
  for (at = &e->streams; *at != NONE;) {
    request *r = &w.r[*at];
    r->left -= (is_busy ? BESIDE : 1) / slowness(which);
    if (r->left > 0) {
      at = &r->next;
      continue;
    }
    *at = r->next;
    note_end(e, r);
  }
}

static void join(int i, int born) {
  pw_heartbeat b = {.slots = SLOTS, .seq = 1, .born = (uint64_t)born};
  snprintf(b.id, sizeof b.id, "%d", i);
  pw_copy(b.service, sizeof b.service, "s");
  snprintf(b.address, sizeof b.address, "10.0.0.1:%d", 1000 + i);
  pw_copy(b.availability_zone, sizeof b.availability_zone, "az-1");
  for (int g = 0; g < GATEWAYS; g++)
    pwfleet_heartbeat(w.f[g], &b, 0, START + w.now);
  w.e[i] = (engine){.queue = NONE, .streams = NONE};
}

/* Requests of an engine that crashed are sent again at once, elsewhere. */
static void crash(int which) {
  char id[16];
  snprintf(id, sizeof id, "%d", which);
  for (int g = 0; g < GATEWAYS; g++)
    pwfleet_mark_gone(pwfleet_find(w.f[g], id), START + w.now);
  w.e[which] = (engine){.queue = NONE, .streams = NONE, .is_down = 1};
  for (int i = 0; i < w.nrequests; i++) {
    request *r = &w.r[i];
    if (!r->t || r->engine != which)
      continue;
    release(r);
    r->state = r->first_ms ? DONE : IDLE;
    r->due = w.now + 1;
  }
}

/* Each gateway knows what the others had in flight when they reported last. */
static void report(void) {
  for (int g = 0; g < GATEWAYS; g++)
    pwfleet_note_loads(w.f[g], &w.all, &w.own[g], LATE_MS);
  pwloads_clear(&w.all);
  for (int g = 0; g < GATEWAYS; g++) {
    pwloads_clear(&w.own[g]);
    for (pw_target *t = pwfleet_first(w.f[g]); t; t = t->hh.next) {
      uint32_t key[] = {t->short_hash, t->prefill_hash, t->copies_hash};
      double count[] = {t->inflight, t->prefill / PWFLEET_PREFILL_UNIT,
                        t->copies / PWFLEET_PREFILL_UNIT};
      for (int k = 0; k < 3; k++) {
        pwloads_add(&w.own[g], key[k], (uint32_t)(count[k] + 0.5));
        pwloads_add(&w.all, key[k], (uint32_t)(count[k] + 0.5));
      }
    }
  }
}

static void tell_news(void) {
  for (; w.told < w.nnews && w.news[w.told].at <= w.now; w.told++)
    for (int g = 0; g < GATEWAYS; g++) {
      const news *n = &w.news[w.told];
      if (g == n->from)
        continue;
      pwaffinity_learn(w.a[g], n->key, n->target, START + w.now);
      end_waits(g, n->key);
    }
}

static void arrive(void) {
  int first = 0;
  for (int k = 0; k < KINDS; first += kind[k++].prefixes) {
    if (w.now >= LOAD_MS || w.nrequests == REQUESTS ||
        pwrand_unit(&w.random) >= 2 * kind[k].per_s / 1000)
      continue;
    w.r[w.nrequests++] =
        (request){.kind = k,
                  .prefix = first + (int)pwrand_below(
                                        &w.random, (uint64_t)kind[k].prefixes),
                  .gateway = (int)pwrand_below(&w.random, GATEWAYS),
                  .came = w.now,
                  .arrived = w.now,
                  .due = w.now,
                  .next = NONE};
  }
}

static void step(void) {
  for (int i = 1; i < ENGINES; i += 2) {
    if (w.now == CRASH_MS)
      crash(i);
    if (w.now == BACK_MS)
      join(i, 2);
  }
  if (w.now % LATE_MS == 0)
    report();
  tell_news();
  arrive();
  for (int i = 0; i < w.nrequests; i++)
    if ((w.r[i].state == IDLE || w.r[i].state == WAITS) && w.r[i].due <= w.now)
      send_request(i);
  for (int i = 0; i < ENGINES; i++)
    if (!w.e[i].is_down)
      run_engine(i);
}

/* --- the replay --- */

typedef struct result {
  /* Share of requests with a first chunk in time: before the crash, until the engines are back, in the first 3 s after
  ** that, and later. */
  double calm, storm, soon, after;
  double late; /* share of late ones among first chunks */
  double computed;
} result;

/* Of the requests that first came in this time. */
static double share_in_time(int from, int to) {
  int n = 0, good = 0;
  for (int i = 0; i < w.nrequests; i++) {
    const request *r = &w.r[i];
    if (r->came < from || r->came >= to)
      continue;
    n++;
    good += r->first_ms && !is_late(r);
  }
  return n ? (double)good / n : 0;
}

static result replay(pw_pick_policy how, uint64_t seed) {
  memset(&w, 0, sizeof w);
  w.how = how;
  w.random.seed = seed;
  for (int g = 0; g < GATEWAYS; g++) {
    w.f[g] = pwfleet_new("az-1", 100, KEEP_MS / 3);
    w.a[g] = pwaffinity_new();
    pwprefill_init(&w.p[g]);
  }
  for (int i = 0; i < ENGINES; i++)
    join(i, 1);
  for (; w.now < END_MS; w.now++)
    step();
  int late = 0, answered = 0;
  for (int i = 0; i < w.nrequests; i++) {
    late += is_late(&w.r[i]);
    answered += w.r[i].first_ms > 0;
    if (w.r[i].t)
      release(&w.r[i]);
  }
  for (int g = 0; g < GATEWAYS; g++) {
    for (pw_target *t = pwfleet_first(w.f[g]); t; t = t->hh.next)
      CHECK(t->prefill == 0 && t->copies == 0 && t->inflight == 0);
    pwfleet_free(w.f[g]);
    pwaffinity_free(w.a[g]);
    pwloads_free(&w.own[g]);
  }
  pwloads_free(&w.all);
  CHECK(w.nrequests < REQUESTS && w.nnews < NEWS);
  return (result){.calm = share_in_time(2000, CRASH_MS),
                  .storm = share_in_time(CRASH_MS, BACK_MS),
                  .soon = share_in_time(BACK_MS, BACK_MS + SOON_MS),
                  .after = share_in_time(BACK_MS + SOON_MS, LOAD_MS),
                  .late = answered ? (double)late / answered : 0,
                  .computed = w.computed};
}

static void print(const char *name, const result *r) {
  printf("%s: in time %.3f before, %.3f in the storm, %.3f in 3 s after it, "
         "%.3f later; %.3f of the answers late; %.1f million shared tokens "
         "computed\n",
         name, r->calm, r->storm, r->soon, r->after, r->late,
         r->computed / 1e6);
}

/* The mean of some replays. */
static result mean_of(pw_pick_policy how, uint64_t seed) {
  enum { REPLAYS = 4 };
  result sum = {0};
  for (uint64_t i = 0; i < REPLAYS; i++) {
    result one = replay(how, seed + i);
    sum.calm += one.calm / REPLAYS;
    sum.storm += one.storm / REPLAYS;
    sum.soon += one.soon / REPLAYS;
    sum.after += one.after / REPLAYS;
    sum.late += one.late / REPLAYS;
    sum.computed += one.computed / REPLAYS;
  }
  return sum;
}

/* The fleet is to be back to 0.95 of its calm value 3 s after the engines are, while the load holds. By the earlier
** decision it is not, and not even halfway. That under 5 % of the answers are late is missed by both and not asserted;
** they are under half as many as by the earlier decision. */
static void test_storm(void) {
  uint64_t seed = test_seed(74);
  result now = mean_of(PWPICK_BY_PREFILL, seed);
  result earlier = mean_of(PWPICK_BY_HOME, seed);
  print("by prefill", &now);
  print("by home", &earlier);
  CHECK(now.after >= 0.95 * now.calm);
  CHECK(earlier.after < 0.5 * earlier.calm);
  CHECK(now.calm > earlier.calm && now.storm > earlier.storm &&
        now.soon > earlier.soon);
  CHECK(now.late < 0.5 * earlier.late);
  CHECK(now.computed < earlier.computed);
}

int main(void) {
  TESTS_BEGIN("prefill storm");
  TEST(test_storm);
  TESTS_END();
}
