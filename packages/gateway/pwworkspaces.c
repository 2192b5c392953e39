/* pwworkspaces.c: exchanges the rates of workspaces with the other gateways, beside the loads of targets,
** and shows an operator which workspaces send most, and which exceed their share. */
#include "pwgate.h"

#include <stdlib.h>
#include <string.h>

#define LISTED_MAX 100  /* workspaces listed of each service */
#define SERVICES_MAX 16 /* services in one list */
/* Weight of requests beyond twice the baseline. */
#define EXCESS_WEIGHT 16

/* --- rows of load reports --- */

/* A key that a target or service has already is left out: its load would seem higher. */
void pwworkspaces_report(pw_gate *g, pw_loads *own, int64_t now) {
  pw_spike_row rows[PWSPIKE_ROWS];
  for (pw_gate_service *one = g->services; one; one = one->next) {
    size_t n = pwspike_report(one->spike, now, rows);
    for (size_t i = 0; i < n; i++)
      if (!pwloads_get(own, rows[i].key))
        pwloads_add(own, rows[i].key, rows[i].count);
  }
}

typedef struct sums {
  const pw_loads *all, *own;
} sums;

static uint32_t others_of(void *arg, uint32_t key) {
  const sums *s = arg;
  uint32_t all = pwloads_get(s->all, key), own = pwloads_get(s->own, key);
  return all > own ? all - own : 0;
}

typedef struct change {
  pw_gate *g;
  const char *service;
  int64_t now;
} change;

static void log_change(void *arg, const pw_spike_state *s) {
  const change *c = arg;
  pwtrace_line(c->g->trace, PWTRACE_STATE, c->now,
               s->is_spiking ? "workspace-surging" : "workspace-calm",
               "workspace=%s service=%s rate=%.1f expected=%.1f surplus=%.2f "
               "here=%.1f summed=%d refused=%llu",
               s->workspace[0] ? s->workspace : "-", c->service, s->now,
               s->expected, s->surplus, s->here, s->is_summed,
               (unsigned long long)s->refused);
}

void pwworkspaces_receive(pw_gate *g, const pw_loads *all, const pw_loads *own,
                          int64_t now) {
  sums s = {all, own};
  int spiking = 0;
  for (pw_gate_service *one = g->services; one; one = one->next) {
    change c = {g, one->name, now};
    pwspike_receive(one->spike, others_of, &s, now);
    spiking += pwspike_check(one->spike, now, log_change, &c);
  }
  pwcount_set(g->p->counters, PWC_GW_SURGING, spiking);
}

/* --- messages that are too large --- */

typedef struct pair {
  uint32_t key; /* of the rate */
  uint64_t weight;
} pair;

static int by_weight(const void *a, const void *b) {
  const pair *x = a, *y = b;
  return x->weight != y->weight
             ? (x->weight < y->weight) - (x->weight > y->weight)
             : (x->key > y->key) - (x->key < y->key);
}

static uint32_t rate_key(uint32_t key) {
  return pwspike_is_rate(key) ? key : pwspike_other_key(key);
}

static int is_workspace_row(const pw_loads *loads_of_targets, uint32_t key) {
  return pwspike_is_key(key) && !pwloads_get(loads_of_targets, key);
}

/* Rank of a workspace in a message that is too large: by its requests, and first by those beyond twice its
** baseline, so that one that surges at a small service goes before the usual ones of a large service. */
static uint64_t weight_of(uint64_t rate, uint64_t baseline) {
  uint64_t excess = rate > 2 * baseline ? rate - 2 * baseline : 0;
  return rate + baseline + EXCESS_WEIGHT * excess;
}

/* Fills `list` with the pairs of `from`, those with the highest rank first; returns their number. */
static size_t list_pairs(pair *list, const pw_loads *from,
                         const pw_loads *loads_of_targets) {
  size_t n = 0, at = 0;
  const pw_load_row *row;
  while ((row = pwloads_next(from, &at)) != NULL) {
    uint32_t key = rate_key(row->key);
    uint32_t key_of_baseline = pwspike_other_key(key);
    if (!is_workspace_row(loads_of_targets, row->key) ||
        (row->key != key && pwloads_get(from, key)))
      continue; /* counted with the row of its rate */
    list[n++] = (pair){key, weight_of(pwloads_get(from, key),
                                      pwloads_get(from, key_of_baseline))};
  }
  qsort(list, n, sizeof *list, by_weight);
  return n;
}

void pwworkspaces_fit(pw_loads *to, const pw_loads *from,
                      const pw_loads *loads_of_targets, size_t rows) {
  pair *list = pw_alloc(sizeof *list * (from->n + 1));
  size_t n = list_pairs(list, from, loads_of_targets), at = 0;
  const pw_load_row *row;
  pwloads_clear(to);
  while ((row = pwloads_next(from, &at)) != NULL)
    if (!is_workspace_row(loads_of_targets, row->key))
      pwloads_add(to, row->key, row->load);
  for (size_t i = 0; i < n && 2 * i < PWWORKSPACES_ROWS && to->n + 2 <= rows;
       i++) {
    uint32_t baseline = pwspike_other_key(list[i].key);
    pwloads_add(to, list[i].key, pwloads_get(from, list[i].key));
    pwloads_add(to, baseline, pwloads_get(from, baseline));
  }
  free(list);
}

size_t pwworkspaces_count(const pw_loads *loads) {
  size_t n = 0, at = 0;
  const pw_load_row *row;
  while ((row = pwloads_next(loads, &at)) != NULL)
    n += (size_t)pwspike_is_key(row->key);
  return n;
}

/* --- for operators --- */

static const char *why_of(const pw_spike_state *s) {
  if (s->surplus > 0)
    return "sends more than twice its baseline, as the load of others raises "
           "it";
  if (s->refused > s->refused_surplus)
    return "no slot was free for requests within its share";
  return s->refused ? "sent more than twice its baseline, as the load of "
                      "others raised it"
                    : "";
}

static json_t *describe(const char *service, const pw_spike_state *s) {
  return json_pack("{s:s,s:s,s:f,s:f,s:f,s:f,s:b,s:b,s:I,s:I,s:s}", "service",
                   service, "workspace", s->workspace, "rate_here", s->here,
                   "rate", s->now, "expected", s->expected, "surplus",
                   s->surplus, "surging", s->is_spiking, "summed", s->is_summed,
                   "refused", (json_int_t)s->refused, "refused_surplus",
                   (json_int_t)s->refused_surplus, "why", why_of(s));
}

void pwworkspaces_answer(pw_gate *g, pw_conn *c) {
  pw_spike_state states[LISTED_MAX];
  json_t *list = json_array();
  int services = 0;
  for (pw_gate_service *one = g->services; one && services < SERVICES_MAX;
       one = one->next, services++) {
    size_t n = pwspike_list(one->spike, pwclock_ms(), states, LISTED_MAX);
    for (size_t i = 0; i < n; i++)
      json_array_append_new(list, describe(one->name, &states[i]));
  }
  json_t *answer =
      json_pack("{s:s,s:o}", "instance", g->p->set->name, "workspaces", list);
  char *text = json_dumps(answer, JSON_COMPACT);
  json_decref(answer);
  pwconn_answer(c, 200, "Content-Type: application/json\r\n", text,
                strlen(text));
  free(text);
}
