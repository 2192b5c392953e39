/* pwclaim.c: claims and records of requests in the once-ledger. */
#include "pwfl.h"

#include <string.h>

#define FULL_RETRY_MS 5000 /* expired claims make room in a full once-ledger */

void pwfl_send_claim(pw_flights *fs, pw_flight *f, int64_t now) {
  pw_call *c = f->call;
  Pw__Claim claim = PW__CLAIM__INIT;
  claim.id = c->request;
  claim.workspace = c->workspace.name;
  claim.key = c->once_key;
  claim.digest.data = c->digest;
  claim.digest.len = sizeof c->digest;
  Pw__Envelope e = PW_ENVELOPE(CLAIM, claim, &claim);
  pwsub_send_to_leader(fs->sub, &e);
  f->sent_at = now;
}

void pwfl_send_record(pw_flights *fs, pw_flight *f, int64_t now) {
  const pw_call *c = f->call;
  Pw__Record r = PW__RECORD__INIT;
  r.id = (char *)c->request;
  r.workspace = (char *)c->workspace.name;
  r.key = (char *)c->once_key;
  r.not_run = f->not_run;
  r.status = (uint32_t)f->status;
  if (!f->not_run && !f->record_overflow) {
    r.body.data = (uint8_t *)f->record.data;
    r.body.len = f->record.len;
  }
  r.content_type = f->record_overflow ? "" : (char *)c->type;
  Pw__Envelope e = PW_ENVELOPE(RECORD, record, &r);
  pwsub_send_to_leader(fs->sub, &e);
  f->sent_at = now;
}

/* Answers the caller with the recorded answer. */
static void replay(pw_flights *fs, pw_flight *f, const Pw__Claimed *cl) {
  pwcount_add(fs->p->counters, PWC_REPLAYS, 1);
  if (!cl->content_type[0] && cl->body.len == 0) {
    pwcall_fail(f->call, PW_E_NOT_KEPT, "", "done", 0);
  } else {
    pwcall_head(f->call, (int)cl->status, cl->content_type, "");
    pwcall_data(f->call, cl->body.data, cl->body.len);
    pwcall_finish(f->call, "done");
  }
  f->target = 0;
  pwfl_drop(fs, f);
}

static pw_flight *by_request(const pw_flights *fs, const char *request) {
  for (pw_flight *f = fs->all; f; f = f->hh.next)
    if (!strcmp(f->call->request, request))
      return f;
  return NULL;
}

void pwflight_claimed(pw_flights *fs, const Pw__Claimed *cl,
                      const pw_policy *policy, int64_t now) {
  pw_flight *f = by_request(fs, cl->id);
  if (!f || cl->code == PW_E_NOT_LEADER)
    return; /* tick_ledger resends the claim */
  /* A late answer to the Claim must not be taken for one to the Record.
  ** Otherwise the record would not be resent, and the key would stay claimed. */
  if (f->state == F_RECORDING && cl->recorded) {
    pwfl_drop(fs, f);
    return;
  }
  if (f->state != F_CLAIMING || cl->recorded)
    return;
  pwevent_add(fs->p->events, PWE_CLAIM, (int)cl->code, f->call->request, NULL,
              NULL, "answered=%d", cl->answered);
  if (cl->answered) {
    replay(fs, f, cl);
  } else if (cl->code != PW_OK) {
    int running = cl->code == PW_E_RUNNING;
    int full = cl->code == PW_E_LEDGER_FULL || cl->code == PW_E_LEDGER_LOST;
    pwcall_fail(f->call, (pw_code)cl->code, "", running ? "unknown" : "not-run",
                full ? pwroute_retry_after(FULL_RETRY_MS, f->walk.draw) : 0);
    pwfl_drop(fs, f);
  } else {
    f->state = F_OPENING;
    pwfl_place(fs, f, policy, now);
  }
}
