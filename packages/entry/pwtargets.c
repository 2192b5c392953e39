/* pwtargets.c: an entry's table of targets and pools. */
#include "pwtargets.h"

#include "pwassign.h"
#include "pwbuf.h"
#include "pwjson.h"
#include "pwlog.h"

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#define TABLE_THREADS 3 /* that build placement tables beside the wire thread */
#define CLOCK_MARGIN_PPM 200 /* largest drift between two clocks */

/* A target without a report for this long counts as unresponsive. */
#define ALIVE_MS 10000

typedef struct row {
  pw_target t;
  UT_hash_handle hh;
} row;

typedef struct pool {
  char name[PWASSIGN_POOL_BYTES];
  uint64_t shape;  /* hash of the members and weights of `place` */
  pw_place *place; /* placement table */
  uint64_t *id;    /* members, sorted */
  int n;
  int marked; /* has a member, during pwtargets_update */
  pw_pool_sum sum;
  UT_hash_handle hh;
} pool;

struct pw_targets {
  pw_proc *p;
  pw_sock *sock;
  row *rows;
  pool *pools;
  pw_target **all; /* result of pwtargets_all */
  struct {
    uint64_t draw;
    int64_t now;
    double limit;
    int save_retries;
  } pick; /* arguments of the last pwtargets_pool, for get_route */
};

pw_targets *pwtargets_new(pw_proc *p, pw_sock *dialler) {
  pw_targets *t = pw_alloc(sizeof *t);
  t->p = p;
  t->sock = dialler;
  return t;
}

static void drop_pool(pw_targets *t, pool *p) {
  HASH_DEL(t->pools, p);
  pwplace_free(p->place);
  free(p->id);
  free(p);
}

static void drop_row(pw_targets *t, row *r) {
  HASH_DEL(t->rows, r);
  if (r->t.link != PW_LINK_NONE)
    pwwire_disconnect(t->sock, r->t.agent);
  free(r);
}

void pwtargets_free(pw_targets *t) {
  if (!t)
    return;
  pool *p, *ptmp;
  HASH_ITER(hh, t->pools, p, ptmp) {
    drop_pool(t, p);
  }
  row *r, *rtmp;
  HASH_ITER(hh, t->rows, r, rtmp) {
    drop_row(t, r);
  }
  free(t->all);
  free(t);
}

uint32_t pwtargets_availability_zone(const char *name) {
  return name[0] ? (uint32_t)XXH3_64bits(name, strlen(name)) | 1U : 0;
}

pw_target *pwtargets_by_id(pw_targets *t, uint64_t id) {
  row *r;
  HASH_FIND(hh, t->rows, &id, sizeof id, r);
  return r ? &r->t : NULL;
}

pw_target *pwtargets_by_name(pw_targets *t, const char *name) {
  return pwtargets_by_id(t, pwplace_id(name));
}

pw_target *pwtargets_by_peer(pw_targets *t, const pw_peer *peer) {
  for (row *r = t->rows; r; r = r->hh.next)
    if (r->t.link != PW_LINK_NONE && pwwire_same_peer(&r->t.peer, peer))
      return &r->t;
  return NULL;
}

pw_target *pwtargets_by_agent(pw_targets *t, const char *addr) {
  for (row *r = t->rows; r; r = r->hh.next)
    if (!strcmp(r->t.agent, addr))
      return &r->t;
  return NULL;
}

pw_target **pwtargets_all(pw_targets *t, int *n) {
  *n = 0;
  for (row *r = t->rows; r; r = r->hh.next)
    t->all[(*n)++] = &r->t;
  return t->all;
}

static pw_target *row_of(pw_targets *t, const char *name, int64_t now) {
  uint64_t id = pwplace_id(name);
  pw_target *have = pwtargets_by_id(t, id);
  if (have)
    return have;
  row *r = pw_alloc(sizeof *r);
  r->t.id = id;
  pw_copy(r->t.name, sizeof r->t.name, name);
  r->t.link_received_at = INT64_MIN / 2;
  r->t.newest_report_at = INT64_MIN / 2;
  r->t.pinged_at = INT64_MIN / 2;
  pwbreak_init(&r->t.breaker, now, 0);
  HASH_ADD(hh, t->rows, t.id, sizeof r->t.id, r);
  return &r->t;
}

static void read_target(pw_targets *t, const char *name, const json_t *spec,
                        int64_t now) {
  pw_target *one = row_of(t, name, now);
  const char *agent = pwjson_text(spec, "agent");
  if (strcmp(one->agent, agent) != 0) {
    pwtargets_disconnect(t, one);
    pw_copy(one->agent, sizeof one->agent, agent);
  }
  const json_t *weight = json_object_get(spec, "weight");
  one->weight = weight ? (uint32_t)json_number_value(weight) : 1;
  one->availability_zone =
      pwtargets_availability_zone(pwjson_text(spec, "availability_zone"));
  int drain = json_is_true(json_object_get(spec, "drain"));
  if (one->drain && !drain)
    one->leaving = 0; /* outdated: the next report says whether it leaves */
  one->drain = drain;
  one->marked = 1;
}

static pool *pool_of(pw_targets *t, const char *name) {
  pool *p;
  HASH_FIND_STR(t->pools, name, p);
  if (p)
    return p;
  p = pw_alloc(sizeof *p);
  pw_copy(p->name, sizeof p->name, name);
  HASH_ADD_STR(t->pools, name, p);
  return p;
}

/* A target that was read as a member of a pool. */
typedef struct member {
  pool *p;
  uint64_t id;
} member;

typedef struct members {
  member *m;
  size_t n, cap;
} members;

/* The target whose pools are being read. */
typedef struct pool_reader {
  pw_targets *t;
  members *all;
  uint64_t id;
} pool_reader;

static void add_member(void *arg, const char *name) {
  pool_reader *j = arg;
  members *all = j->all;
  if (all->n == all->cap) {
    all->cap = all->cap ? all->cap * 2 : 64;
    member *grown = realloc(all->m, sizeof *grown * all->cap);
    if (!grown)
      abort();
    all->m = grown;
  }
  pool *p = pool_of(j->t, name);
  p->marked = 1;
  all->m[all->n++] = (member){p, j->id};
}

static void add_services(pool_reader *j, const json_t *names) {
  size_t i;
  const json_t *name;
  json_array_foreach(names, i, name) {
    add_member(j, json_string_value(name));
  }
}

static int by_value(const void *a, const void *b) {
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return (x > y) - (x < y);
}

/* A pool's members as read, and its new placement table if one is due. */
typedef struct build {
  pool *p;
  uint64_t *id;
  pw_place_target *pt;
  int n;
  int is_due;
  pw_place *place;
} build;

typedef struct builds {
  build *b;
  int n;
  atomic_int next;
} builds;

/* A draining target stays in the placement table: its chats go to the next ranks
** and return when the drain is lifted. */
static void read_pool(const pw_targets *t, pool *p, const members *all,
                      build *out) {
  *out = (build){.p = p};
  out->id = pw_alloc(sizeof *out->id * (all->n + 1));
  out->pt = pw_alloc(sizeof *out->pt * (all->n + 1));
  for (size_t i = 0; i < all->n; i++)
    if (all->m[i].p == p)
      out->id[out->n++] = all->m[i].id;
  qsort(out->id, (size_t)out->n, sizeof *out->id, by_value);
  for (int i = 0; i < out->n; i++) {
    out->pt[i].id = out->id[i];
    out->pt[i].weight = pwtargets_by_id((pw_targets *)t, out->id[i])->weight;
  }
  uint64_t shape = XXH3_64bits(out->pt, sizeof *out->pt * (size_t)out->n);
  out->is_due = !p->place || shape != p->shape || out->n != p->n;
  p->shape = shape;
}

static void *build_next(void *arg) {
  builds *bs = arg;
  int i;
  while ((i = atomic_fetch_add(&bs->next, 1)) < bs->n) {
    build *b = &bs->b[i];
    if (b->is_due)
      b->place = pwplace_build(b->pt, b->n, b->p->place);
  }
  return NULL;
}

/* Builds the tables in several threads, since they take seconds at the start of a
** large region. */
static void build_tables(builds *bs) {
  pthread_t thread[TABLE_THREADS];
  int due = 0;
  int n = 0;
  for (int i = 0; i < bs->n; i++)
    due += bs->b[i].is_due;
  while (n < due - 1 && n < TABLE_THREADS &&
         pthread_create(&thread[n], NULL, build_next, bs) == 0)
    n++;
  build_next(bs);
  for (int i = 0; i < n; i++)
    pthread_join(thread[i], NULL);
}

static void apply_build(pw_targets *t, build *b) {
  pool *p = b->p;
  if (b->is_due) {
    pwcount_add(t->p->counters, PWC_TABLES, 1);
    pwplace_free(p->place);
    p->place = b->place;
  }
  free(p->id);
  free(b->pt);
  p->id = b->id;
  p->n = b->n;
}

static void rebuild_pools(pw_targets *t, const members *all) {
  builds bs = {.b = pw_alloc(sizeof *bs.b * (HASH_COUNT(t->pools) + 1))};
  for (pool *p = t->pools; p; p = p->hh.next)
    read_pool(t, p, all, &bs.b[bs.n++]);
  build_tables(&bs);
  for (int i = 0; i < bs.n; i++)
    apply_build(t, &bs.b[i]);
  free(bs.b);
}

static void drop_unmarked(pw_targets *t) {
  row *r, *rtmp;
  HASH_ITER(hh, t->rows, r, rtmp) {
    if (!r->t.marked)
      drop_row(t, r);
  }
  pool *p, *ptmp;
  HASH_ITER(hh, t->pools, p, ptmp) {
    if (!p->marked)
      drop_pool(t, p);
  }
}

static int is_in_region(const pw_targets *t, const json_t *spec) {
  const char *region = pwjson_text(spec, "region");
  return !region[0] || !t->p->set->region[0] ||
         !strcmp(region, t->p->set->region);
}

void pwtargets_update(pw_targets *t, const pw_res *r, int64_t now) {
  members all = {0};
  pw_assignment *a = pw_alloc(sizeof *a);
  for (row *x = t->rows; x; x = x->hh.next)
    x->t.marked = 0;
  for (pool *p = t->pools; p; p = p->hh.next)
    p->marked = 0;
  for (const pw_resource *one = pwres_first(r); one; one = one->next) {
    if (!pwres_is_live(one, "target"))
      continue;
    json_t *spec = json_loads(one->spec, 0, NULL);
    if (is_in_region(t, spec)) {
      read_target(t, one->name, spec, now);
      pool_reader j = {t, &all, pwplace_id(one->name)};
      pwassign_read(r, one->name, a);
      pwassign_each_pool(a, json_object_get(spec, "models"), add_member, &j);
      add_services(&j, json_object_get(spec, "services"));
    }
    json_decref(spec);
  }
  drop_unmarked(t);
  rebuild_pools(t, &all);
  free(all.m);
  free(a);
  int n = (int)HASH_COUNT(t->rows);
  free(t->all);
  t->all = pw_alloc(sizeof(pw_target *) * (size_t)(n + 1));
  pwtargets_sum_up(t, now);
}

int pwtargets_report(pw_targets *t, const Pw__Load *load, int64_t at,
                     int64_t now) {
  pw_target *one = pwtargets_by_name(t, load->target);
  if (!one || at < one->report.at)
    return 0;
  int restarted = one->incarnation != load->incarnation;
  if (restarted) {
    if (one->incarnation != 0)
      pwbreak_init(&one->breaker, now, 1);
    one->incarnation = load->incarnation;
    one->clock = load->clock;
    one->clock_at = now;
  } else if (load->clock > pwtargets_clock(one, now)) {
    one->clock = load->clock;
    one->clock_at = now;
  }
  double change = (double)load->tokens - one->report.tokens;
  if (change > one->report.tokens / 10 || change < -one->report.tokens / 10 ||
      one->leaving != load->leaving || load->held_off ||
      one->hold_off_until > now)
    one->changed = 1;
  one->report = (pw_report){(double)load->tokens, (double)load->rate, at};
  one->leaving = load->leaving;
  one->queued = load->queued;
  one->retry_after = load->retry_after;
  one->hold_off_until = load->held_off ? at + (int64_t)load->held_off : 0;
  if (load->turned_away)
    pwreject_note(&one->rejects, at);
  one->pending = 0;
  one->newest_report_at = at;
  return restarted;
}

void pwtargets_ping(pw_targets *t, pw_target *one, int64_t now) {
  if (one->link == PW_LINK_NONE) {
    if (!one->agent[0] || pwwire_dial(t->sock, one->agent, &one->peer) != 0)
      return;
    one->link = PW_LINK_OPENING;
    one->dialled_at = now;
  }
  Pw__Ping ping = PW__PING__INIT;
  ping.clock = now;
  Pw__Envelope e = PW_ENVELOPE(PING, ping, &ping);
  pwwire_send(t->sock, &one->peer, &e);
  if (one->pinged_at <= one->link_received_at)
    one->unanswered_since = now;
  one->pinged_at = now;
}

int64_t pwtargets_unanswered_ms(const pw_target *one, int64_t now) {
  return one->pinged_at > one->link_received_at ? now - one->unanswered_since
                                                : 0;
}

int pwtargets_is_fresh(const pw_target *one, int64_t now) {
  return one->link == PW_LINK_UP && now - one->link_received_at < PW_LINK_FRESH;
}

void pwtargets_disconnect(pw_targets *t, pw_target *one) {
  if (one->link == PW_LINK_NONE)
    return;
  pwwire_disconnect(t->sock, one->agent);
  one->link = PW_LINK_NONE;
  one->link_received_at = INT64_MIN / 2;
}

int64_t pwtargets_clock(const pw_target *one, int64_t now) {
  int64_t passed = now - one->clock_at;
  return one->clock + passed - passed * CLOCK_MARGIN_PPM / 1000000;
}

/* Whether the target counts as unresponsive: its link does not open in time, or
** no report of it was made for ALIVE_MS. */
static int is_unresponsive(const pw_target *one, int64_t now) {
  if (one->link == PW_LINK_UP)
    return 0;
  if (one->link == PW_LINK_OPENING && now - one->dialled_at > PW_LINK_OPEN)
    return 1;
  return one->incarnation != 0 && now - one->newest_report_at > ALIVE_MS;
}

/* Whether the target has asked for a hold-off, or has recently rejected requests
** while retries are scarce. */
static int rejects_requests(const pw_target *one, int save_retries,
                            int64_t now) {
  return now < one->hold_off_until ||
         (save_retries && pwreject_is_recent(&one->rejects, now));
}

/* Whether requests go to the target only when no other is left. */
static int is_avoided(const pw_targets *t, const pw_target *one,
                      uint64_t draw) {
  int64_t now = t->pick.now;
  double share = (double)(draw >> 40) / (double)(1 << 24);
  return is_unresponsive(one, now) ||
         rejects_requests(one, t->pick.save_retries, now) ||
         !pwbreak_allows(&one->breaker, now, share);
}

static void sum_up_pool(pw_targets *t, pool *p, int64_t now) {
  p->sum = (pw_pool_sum){.at = now};
  for (int i = 0; i < p->n; i++) {
    const pw_target *one = pwtargets_by_id(t, p->id[i]);
    if (one->drain || one->leaving)
      continue; /* neither its load nor its capacity counts */
    p->sum.targets++;
    pwpool_add(&p->sum, &one->report);
  }
}

void pwtargets_sum_up(pw_targets *t, int64_t now) {
  for (pool *p = t->pools; p; p = p->hh.next)
    sum_up_pool(t, p, now);
}

static int get_route(void *arg, uint64_t id, pw_route_target *out) {
  pw_targets *t = arg;
  const pw_target *one = pwtargets_by_id(t, id);
  if (!one)
    return 0;
  uint64_t draw = t->pick.draw ^ id * 0x9e3779b97f4a7c15ULL;
  *out = (pw_route_target){.id = id,
                           .usable = !one->drain && !one->leaving,
                           .ejected = is_avoided(t, one, draw),
                           .joining = pwbreak_is_joining(&one->breaker) &&
                                      !is_unresponsive(one, t->pick.now),
                           .availability_zone = one->availability_zone,
                           .load = pwreport_low(&one->report, t->pick.now) +
                                   one->pending,
                           .limit = t->pick.limit};
  return 1;
}

int pwtargets_pool(pw_targets *t, const char *name, const pw_policy *policy,
                   uint64_t draw, int save_retries, int64_t now,
                   pw_route_pool *out) {
  pool *p;
  HASH_FIND_STR(t->pools, name, p);
  if (!p || !p->n)
    return 0;
  t->pick.draw = draw;
  t->pick.now = now;
  t->pick.save_retries = save_retries;
  t->pick.limit = pwbound_limit(&p->sum, &policy->bound, now);
  *out = (pw_route_pool){p->place, p->id, p->n, t, get_route};
  return 1;
}

static int has_member(const pool *p, uint64_t id) {
  return bsearch(&id, p->id, (size_t)p->n, sizeof id, by_value) != NULL;
}

int pwtargets_sums_for(pw_targets *t, const char *target, const char **names,
                       pw_pool_sum *out, int max) {
  uint64_t id = pwplace_id(target);
  int n = 0;
  for (pool *p = t->pools; p && n < max; p = p->hh.next) {
    if (!p->n || !has_member(p, id))
      continue;
    names[n] = p->name;
    out[n++] = p->sum;
  }
  return n;
}
