/* pwexadmit.c: admission of a request: its route, workspace, service, urgency and time limits under the configuration in
** force, or the refusal of a request that has none. */
#include "pwexint.h"

#include <stdio.h>

/* Divisor of a route's goal time: a caller whose first attempt is older than goal / REPEAT_DIVISOR
** cannot be answered within the goal when slots are short. */
#define REPEAT_DIVISOR 4

/* Refuses a request in which a header stands twice that may stand once: the target might read the other one. */
static void refuse_repeated(pw_exchange *x) {
  char why[96];
  const pw_span *name = &x->request_info.repeated;
  snprintf(why, sizeof why, "%.*s stands more than once", (int)name->n,
           name->p);
  pwexi_refuse(x, PW_E_HEADER, why, 0);
}

/* Refuses a request whose head the target might read differently. Returns whether it was refused. */
static int refuse_ambiguous(pw_exchange *x) {
  const pw_h1 *m = &x->caller->request;
  if (x->request_info.repeated.p)
    refuse_repeated(x);
  else if (pwsite_has_dot_segment(m->url, m->nurl))
    pwexi_refuse(x, PW_E_REQUEST, "the path has a dot segment", 0);
  else
    return 0;
  return 1;
}

/* Finds the request's route, workspace and service in the configuration. Returns -1 if the request was
** refused, else 0. */
static int find_route(pw_exchange *x) {
  pw_gate *g = x->g;
  const pw_h1 *m = &x->caller->request;
  x->route = pwsite_route(x->site, x->request_info.host.p,
                          x->request_info.host.n, m->url, m->nurl);
  if (!x->route) {
    pwexi_refuse(x, PW_E_ROUTE, "", 0);
    return -1;
  }
  if (pwsite_has_workspaces(x->site) && x->request_info.key.p)
    x->workspace =
        pwsite_workspace(x->site, x->request_info.key.p, x->request_info.key.n);
  if (pwsite_has_workspaces(x->site) && !x->workspace && !x->route->is_public) {
    pwexi_refuse(x, PW_E_KEY, "", 0);
    return -1;
  }
  x->service = pwsite_draw_service(x->site, x->route, pwgate_random(g));
  return 0;
}

static int64_t repeat_margin_ms(const pw_exchange *x) {
  return x->route->goal_ms / REPEAT_DIVISOR;
}

/* Whether the caller's remaining time shows that it has tried before. Such a request is deprioritized:
** one answer within the goal is worth more than three late ones. */
static int is_repeat(pw_exchange *x) {
  pw_gate_route *r = pwgate_route(x->g, x->route->name);
  int64_t ms = x->request_info.deadline_ms;
  if (!r || ms < 0)
    return 0;
  pwtimeouts_note(&r->baseline, ms,
                  pwshed_admitted_share(&x->service_state->shed) >
                      PWEX_AMPLE_SHARE);
  int64_t shortest = pwtimeouts_shortest(&r->baseline);
  x->retry_known_ms =
      pwtimeouts_baseline(&r->baseline) - shortest + repeat_margin_ms(x);
  return ms + repeat_margin_ms(x) < shortest;
}

/* Requests that a workspace sends beyond its baseline get only the slots that all others leave, in the
** order of their own urgency. */
static int urgency_of(pw_exchange *x) {
  const char *workspace = x->workspace ? x->workspace->name : "";
  double surplus = pwspike_note(x->service_state->spike, workspace, x->arrived);
  int urgency = x->route->priority > 0 ? x->route->priority : 0;
  if (urgency >= PWSHED_SURPLUS)
    urgency = PWSHED_SURPLUS - 1;
  if (pwgate_random(x->g) >= surplus)
    return urgency;
  pwcount_add(x->g->p->counters, PWC_GW_SURPLUS, 1);
  return PWSHED_SURPLUS + urgency;
}

static uint64_t fingerprint_of(const pw_exchange *x) {
  const pw_h1 *m = &x->caller->request;
  return pwfingerprint_of(x->workspace ? x->workspace->name : "",
                          http_method_str((enum http_method)m->parser.method),
                          (pw_span){m->url, m->nurl},
                          (pw_span){x->caller->body.data, x->caller->body.len});
}

void pwexi_start(pw_exchange *x) {
  x->service_state = pwgate_service(x->g, x->service->name);
  x->urgency = urgency_of(x);
  /* A stream that goes on is not put after others: its caller has a part of the answer. */
  x->is_deprioritized = !x->version && is_repeat(x);
  pwretries_request(&x->service_state->retries, x->arrived);
  pwexi_set_timer(x, pwexi_time_left(x));
  pwexi_dispatch(x);
}

void pwexi_admit(pw_exchange *x) {
  pw_gate *g = x->g;
  x->site = pwsite_retain(g->site);
  if (refuse_ambiguous(x) || find_route(x) != 0)
    return;
  x->fingerprint = fingerprint_of(x);
  x->timeout_at = x->arrived + x->route->timeout_ms;
  x->deadline_at = x->request_info.deadline_ms >= 0
                       ? x->arrived + x->request_info.deadline_ms
                       : x->timeout_at;
  if (!pwexi_resume_stream(x))
    pwexi_start(x);
}
