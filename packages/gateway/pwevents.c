/* pwevents.c: event streams, forwarded in complete events. */
#include "pwexint.h"

#include <string.h>

/* Counts a stream as late, once, when a chunk comes after the time that the route allows. */
static void note_lateness(pw_exchange *x, int64_t ms, int64_t allowed_ms) {
  if (allowed_ms <= 0 || ms <= allowed_ms || x->is_late)
    return;
  x->is_late = 1;
  pwprefill_answered(&x->service_state->prefill, 1);
}

void pwexi_begin_answer(pw_exchange *x) {
  x->has_begun = 1;
  x->first_forwarded_at = x->forwarded_at = pwclock_ms();
  x->nchunks = 0;
  pwexi_observe(x, PWSTAGE_FIRST, x->forwarded_at - x->arrived);
  pwexi_note_first_chunk(x, x->forwarded_at);
  note_lateness(x, x->forwarded_at - x->arrived, x->route->goal_ms);
  pwconn_begin(x->caller, x->status, x->headers.data ? x->headers.data : "");
  pwbuf_free(&x->headers);
}

static void note_pause(pw_exchange *x) {
  int64_t now = pwclock_ms();
  note_lateness(x, now - x->forwarded_at, x->route->pause_ms);
  if (now - x->forwarded_at > x->longest_pause)
    x->longest_pause = now - x->forwarded_at;
  x->forwarded_at = now;
}

void pwexi_pause_if_unread(pw_exchange *x) {
  if (!x->u || x->is_paused ||
      pwtcp_pending(x->caller->tcp) <= x->g->buf_limits.unwritten)
    return;
  x->is_paused = 1;
  pwupconn_pause(x->u, 1);
}

void pwexi_forward(pw_exchange *x, const char *data, size_t n) {
  if (!x->has_begun) {
    /* First, since this process may end right after the caller has the event. */
    pwexi_note_begun(x, pwclock_ms());
    pwexi_begin_answer(x);
  } else if (!x->has_chunk) /* resumed at another target */
    pwexi_note_first_chunk(x, pwclock_ms());
  note_pause(x);
  x->nchunks++;
  pwconn_write(x->caller, data, n);
  pwexi_pause_if_unread(x);
}

void pwexchange_resume(void *exchange) {
  pw_exchange *x = exchange;
  if (!x->is_paused)
    return;
  x->is_paused = 0;
  if (x->u)
    pwupconn_pause(x->u, 0);
}

/* Whether the event with the id field at `id` is the last one before `end`. */
static int is_last_event(const char *id, const char *end) {
  pw_sse s = {0};
  pwsse_read(&s, id, (size_t)(end - id));
  return s.events == 1;
}

/* Records the id of the last of these complete events. Without it, or with one that is too long, the stream cannot go
** on after that event. */
static void note_id(pw_exchange *x, const char *data, size_t n) {
  size_t length;
  const char *id = pwsse_last_id(data, n, &length);
  x->is_after_id =
      id && length < sizeof x->last_event && is_last_event(id, data + n);
  if (!x->is_after_id)
    return;
  memcpy(x->last_event, id, length);
  x->nlast_event = length;
}

/* The id of the last event that the caller has; {0}: none is known. */
static pw_span last_event_of(const pw_exchange *x) {
  return x->nlast_event ? (pw_span){x->last_event, x->nlast_event}
                        : x->request_info.last_event;
}

/* Whether a target that was to continue the stream sends events that the caller has. */
static int repeats_events(const pw_exchange *x, const char *data, size_t n) {
  size_t length;
  pw_span last = last_event_of(x);
  const char *id = last.p ? pwsse_first_id(data, n, &length) : NULL;
  return id && pwsse_goes_back(id, length, last.p, last.n);
}

static void end_repeating(pw_exchange *x, const char *data, size_t n) {
  size_t length;
  pw_span last = last_event_of(x);
  const char *id = pwsse_first_id(data, n, &length);
  pwexi_log(x, PWTRACE_FAIL, "events-repeated",
            "target=%s last=%.*s first=%.*s", x->t->id, (int)last.n, last.p,
            (int)length, id);
  pwcount_add(x->g->p->counters, PWC_GW_EVENTS_REPEATED, 1);
  pwexi_end_bad_attempt(
      x, "the target repeats events instead of continuing the stream");
}

void pwexi_forward_events(pw_exchange *x, const char *data, size_t n) {
  long events_before = x->events.events;
  size_t complete = pwsse_read(&x->events, data, n);
  if (complete == 0 && x->buffered.len + n > pwexi_answer_room(x)) {
    pwexi_end_too_large(x);
    return;
  }
  if (complete == 0) {
    pwbuf_add(&x->buffered, data, n);
    return;
  }
  const char *events = data;
  size_t length = complete;
  if (x->buffered.len) {
    pwbuf_add(&x->buffered, data, complete);
    events = x->buffered.data;
    length = x->buffered.len;
  }
  if (events_before == 0 && repeats_events(x, events, length)) {
    end_repeating(x, events, length);
    return;
  }
  if (x->events.events > events_before) /* not comments alone */
    note_id(x, events, length);
  pwexi_forward(x, events, length);
  x->buffered.len = 0;
  pwbuf_add(&x->buffered, data + complete, n - complete);
}

int pwexi_is_broken_off(const pw_exchange *x) {
  return !pwsse_is_between(&x->events) ||
         (x->ends_with_connection && x->events.events == 0);
}
