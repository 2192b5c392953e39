/* pwpublish.c: publishes new configuration documents through the log of the
** control group. */
#include "pwpublish.h"

#include "pwlog.h"

#include <stdlib.h>

/* Time for a proposal to be decided, ms; its outcome is unknown after that. */
#define DECIDE_MS 3000

typedef struct pending {
  pw_api_call *call;
  int64_t since;
  struct pending *next;
} pending;

struct pw_publish {
  pw_group *g;
  const pw_doc *doc;
  /* the oldest call; its document is the one in flight, if any is */
  pending *first;
  uint64_t index; /* log index of the proposal in flight; 0: there is none */
  uint64_t term;
};

pw_publish *pwpublish_new(pw_group *g, const pw_doc *doc) {
  pw_publish *p = pw_alloc(sizeof *p);
  p->g = g;
  p->doc = doc;
  return p;
}

void pwpublish_free(pw_publish *p) {
  if (!p)
    return;
  pwpublish_end(p);
  free(p);
}

static pw_api_call *take_first(pw_publish *p) {
  pending *one = p->first;
  pw_api_call *call = one->call;
  p->first = one->next;
  free(one);
  return call;
}

static void fail_all(pw_publish *p) {
  while (p->first)
    pwapi_fail(take_first(p), PW_E_UNKNOWN,
               "the outcome of publishing the configuration is unknown",
               "unknown", NULL);
  p->index = 0;
}

void pwpublish_end(pw_publish *p) {
  fail_all(p);
}

/* Answers every call for the version that is committed or an older one. */
static void answer_committed(pw_publish *p) {
  for (pending **at = &p->first; *at;) {
    pending *one = *at;
    if (one->call->document_version > pwdoc_version(p->doc)) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    pwapi_answer(
        one->call, 200,
        json_pack("{s:I}", "version", (json_int_t)one->call->document_version));
    free(one);
  }
}

static void propose(pw_publish *p, int64_t now) {
  if (p->index || !p->first || !pwgroup_lease(p->g, now))
    return;
  const pw_api_call *call = p->first->call;
  Pw__Document d;
  Pw__Command cmd = PW__COMMAND__INIT;
  pwdoc_pack_next(p->doc, call->document_version, call->document.data,
                  call->document.len, &d);
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = PW__COMMAND__BODY_PUBLISH;
  cmd.publish = &d;
  pw_code rc = pwgroup_propose(p->g, &cmd, &p->index, &p->term);
  free(d.data.data);
  if (rc == PW_OK)
    return;
  p->index = 0;
  pwapi_fail(take_first(p), rc, "", "not-run", NULL);
}

void pwpublish_add(pw_publish *p, pw_api_call *call, int64_t now) {
  pending **at = &p->first;
  while (*at)
    at = &(*at)->next;
  *at = pw_alloc(sizeof **at);
  **at = (pending){.call = call, .since = now};
  answer_committed(p);
  propose(p, now);
}

void pwpublish_applied(pw_publish *p, const Pw__Entry *e,
                       const Pw__Outcome *o) {
  if (!p->index || e->index < p->index)
    return;
  int is_own = e->index == p->index && e->term == p->term;
  p->index = 0;
  if (!is_own) { /* an entry of another leader took this index */
    fail_all(p);
    return;
  }
  if (o && o->code != PW_OK && o->code != PW_E_STALE)
    pwapi_fail(take_first(p), (pw_code)o->code, o->message, "not-run", NULL);
  answer_committed(p); /* a document whose base was stale is proposed again */
}

void pwpublish_tick(pw_publish *p, int64_t now) {
  if (p->first && now - p->first->since > DECIDE_MS) {
    pwlog(LOG_WARNING, "publish-undecided", "index=%llu",
          (unsigned long long)p->index);
    fail_all(p);
  }
  propose(p, now);
}
