/* bench_overload.c: load curves of several gateways in front of model engines, with the
** decision code of gateways (pwpick, pwshed, pwshare) and with simpler policies; for a small
** site and for a large one, whose hundred gateways learn each other's loads late.
**
** An engine is simulated as a batch of slots that generates tokens the slower the more
** requests run, reads prompts in chunks in between, and caches shared parts of prompts with
** LRU eviction. Callers retry once. The same seed gives the same output; no clock is read. */
#include "pwbuf.h"
#include "pwpick.h"
#include "pwshare.h"
#include "pwshed.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Array sizes: the largest values of the sites below. */
#define TARGETS 180
#define SLOTS 48
#define QUEUE 144
#define GATEWAYS 103
#define PROMPTS 850
#define KINDS 3

#define FIRST_MS 47
#define CHUNK 2048.0 /* prompt tokens read between two generated tokens */
#define MOVE_MS 4    /* to copy a cached prompt from another engine */

/* The simulated period in ms: normal load, a burst, normal load. Requests count from
** COUNT_FROM on, when the burst has reached its steady state. */
#define BURST_FROM 3000
#define COUNT_FROM 5000
#define JOBS_MAX 400000

typedef struct kind {
  const char *name;
  double per_s;             /* requests per second at normal load */
  double worth, late_worth; /* value of an answer in goal_ms; of a later one */
  int urgency, goal_ms, deadline_ms;
  double shared, own, out; /* tokens: shared and own prompt part, output */
} kind;

/* A site: engines, gateways, and the requests that arrive. */
typedef struct shape {
  const char *name;
  int targets, slots;
  int queue; /* requests that an engine queues beyond its slots */
  int gateways;
  int update_ms;     /* interval of load updates through aggregators */
  int update_all_ms; /* the same where each gateway sends to each */
  int prompts;       /* shared prompt parts of each kind */
  double step_ms, step_slot_ms;     /* a token, and more per running request */
  double read_per_ms, cache_tokens; /* prompt tokens read per ms; cache size */
  int burst_ms, end_ms, seeds;
  double callers; /* mean per gateway, drawn at random; 0: the same for all */
  kind kinds[KINDS];
} shape;

#define SHAPES 2
static const shape shapes[SHAPES] = {
    {.name = "small",
     .targets = 18,
     .slots = 48,
     .queue = 144,
     .gateways = 4,
     .update_ms = 100,
     .update_all_ms = 100,
     .prompts = 100,
     .step_ms = 3.2,
     .step_slot_ms = 0.05,
     .read_per_ms = 112,
     .cache_tokens = 400000,
     .burst_ms = 14000,
     .end_ms = 24000,
     .seeds = 3,
     .kinds = {{"chat", 59, 2.1, 0.62, 0, 300, 10000, 700, 130, 290},
               {"review", 42, 4.3, 1.3, 1, 600, 12000, 10500, 1300, 380},
               {"check", 72, 0.41, 0.12, 2, 400, 2500, 2000, 360, 22}}},
    {.name = "large",
     .targets = 180,
     .slots = 12,
     .queue = 36,
     .gateways = 103,
     .update_ms = 150,
     .update_all_ms = 816,
     .prompts = 850,
     .step_ms = 2.2,
     .read_per_ms = 140,
     .cache_tokens = 444000,
     .burst_ms = 6000,
     .end_ms = 11000,
     .seeds = 1,
     .callers = 3.6,
     .kinds = {{"chat", 377, 2.3, 0.69, 0, 400, 8000, 700, 130, 290},
               {"review", 247, 5.1, 1.5, 1, 600, 8000, 10500, 1300, 380},
               {"check", 722, 0.31, 0.092, 2, 500, 2500, 2000, 360, 22}}},
};

typedef enum policy {
  CHOSEN,    /* as gateways do: a slot or a refusal at once */
  NO_SHARES, /* as CHOSEN, without shares of the slots; each gateway sends its load to each */
  AT_TARGETS, /* a prompt's home target while it has a slot, else the shortest queue */
  LIMIT,  /* any free slot, else a refusal; no queue, no preferred target */
  RANDOM, /* as LIMIT, with random refusals, more the fuller the engines are */
  ORACLE, /* as CHOSEN, with one gateway that sees every load at once */
  POLICIES
} policy;

static const char *const policy_names[POLICIES] = {"chosen",
                                                   "no parts",
                                                   "queues at targets",
                                                   "fixed limit",
                                                   "random early refusal",
                                                   "all-knowing"};

typedef enum job_state { IDLE, QUEUED, RUNS, DONE } job_state;

typedef struct job {
  int kind, prompt, gateway, target;
  job_state state;
  int arrived_at, retry_at, deadline_at; /* ms */
  int tries;
  double prompt_left, output_left;
  int first_at; /* ms of its first token; -1: none yet */
} job;

typedef struct engine {
  job *running[SLOTS], *queue[QUEUE];
  int nrunning, nqueue;
  int used[KINDS][PROMPTS]; /* ms of its last use here; -1: not cached */
} engine;

typedef struct gateway {
  pw_shed shed;
  pw_share share;
  double others_rate; /* requests per second at the others, as last reported */
  double callers;     /* cumulated over the gateways up to this one */
  int inflight[TARGETS], others[TARGETS];
  int own, others_total; /* sums of inflight and of others */
} gateway;

typedef struct figures {
  double requests, in_goal, late, refused, failed, earned, possible, moved,
      recomputed;
  double kind_earned[KINDS], kind_possible[KINDS];
} figures;

typedef struct world {
  const shape *s;
  policy pol;
  double load;
  uint64_t seed, draws;
  int now, ngateways;
  engine engine[TARGETS];
  gateway gateway[GATEWAYS];
  job *job;
  int njobs;
  figures f;
} world;

static double random_unit(world *w) {
  uint64_t in[2] = {w->seed, ++w->draws};
  return (double)(XXH3_64bits(in, sizeof in) >> 11) / 9007199254740992.0;
}

/* --- results of requests --- */

static int is_counted(const world *w, const job *j) {
  return j->arrived_at >= COUNT_FROM &&
         j->arrived_at < BURST_FROM + w->s->burst_ms;
}

static void end_job(world *w, job *j, double earned) {
  const kind *k = &w->s->kinds[j->kind];
  j->state = DONE;
  if (!is_counted(w, j))
    return;
  w->f.earned += earned;
  w->f.kind_earned[j->kind] += earned / k->worth;
}

static void answered(world *w, job *j) {
  const kind *k = &w->s->kinds[j->kind];
  int in_goal = j->first_at - j->arrived_at <= k->goal_ms;
  if (is_counted(w, j)) {
    w->f.in_goal += in_goal;
    w->f.late += !in_goal;
  }
  end_job(w, j, in_goal ? k->worth : k->late_worth);
}

static void refused(world *w, job *j, int retry_ms) {
  const kind *k = &w->s->kinds[j->kind];
  int left = j->arrived_at + k->deadline_ms - w->now;
  if (j->tries < 2 && retry_ms < left) {
    j->state = IDLE;
    j->retry_at = w->now + retry_ms;
    return;
  }
  if (is_counted(w, j))
    w->f.refused++;
  end_job(w, j, 0);
}

static void failed(world *w, job *j) {
  if (is_counted(w, j))
    w->f.failed++;
  end_job(w, j, 0);
}

/* --- engines --- */

static int caches(const engine *e, int kind_of, int prompt) {
  return e->used[kind_of][prompt] >= 0;
}

static void evict(const shape *s, engine *e) {
  for (;;) {
    double sum = 0;
    int at_kind = 0, at_prompt = -1;
    for (int k = 0; k < KINDS; k++)
      for (int p = 0; p < s->prompts; p++) {
        if (!caches(e, k, p))
          continue;
        sum += s->kinds[k].shared;
        if (at_prompt < 0 || e->used[k][p] < e->used[at_kind][at_prompt]) {
          at_kind = k;
          at_prompt = p;
        }
      }
    if (sum <= s->cache_tokens)
      return;
    e->used[at_kind][at_prompt] = -1;
  }
}

static int is_cached_elsewhere(const world *w, const job *j) {
  for (int i = 0; i < w->s->targets; i++)
    if (i != j->target && caches(&w->engine[i], j->kind, j->prompt))
      return 1;
  return 0;
}

static void start_run(world *w, engine *e, job *j) {
  const kind *k = &w->s->kinds[j->kind];
  j->state = RUNS;
  j->prompt_left = k->own + FIRST_MS * w->s->read_per_ms / 10;
  if (!caches(e, j->kind, j->prompt)) {
    int moves = is_cached_elsewhere(w, j);
    j->prompt_left += moves ? MOVE_MS * w->s->read_per_ms : k->shared;
    w->f.moved += moves * k->shared / 1000;
    w->f.recomputed += !moves * k->shared / 1000;
  }
  int fresh = !caches(e, j->kind, j->prompt);
  e->used[j->kind][j->prompt] = w->now;
  if (fresh)
    evict(w->s, e);
  e->running[e->nrunning++] = j;
}

static void release_slot(world *w, job *j) {
  w->gateway[j->gateway].inflight[j->target]--;
  w->gateway[j->gateway].own--;
}

static void drop_queued(world *w, engine *e) {
  int n = 0;
  for (int i = 0; i < e->nqueue; i++) {
    job *j = e->queue[i];
    if (w->now < j->deadline_at) {
      e->queue[n++] = j;
      continue;
    }
    release_slot(w, j);
    failed(w, j);
  }
  e->nqueue = n;
}

static void fill_slots(world *w, engine *e) {
  int taken = 0;
  while (e->nrunning < w->s->slots && taken < e->nqueue)
    start_run(w, e, e->queue[taken++]);
  e->nqueue -= taken;
  memmove(e->queue, e->queue + taken, sizeof(job *) * (size_t)e->nqueue);
}

/* Simulates 1 ms: one request reads its prompt in chunks while the others generate tokens. */
static void run_ms(world *w, engine *e) {
  double step = w->s->step_ms + w->s->step_slot_ms * e->nrunning;
  double chunk_ms = CHUNK / w->s->read_per_ms;
  job *reader = NULL;
  for (int i = 0; !reader && i < e->nrunning; i++)
    if (e->running[i]->prompt_left > 0)
      reader = e->running[i];
  double token_ms = reader ? step + chunk_ms : step;
  if (reader)
    reader->prompt_left -= CHUNK / token_ms;
  int n = 0;
  for (int i = 0; i < e->nrunning; i++) {
    job *j = e->running[i];
    if (j->prompt_left <= 0) {
      if (j->first_at < 0)
        j->first_at = w->now;
      j->output_left -= 1 / token_ms;
    }
    if (j->output_left > 0 && w->now < j->deadline_at) {
      e->running[n++] = j;
      continue;
    }
    release_slot(w, j);
    if (j->output_left <= 0)
      answered(w, j);
    else
      failed(w, j);
  }
  e->nrunning = n;
}

/* --- decisions --- */

static uint64_t key_of(const job *j) {
  uint64_t both[2] = {(uint64_t)j->kind + 1, (uint64_t)j->prompt};
  return XXH3_64bits(both, sizeof both);
}

static void fill_rows(const world *w, const gateway *g, double reserve,
                      pw_pick *row) {
  for (int i = 0; i < w->s->targets; i++)
    row[i] = (pw_pick){.id = (uint64_t)i * 2654435761u + 17,
                       .load = g->inflight[i] + g->others[i],
                       .slots = floor(w->s->slots * (1 - reserve)),
                       .work_ms = 50,
                       .is_usable = 1,
                       .is_alive = 1};
}

static int uses_classes(const world *w) {
  return w->pol == CHOSEN || w->pol == NO_SHARES || w->pol == ORACLE;
}

/* The target for a request, or -1. */
static int pick(world *w, const gateway *g, const job *j, double reserve) {
  static const pw_pick_bound bound = {1.6, 2, 0, 0};
  static const pw_pick_bound boundless = {1e9, 1e9, 0, 0};
  pw_pick row[TARGETS];
  fill_rows(w, g, reserve, row);
  if (uses_classes(w))
    return pwpick_home(row, w->s->targets, key_of(j), bound);
  double wait_ms = w->pol == AT_TARGETS ? 1e9 : 0;
  int best = w->pol == AT_TARGETS
                 ? pwpick_home(row, w->s->targets, key_of(j), bound)
                 : -1;
  return best >= 0 ? best
                   : pwpick_least(row, w->s->targets, wait_ms, random_unit(w),
                                  boundless);
}

static void send(world *w, gateway *g, job *j, int target) {
  engine *e = &w->engine[target];
  j->target = target;
  if (e->nqueue == w->s->queue) {
    refused(w, j, 700);
    return;
  }
  g->inflight[target]++;
  g->own++;
  j->state = QUEUED;
  e->queue[e->nqueue++] = j;
}

static int is_last(const world *w, const job *j) {
  return j->tries > 1 || w->now - j->arrived_at > w->s->kinds[j->kind].goal_ms;
}

/* Whether a gateway already uses its share of the slots. */
static int uses_its_share(world *w, const gateway *g, double reserve) {
  double mine = pwshare_rate(&g->share, w->now);
  double slots =
      pwshare_slots(mine, mine + g->others_rate, w->s->targets * w->s->slots,
                    g->own + g->others_total, reserve);
  return g->own + random_unit(w) > slots;
}

static int try_dispatch(world *w, gateway *g, job *j) {
  int urgency = w->s->kinds[j->kind].urgency;
  double reserve =
      uses_classes(w) ? pwshed_reserve(&g->shed, urgency, is_last(w, j)) : 0;
  if (w->pol == CHOSEN && uses_its_share(w, g, reserve))
    return 0;
  int target = pick(w, g, j, w->pol == CHOSEN ? 0 : reserve);
  if (target < 0)
    return 0;
  send(w, g, j, target);
  return 1;
}

static double fullness(const world *w, const gateway *g) {
  return (double)(g->own + g->others_total) / (w->s->targets * w->s->slots);
}

static void admit(world *w, job *j) {
  gateway *g = &w->gateway[j->gateway];
  int urgency = w->s->kinds[j->kind].urgency;
  j->tries++;
  pwshare_note(&g->share, w->now);
  if (w->pol == RANDOM && random_unit(w) < 2 * (fullness(w, g) - 0.5)) {
    refused(w, j, 100 + (int)(700 * random_unit(w)));
    return;
  }
  int dispatched = try_dispatch(w, g, j);
  if (uses_classes(w))
    pwshed_note(&g->shed, urgency, is_last(w, j), dispatched, w->now);
  if (dispatched)
    return;
  int retry = uses_classes(w) ? (int)pwshed_retry_ms(j->deadline_at - w->now, 0,
                                                     random_unit(w))
                              : 100 + (int)(700 * random_unit(w));
  refused(w, j, retry);
}

/* --- simulation --- */

static double load_at(const world *w) {
  int in_burst = w->now >= BURST_FROM && w->now < BURST_FROM + w->s->burst_ms;
  return in_burst ? w->load : 1;
}

/* Draws a gateway at random, weighted by its callers. */
static int draw_gateway(world *w) {
  double drawn = random_unit(w) * w->gateway[w->ngateways - 1].callers;
  int g = 0;
  while (w->gateway[g].callers < drawn)
    g++;
  return g;
}

static void new_job(world *w, int kind_of) {
  const kind *k = &w->s->kinds[kind_of];
  if (w->njobs == JOBS_MAX)
    abort();
  job *j = &w->job[w->njobs++];
  double size =
      exp(0.6 * (random_unit(w) + random_unit(w) + random_unit(w) - 1.5));
  *j = (job){.kind = kind_of,
             .prompt = (int)(random_unit(w) * w->s->prompts),
             .gateway = draw_gateway(w),
             .arrived_at = w->now,
             .deadline_at = w->now + k->deadline_ms,
             .output_left = k->out * size,
             .first_at = -1};
  if (is_counted(w, j)) {
    w->f.requests++;
    w->f.possible += k->worth;
    w->f.kind_possible[kind_of]++;
  }
  admit(w, j);
}

static void arrivals(world *w) {
  for (int k = 0; k < KINDS; k++) {
    double due = w->s->kinds[k].per_s * load_at(w) / 1000;
    while (due > 0) {
      if (random_unit(w) < due)
        new_job(w, k);
      due -= 1;
    }
  }
}

/* Retries of callers whose wait is over; requests older than 12 s are past every deadline. */
static void retry_jobs(world *w) {
  int oldest = w->now - 12000;
  for (int i = w->njobs - 1; i >= 0 && w->job[i].arrived_at >= oldest; i--) {
    job *j = &w->job[i];
    if (j->state != IDLE || j->retry_at > w->now)
      continue;
    admit(w, j);
  }
}

static int update_interval(const world *w) {
  if (w->pol == ORACLE)
    return 1;
  return w->pol == CHOSEN ? w->s->update_ms : w->s->update_all_ms;
}

static void exchange_loads(world *w) {
  double rate = 0;
  if (w->now % update_interval(w))
    return;
  for (int g = 0; g < w->ngateways; g++) {
    rate += pwshare_rate(&w->gateway[g].share, w->now);
    w->gateway[g].others_total = 0;
  }
  for (int g = 0; g < w->ngateways; g++)
    w->gateway[g].others_rate =
        rate - pwshare_rate(&w->gateway[g].share, w->now);
  for (int i = 0; i < w->s->targets; i++) {
    int sum = 0;
    for (int g = 0; g < w->ngateways; g++)
      sum += w->gateway[g].inflight[i];
    for (int g = 0; g < w->ngateways; g++) {
      w->gateway[g].others[i] = sum - w->gateway[g].inflight[i];
      w->gateway[g].others_total += w->gateway[g].others[i];
    }
  }
}

static void simulate_ms(world *w) {
  exchange_loads(w);
  arrivals(w);
  retry_jobs(w);
  for (int i = 0; i < w->s->targets; i++) {
    drop_queued(w, &w->engine[i]);
    fill_slots(w, &w->engine[i]);
    run_ms(w, &w->engine[i]);
  }
}

/* Draws a gateway's number of callers, Poisson distributed with mean s->callers. */
static int draw_callers(world *w) {
  double least = exp(-w->s->callers), product = random_unit(w);
  int n = 0;
  for (; product > least; n++)
    product *= random_unit(w);
  return n;
}

static void init_gateways(world *w) {
  double callers = 0;
  for (int g = 0; g < w->ngateways; g++) {
    callers += w->s->callers > 0 ? draw_callers(w) + 0.1 : 1;
    w->gateway[g].callers = callers;
    pwshed_init(&w->gateway[g].shed, 0);
  }
}

static figures simulate(const shape *s, policy pol, double load,
                        uint64_t seed) {
  world *w = pw_alloc(sizeof *w);
  w->job = pw_alloc(sizeof *w->job * JOBS_MAX);
  w->s = s;
  w->pol = pol;
  w->load = load;
  w->seed = seed;
  w->ngateways = pol == ORACLE ? 1 : s->gateways;
  for (int i = 0; i < s->targets; i++)
    memset(w->engine[i].used, 0xff, sizeof w->engine[i].used);
  init_gateways(w);
  for (w->now = 0; w->now < s->end_ms; w->now++)
    simulate_ms(w);
  figures f = w->f;
  free(w->job);
  free(w);
  return f;
}

/* --- output --- */

#define LOADS 7
static const double loads[LOADS] = {1, 2, 3, 4, 6, 8, 10};

static void add(figures *to, const figures *f, int seeds) {
  double *a = (double *)to;
  const double *b = (const double *)f;
  for (size_t i = 0; i < sizeof *to / sizeof *a; i++)
    a[i] += b[i] / seeds;
}

static void print_row(const shape *sh, policy pol, double load,
                      const figures *f) {
  double s = (BURST_FROM + sh->burst_ms - COUNT_FROM) / 1000.0;
  printf("| %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f |",
         policy_names[pol], load, f->requests / s, f->in_goal / s, f->late / s,
         f->refused / s, f->failed / s, f->earned / f->possible);
  for (int k = 0; k < KINDS; k++)
    printf(" %.2f", f->kind_earned[k] / f->kind_possible[k]);
  printf(" | %.0f | %.0f |\n", f->moved, f->recomputed);
}

/* Writes the curves as SVG; `scale` is the worth of answers per second that one pixel stands for. */
static void plot(const char *path, double earned[POLICIES][LOADS],
                 double scale) {
  static const char *const colours[POLICIES] = {"#1b6", "#c3c", "#c33",
                                                "#c90", "#999", "#36c"};
  FILE *f = fopen(path, "w");
  if (!f) {
    fprintf(stderr, "%s: cannot be written\n", path);
    exit(1);
  }
  fprintf(f, "<svg xmlns='http://www.w3.org/2000/svg' width='640' height='340' "
             "font-family='sans-serif' font-size='12'>\n"
             "<text x='20' y='20'>credit earned a second, by times the usual "
             "load</text>\n");
  for (int p = 0; p < POLICIES; p++) {
    fprintf(f, "<polyline fill='none' stroke='%s' stroke-width='2' points='",
            colours[p]);
    for (int i = 0; i < LOADS; i++)
      fprintf(f, "%.0f,%.0f ", 40 + loads[i] * 42, 310 - earned[p][i] / scale);
    fprintf(f, "'/>\n<text x='480' y='%d' fill='%s'>%s</text>\n", 60 + 20 * p,
            colours[p], policy_names[p]);
  }
  for (int i = 0; i < LOADS; i++)
    fprintf(f, "<text x='%.0f' y='330'>%.0f</text>\n", 36 + loads[i] * 42,
            loads[i]);
  fprintf(f, "</svg>\n");
  fclose(f);
}

static void run_shape(const shape *sh, double earned[POLICIES][LOADS]) {
  printf("## %s: %d gateways, %d engines of %d slots, seeds 1 to %d\n\n",
         sh->name, sh->gateways, sh->targets, sh->slots, sh->seeds);
  printf(
      "| policy | load | asked/s | in goal/s | late/s | refused/s | failed/s "
      "| credit | by kind | moved, k tokens | read again, k tokens |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (int p = 0; p < POLICIES; p++)
    for (int i = 0; i < LOADS; i++) {
      figures mean = {0};
      for (int seed = 1; seed <= sh->seeds; seed++) {
        figures f = simulate(sh, (policy)p, loads[i], (uint64_t)seed);
        add(&mean, &f, sh->seeds);
      }
      print_row(sh, (policy)p, loads[i], &mean);
      earned[p][i] =
          mean.earned * 1000 / (BURST_FROM + sh->burst_ms - COUNT_FROM);
    }
  printf("\n");
}

int main(int argc, char **argv) {
  double earned[SHAPES][POLICIES][LOADS];
  for (int i = 0; i < SHAPES; i++)
    run_shape(&shapes[i], earned[i]);
  if (argc > 1)
    plot(argv[1], earned[0], 4);
  if (argc > 2)
    plot(argv[2], earned[1], 24);
  return 0;
}
