/* pwrolloutapi.c: API calls that order a rollout of a service, or read its
** state. */
#include "pwrolloutapi.h"

#include <stdio.h>
#include <string.h>

static pw_rollout_stage stage_of(pw_canary_state s) {
  static const pw_rollout_stage stages[] = {
      [PWCANARY_RUNNING] = PWROLLOUT_RUNNING,
      [PWCANARY_COMPLETE] = PWROLLOUT_COMPLETE,
      [PWCANARY_REVERTED] = PWROLLOUT_REVERTED};
  return stages[s];
}

static void answer(pw_api_call *call, const char *version, pw_canary at) {
  if (!call->dialect) {
    pwapi_answer(call, 200,
                 json_pack("{s:s,s:s,s:s,s:i}", "service", call->order.service,
                           "version", version, "state",
                           pwcanary_state_name(at.state), "share", at.share));
    return;
  }
  pw_buf text = {0};
  call->dialect->write_rollout(&text, version, stage_of(at.state));
  pwapi_answer_text(call, text.data, text.len);
  pwbuf_free(&text);
}

/* Whether the configuration has a service of that name, or a target of it is
** known. */
static int is_service(const pw_control *c, const char *name) {
  size_t n;
  pw_site *site = NULL;
  char why[160];
  const char *text = pwdoc_text(pwstate_document(pwgroup_state(c->group)), &n);
  if (pwwatch_has_service(c->watch, name))
    return 1;
  if (!n || !c->p->dialect ||
      c->p->dialect->read_site(text, n, &site, why, sizeof why) != PW_OK)
    return 0;
  int is = pwsite_service_index(site, name) >= 0;
  pwsite_release(site);
  return is;
}

Pw__Change *pwrolloutapi_order(pw_control *c, pw_api_call *call) {
  char why[160] = "";
  Pw__Change *ch = NULL;
  pw_code rc = PW_E_REFERENCE;
  if (is_service(c, call->order.service))
    rc = pwcanaries_order(c->canaries, &call->order, &ch, why, sizeof why);
  else
    snprintf(why, sizeof why, "service: no service is named %.64s",
             call->order.service);
  if (rc != PW_OK)
    pwapi_fail(call, rc, why, "not-run", NULL);
  else if (!ch)
    pwrolloutapi_read(c, call);
  return ch;
}

void pwrolloutapi_read(pw_control *c, pw_api_call *call) {
  char version[PW_NAME_MAX];
  pw_canary at;
  pw_code rc =
      pwcanaries_read(pwctl_resources(c), call->order.service, version, &at);
  if (rc == PW_OK)
    answer(call, version, at);
  else
    pwapi_fail(call, rc, "", "not-run", NULL);
}

void pwrolloutapi_accepted(pw_api_call *call) {
  answer(call, call->order.version, (pw_canary){0});
}
