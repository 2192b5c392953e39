/* bench_policy.c: routing and admission decisions on a synthetic load, against naive policies.
**
** A discrete-event model with the code that entries and agents run (pwplace,
** pwroute, pwadmit, pwchat, pwbound). Engines prefill and decode at fixed
** rates, batch, and keep prompt prefixes in a cache of limited size. The seed
** is fixed, so the output is the same each run. */
#include "pwadmit.h"
#include "pwbuf.h"
#include "pwcache.h"
#include "pwchat.h"
#include "pwclock.h"
#include "pwmove.h"
#include "pwplace.h"
#include "pwroute.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#define ENTRIES 4
#define WORKSPACES 10
#define SLOTS 48            /* requests an engine batches */
#define CACHE_TOKENS 400000 /* prefix cache of an engine */
#define PREFILL 8000.0      /* prompt tokens a second */
#define STREAM 30.0         /* output tokens a second of one stream */
#define RATE 2000.0         /* load that an engine finishes per second */
#define REPORT_MS 250       /* between load reports */
#define DEADLINE_MS 60000
#define FLOOR 3000.0 /* tokens; a lower load is always within the bound */
/* Part of the way from the mean load to the bound that starts may use. */
#define MARGIN_EVENTS 0.9
#define EVENTS_MAX 4096     /* events of an engine not yet delivered */
#define EVENTS_LATE_MS 1000 /* delay of events to the agent */
#define EVENTS_LOST 0.02    /* share of event batches that lack one event */
#define IMPORT 40000.0 /* prompt tokens a second copied from another engine */

typedef enum policy {
  P_PEATWELL,
  P_MOVES,  /* the same, and engines copy each other's KV cache */
  P_EVENTS, /* the same, and engines publish cache events */
  P_ROUND_ROBIN,
  P_RANDOM,
  P_LEAST_STALE,
  P_TWO_CHOICES,
  P_STICKY,
  P_BOUNDED,
  P_ORACLE,
  P_COUNT
} policy;

static const char *const policy_names[] = {"peatwell",
                                           "peatwell, KV moved",
                                           "... and events, margin 0.9",
                                           "round robin",
                                           "random",
                                           "least loaded, stale",
                                           "two choices",
                                           "sticky hash",
                                           "bounded hash, no pointers",
                                           "all-knowing"};

typedef struct workload {
  const char *name;
  int targets, availability_zones, chats;
  double per_s; /* requests a second outside of bursts */
  double burst; /* factor on per_s in bursts */
  int burst_every_ms, burst_ms;
  int turns_max, tokens_per_turn, output;
  double returning; /* share of requests that continue a known chat */
  double big_share; /* share of requests from the two large workspaces */
  int seconds;
  double churn; /* share of the targets that leave or flap per minute */
} workload;

typedef struct chat {
  int turns;
  int workspace;
} chat;

typedef struct cached {
  int chat;
  int tokens;
  struct cached *prev, *next;
  UT_hash_handle hh;
} cached;

typedef struct job {
  int chat, workspace, entry, target;
  int prompt, cached, expected, output;
  double prefill; /* prompt tokens left to compute */
  double left;    /* output tokens left to generate */
  double cost;    /* load that the agent still counts for it */
  int64_t arrived, started;
  int running;
  pw_route_walk walk;
  struct engine *holder; /* has the prefix cached but refused as busy */
  struct engine *from;   /* engine to copy the prefix from, or NULL */
  int offered;           /* tokens of the prefix at the holder */
  struct job *next;
} job;

/* Cache events of an engine that its agent has not received yet. */
typedef struct event_log {
  pw_cache_event e[EVENTS_MAX];
  size_t n;
  uint64_t newest;
} event_log;

typedef struct engine {
  event_log *events; /* P_EVENTS */
  uint64_t id;
  uint32_t availability_zone;
  int up;
  int64_t back_at;
  cached *cache;
  int cache_used;
  pw_admit admit;
  pw_cache known; /* the agent's estimate of the cache */
  pw_move move;
  pw_chats *pointers;
  pw_pool_sum view;
  pw_report report[ENTRIES];
  double pending[ENTRIES];
  job *run[SLOTS];
  int nrun;
  int queued_plain; /* naive policies queue without a limit */
  job *first, *last;
  double load; /* actual load in progress, tokens */
} engine;

typedef struct result {
  long requests, done, refused;
  double prompt, hit;
  double skew_peak, skew_sum, skew_n, over_bound;
  double control_bytes;
  double *quiet_wait; /* ms; waits of requests of the small workspaces */
  int nquiet, cap;
  double first_p99;
  int64_t decide_ns;
  long decisions;
} result;

typedef struct world {
  workload w;
  policy p;
  uint64_t seed, draws;
  int64_t now;
  engine *e;
  int n;
  pw_place *place;
  uint64_t *ids;
  chat *chats;
  int nchats;
  int next_in_turn;
  result r;
  int entry; /* whose view of the loads get_route gives */
  double limit;
} world;

static uint64_t random_bits(world *w) {
  uint64_t in[2] = {w->seed, ++w->draws};
  return XXH3_64bits(in, sizeof in);
}

static double unit(world *w) {
  return (double)(random_bits(w) >> 11) / 9007199254740992.0;
}

/* --- the engine's cache --- */

static void chat_name(int id, char out[24]) {
  snprintf(out, 24, "c%d", id);
}

static void log_event(engine *e, int id, int tokens, int64_t now) {
  if (!e->events)
    return;
  event_log *l = e->events;
  l->newest++;
  if (l->n == EVENTS_MAX)
    return; /* the log is full; the agent sees a gap */
  pw_cache_event *v = &l->e[l->n++];
  *v = (pw_cache_event){
      .number = l->newest, .tokens = (uint32_t)tokens, .at = now};
  chat_name(id, v->chat);
}

static void cache_drop(engine *e, cached *c, int64_t now) {
  log_event(e, c->chat, 0, now);
  e->cache_used -= c->tokens;
  HASH_DEL(e->cache, c);
  free(c);
}

static int cache_find(engine *e, int id) {
  cached *c;
  HASH_FIND_INT(e->cache, &id, c);
  return c ? c->tokens : 0;
}

/* Returns the cached tokens of the prompt and caches all of it. uthash keeps insertion order, so the first
** entry is the least recently used. */
static int cache_use(engine *e, int id, int tokens, int64_t now) {
  cached *c;
  int hit = 0;
  HASH_FIND_INT(e->cache, &id, c);
  if (c) {
    hit = c->tokens < tokens ? c->tokens : tokens;
    e->cache_used -= c->tokens;
    HASH_DEL(e->cache, c);
  } else {
    c = pw_alloc(sizeof *c);
    c->chat = id;
  }
  c->tokens = tokens;
  e->cache_used += tokens;
  HASH_ADD_INT(e->cache, chat, c);
  log_event(e, id, tokens, now);
  while (e->cache_used > CACHE_TOKENS && e->cache != c)
    cache_drop(e, e->cache, now);
  return hit;
}

static void cache_clear(engine *e, int64_t now) {
  cached *c, *tmp;
  HASH_ITER(hh, e->cache, c, tmp) {
    cache_drop(e, c, now);
  }
}

/* Sends the agent a snapshot of the engine's cache. */
static void send_snapshot(engine *e, int64_t now) {
  size_t n = 0;
  pw_cache_event *list = pw_alloc(sizeof *list * (HASH_COUNT(e->cache) + 1));
  for (const cached *c = e->cache; c; c = c->hh.next) {
    list[n].tokens = (uint32_t)c->tokens;
    list[n].at = now;
    chat_name(c->chat, list[n++].chat);
  }
  pw_cache_update update = {.epoch = 1,
                            .newest = e->events->newest,
                            .is_snapshot = 1,
                            .at = now,
                            .event = list,
                            .n = n};
  pwcache_update(&e->known, &update);
  e->events->n = 0;
  free(list);
}

/* --- running --- */

static int is_peatwell(const world *w) {
  return w->p <= P_EVENTS;
}

/* Delivers events to the agent late, and sometimes loses one; the agent then gets a snapshot. */
static void deliver_events(world *w, engine *e) {
  event_log *l = e->events;
  size_t n = 0;
  while (n < l->n && l->e[n].at + EVENTS_LATE_MS <= w->now)
    n++;
  if (!n)
    return;
  size_t skip = unit(w) < EVENTS_LOST;
  pw_cache_update update = {.epoch = 1,
                            .newest = l->e[n - 1].number,
                            .event = l->e + skip,
                            .n = n - skip};
  int complete = pwcache_update(&e->known, &update);
  l->n -= n;
  memmove(l->e, l->e + n, sizeof *l->e * l->n);
  if (!complete)
    send_snapshot(e, w->now);
}

static void note_wait(world *w, const job *j) {
  if (j->workspace < 2)
    return; /* one of the two large workspaces */
  if (w->r.nquiet == w->r.cap) {
    w->r.cap = w->r.cap ? w->r.cap * 2 : 4096;
    w->r.quiet_wait =
        realloc(w->r.quiet_wait, sizeof(double) * (size_t)w->r.cap);
  }
  w->r.quiet_wait[w->r.nquiet++] = (double)(j->started - j->arrived);
}

static void start_job(world *w, engine *e, job *j) {
  char name[24];
  int moved = j->from ? cache_find(j->from, j->chat) : 0;
  j->cached = cache_use(e, j->chat, j->prompt, w->now);
  if (moved > j->prompt)
    moved = j->prompt;
  moved = moved > j->cached ? moved - j->cached : 0;
  j->cached += moved;
  j->started = w->now;
  j->running = 1;
  j->prefill = j->prompt - j->cached + moved * PREFILL / IMPORT;
  if (moved)
    pwmove_imported(&e->move, (uint32_t)j->offered, (uint32_t)moved,
                    moved * 1000 / IMPORT);
  pwmove_computed(&e->move, (uint32_t)(j->prompt - j->cached),
                  (j->prompt - j->cached) * 1000 / PREFILL);
  j->left = j->output;
  e->run[e->nrun++] = j;
  e->load += PWBOUND_PROMPT_WEIGHT * j->prefill + j->left;
  w->r.prompt += j->prompt;
  w->r.hit += j->cached;
  note_wait(w, j);
  chat_name(j->chat, name);
  if (is_peatwell(w)) {
    double more = PWBOUND_PROMPT_WEIGHT * (j->expected - j->cached);
    pwcache_note(&e->known, name, (uint32_t)j->prompt, (uint32_t)j->cached,
                 (uint32_t)j->expected, w->now);
    if (more > 0) { /* the answer's head reports more to compute */
      pwload_add(&e->admit.load, more, w->now);
      j->cost += more;
    }
  }
  if (w->now - j->arrived > DEADLINE_MS)
    w->r.refused++;
}

static const pw_pool_sum *view_of(void *arg, void *j) {
  engine *e = arg;
  (void)j;
  return &e->view;
}

static void end_job(world *w, engine *e, int i) {
  job *j = e->run[i];
  e->run[i] = e->run[--e->nrun];
  if (is_peatwell(w))
    pwadmit_end(&e->admit, j->cost, w->now);
  w->r.done++;
  free(j);
}

static void start_waiting(world *w, engine *e) {
  if (is_peatwell(w)) {
    job *j;
    while ((j = pwadmit_next(&e->admit, view_of, e, w->now)) != NULL)
      start_job(w, e, j);
    return;
  }
  while (e->first && e->nrun < SLOTS) {
    job *j = e->first;
    e->first = j->next;
    if (!e->first)
      e->last = NULL;
    e->queued_plain--;
    start_job(w, e, j);
  }
}

/* Subtracts finished work from the load of an engine and from its agent's count. */
static void progress(world *w, engine *e, job *j, double load) {
  e->load -= load;
  if (!is_peatwell(w))
    return;
  if (load > j->cost)
    load = j->cost;
  pwadmit_progress(&e->admit, load, w->now);
  j->cost -= load;
}

static void run_engine(world *w, engine *e, int ms) {
  double prefill = PREFILL * ms / 1000;
  if (!e->up)
    return;
  for (int i = 0; i < e->nrun;) {
    job *j = e->run[i];
    if (j->prefill > 0) {
      double done = prefill < j->prefill ? prefill : j->prefill;
      prefill -= done;
      j->prefill -= done;
      progress(w, e, j, done * PWBOUND_PROMPT_WEIGHT);
    } else {
      double done = STREAM * ms / 1000;
      done = done < j->left ? done : j->left;
      j->left -= done;
      progress(w, e, j, done);
    }
    if (j->prefill <= 0 && j->left <= 1e-9)
      end_job(w, e, i);
    else
      i++;
  }
  start_waiting(w, e);
}

/* --- dispatch --- */

static int get_route(void *arg, uint64_t id, pw_route_target *out) {
  world *w = arg;
  /* The upper half of an id is the index. */
  for (int i = (int)(id >> 32); i < w->n; i++) {
    engine *e = &w->e[i];
    if (e->id != id)
      return 0;
    *out =
        (pw_route_target){.id = id,
                          .usable = e->up,
                          .availability_zone = e->availability_zone,
                          .load = pwreport_low(&e->report[w->entry], w->now) +
                                  e->pending[w->entry],
                          .limit = w->limit};
    return 1;
  }
  return 0;
}

static engine *by_id(world *w, uint64_t id) {
  int i = (int)(id >> 32);
  return i < w->n && w->e[i].id == id ? &w->e[i] : NULL;
}

static pw_pool_sum sum_of(world *w, int entry) {
  pw_pool_sum s = {.at = w->now};
  for (int i = 0; i < w->n; i++) {
    if (!w->e[i].up)
      continue;
    s.targets++;
    pwpool_add(&s, &w->e[i].report[entry]);
  }
  return s;
}

static void put_pointer_at_home(world *w, const job *j, const engine *at) {
  char name[24], target[24];
  engine *home = by_id(w, pwplace_rank(w->place, j->walk.key, 0));
  if (!home || home == at || !home->up)
    return;
  chat_name(j->chat, name);
  snprintf(target, sizeof target, "%d", (int)(at - w->e));
  pwchat_put(home->pointers, name, target, 0, w->now);
  w->r.control_bytes += 90;
}

/* Sends the request to one agent. Returns 1 when the agent accepted it, 0 when it refused. */
static int try_agent(world *w, job *j, engine *e, const pw_route_pick *pick) {
  char name[24], target[PW_NAME_MAX];
  chat_name(j->chat, name);
  uint32_t known = pwcache_expect(&e->known, name, w->now);
  if (pick->need_prefix && !known) {
    if (!j->walk.pointer && pwchat_get(e->pointers, name, target, NULL, w->now))
      j->walk.pointer = w->e[atoi(target)].id;
    pwroute_refused(&j->walk, e->id, PW_REFUSED_PREFIX_MISS, 0, 0);
    return 0;
  }
  if ((int)known > j->prompt)
    known = (uint32_t)j->prompt;
  j->expected = (int)known;
  j->from = j->holder;
  if (known || !j->offered ||
      !pwmove_should_import(&e->move, (uint32_t)j->offered))
    j->from = NULL;
  double compute = j->prompt - (double)known;
  if (j->from)
    compute -= j->offered * (1 - pwmove_share(&e->move));
  j->cost = PWBOUND_PROMPT_WEIGHT * compute + j->output;
  char ws[24];
  snprintf(ws, sizeof ws, "w%d", j->workspace);
  pw_admit_request request = {.workspace = ws,
                              .weight = 1,
                              .priority = 4,
                              .cost = j->cost,
                              .recompute = known * pwmove_share(&e->move),
                              .deadline = j->arrived + DEADLINE_MS,
                              .may_queue = pick->may_queue,
                              .job = j};
  pw_admit_answer a = pwadmit_decide(&e->admit, &request, &e->view, w->now);
  if (a.evicted_job) {
    w->r.refused++;
    free(a.evicted_job);
  }
  if (a.verdict == PW_ADMIT_REFUSED) {
    if (known && w->p >= P_MOVES) {
      j->holder = e;
      j->offered = (int)known;
    }
    pwroute_refused(&j->walk, e->id, PW_REFUSED_BUSY, a.wait, a.worth);
    return 0;
  }
  e->pending[j->entry] += j->cost;
  if (a.verdict == PW_ADMIT_START)
    start_job(w, e, j);
  put_pointer_at_home(w, j, e);
  return 1;
}

static void dispatch_peatwell(world *w, job *j) {
  char name[24];
  chat_name(j->chat, name);
  j->walk = (pw_route_walk){
      .key = pwplace_key("m", name),
      .draw = random_bits(w),
      .availability_zone = 1 + (uint32_t)(j->entry % w->w.availability_zones),
      .cost = PWBOUND_PROMPT_WEIGHT * j->prompt + j->output,
      .returning = w->chats[j->chat].turns > 0};
  pw_route_pool pool = {w->place, w->ids, w->n, w, get_route};
  w->entry = j->entry;
  for (int hops = 0; hops <= PW_HOPS_MAX; hops++) {
    int64_t t = pwclock_ns();
    pw_route_pick pick = pwroute_next(&pool, &j->walk);
    w->r.decide_ns += pwclock_ns() - t;
    w->r.decisions++;
    engine *e = by_id(w, pick.id);
    if (!e)
      break;
    if (try_agent(w, j, e, &pick))
      return;
  }
  w->r.refused++;
  free(j);
}

static engine *random_up(world *w) {
  engine *e;
  do
    e = &w->e[random_bits(w) % (uint64_t)w->n];
  while (!e->up);
  return e;
}

static engine *least(world *w, int stale, int entry) {
  engine *best = NULL;
  double least_load = 0;
  for (int i = 0; i < w->n; i++) {
    engine *e = &w->e[i];
    double load = stale ? e->report[entry].tokens : e->load;
    if (e->up && (!best || load < least_load)) {
      best = e;
      least_load = load;
    }
  }
  return best;
}

static engine *sticky(world *w, const job *j, int bounded) {
  char name[24];
  chat_name(j->chat, name);
  uint64_t key = pwplace_key("m", name);
  double mean = 0;
  int up = 0;
  for (int i = 0; i < w->n; i++) {
    up += w->e[i].up;
    mean += w->e[i].up ? w->e[i].load : 0;
  }
  mean /= up;
  for (int rank = 0; rank < PW_PLACEMENT_RANKS; rank++) {
    engine *e = by_id(w, pwplace_rank(w->place, key, rank));
    if (!e || !e->up)
      continue;
    if (!bounded || e->load < PWBOUND_BOUND * mean || e->load < FLOOR)
      return e;
  }
  return random_up(w);
}

/* Sees every cache and every load: picks the longest cached prefix among the
** engines within the bound, else the least loaded. No real router can do this;
** it gives an upper bound. */
static engine *oracle(world *w, const job *j) {
  engine *best = NULL;
  double mean = 0;
  int up = 0, max = 0;
  for (int i = 0; i < w->n; i++) {
    up += w->e[i].up;
    mean += w->e[i].up ? w->e[i].load : 0;
  }
  mean /= up;
  for (int i = 0; i < w->n; i++) {
    engine *e = &w->e[i];
    int have = e->up ? cache_find(e, j->chat) : 0;
    double after =
        e->load + PWBOUND_PROMPT_WEIGHT * (j->prompt - have) + j->output;
    int fits = after <= PWBOUND_BOUND * mean || after <= FLOOR || e->load <= 0;
    if (have > max && fits) {
      max = have;
      best = e;
    }
  }
  return best ? best : least(w, 0, 0);
}

static void dispatch_naive(world *w, job *j) {
  engine *e = NULL;
  int64_t t = pwclock_ns();
  switch (w->p) {
  case P_ROUND_ROBIN:
    do
      e = &w->e[w->next_in_turn++ % w->n];
    while (!e->up);
    break;
  case P_LEAST_STALE:
    e = least(w, 1, j->entry);
    break;
  case P_TWO_CHOICES: {
    engine *a = random_up(w), *b = random_up(w);
    e = a->report[j->entry].tokens <= b->report[j->entry].tokens ? a : b;
    break;
  }
  case P_STICKY:
    e = sticky(w, j, 0);
    break;
  case P_BOUNDED:
    e = sticky(w, j, 1);
    break;
  case P_ORACLE:
    e = oracle(w, j);
    break;
  default:
    e = random_up(w);
    break;
  }
  w->r.decide_ns += pwclock_ns() - t;
  w->r.decisions++;
  if (e->nrun < SLOTS) {
    start_job(w, e, j);
    return;
  }
  j->next = NULL;
  if (e->last)
    e->last->next = j;
  else
    e->first = j;
  e->last = j;
  e->queued_plain++;
}

/* --- simulation --- */

static int pick_chat(world *w, int workspace) {
  if (w->nchats > WORKSPACES && unit(w) < w->w.returning) {
    /* Recent chats return more often than old ones. */
    double u = unit(w);
    int back = (int)(u * u * w->nchats);
    int c = w->nchats - 1 - back;
    if (w->chats[c].turns < w->w.turns_max)
      return c;
  }
  if (w->nchats == w->w.chats)
    return (int)(random_bits(w) % (uint64_t)w->nchats);
  w->chats[w->nchats] = (chat){0, workspace};
  return w->nchats++;
}

static void arrive(world *w) {
  job *j = pw_alloc(sizeof *j);
  int workspace = unit(w) < w->w.big_share ? (int)(random_bits(w) % 2)
                                           : 2 + (int)(random_bits(w) % 8);
  j->chat = pick_chat(w, workspace);
  chat *c = &w->chats[j->chat];
  j->workspace = c->workspace;
  j->entry = (int)(random_bits(w) % ENTRIES);
  j->prompt = 60 + (c->turns + 1) * w->w.tokens_per_turn;
  j->output = w->w.output / 2 + (int)(random_bits(w) % (uint64_t)w->w.output);
  j->arrived = w->now;
  w->r.requests++;
  if (is_peatwell(w))
    dispatch_peatwell(w, j);
  else
    dispatch_naive(w, j);
  if (c->turns < w->w.turns_max)
    c->turns++;
}

static void empty_engine(world *w, engine *e) {
  while (e->nrun) {
    job *j = e->run[--e->nrun];
    if (is_peatwell(w))
      pwadmit_end(&e->admit, j->cost, w->now);
    free(j);
  }
  while (e->first) {
    job *j = e->first;
    e->first = j->next;
    free(j);
  }
  e->last = NULL;
  e->queued_plain = 0;
  e->load = 0;
  cache_clear(e, w->now);
}

/* Takes targets down at random: half of them lose their cache and return empty
** after 15 s, the others only flap and keep it. */
static void churn(world *w, int ms) {
  double p = w->w.churn * w->n * ms / 60000.0;
  if (unit(w) < p) {
    engine *e = random_up(w);
    int flap = random_bits(w) % 2 == 0;
    if (!flap) {
      empty_engine(w, e);
      pwcache_restarted(&e->known);
      pwchat_clear(e->pointers);
    }
    e->up = 0;
    e->back_at = w->now + (flap ? 2000 : 15000);
  }
  for (int i = 0; i < w->n; i++)
    if (!w->e[i].up && w->now >= w->e[i].back_at)
      w->e[i].up = 1;
}

static void report(world *w) {
  for (int i = 0; i < w->n; i++) {
    engine *e = &w->e[i];
    for (int k = 0; k < ENTRIES; k++) {
      double tokens =
          is_peatwell(w) ? pwload_now(&e->admit.load, w->now) : e->load;
      e->report[k] = (pw_report){tokens, e->admit.load.rate, w->now};
      e->pending[k] = 0;
    }
  }
  for (int i = 0; i < w->n; i++)
    if (w->e[i].events)
      deliver_events(w, &w->e[i]);
  for (int i = 0; i < w->n; i++) {
    w->e[i].view = sum_of(w, i % ENTRIES);
    w->e[i].view.at -= REPORT_MS; /* as old as the Hello that it answers */
  }
  /* Bytes of each agent's Hello and Welcome, and of each entry's rows to its peers. */
  w->r.control_bytes +=
      w->n * 330.0 + (ENTRIES - 1) * (ENTRIES * 80 + w->n * 70.0) / 2;
}

static void measure(world *w) {
  double max = 0, sum = 0;
  int up = 0;
  for (int i = 0; i < w->n; i++) {
    if (!w->e[i].up)
      continue;
    up++;
    sum += w->e[i].load;
    max = w->e[i].load > max ? w->e[i].load : max;
  }
  double mean = sum / up;
  if (mean < FLOOR / 3)
    return; /* near idle, where the load floor decides */
  double skew = max / mean;
  double floor_skew = FLOOR / mean;
  double bound = floor_skew > PWBOUND_BOUND ? floor_skew : PWBOUND_BOUND;
  w->r.skew_n++;
  w->r.skew_sum += skew;
  w->r.over_bound += skew > bound;
  w->r.skew_peak = skew > w->r.skew_peak ? skew : w->r.skew_peak;
}

static int by_value(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

/* With cache events, starts may use more of the way from the mean load to the bound. */
static pw_bound bound_of(const world *w) {
  pw_bound b = PWBOUND_DEFAULT;
  b.floor = FLOOR;
  if (w->p == P_EVENTS)
    b.margin = MARGIN_EVENTS;
  return b;
}

static void build(world *w) {
  pw_place_target *pt = pw_alloc(sizeof *pt * (size_t)w->w.targets);
  w->n = w->w.targets;
  w->e = pw_alloc(sizeof *w->e * (size_t)w->n);
  w->ids = pw_alloc(sizeof *w->ids * (size_t)w->n);
  w->chats = pw_alloc(sizeof *w->chats * (size_t)w->w.chats);
  for (int i = 0; i < w->n; i++) {
    engine *e = &w->e[i];
    e->id = ((uint64_t)i << 32) | (0x1234567 + (uint32_t)i * 7919U);
    e->availability_zone = 1 + (uint32_t)(i % w->w.availability_zones);
    e->up = 1;
    pwcache_init(&e->known);
    pwmove_init(&e->move, w->p == P_MOVES || w->p == P_EVENTS);
    e->events = w->p == P_EVENTS ? pw_alloc(sizeof *e->events) : NULL;
    if (e->events)
      send_snapshot(e, 0);
    e->pointers = pwchat_new(PW_POINTERS_MAX, PW_POINTER_KEEP_MS);
    pwadmit_init(&e->admit, SLOTS, 256, RATE, 0);
    e->admit.bound = bound_of(w);
    e->view = (pw_pool_sum){.targets = w->n};
    w->ids[i] = e->id;
    pt[i] = (pw_place_target){e->id, 1};
  }
  w->place = pwplace_build(pt, w->n, NULL);
  free(pt);
}

static void tear_down(world *w) {
  for (int i = 0; i < w->n; i++) {
    empty_engine(w, &w->e[i]);
    pwadmit_free(&w->e[i].admit);
    pwcache_free(&w->e[i].known);
    pwchat_free(w->e[i].pointers);
    free(w->e[i].events);
  }
  pwplace_free(w->place);
  free(w->e);
  free(w->ids);
  free(w->chats);
}

static void simulate(world *w) {
  const int ms = 5;
  build(w);
  double arrivals = 0;
  while (w->now < w->w.seconds * 1000LL) {
    w->now += ms;
    if (w->w.churn > 0)
      churn(w, ms);
    if (w->now % REPORT_MS == 0)
      report(w);
    if (w->now % 50 == 0) {
      pw_pool_sum s = sum_of(w, 0);
      pw_bound b = bound_of(w);
      w->limit = pwbound_limit(&s, &b, w->now);
      measure(w);
    }
    int burst =
        w->w.burst_every_ms && w->now % w->w.burst_every_ms < w->w.burst_ms;
    arrivals += w->w.per_s * (burst ? w->w.burst : 1) * ms / 1000;
    int due = (int)arrivals;
    arrivals -= due;
    while (due-- > 0)
      arrive(w);
    for (int i = 0; i < w->n; i++)
      run_engine(w, &w->e[i], ms);
  }
  tear_down(w);
}

static double p99(double *v, int n) {
  if (!n)
    return 0;
  qsort(v, (size_t)n, sizeof *v, by_value);
  return v[(int)((n - 1) * 0.99)];
}

static void print_row(world *w) {
  const result *r = &w->r;
  double last = p99(r->quiet_wait, r->nquiet); /* sorts */
  double p95 = r->nquiet ? r->quiet_wait[(int)((r->nquiet - 1) * 0.95)] : 0;
  printf("| %-25s | %5.1f | %6.2f | %5.2f | %5.1f | %6.2f | %6.0f | %6.0f | "
         "%6.0f |\n",
         policy_names[w->p], r->prompt ? 100 * r->hit / r->prompt : 0,
         r->skew_peak, r->skew_n ? r->skew_sum / r->skew_n : 0,
         r->skew_n ? 100 * r->over_bound / r->skew_n : 0,
         100.0 * (double)r->refused / (double)r->requests, p95, last,
         is_peatwell(w) ? r->control_bytes / w->w.seconds / ENTRIES : 0);
  fflush(stdout);
}

/* --- charts --- */

typedef struct bar {
  char workload[64];
  int p;
  double hit, skew, wait;
} bar;

static bar bars[64];
static int nbars;

static void add_bar(const world *w, double p99_wait) {
  bar *b = &bars[nbars++];
  pw_copy(b->workload, sizeof b->workload, w->w.name);
  b->p = w->p;
  b->hit = w->r.prompt ? 100 * w->r.hit / w->r.prompt : 0;
  b->skew = w->r.skew_n ? w->r.skew_sum / w->r.skew_n : 0;
  b->wait = p99_wait;
}

static void draw_panel(FILE *f, int x, int y, const char *title,
                       const char *name, int what, double max) {
  fprintf(f, "<text x='%d' y='%d' font-weight='bold'>%s</text>\n", x, y - 8,
          title);
  int row = 0;
  for (int i = 0; i < nbars; i++) {
    if (strcmp(bars[i].workload, name) != 0)
      continue;
    double v = what == 0   ? bars[i].hit
               : what == 1 ? bars[i].skew
                           : bars[i].wait;
    double width = v / max * 150;
    fprintf(f,
            "<rect x='%d' y='%d' width='%.1f' height='13' fill='%s'/>"
            "<text x='%d' y='%d'>%s %.4g</text>\n",
            x, y + row * 17, width > 150 ? 150 : width,
            bars[i].p <= P_EVENTS   ? "#2a6f97"
            : bars[i].p == P_ORACLE ? "#8ab17d"
                                    : "#c9ced6",
            x + 4, y + row * 17 + 11, policy_names[bars[i].p], v);
    row++;
  }
}

static void draw(const char *path) {
  FILE *f = fopen(path, "w");
  if (!f)
    return;
  int height = nbars / P_COUNT * (P_COUNT * 17 + 54) + 20;
  fprintf(f,
          "<svg xmlns='http://www.w3.org/2000/svg' width='760' "
          "height='%d' font-family='sans-serif' font-size='11'>\n"
          "<rect width='760' height='%d' fill='white'/>\n",
          height, height);
  int y = 40;
  for (int i = 0; i < nbars; i += P_COUNT) {
    fprintf(f, "<text x='10' y='%d' font-size='13'>%s</text>\n", y - 22,
            bars[i].workload);
    draw_panel(f, 10, y, "prompt tokens cached, %", bars[i].workload, 0, 100);
    draw_panel(f, 260, y, "skew: busiest over mean", bars[i].workload, 1, 3);
    draw_panel(f, 510, y, "quiet wait, 99th, ms", bars[i].workload, 2, 12000);
    y += P_COUNT * 17 + 54;
  }
  fprintf(f, "</svg>\n");
  fclose(f);
}

static void run_workload(const workload *wl) {
  printf("\n### %s: %d targets, %.0f requests/s, bursts x%.0f, churn %.0f%% a "
         "minute\n\n",
         wl->name, wl->targets, wl->per_s, wl->burst, wl->churn * 100);
  printf("| policy | cache hit %% | skew peak | skew mean | time over bound %% "
         "| refused %% | quiet wait p95 ms | p99 | control B/s a router |\n");
  printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (int p = 0; p < P_COUNT; p++) {
    world *w = pw_alloc(sizeof *w);
    w->w = *wl;
    w->p = (policy)p;
    w->seed = 7;
    simulate(w);
    print_row(w);
    add_bar(w, p99(w->r.quiet_wait, w->r.nquiet));
    free(w->r.quiet_wait);
    free(w);
  }
}

/* --- cost of a decision --- */

typedef struct cost_pool {
  pw_route_target *t;
} cost_pool;

static int cost_get(void *arg, uint64_t id, pw_route_target *out) {
  const cost_pool *c = arg;
  *out = c->t[id >> 32];
  return 1;
}

static void decision_cost(int n) {
  pw_place_target *pt = pw_alloc(sizeof *pt * (size_t)n);
  cost_pool c = {pw_alloc(sizeof *c.t * (size_t)n)};
  uint64_t *ids = pw_alloc(sizeof *ids * (size_t)n);
  for (int i = 0; i < n; i++) {
    ids[i] = ((uint64_t)i << 32) | 99;
    pt[i] = (pw_place_target){ids[i], 1};
    c.t[i] = (pw_route_target){.id = ids[i], .usable = 1, .limit = 1000};
    c.t[i].load = i % 4 == 0 ? 990 : 100;
  }
  int64_t t0 = pwclock_ns();
  pw_place *p = pwplace_build(pt, n, NULL);
  int64_t t1 = pwclock_ns();
  pw_place *q = pwplace_build(pt, n - 1, p);
  int64_t t2 = pwclock_ns();
  pw_route_pool pool = {p, ids, n, &c, cost_get};
  const int rounds = 2000000;
  uint64_t sink = 0;
  int64_t t3 = pwclock_ns();
  for (int i = 0; i < rounds; i++) {
    pw_route_walk walk = {.key = (uint64_t)i * 0x9e3779b97f4a7c15ULL,
                          .draw = (uint64_t)i * 0xbf58476d1ce4e5b9ULL,
                          .cost = 20,
                          .returning = i & 1};
    sink ^= pwroute_next(&pool, &walk).id;
  }
  int64_t t4 = pwclock_ns();
  printf("| %d | %.0f | %d | %.1f | %.2f |\n", n,
         (double)(t4 - t3) / rounds + (double)(sink & 0),
         (int)sizeof(pw_route_walk), (double)(t1 - t0) / 1e6,
         (double)(t2 - t1) / 1e6);
  pwplace_free(p);
  pwplace_free(q);
  free(pt);
  free(c.t);
  free(ids);
}

int main(int argc, char **argv) {
  const workload loads[] = {
      {"Estonia, register", 20, 4, 40000, 55, 1, 0, 0, 12, 700, 300, 0.8, 0.6,
       600, 0},
      {"Estonia, register under churn", 20, 4, 40000, 55, 1, 0, 0, 12, 700, 300,
       0.8, 0.6, 600, 0.05},
      {"Brittany, exams in bursts", 20, 3, 40000, 30, 5, 60000, 8000, 6, 350,
       250, 0.7, 0.6, 600, 0},
      {"Brittany, exams under churn", 20, 3, 40000, 30, 5, 60000, 8000, 6, 350,
       250, 0.7, 0.6, 600, 0.05},
      {"200 targets under churn", 200, 8, 100000, 550, 1, 0, 0, 12, 700, 300,
       0.8, 0.6, 120, 0.05},
  };
  printf("Seed 7; the same output each run but for the times of the last "
         "table.\n");
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    if (argc < 2 || !strcmp(argv[1], "all") || strstr(loads[i].name, argv[1]))
      run_workload(&loads[i]);
  printf(
      "\n### Cost of a decision\n\n| targets in the pool | ns a pick | bytes "
      "of a walk | first build ms | one leaves ms |\n"
      "| --- | --- | --- | --- | --- |\n");
  if (argc > 2)
    draw(argv[2]);
  const int sizes[] = {20, 200, 1500, 2000, 12000};
  for (int i = 0; i < 5; i++)
    decision_cost(sizes[i]);
  return 0;
}
