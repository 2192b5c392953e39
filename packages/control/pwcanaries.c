/* pwcanaries.c: rollouts of services to targets of another version. */
#include "pwcanaries.h"

#include "pwapi.h"
#include "pwbuf.h"
#include "pwjson.h"
#include "pwlog.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define KEY_BYTES (PW_NAME_MAX + 40)
#define CHECK_MS 100 /* interval of checks on the running rollouts */

/* An order for a version that was reverted is a repetition of the first
** order within this time of it, ms; later it begins a new rollout. */
#define REPEAT_MS 15000

/* A rollout as its resource has it. */
typedef struct spec {
  char service[PW_NAME_MAX];
  char version[PW_NAME_MAX];
  pw_canary canary;
  int64_t over_ms;
  /* elapsed time of the rollout when the resource was written, ms */
  int64_t elapsed_ms;
  /* when the resource was written, by the wall clock of its writer, ms */
  int64_t written;
  /* wall-clock time of the order, ms; identifies the rollout */
  uint64_t begun;
  uint64_t resource_version;
} spec;

/* Sums of the answers that one gateway received on one route. */
typedef struct route_sum {
  char route[PW_NAME_MAX];
  pw_canary_route sum;
} route_sum;

/* Sums of the answers that one gateway received during one rollout. */
typedef struct report {
  char key[KEY_BYTES]; /* service, rollout and incarnation of the gateway */
  char service[PW_NAME_MAX];
  uint64_t begun;
  route_sum route[PWCANARY_ROUTES_MAX];
  int nroutes;
  UT_hash_handle hh;
} report;

/* A running rollout that this instance carries out as leader. */
typedef struct running {
  char service[PW_NAME_MAX];
  uint64_t begun;
  /* when this instance began to carry out the rollout, and the elapsed time of
  ** the rollout then, ms */
  int64_t since, elapsed_ms;
  int share;
  int64_t share_at; /* when this share was first read, ms */
  struct running *next;
} running;

struct pw_canaries {
  const pw_res *res;
  const pw_watch *watch;
  double expose_share;
  report *reports;
  running *list;
  int is_proposed;    /* a change was proposed and is not decided yet */
  int64_t checked_at; /* ms */
};

pw_canaries *pwcanaries_new(const pw_res *res, const pw_watch *watch,
                            double expose_share) {
  pw_canaries *c = pw_alloc(sizeof *c);
  c->res = res;
  c->watch = watch;
  c->expose_share = expose_share > 0 ? expose_share : PWCANARY_EXPOSE_SHARE;
  return c;
}

static void drop_running(pw_canaries *c) {
  while (c->list) {
    running *u = c->list;
    c->list = u->next;
    free(u);
  }
}

static void drop_reports(pw_canaries *c) {
  report *r, *tmp;
  HASH_ITER(hh, c->reports, r, tmp) {
    HASH_DEL(c->reports, r);
    free(r);
  }
}

void pwcanaries_free(pw_canaries *c) {
  if (!c)
    return;
  drop_running(c);
  drop_reports(c);
  free(c);
}

void pwcanaries_start_leading(pw_canaries *c, int64_t now) {
  drop_running(c);
  c->is_proposed = 0;
  c->checked_at = now;
}

/* --- resources --- */

static void read_spec(const pw_resource *one, spec *out) {
  json_t *o = json_loads(one->spec, 0, NULL);
  *out = (spec){.resource_version = one->version};
  pw_copy(out->service, sizeof out->service, one->name);
  pw_copy(out->version, sizeof out->version, pwjson_text(o, "version"));
  out->canary.state = pwcanary_state_of(pwjson_text(o, "state"));
  out->canary.share = (int)pwjson_number(o, "share", 0);
  out->over_ms = (int64_t)pwjson_number(o, "over_ms", 0);
  out->elapsed_ms = (int64_t)pwjson_number(o, "elapsed_ms", 0);
  out->written = (int64_t)pwjson_number(o, "written", 0);
  out->begun = (uint64_t)pwjson_number(o, "begun", 0);
  json_decref(o);
}

static int read_of(const pw_res *res, const char *service, spec *out) {
  const pw_resource *one = pwres_get(res, PW_KIND_SERVICE_ROLLOUT, service);
  if (one)
    read_spec(one, out);
  return one != NULL;
}

static char *write_spec(const spec *s) {
  json_t *o =
      json_pack("{s:s,s:I,s:i,s:s,s:I,s:I,s:I}", "version", s->version,
                "over_ms", (json_int_t)s->over_ms, "share", s->canary.share,
                "state", pwcanary_state_name(s->canary.state), "begun",
                (json_int_t)s->begun, "elapsed_ms", (json_int_t)s->elapsed_ms,
                "written", (json_int_t)s->written);
  char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref(o);
  return text;
}

/* The change applies only to the resource version that was read: of two
** concurrent writers the second is refused. */
static Pw__Change *change_to(const spec *s) {
  char *text = write_spec(s);
  Pw__Change *ch = pwapi_single_put(PW_KIND_SERVICE_ROLLOUT, s->service, text);
  ch->puts[0]->any_version = 0;
  ch->puts[0]->version = s->resource_version;
  free(text);
  return ch;
}

pw_code pwcanaries_read(const pw_res *res, const char *service, char *version,
                        pw_canary *out) {
  spec s;
  if (!read_of(res, service, &s))
    return PW_E_NOT_FOUND;
  pw_copy(version, PW_NAME_MAX, s.version);
  *out = s.canary;
  return PW_OK;
}

/* --- time --- */

/* Elapsed time of the rollout by the stored times, ms. If the wall clock has
** jumped, the time since the resource was written counts as over_ms at
** most. */
static int64_t elapsed_by_wall(const spec *s) {
  int64_t since = pwclock_wall_ms() - s->written;
  if (since < 0)
    since = 0;
  return s->elapsed_ms + (since < s->over_ms ? since : s->over_ms);
}

static running *running_of(pw_canaries *c, const spec *s, int64_t now) {
  running *u = c->list;
  while (u && (u->begun != s->begun || strcmp(u->service, s->service) != 0))
    u = u->next;
  if (!u) {
    u = pw_alloc(sizeof *u);
    *u = (running){.begun = s->begun,
                   .since = now,
                   .elapsed_ms = elapsed_by_wall(s),
                   .share = s->canary.share,
                   .share_at = now,
                   .next = c->list};
    pw_copy(u->service, sizeof u->service, s->service);
    c->list = u;
  }
  if (u->share != s->canary.share) {
    u->share = s->canary.share;
    u->share_at = now;
  }
  return u;
}

static int64_t elapsed(const running *u, int64_t now) {
  return u->elapsed_ms + now - u->since;
}

/* --- orders --- */

static int count_rollouts(const pw_res *res) {
  int n = 0;
  for (const pw_resource *one = pwres_first(res); one; one = one->next)
    n += pwres_is_live(one, PW_KIND_SERVICE_ROLLOUT);
  return n;
}

static int is_repeated(const spec *s, const pw_rollout_order *o) {
  return !strcmp(s->version, o->version) &&
         (s->canary.state != PWCANARY_REVERTED ||
          elapsed_by_wall(s) < REPEAT_MS);
}

pw_code pwcanaries_order(pw_canaries *c, const pw_rollout_order *o,
                         Pw__Change **out, char *why, size_t cap) {
  spec s = {0};
  *out = NULL;
  int has = read_of(c->res, o->service, &s);
  if (has && is_repeated(&s, o))
    return PW_OK;
  if (has && s.canary.state == PWCANARY_RUNNING) {
    snprintf(why, cap, "%s is already being rolled out to version %s",
             o->service, s.version);
    return PW_E_CONFLICT;
  }
  if (!has && count_rollouts(c->res) >= PW_ROLLOUTS_MAX)
    return PW_E_TOO_MANY;
  const pw_resource *old =
      pwres_find(c->res, PW_KIND_SERVICE_ROLLOUT, o->service);
  spec next = {.over_ms = o->over_ms,
               .written = pwclock_wall_ms(),
               .resource_version = has ? old->version : 0};
  next.begun = (uint64_t)next.written;
  pw_copy(next.service, sizeof next.service, o->service);
  pw_copy(next.version, sizeof next.version, o->version);
  *out = change_to(&next);
  return PW_OK;
}

/* --- reports of gateways --- */

static report *report_of(pw_canaries *c, const Pw__Answers *a,
                         uint64_t incarnation) {
  char key[KEY_BYTES];
  report *r;
  snprintf(key, sizeof key, "%s %llx %llx", a->service,
           (unsigned long long)a->begun, (unsigned long long)incarnation);
  HASH_FIND_STR(c->reports, key, r);
  if (r)
    return r;
  r = pw_alloc(sizeof *r);
  r->begun = a->begun;
  pw_copy(r->service, sizeof r->service, a->service);
  pw_copy(r->key, sizeof r->key, key);
  HASH_ADD_STR(c->reports, key, r);
  return r;
}

static route_sum *sum_on_route(report *r, const char *route) {
  for (int i = 0; i < r->nroutes; i++)
    if (!strcmp(r->route[i].route, route))
      return &r->route[i];
  if (r->nroutes == PWCANARY_ROUTES_MAX)
    return &r->route[PWCANARY_ROUTES_MAX - 1];
  route_sum *s = &r->route[r->nroutes++];
  pw_copy(s->route, sizeof s->route, route);
  return s;
}

/* Sums only rise, so a report that arrives late changes nothing. */
static void raise_sum(double *at, uint64_t value) {
  if ((double)value > *at)
    *at = (double)value;
}

void pwcanaries_report(pw_canaries *c, const Pw__Envelope *e) {
  const Pw__Watch *m = e->watch;
  for (size_t i = 0; i < m->n_answers; i++) {
    const Pw__Answers *a = m->answers[i];
    spec s;
    if (!read_of(c->res, a->service, &s) || s.begun != a->begun)
      continue;
    route_sum *at = sum_on_route(report_of(c, a, e->incarnation), a->route);
    raise_sum(&at->sum.good_to, a->good_to);
    raise_sum(&at->sum.bad_to, a->bad_to);
    raise_sum(&at->sum.good_from, a->good_from);
    raise_sum(&at->sum.bad_from, a->bad_from);
  }
}

/* Adds up the reports of all gateways, route by route. */
static void sum_reports(pw_canaries *c, const spec *s, report *out) {
  *out = (report){.begun = s->begun};
  for (report *r = c->reports; r; r = r->hh.next) {
    if (r->begun != s->begun || strcmp(r->service, s->service) != 0)
      continue;
    for (int i = 0; i < r->nroutes; i++)
      pwcanary_add(&sum_on_route(out, r->route[i].route)->sum,
                   &r->route[i].sum);
  }
}

static pw_canary_route total_of(const report *sum) {
  pw_canary_route all = {0};
  for (int i = 0; i < sum->nroutes; i++)
    pwcanary_add(&all, &sum->route[i].sum);
  return all;
}

/* --- decisions of the leader --- */

static void log_change(const spec *s, const pw_canary *next, double ratio,
                       const report *sum) {
  pw_canary_route all = total_of(sum);
  pwlog(LOG_NOTICE, "service-rollout",
        "service=%s version=%s state=%s share=%d ratio=%.3g good=%.0f bad=%.0f "
        "good_before=%.0f bad_before=%.0f",
        s->service, s->version, pwcanary_state_name(next->state), next->share,
        ratio, all.good_to, all.bad_to, all.good_from, all.bad_from);
}

/* The change that a rollout needs now, or NULL. */
static Pw__Change *advance(pw_canaries *c, spec *s, int64_t now) {
  running *u = running_of(c, s, now);
  report sum;
  pw_canary_route route[PWCANARY_ROUTES_MAX];
  pw_canary next;
  sum_reports(c, s, &sum);
  for (int i = 0; i < sum.nroutes; i++)
    route[i] = sum.route[i].sum;
  pw_canary_input input = {.over_ms = s->over_ms,
                           .elapsed_ms = elapsed(u, now),
                           .in_share_ms = now - u->share_at,
                           .expose_share = c->expose_share,
                           .route = route,
                           .nroutes = sum.nroutes};
  pwwatch_slots(c->watch, s->service, s->version, &input.slots_to,
                &input.slots_from);
  if (!pwcanary_next(&s->canary, &input, &next))
    return NULL;
  log_change(s, &next, pwcanary_ratio(route, sum.nroutes), &sum);
  s->canary = next;
  s->elapsed_ms = input.elapsed_ms;
  s->written = pwclock_wall_ms();
  return change_to(s);
}

Pw__Change *pwcanaries_next(pw_canaries *c, int64_t now) {
  if (c->is_proposed || now - c->checked_at < CHECK_MS)
    return NULL;
  c->checked_at = now;
  int n = 0;
  for (const pw_resource *one = pwres_first(c->res); one; one = one->next) {
    spec s;
    if (!pwres_is_live(one, PW_KIND_SERVICE_ROLLOUT))
      continue;
    read_spec(one, &s);
    if (s.canary.state != PWCANARY_RUNNING)
      continue;
    n++;
    Pw__Change *ch = advance(c, &s, now);
    c->is_proposed = ch != NULL;
    if (ch)
      return ch;
  }
  if (n == 0)
    drop_reports(c);
  return NULL;
}

void pwcanaries_done(pw_canaries *c) {
  c->is_proposed = 0;
}

static json_t *rollout_json(pw_canaries *c, const spec *s, int64_t now) {
  report sum;
  sum_reports(c, s, &sum);
  pw_canary_route all = total_of(&sum);
  int runs = s->canary.state == PWCANARY_RUNNING;
  return json_pack(
      "{s:s,s:s,s:s,s:i,s:I,s:I,s:f,s:f}", "service", s->service, "version",
      s->version, "state", pwcanary_state_name(s->canary.state), "share",
      s->canary.share, "over_ms", (json_int_t)s->over_ms, "elapsed_ms",
      (json_int_t)(runs ? elapsed(running_of(c, s, now), now) : s->elapsed_ms),
      "good", all.good_to, "bad", all.bad_to);
}

json_t *pwcanaries_json(pw_canaries *c, int64_t now) {
  json_t *list = json_array();
  for (const pw_resource *one = pwres_first(c->res); one; one = one->next) {
    spec s;
    if (!pwres_is_live(one, PW_KIND_SERVICE_ROLLOUT))
      continue;
    read_spec(one, &s);
    json_array_append_new(list, rollout_json(c, &s, now));
  }
  return list;
}
