/* pwinflight.c: lists the requests in flight at a gateway, the oldest first, with the target
** of each: shows an operator why a request hangs. */
#include "pwexint.h"

#include <stdlib.h>
#include <string.h>

#define LISTED_MAX 100 /* requests listed in one answer */

static int by_age(const void *a, const void *b) {
  const pw_exchange *x = *(const pw_exchange *const *)a;
  const pw_exchange *y = *(const pw_exchange *const *)b;
  return (x->arrived > y->arrived) - (x->arrived < y->arrived);
}

static const char *phase_of(const pw_exchange *x) {
  if (x->is_awaiting)
    return "waits-for-configuration";
  if (x->awaits_origin)
    return "waits-for-version";
  if (!x->t)
    return "between-targets";
  if (!x->is_sent)
    return "connecting";
  return x->has_begun ? "answering" : "no-answer-yet";
}

/* A caller's text as a JSON string; "?" if it is not valid UTF-8. */
static json_t *text_of(pw_span span) {
  json_t *text = json_stringn(span.p ? span.p : "", span.n);
  return text ? text : json_string("?");
}

static json_t *describe(const pw_exchange *x, int64_t now) {
  const pw_target *t = x->t;
  int64_t progress_at =
      x->forwarded_at > x->sent_at ? x->forwarded_at : x->sent_at;
  return json_pack(
      "{s:o,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:i,s:I}", "id",
      text_of(x->request_info.id), "route", x->route ? x->route->name : "",
      "phase", phase_of(x), "target", t ? t->id : "", "address",
      t ? t->address : "", "age_ms", (json_int_t)(now - x->arrived), "left_ms",
      (json_int_t)pwexi_time_left(x), "at_target_ms",
      (json_int_t)(t ? now - x->sent_at : 0), "quiet_ms",
      (json_int_t)(t ? now - progress_at : 0), "targets", x->ntried,
      "configuration", (json_int_t)(x->site ? pwsite_version(x->site) : 0));
}

void pwinflight_answer(pw_gate *g, pw_conn *c) {
  size_t n = 0;
  int64_t now = pwclock_ms();
  const pw_exchange **all =
      pw_alloc(sizeof(void *) * (size_t)(g->callers.count + 1));
  for (const pw_conn *one = g->callers.first; one; one = one->next)
    if (one->state)
      all[n++] = one->state;
  qsort(all, n, sizeof(void *), by_age);
  json_t *list = json_array();
  for (size_t i = 0; i < n && i < LISTED_MAX; i++)
    json_array_append_new(list, describe(all[i], now));
  free(all);
  json_t *answer = json_pack("{s:s,s:I,s:o}", "instance", g->p->set->name,
                             "under_way", (json_int_t)n, "requests", list);
  char *text = json_dumps(answer, JSON_COMPACT);
  json_decref(answer);
  pwconn_answer(c, 200, "Content-Type: application/json\r\n", text,
                strlen(text));
  free(text);
}
