/* pwanswer.c: handles agents' messages about attempts. */
#include "pwfl.h"

#include "pwbuflimits.h"
#include "pwmemory.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Longest answer that is not streamed, bytes. */
#define ANSWER_MAX (8 * 1024 * 1024)

/* Sends the chat's home target the name of the target that now has the chat's
** prefix cached. */
static void send_pointer(pw_flights *fs, const pw_flight *f) {
  const pw_call *c = f->call;
  pw_route_pool pool;
  pw_policy none = {0};
  if (!c->chat[0] || c->is_service || f->resumes ||
      !pwtargets_pool(fs->targets, f->pool, &none, 0, 0, 0, &pool))
    return;
  uint64_t home = pwplace_rank(pool.place, f->walk.key, 0);
  const pw_target *h = pwtargets_by_id(fs->targets, home);
  if (!h || h->link != PW_LINK_UP || home == f->target)
    return;
  Pw__Pointer p = PW__POINTER__INIT;
  p.chat = (char *)c->chat;
  p.target = (char *)pwfl_target_name(fs, f);
  Pw__Envelope e = PW_ENVELOPE(POINTER, pointer, &p);
  pwfl_send_to(fs, h, &e);
  pwevent_add(fs->p->events, PWE_MOVED, 0, c->request, c->chat,
              pwfl_target_name(fs, f), "home=%s", h->name);
}

static void on_refuse(pw_flights *fs, pw_flight *f, const Pw__Refuse *r,
                      const pw_policy *policy, int64_t now) {
  if (f->state != F_SENT)
    return;
  f->maybe_started--;
  f->attempts--;      /* nothing was started, so the attempt does not count */
  if (f->origin[0]) { /* the target does not resume the stream */
    pwfl_broken(fs, f, PW_E_CUT, policy, now);
    return;
  }
  int missed = r->code == PW_E_MISS;
  f->refused_wait = r->retry_after;
  f->refused_worth = r->worth;
  if (r->kv_tokens) {
    f->kv_tokens = r->kv_tokens;
    pw_copy(f->kv_url, sizeof f->kv_url, r->kv_url);
  }
  if (r->retry_after && (!f->retry_after || r->retry_after < f->retry_after))
    f->retry_after = r->retry_after;
  if (missed && r->pointer[0] && !f->walk.pointer)
    f->walk.pointer = pwplace_id(r->pointer);
  if (missed && f->walk.pointer)
    pwcount_add(fs->p->counters, PWC_POINTER_HITS, 1);
  pwfl_hop(fs, f, (pw_code)r->code, policy, now);
}

static const char *head_value(const Pw__Head *h, const char *name) {
  for (size_t i = 0; i < h->n_headers; i++)
    if (!strcasecmp(h->headers[i]->name, name))
      return h->headers[i]->value;
  return "";
}

static void on_head(pw_flights *fs, pw_flight *f, const Pw__Head *h) {
  pw_call *c = f->call;
  f->state = F_ANSWERING;
  if (f->got_head)
    return; /* a resumed stream, whose caller has its headers */
  f->got_head = 1;
  const char *cached = head_value(h, "X-Cached-Tokens");
  if (cached[0]) {
    c->has_tokens = 1;
    c->cached_tokens = (uint32_t)strtoul(cached, NULL, 10);
    c->prompt_seen =
        (uint32_t)strtoul(head_value(h, "X-Prompt-Tokens"), NULL, 10);
    pwcount_add(fs->p->counters, PWC_CACHED, c->cached_tokens);
    pwcount_add(fs->p->counters, PWC_PROMPT, c->prompt_seen);
  }
  const char *type = head_value(h, "Content-Type");
  pwcall_head(c, (int)h->status, type, pwfl_target_name(fs, f));
  pwevent_add(fs->p->events, PWE_PLACED, 0, c->request, c->chat,
              pwfl_target_name(fs, f), "cached=%u of %u hops=%d",
              c->cached_tokens, c->prompt_seen, f->hops);
  send_pointer(fs, f);
}

/* Appends to the record of a request that may run only once. */
static void add_to_record(pw_flight *f, const ProtobufCBinaryData *data) {
  if (!f->call->never || f->record_overflow)
    return;
  if (f->record.len + data->len > PW_ONCE_RECORD_MAX)
    f->record_overflow = 1;
  else
    pwbuf_add(&f->record, data->data, data->len);
}

void pwfl_send_credit(pw_flights *fs, pw_flight *f, uint64_t offset) {
  Pw__Credit c = PW__CREDIT__INIT;
  c.attempt = f->attempt;
  c.offset = offset;
  Pw__Envelope e = PW_ENVELOPE(CREDIT, credit, &c);
  pwfl_send_to(fs, pwfl_target_of(fs, f), &e);
  f->credited = offset;
}

/* Bytes that may be held of an answer that is not streamed. While memory is short the limit shrinks: answers may come
** without end, and many at once. */
static size_t answer_room(const pw_flights *fs) {
  const pw_memory *m = fs->p->memory;
  return pwmemory_is_short(m)
             ? pwbuflimits_of(pwmemory_used(m), pwmemory_buffer_limit(m)).answer
             : ANSWER_MAX;
}

/* Appends the bytes at their offset. Bytes received before are skipped; when bytes
** are missing, the attempt counts as broken off. */
static void on_chunk(pw_flights *fs, pw_flight *f, const Pw__Chunk *k,
                     const pw_policy *policy, int64_t now) {
  if (f->state != F_ANSWERING)
    return;
  if (k->offset > f->received) {
    pwfl_broken(fs, f, PW_E_CUT, policy, now);
    return;
  }
  uint64_t seen = f->received - k->offset;
  if (seen >= k->data.len)
    return;
  ProtobufCBinaryData fresh = {k->data.len - seen, k->data.data + seen};
  f->received += fresh.len;
  add_to_record(f, &fresh);
  size_t buffered = pwcall_data(f->call, fresh.data, fresh.len);
  if (f->call->stream)
    return; /* credit is sent as the caller reads */
  if (buffered > answer_room(fs)) {
    pwfl_send_cancel(fs, f);
    pwfl_fail(fs, f, PW_E_UPSTREAM, now);
    return;
  }
  if (f->received - f->credited > PW_STREAM_WINDOW / 4)
    pwfl_send_credit(fs, f, f->received);
}

static void on_end(pw_flights *fs, pw_flight *f, const Pw__End *end,
                   const pw_policy *policy, int64_t now) {
  pw_target *t = pwfl_target_of(fs, f);
  if (end->code != PW_OK || end->length != f->received ||
      f->state != F_ANSWERING) {
    pwfl_broken(fs, f, end->code ? (pw_code)end->code : PW_E_CUT, policy, now);
    return;
  }
  if (t)
    pwbreak_result(&t->breaker, 0, now);
  pwcount_add(fs->p->counters, PWC_OUTPUT, end->output_tokens);
  pwfl_finish(fs, f, now);
}

static const char *attempt_of(const Pw__Envelope *e) {
  switch (e->body_case) {
  case PW__ENVELOPE__BODY_REFUSE:
    return e->refuse->attempt;
  case PW__ENVELOPE__BODY_HEAD:
    return e->head->attempt;
  case PW__ENVELOPE__BODY_CHUNK:
    return e->chunk->attempt;
  case PW__ENVELOPE__BODY_END:
    return e->end->attempt;
  default:
    return NULL;
  }
}

static const Pw__Load *load_of(const Pw__Envelope *e) {
  switch (e->body_case) {
  case PW__ENVELOPE__BODY_REFUSE:
    return e->refuse->load;
  case PW__ENVELOPE__BODY_HEAD:
    return e->head->load;
  case PW__ENVELOPE__BODY_END:
    return e->end->load;
  case PW__ENVELOPE__BODY_LOADS:
    return e->loads->n_loads ? e->loads->loads[0] : NULL;
  default:
    return NULL;
  }
}

void pwfl_break_all(pw_flights *fs, const pw_target *t, pw_code code,
                    const pw_policy *policy, int64_t now) {
  uint64_t id = t->id;
  size_t n = HASH_COUNT(fs->all);
  pw_flight **hit = pw_alloc(sizeof *hit * (n + 1));
  size_t nhit = 0;
  for (pw_flight *f = fs->all; f; f = f->hh.next)
    if (f->target == id && (f->state == F_SENT || f->state == F_ANSWERING) &&
        (code != PW_E_CUT || f->incarnation != t->incarnation))
      hit[nhit++] = f;
  for (size_t i = 0; i < nhit; i++)
    pwfl_broken(fs, hit[i], code, policy, now);
  free(hit);
}

void pwflight_link_lost(pw_flights *fs, const char *addr,
                        const pw_policy *policy, int64_t now) {
  pw_target *t = pwtargets_by_agent(fs->targets, addr);
  if (!t || t->link != PW_LINK_UP)
    return;
  pwevent_add(fs->p->events, PWE_LINK_DOWN, 0, NULL, NULL, t->name,
              "connection lost, in_flight=%d", t->in_flight);
  pwtargets_disconnect(fs->targets, t);
  pwfl_break_all(fs, t, PW_E_TIMEOUT, policy, now);
}

/* Sends the Runs that wait for the target's link to open. */
static void send_waiting(pw_flights *fs, pw_target *t, int64_t now) {
  for (pw_flight *f = fs->all; f; f = f->hh.next)
    if (f->target == t->id && f->state == F_OPENING)
      pwfl_send_run(fs, f, t, now);
}

/* Notes that the agent's link is up, and takes in the load if the message carries
** one. */
static void on_any_message(pw_flights *fs, pw_target *t, const Pw__Envelope *e,
                           const pw_policy *policy, int64_t now) {
  t->link = PW_LINK_UP;
  t->link_received_at = now;
  const Pw__Load *load = load_of(e);
  int restarted = load && pwtargets_report(fs->targets, load,
                                           now - (int64_t)load->age, now);
  if (restarted)
    pwfl_break_all(fs, t, PW_E_CUT, policy, now);
  if (t->incarnation == e->incarnation)
    send_waiting(fs, t, now);
}

void pwflight_message(pw_flights *fs, const pw_peer *from,
                      const Pw__Envelope *e, const pw_policy *policy,
                      int64_t now) {
  pw_target *t = pwtargets_by_peer(fs->targets, from);
  if (!t)
    return;
  on_any_message(fs, t, e, policy, now);
  const char *attempt = attempt_of(e);
  if (!attempt)
    return;
  pw_flight *f;
  HASH_FIND_STR(fs->all, attempt, f);
  if (!f || f->target != t->id) {
    pwcount_add(fs->p->counters, PWC_LATE, 1);
    return;
  }
  switch (e->body_case) {
  case PW__ENVELOPE__BODY_REFUSE:
    on_refuse(fs, f, e->refuse, policy, now);
    break;
  case PW__ENVELOPE__BODY_HEAD:
    on_head(fs, f, e->head);
    break;
  case PW__ENVELOPE__BODY_CHUNK:
    on_chunk(fs, f, e->chunk, policy, now);
    break;
  case PW__ENVELOPE__BODY_END:
    on_end(fs, f, e->end, policy, now);
    break;
  default:
    break;
  }
}
