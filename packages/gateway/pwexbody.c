/* pwexbody.c: bodies of plain answers. They are buffered until they are complete, so that another target may answer in
** place of one that breaks off; when memory is short, those of a known length are forwarded as they come. */
#include "pwexint.h"

size_t pwexi_answer_room(const pw_exchange *x) {
  return pwgate_buf_limits(x->g).answer;
}

void pwexi_end_bad_attempt(pw_exchange *x, const char *why) {
  pw_upconn *u = x->u;
  x->u = NULL;
  pwupconn_cancel(u);
  pwfleet_failed(x->t, pwclock_ms());
  pwexi_fail_unknown(x, why);
}

void pwexi_end_too_large(pw_exchange *x) {
  pwexi_end_bad_attempt(
      x, "the answer or an event of it is larger than the buffer");
}

/* Whether the answer may begin before it is complete. One without a length could go on without end. */
static int may_pass_through(const pw_exchange *x) {
  return x->has_length && !x->has_begun && x->status / 100 == 2 &&
         x->answer_info.is_signed && !x->answer_info.not_run;
}

static void begin_passing(pw_exchange *x) {
  x->has_begun = 1;
  x->passes_through = 1;
  pwexi_observe(x, PWSTAGE_FIRST, pwclock_ms() - x->arrived);
  pwconn_begin(x->caller, x->status, x->headers.data ? x->headers.data : "");
  pwbuf_free(&x->headers);
  pwconn_write(x->caller, x->buffered.data, x->buffered.len);
  pwbuf_free(&x->buffered);
}

void pwexi_on_body(void *exchange, const char *data, size_t n) {
  pw_exchange *x = exchange;
  x->t->chunk_at = pwclock_ms();
  if (x->is_event_stream) {
    pwexi_forward_events(x, data, n);
    return;
  }
  int fits = x->buffered.len + n <= pwexi_answer_room(x);
  if (!x->passes_through && fits) {
    pwbuf_add(&x->buffered, data, n);
    return;
  }
  if (!x->passes_through && !may_pass_through(x)) {
    pwexi_end_too_large(x);
    return;
  }
  if (!x->passes_through)
    begin_passing(x);
  pwconn_write(x->caller, data, n);
  pwexi_pause_if_unread(x);
}
