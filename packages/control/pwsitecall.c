/* pwsitecall.c: calls of the platform to a control instance. */
#include "pwsitecall.h"

#include "pwlog.h"

#include <stdio.h>
#include <string.h>

static pw_code read_document(pw_http *h, const pw_dialect *d, pw_api_call *c,
                             char *message, size_t cap) {
  size_t n;
  pw_site *site;
  const char *body = pwserve_body(h, &n);
  pw_code rc = d->read_site(body, n, &site, message, cap);
  if (rc != PW_OK)
    return rc;
  c->document_version = pwsite_version(site);
  pwsite_release(site);
  pwbuf_add(&c->document, body, n);
  return PW_OK;
}

pw_code pwsitecall_read(pw_http *h, const pw_dialect *d, pw_api_call **out,
                        int *is_heartbeat, char *message, size_t cap) {
  static const pw_api_op ops[] = {[PWCALL_SITE_READ] = PW_API_SITE_READ,
                                  [PWCALL_SITE_WRITE] = PW_API_SITE_WRITE,
                                  [PWCALL_HEARTBEAT] = PW_API_BEAT,
                                  [PWCALL_LEAVE] = PW_API_LEAVE,
                                  [PWCALL_EVACUATE] = PW_API_EVACUATE,
                                  [PWCALL_EVACUATE_END] = PW_API_EVACUATE,
                                  [PWCALL_ROLLOUT] = PW_API_ROLLOUT,
                                  [PWCALL_ROLLOUT_READ] = PW_API_ROLLOUT_READ};
  char id[PW_NAME_MAX];
  *is_heartbeat = 0;
  if (!d)
    return PW_E_PATH;
  pw_call_kind kind = d->read_call(pwserve_method(h), pwserve_path(h), id);
  if (kind == PWCALL_OTHER || kind == PWCALL_BAD_METHOD)
    return PW_E_PATH;
  *is_heartbeat = kind == PWCALL_HEARTBEAT || kind == PWCALL_LEAVE;
  pw_api_call *c = pwapi_new(ops[kind]);
  size_t n;
  const char *body = pwserve_body(h, &n);
  pw_code rc = PW_OK;
  pw_copy(c->name, sizeof c->name, pwserve_path(h));
  c->dialect = d;
  if (kind == PWCALL_SITE_WRITE)
    rc = read_document(h, d, c, message, cap);
  else if (kind == PWCALL_HEARTBEAT)
    rc = d->read_heartbeat(id, body, n, &c->beat, message, cap);
  else if (kind == PWCALL_LEAVE)
    rc = d->read_leave(id, body, n, &c->beat, message, cap);
  else if (kind == PWCALL_ROLLOUT)
    rc = d->read_rollout(body, n, &c->order, message, cap);
  else if (kind == PWCALL_ROLLOUT_READ)
    pw_copy(c->order.service, sizeof c->order.service, id);
  else if (c->op == PW_API_EVACUATE)
    c->change = pwapi_single_put(PW_KIND_EVACUATION, id,
                                 kind == PWCALL_EVACUATE ? "{}" : NULL);
  if (rc == PW_OK)
    *out = c;
  else
    pwapi_free(c);
  return rc;
}

void pwsitecall_redirect_to_leader(pw_api_call *call, const pw_group *g) {
  const char *leader = pwgroup_is_leader(g) ? "" : pwgroup_leader_http(g);
  if (leader[0])
    pwapi_redirect(call, leader, call->name);
  else
    pwapi_fail(call, PW_E_NOT_LEADER, "", "not-run", NULL);
}

void pwsitecall_answer_site(pw_api_call *call, const pw_group *g) {
  size_t n;
  const pw_doc *doc = pwstate_document(pwgroup_state(g));
  const char *text = pwdoc_text(doc, &n);
  if (pwdoc_version(doc))
    pwapi_answer_text(call, text, n);
  else
    pwapi_fail(call, PW_E_NOT_READY, "no configuration has been published yet",
               "not-run", NULL);
}

/* Takes a heartbeat. An isolated instance refuses it, so that the target
** turns to an instance whose updates reach the group. */
static void take_heartbeat(pw_api_call *call, const pw_group *g, pw_watch *w,
                           pw_leave *l, int64_t now) {
  uint64_t seq = pwwatch_beat(w, &call->beat, call->op == PW_API_LEAVE, now);
  if (pwwatch_is_connected(w, now) || pwgroup_may_found(g))
    pwleave_add(l, call, seq, now);
  else
    pwapi_fail(call, PW_E_ISOLATED, "", "unknown", NULL);
}

void pwsitecall_handle(pw_api_call *call, pw_group *g, pw_publish *p,
                       pw_reads *r, pw_watch *w, pw_leave *l, int64_t now) {
  switch (call->op) {
  case PW_API_BEAT:
  case PW_API_LEAVE:
    take_heartbeat(call, g, w, l, now);
    break;
  case PW_API_SITE_WRITE:
    if (pwgroup_lease(g, now))
      pwpublish_add(p, call, now);
    else
      pwsitecall_redirect_to_leader(call, g);
    break;
  default:
    pwreads_add(r, call, now);
    break;
  }
}
