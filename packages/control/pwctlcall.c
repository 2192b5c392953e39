/* pwctlcall.c: API calls of a control instance: reads, writes, and requests
** that wait for the log. */
#include "pwctl.h"

#include "pwlog.h"
#include "pwrolloutapi.h"
#include "pwsitecall.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 10000      /* time for a proposal to be decided */
#define LONG_POLL_MS 25000 /* a long poll is answered by then, changed or not */
#define NS_PER_US 1000

const pw_res *pwctl_resources(const pw_control *c) {
  return pwstate_resources(pwgroup_state(c->group));
}

/* --- revisions in force --- */

/* Whether the sum over the children can be trusted. After a change of
** leader, children that have not reported yet may still serve an older
** revision until they cut themselves off. */
static int is_settled(const pw_control *c, int64_t now) {
  return c->leader_since_revision == 0 || now - c->leader_since > PW_CHILD_KEEP;
}

static pw_feed_sum sum_up(const pw_control *c) {
  pw_feed_sum sum;
  pwfeed_sum(c->feed, pwres_revision(pwctl_resources(c)), &sum);
  return sum;
}

static json_t *in_force(const pw_control *c, const pw_feed_sum *sum,
                        int64_t now) {
  return json_pack("{s:I,s:i,s:i,s:s,s:b}", "revision",
                   (json_int_t)sum->revision, "processes", (int)sum->count,
                   "entries", (int)sum->entries, "behind", sum->behind,
                   "settled", is_settled(c, now));
}

static json_t *evacuated_json(const pw_control *c) {
  const pw_zones *evacuated = pwwatch_evacuated(c->watch);
  json_t *list = json_array();
  for (size_t i = 0; i < evacuated->n; i++)
    json_array_append_new(list, json_string(evacuated->name[i]));
  return list;
}

static json_t *status_json(pw_control *c, int64_t now) {
  char group[24];
  pw_feed_sum sum = sum_up(c);
  snprintf(group, sizeof group, "%016llx",
           (unsigned long long)pwgroup_number(c->group));
  return json_pack("{s:I,s:s,s:I,s:s,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:i}",
                   "revision", (json_int_t)pwres_revision(pwctl_resources(c)),
                   "group", group, "term", (json_int_t)pwgroup_term(c->group),
                   "leader", pwgroup_leader_http(c->group), "in_force",
                   in_force(c, &sum, now), "members", pwgroup_json(c->group),
                   "observers", pwwatch_observers_json(c->watch), "children",
                   pwfeed_json(c->feed, now), "rollouts",
                   pwplanner_json(c->planner, sum.revision, now),
                   "service_rollouts", pwcanaries_json(c->canaries, now),
                   "availability_zones", pwwatch_zones_json(c->watch),
                   "evacuated", evacuated_json(c), "once_claims",
                   (int)pwonce_count(pwstate_once(pwgroup_state(c->group))));
}

/* --- reads --- */

static json_t *with_observed(pw_control *c, const pw_resource *one,
                             int64_t now) {
  json_t *o = pwapi_resource_json(one);
  pw_feed_sum sum = sum_up(c);
  json_t *observed = in_force(c, &sum, now);
  json_int_t revision =
      json_integer_value(json_object_get(observed, "revision"));
  int everywhere = revision >= (json_int_t)one->revision &&
                   json_is_true(json_object_get(observed, "settled"));
  json_object_set_new(o, "observed", observed);
  json_object_set_new(o, "status",
                      json_pack("{s:b}", "in_force_everywhere", everywhere));
  return o;
}

static json_t *list_json(const pw_control *c, uint64_t since, int full) {
  const pw_res *r = pwctl_resources(c);
  json_t *list = json_array();
  const pw_resource *one = full ? pwres_first(r) : pwres_after(r, since);
  for (; one; one = one->next)
    if (!full || !one->deleted)
      json_array_append_new(list, pwapi_resource_json(one));
  return json_pack("{s:I,s:o}", "revision", (json_int_t)pwres_revision(r),
                   "resources", list);
}

static void long_poll(pw_control *c, pw_api_call *call, int64_t now) {
  const pw_res *r = pwctl_resources(c);
  if (call->since < pwres_floor(r)) {
    pwapi_fail(call, PW_E_COMPACTED, "", "not-run", NULL);
    return;
  }
  if (pwres_revision(r) > call->since) {
    pwapi_answer(call, 200, list_json(c, call->since, 0));
    return;
  }
  pw_ctl_long_poll *w = pw_alloc(sizeof *w);
  *w = (pw_ctl_long_poll){call, now, c->long_polls};
  c->long_polls = w;
}

void pwctl_answer_long_polls(pw_control *c, int64_t now) {
  pw_ctl_long_poll **at = &c->long_polls;
  while (*at) {
    pw_ctl_long_poll *w = *at;
    int changed = pwres_revision(pwctl_resources(c)) > w->call->since;
    if (!changed && now - w->since < LONG_POLL_MS &&
        !atomic_load(&c->p->stopping)) {
      at = &w->next;
      continue;
    }
    *at = w->next;
    pwapi_answer(w->call, 200, list_json(c, w->call->since, 0));
    free(w);
  }
}

static void read_call(pw_control *c, pw_api_call *call, int64_t now) {
  if (call->op == PW_API_STATUS) {
    pwapi_answer(call, 200, status_json(c, now));
  } else if (call->op == PW_API_LIST && call->has_since) {
    long_poll(c, call, now);
  } else if (call->op == PW_API_LIST) {
    pwapi_answer(call, 200, list_json(c, 0, 1));
  } else {
    const pw_resource *one =
        pwres_get(pwctl_resources(c), call->kind, call->name);
    if (one)
      pwapi_answer(call, 200, with_observed(c, one, now));
    else
      pwapi_fail(call, PW_E_NOT_FOUND, "", "not-run", NULL);
  }
}

/* --- writes --- */

static pw_ctl_waiter *add_waiter(pw_control *c, uint64_t index, uint64_t term,
                                 int64_t now) {
  pw_ctl_waiter *w = pw_alloc(sizeof *w);
  pw_ctl_waiter *old;
  w->index = index;
  w->term = term;
  w->since = now;
  HASH_FIND(hh, c->waiters, &index, sizeof index, old);
  if (old) { /* an entry of an earlier term, which was overwritten */
    HASH_DEL(c->waiters, old);
    if (old->call)
      pwapi_fail(old->call, PW_E_NOT_LEADER, "", "not-run", NULL);
    free(old);
  }
  HASH_ADD(hh, c->waiters, index, sizeof w->index, w);
  return w;
}

/* Whether the name is that of a known availability zone. */
static int is_known_availability_zone(const pw_control *c, const char *name) {
  const pw_list *known = &c->p->set->control_zones;
  for (int i = 0; i < known->n; i++)
    if (!strcmp(known->item[i], name))
      return 1;
  return known->n == 0 || pwwatch_has_zone(c->watch, name);
}

static pw_code check_availability_zones(const pw_control *c,
                                        const Pw__Change *ch) {
  for (size_t i = 0; i < ch->n_puts; i++) {
    const Pw__Put *p = ch->puts[i];
    if (!strcmp(p->kind, PW_KIND_EVACUATION) && !p->remove &&
        !is_known_availability_zone(c, p->name))
      return PW_E_ZONE;
  }
  return PW_OK;
}

static void propose_change(pw_control *c, pw_api_call *call, int64_t now) {
  Pw__Command cmd = PW__COMMAND__INIT;
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = PW__COMMAND__BODY_CHANGE;
  cmd.change = call->change;
  uint64_t index, term;
  pw_code rc = check_availability_zones(c, call->change);
  if (rc == PW_OK)
    rc = pwgroup_propose(c->group, &cmd, &index, &term);
  if (rc == PW_OK)
    add_waiter(c, index, term, now)->call = call;
  else
    pwapi_fail(call, rc, "", "not-run", NULL);
}

/* The order of an evacuation that is already in force goes through the log,
** too, since an order that ends the evacuation may be in flight. */
static void handle_evacuation(pw_control *c, pw_api_call *call, int64_t now) {
  if (pwgroup_lease(c->group, now))
    propose_change(c, call, now);
  else
    pwsitecall_redirect_to_leader(call, c->group);
}

static void redirect_to_leader(pw_control *c, pw_api_call *call) {
  if (call->dialect) {
    pwsitecall_redirect_to_leader(call, c->group);
    return;
  }
  pw_copy(call->leader, sizeof call->leader,
          pwgroup_is_leader(c->group) ? "" : pwgroup_leader_http(c->group));
  pwapi_fail(call, PW_E_NOT_LEADER, "", "not-run", NULL);
}

static void handle_rollout(pw_control *c, pw_api_call *call, int64_t now) {
  if (!pwgroup_lease(c->group, now)) {
    redirect_to_leader(c, call);
  } else if (call->op == PW_API_ROLLOUT_READ) {
    pwrolloutapi_read(c, call);
  } else {
    Pw__Change *change = pwrolloutapi_order(c, call);
    if (!change)
      return; /* the call was answered, and may have been freed */
    call->change = change;
    propose_change(c, call, now);
  }
}

void pwctl_call(pw_control *c, pw_api_call *call, int64_t now) {
  if (call->op == PW_API_EVACUATE) {
    handle_evacuation(c, call, now);
    return;
  }
  if (call->op == PW_API_ROLLOUT || call->op == PW_API_ROLLOUT_READ) {
    handle_rollout(c, call, now);
    return;
  }
  if (call->op >= PW_API_SITE_READ) {
    pwsitecall_handle(call, c->group, c->publish, c->reads, c->watch, c->leave,
                      now);
    return;
  }
  if (!pwgroup_lease(c->group, now)) {
    redirect_to_leader(c, call);
  } else if (call->op == PW_API_CHANGE) {
    propose_change(c, call, now);
  } else {
    read_call(c, call, now);
  }
}

static void send_claimed(pw_control *c, const pw_peer *to, Pw__Claimed *cl) {
  Pw__Envelope e = PW_ENVELOPE(CLAIMED, claimed, cl);
  pwwire_send(c->listener, to, &e);
}

void pwctl_ledger(pw_control *c, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now) {
  int claims = e->body_case == PW__ENVELOPE__BODY_CLAIM;
  Pw__Command cmd = PW__COMMAND__INIT;
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = claims ? PW__COMMAND__BODY_CLAIM : PW__COMMAND__BODY_RECORD;
  if (claims)
    cmd.claim = e->claim;
  else
    cmd.record = e->record;
  const char *id = claims ? e->claim->id : e->record->id;
  uint64_t index, term;
  pw_code rc = pwgroup_propose(c->group, &cmd, &index, &term);
  if (rc == PW_OK) {
    pw_ctl_waiter *w = add_waiter(c, index, term, now);
    w->peer = *from;
    pw_copy(w->id, sizeof w->id, id);
    w->is_record = !claims;
    return;
  }
  Pw__Claimed cl = PW__CLAIMED__INIT;
  cl.id = (char *)id;
  cl.code = PW_E_NOT_LEADER;
  send_claimed(c, from, &cl);
}

/* --- answers to committed proposals --- */

static json_t *outcome_json(const Pw__Outcome *o) {
  json_t *list = json_array();
  for (size_t i = 0; i < o->n_resources; i++)
    json_array_append_new(list, pwapi_packed_json(o->resources[i]));
  return json_pack("{s:I,s:o}", "revision", (json_int_t)o->revision,
                   "resources", list);
}

static void answer_change(pw_control *c, pw_api_call *call,
                          const Pw__Outcome *o) {
  pwcount_observe(c->p->counters, PWH_ACCEPT,
                  (pwclock_ns() - call->started) / NS_PER_US);
  /* Another operator ended the evacuation first; the result is the same. */
  int is_done = call->op == PW_API_EVACUATE && o->code == PW_E_NOT_FOUND;
  if (o->code == PW_OK || is_done) {
    pwcount_add(c->p->counters, PWC_CHANGES, o->code == PW_OK);
    if (call->op == PW_API_ROLLOUT)
      pwrolloutapi_accepted(call);
    else
      pwapi_answer(call, 200, outcome_json(o));
    return;
  }
  pwcount_add(c->p->counters, PWC_CONFLICTS, o->code == PW_E_CONFLICT);
  pwapi_fail(call, (pw_code)o->code, o->message, "not-run", outcome_json(o));
}

static void answer_waiter(pw_control *c, pw_ctl_waiter *w, const Pw__Entry *e,
                          const Pw__Outcome *o, Pw__Claimed *cl) {
  int is_same_entry = e->term == w->term;
  if (w->call) {
    if (is_same_entry && o)
      answer_change(c, w->call, o);
    else
      pwapi_fail(w->call, PW_E_NOT_LEADER, "", "not-run", NULL);
    return;
  }
  Pw__Claimed reply = PW__CLAIMED__INIT;
  reply.id = w->id;
  reply.code = is_same_entry ? PW_OK : PW_E_NOT_LEADER;
  reply.recorded = w->is_record;
  send_claimed(c, &w->peer, is_same_entry && cl ? cl : &reply);
}

void pwctl_applied(pw_control *c, const Pw__Entry *e, const Pw__Outcome *o,
                   Pw__Claimed *cl) {
  pw_ctl_waiter *w;
  uint64_t index = e->index;
  HASH_FIND(hh, c->waiters, &index, sizeof index, w);
  if (!w)
    return;
  HASH_DEL(c->waiters, w);
  answer_waiter(c, w, e, o, cl);
  free(w);
}

/* The outcome of a proposal that was not decided in time is not known. */
void pwctl_expire(pw_control *c, int64_t now) {
  pw_ctl_waiter *w, *tmp;
  HASH_ITER(hh, c->waiters, w, tmp) {
    if (now - w->since < WAIT_MS)
      continue;
    HASH_DEL(c->waiters, w);
    if (w->call)
      pwapi_fail(w->call, PW_E_UNKNOWN, "", "unknown", NULL);
    free(w);
  }
}

void pwctl_fail_all(pw_control *c) {
  pw_ctl_waiter *w, *tmp;
  HASH_ITER(hh, c->waiters, w, tmp) {
    HASH_DEL(c->waiters, w);
    if (w->call)
      pwapi_fail(w->call, PW_E_UNKNOWN, "", "unknown", NULL);
    free(w);
  }
  pwctl_answer_long_polls(c, pwclock_ms());
  pwpublish_end(c->publish);
  pwreads_end(c->reads);
  pwleave_end(c->leave);
  pw_api_call *call;
  while ((call = (pw_api_call *)pwmail_take(c->mail)) != NULL)
    pwapi_fail(call, PW_E_NOT_LEADER, "", "not-run", NULL);
}
