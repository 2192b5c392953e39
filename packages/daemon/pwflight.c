/* pwflight.c: an entry's requests in flight. */
#include "pwflight.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define CLAIM_RETRY_MS 300
#define CLAIM_GIVE_UP_MS 6000
#define RECORD_GIVE_UP_MS 30000
#define GONE_CHECK_MS 500
#define ANSWER_MAX (8 * 1024 * 1024) /* bytes of an answer not streamed */
#define RESUMES_MAX 7
#define RESUME_MS 25    /* pause before the first resume; doubles */
#define QUOTA_BURST_S 2 /* seconds of its limit a workspace may use at once */
#define MARGIN_MS 20    /* an answer out before the deadline, not at it */

typedef enum flight_state {
  F_CLAIMING, /* waits for the once-ledger */
  F_OPENING,  /* waits for a cold link; nothing was sent */
  F_PAUSING,  /* before a stream is resumed */
  F_SENT,     /* a Run is out, no Head yet */
  F_ANSWERING,
  F_RECORDING /* answered; the ledger has yet to take the answer */
} flight_state;

typedef struct flight {
  char attempt[PW_NAME_MAX]; /* key of the table */
  pw_call *call;
  flight_state state;
  pw_route_walk walk;
  uint64_t target;      /* id */
  uint64_t incarnation; /* of the agent the Run went to */
  int need_prefix;
  int may_queue;
  int attempts, hops, resumes;
  int unproven; /* attempts sent that no Refuse has proved not started */
  int got_head; /* the caller's answer has begun */
  int64_t deadline;
  int64_t since;     /* the state began */
  int64_t sent_at;   /* the last message to the ledger */
  int64_t checked;   /* the caller's connection */
  uint64_t received; /* answer bytes */
  uint64_t credited;
  pw_code last_code; /* of the last refusal */
  uint32_t retry_after;
  char origin[PW_NAME_MAX]; /* attempt whose stream is resumed */
  int not_run;              /* F_RECORDING: give the claim back */
  int status;
  pw_buf kept; /* answer to be recorded */
  int kept_over;
  UT_hash_handle hh;
} flight;

/* A workspace's share of its token limit at this entry. */
typedef struct quota {
  char workspace[PW_NAME_MAX];
  pw_bucket bucket;
  UT_hash_handle hh;
} quota;

struct pw_flights {
  pw_proc *p;
  pw_sock *sock;
  pw_targets *targets;
  pw_sub *sub;
  flight *all;
  pw_retry_budget budget;
  double share;
  quota *quotas;
};

pw_flights *pwflight_new(pw_proc *p, pw_sock *dialler, pw_targets *targets,
                         pw_sub *sub) {
  pw_flights *fs = pw_alloc(sizeof *fs);
  fs->p = p;
  fs->sock = dialler;
  fs->targets = targets;
  fs->sub = sub;
  fs->share = PW_RETRY_SHARE;
  pwretry_init(&fs->budget, PW_RETRY_SHARE, PW_RETRY_RESERVE);
  return fs;
}

int pwflight_count(const pw_flights *fs) {
  return (int)HASH_COUNT(fs->all);
}

static void draw_id(char out[PW_NAME_MAX]) {
  unsigned char bytes[16];
  randombytes_buf(bytes, sizeof bytes);
  sodium_bin2hex(out, PW_NAME_MAX, bytes, sizeof bytes);
}

static void rename_attempt(pw_flights *fs, flight *f) {
  HASH_DEL(fs->all, f);
  draw_id(f->attempt);
  HASH_ADD_STR(fs->all, attempt, f);
}

static void drop(pw_flights *fs, flight *f) {
  HASH_DEL(fs->all, f);
  pwcall_unref(f->call);
  pwbuf_free(&f->kept);
  free(f);
  pwcount_set(fs->p->counters, PWC_ACTIVE, pwflight_count(fs));
}

void pwflight_free(pw_flights *fs) {
  if (!fs)
    return;
  flight *f, *tmp;
  HASH_ITER(hh, fs->all, f, tmp) {
    drop(fs, f);
  }
  quota *q, *qtmp;
  HASH_ITER(hh, fs->quotas, q, qtmp) {
    HASH_DEL(fs->quotas, q);
    free(q);
  }
  free(fs);
}

static pw_target *target_of(pw_flights *fs, const flight *f) {
  return f->target ? pwtargets_by_id(fs->targets, f->target) : NULL;
}

static const char *target_name(pw_flights *fs, const flight *f) {
  const pw_target *t = target_of(fs, f);
  return t ? t->name : "";
}

static void send_to(pw_flights *fs, const pw_target *t, Pw__Envelope *e) {
  if (t && t->link != PW_LINK_NONE)
    pwwire_send(fs->sock, &t->peer, e);
}

static void send_cancel(pw_flights *fs, const flight *f) {
  Pw__Cancel c = PW__CANCEL__INIT;
  c.attempt = (char *)f->attempt;
  Pw__Envelope e = PW_ENVELOPE(CANCEL, cancel, &c);
  send_to(fs, target_of(fs, f), &e);
}

/* The attempt is over for the target: its load is the agent's to tell. */
static void release(pw_flights *fs, flight *f) {
  pw_target *t = target_of(fs, f);
  if (t && f->state != F_CLAIMING && f->state != F_RECORDING)
    t->in_flight--;
  f->target = 0;
}

/* --- the end of a request --- */

static void send_record(pw_flights *fs, flight *f, int64_t now) {
  const pw_call *c = f->call;
  Pw__Record r = PW__RECORD__INIT;
  r.id = (char *)c->request;
  r.workspace = (char *)c->workspace.name;
  r.key = (char *)c->once_key;
  r.not_run = f->not_run;
  r.status = (uint32_t)f->status;
  if (!f->not_run && !f->kept_over) {
    r.body.data = (uint8_t *)f->kept.data;
    r.body.len = f->kept.len;
  }
  r.content_type = f->kept_over ? "" : (char *)c->type;
  Pw__Envelope e = PW_ENVELOPE(RECORD, record, &r);
  pwsub_to_leader(fs->sub, &e);
  f->sent_at = now;
}

/* A claim is settled only by a whole answer or a proof that it did not run;
** with neither it stays claimed, and resends learn that. */
static void settle(pw_flights *fs, flight *f, int whole, int not_run,
                   int64_t now) {
  release(fs, f);
  if (!f->call->never || (!whole && !not_run)) {
    drop(fs, f);
    return;
  }
  f->state = F_RECORDING;
  f->since = now;
  f->not_run = not_run;
  send_record(fs, f, now);
}

static void fail(pw_flights *fs, flight *f, pw_code code, int64_t now) {
  pw_call *c = f->call;
  int not_run = f->unproven == 0;
  uint32_t retry = 0;
  if (not_run && (pwcode_http(code) == 503 || code == PW_E_QUOTA))
    retry = pwroute_retry_after(f->retry_after, f->walk.draw);
  pwevent_add(fs->p->events, not_run ? PWE_REFUSED : PWE_UNKNOWN, code,
              c->request, c->chat, target_name(fs, f), "attempts=%d hops=%d",
              f->attempts, f->hops);
  pwcall_fail(c, code, "", not_run ? "not-run" : "unknown", retry);
  settle(fs, f, 0, not_run, now);
}

static void finish(pw_flights *fs, flight *f, int64_t now) {
  pwretry_success(&fs->budget);
  f->status = f->call->status;
  pwcall_finish(f->call, "done");
  settle(fs, f, 1, 0, now);
}

/* --- placing and sending --- */

static void fill_run(const flight *f, const pw_target *t, Pw__Run *r,
                     int64_t now) {
  const pw_call *c = f->call;
  int64_t left = f->deadline - now;
  r->attempt = (char *)f->attempt;
  r->request = (char *)c->request;
  r->workspace = (char *)c->workspace.name;
  r->chat = (char *)c->chat;
  r->pool = (char *)c->pool;
  r->method = c->method;
  r->path = c->path;
  r->headers = c->headers;
  r->n_headers = c->nheaders;
  r->body.data = (uint8_t *)c->body;
  r->body.len = c->body_len;
  r->priority = c->priority;
  r->weight = (uint32_t)c->workspace.weight;
  r->deadline = left > 0 ? (uint32_t)left : 0;
  r->start_by = pwtargets_clock(t, now) + left;
  r->incarnation = t->incarnation;
  r->never = c->never;
  r->stream = c->stream;
  r->prompt_tokens = c->prompt_tokens;
  r->output_tokens = c->output_tokens;
  r->need_prefix = f->need_prefix;
  r->may_queue = f->may_queue;
  r->service = c->is_service;
  r->offset = f->received;
  r->resume_of = (char *)f->origin;
}

static void send_run(pw_flights *fs, flight *f, pw_target *t, int64_t now) {
  Pw__Run r = PW__RUN__INIT;
  fill_run(f, t, &r, now);
  f->state = F_SENT;
  f->since = now;
  f->incarnation = t->incarnation;
  Pw__Envelope e = PW_ENVELOPE(RUN, run, &r);
  pwcount_add(fs->p->counters, PWC_ATTEMPTS, 1);
  f->attempts++;
  t->pending += f->walk.cost;
  if (pwwire_send(fs->sock, &t->peer, &e) == 0) {
    f->unproven++;
    return;
  }
  f->state = F_OPENING; /* not sent: the tick goes on to another target */
  pwtargets_lose(fs->targets, t);
}

static void go_to(pw_flights *fs, flight *f, pw_target *t, int64_t now) {
  f->target = t->id;
  t->in_flight++;
  if (pwtargets_is_fresh(t, now)) {
    send_run(fs, f, t, now);
    return;
  }
  f->state = F_OPENING;
  f->since = now;
  pwtargets_ask(fs->targets, t, now);
}

static void place(pw_flights *fs, flight *f, const pw_policy *policy,
                  int64_t now) {
  pw_route_pool pool;
  if (f->hops > PW_HOPS_MAX || now >= f->deadline ||
      !pwtargets_pool(fs->targets, f->call->pool, policy, f->walk.draw, now,
                      &pool)) {
    fail(fs, f, f->last_code ? f->last_code : PW_E_NO_TARGET, now);
    return;
  }
  pw_route_pick pick = pwroute_next(&pool, &f->walk);
  pw_target *t = pwtargets_by_id(fs->targets, pick.id);
  if (!t) {
    fail(fs, f, f->last_code ? f->last_code : PW_E_NO_TARGET, now);
    return;
  }
  f->need_prefix = pick.need_prefix;
  f->may_queue = pick.may_queue;
  go_to(fs, f, t, now);
}

static pw_refusal refusal_of(pw_code code) {
  if (code == PW_E_MISS)
    return PW_REFUSED_MISSED;
  return code == PW_E_BUSY || code == PW_E_DEADLINE ? PW_REFUSED_BUSY
                                                    : PW_REFUSED_OTHER;
}

/* The attempt is known not to have started: on to the next target. */
static void hop(pw_flights *fs, flight *f, pw_code code,
                const pw_policy *policy, int64_t now) {
  uint64_t id = f->target;
  release(fs, f);
  pwroute_refused(&f->walk, id, refusal_of(code));
  if (code != PW_E_MISS)
    f->last_code = code;
  f->hops++;
  pwcount_add(fs->p->counters, PWC_HOPS, 1);
  rename_attempt(fs, f);
  place(fs, f, policy, now);
}

/* --- attempts that broke --- */

/* A stream that reached the caller cannot be begun again. */
static int may_repeat(const flight *f) {
  if (!f->call->repeatable || f->call->never)
    return 0;
  return !f->got_head || !f->call->stream;
}

/* Asks the same target to go on from where the answer broke off. */
static int resume(pw_flights *fs, flight *f, int64_t now) {
  pw_target *t = target_of(fs, f);
  if (!t || !f->got_head || f->call->is_service || f->resumes >= RESUMES_MAX)
    return 0;
  if (!f->origin[0])
    pw_copy(f->origin, sizeof f->origin, f->attempt);
  f->resumes++;
  f->need_prefix = 0;
  f->may_queue = 0;
  rename_attempt(fs, f);
  pwcount_add(fs->p->counters, PWC_RESUMES, 1);
  pwevent_add(fs->p->events, PWE_RESUMED, 0, f->call->request, f->call->chat,
              t->name, "offset=%llu", (unsigned long long)f->received);
  f->state = F_PAUSING;
  f->since = now;
  return 1;
}

static void end_pause(pw_flights *fs, flight *f, int64_t now) {
  pw_target *t = target_of(fs, f);
  if (!t) {
    fail(fs, f, PW_E_CUT, now);
    return;
  }
  t->in_flight--; /* go_to counts it again */
  go_to(fs, f, t, now);
}

static void broken(pw_flights *fs, flight *f, pw_code code,
                   const pw_policy *policy, int64_t now) {
  pw_target *t = target_of(fs, f);
  if (t && pwbreak_result(&t->breaker, 1, now))
    pwlog(LOG_WARNING, "target-set-aside", "target=%s", t->name);
  if (resume(fs, f, now))
    return;
  if (!may_repeat(f) || f->attempts >= PW_ATTEMPTS_MAX) {
    fail(fs, f, f->call->never || code == PW_OK ? PW_E_UNKNOWN : code, now);
    return;
  }
  if (!pwretry_spend(&fs->budget)) {
    pwcount_add(fs->p->counters, PWC_RETRY_DENIED, 1);
    fail(fs, f, code, now);
    return;
  }
  send_cancel(fs, f);
  f->got_head = 0;
  f->received = 0;
  f->credited = 0;
  f->origin[0] = 0;
  pwcall_reset(f->call);
  pwcount_add(fs->p->counters, PWC_RETRIES, 1);
  pwevent_add(fs->p->events, PWE_RETRY, code, f->call->request, f->call->chat,
              target_name(fs, f), "attempt=%d", f->attempts);
  uint64_t id = f->target;
  release(fs, f);
  pwroute_refused(&f->walk, id, PW_REFUSED_OTHER);
  rename_attempt(fs, f);
  place(fs, f, policy, now);
}

/* --- messages from agents --- */

static void note_pointer(pw_flights *fs, const flight *f) {
  const pw_call *c = f->call;
  pw_route_pool pool;
  pw_policy none = {0};
  if (!c->chat[0] || c->is_service || f->resumes ||
      !pwtargets_pool(fs->targets, c->pool, &none, 0, 0, &pool))
    return;
  uint64_t home = pwplace_rank(pool.place, f->walk.key, 0);
  const pw_target *h = pwtargets_by_id(fs->targets, home);
  if (!h || h->link != PW_LINK_UP || home == f->target)
    return;
  Pw__Pointer p = PW__POINTER__INIT;
  p.chat = (char *)c->chat;
  p.target = (char *)target_name(fs, f);
  Pw__Envelope e = PW_ENVELOPE(POINTER, pointer, &p);
  send_to(fs, h, &e);
  pwevent_add(fs->p->events, PWE_MOVED, 0, c->request, c->chat,
              target_name(fs, f), "home=%s", h->name);
}

static void on_refuse(pw_flights *fs, flight *f, const Pw__Refuse *r,
                      const pw_policy *policy, int64_t now) {
  if (f->state != F_SENT)
    return;
  if (f->resumes && f->got_head) {
    fail(fs, f, PW_E_CUT, now);
    return;
  }
  f->unproven--;
  int missed = r->code == PW_E_MISS;
  if (r->retry_after && (!f->retry_after || r->retry_after < f->retry_after))
    f->retry_after = r->retry_after;
  if (missed && r->pointer[0] && !f->walk.pointer)
    f->walk.pointer = pwplace_id(r->pointer);
  if (missed && f->walk.pointer)
    pwcount_add(fs->p->counters, PWC_POINTER_HITS, 1);
  hop(fs, f, (pw_code)r->code, policy, now);
}

static const char *head_value(const Pw__Head *h, const char *name) {
  for (size_t i = 0; i < h->n_headers; i++)
    if (!strcasecmp(h->headers[i]->name, name))
      return h->headers[i]->value;
  return "";
}

static void on_head(pw_flights *fs, flight *f, const Pw__Head *h) {
  pw_call *c = f->call;
  f->state = F_ANSWERING;
  if (f->got_head)
    return; /* a resumed stream: the caller has its headers */
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
  pwcall_head(c, (int)h->status, type, target_name(fs, f));
  pwevent_add(fs->p->events, PWE_PLACED, 0, c->request, c->chat,
              target_name(fs, f), "cached=%u of %u hops=%d", c->cached_tokens,
              c->prompt_seen, f->hops);
  note_pointer(fs, f);
}

static void keep(flight *f, const ProtobufCBinaryData *data) {
  if (!f->call->never || f->kept_over)
    return;
  if (f->kept.len + data->len > PW_RECORD_MAX)
    f->kept_over = 1;
  else
    pwbuf_add(&f->kept, data->data, data->len);
}

static void send_credit(pw_flights *fs, flight *f, uint64_t offset) {
  Pw__Credit c = PW__CREDIT__INIT;
  c.attempt = f->attempt;
  c.offset = offset;
  Pw__Envelope e = PW_ENVELOPE(CREDIT, credit, &c);
  send_to(fs, target_of(fs, f), &e);
  f->credited = offset;
}

/* Bytes count only at their own offset: one that was seen is skipped, one
** that is missing breaks the attempt. */
static void on_chunk(pw_flights *fs, flight *f, const Pw__Chunk *k,
                     const pw_policy *policy, int64_t now) {
  if (f->state != F_ANSWERING)
    return;
  if (k->offset > f->received) {
    broken(fs, f, PW_E_CUT, policy, now);
    return;
  }
  uint64_t seen = f->received - k->offset;
  if (seen >= k->data.len)
    return;
  ProtobufCBinaryData fresh = {k->data.len - seen, k->data.data + seen};
  f->received += fresh.len;
  keep(f, &fresh);
  size_t held = pwcall_data(f->call, fresh.data, fresh.len);
  if (f->call->stream)
    return; /* credit follows the caller's reading */
  if (held > ANSWER_MAX) {
    send_cancel(fs, f);
    fail(fs, f, PW_E_UPSTREAM, now);
    return;
  }
  if (f->received - f->credited > PW_WINDOW / 4)
    send_credit(fs, f, f->received);
}

static void on_end(pw_flights *fs, flight *f, const Pw__End *end,
                   const pw_policy *policy, int64_t now) {
  pw_target *t = target_of(fs, f);
  if (end->code != PW_OK || end->length != f->received ||
      f->state != F_ANSWERING) {
    broken(fs, f, end->code ? (pw_code)end->code : PW_E_CUT, policy, now);
    return;
  }
  if (t)
    pwbreak_result(&t->breaker, 0, now);
  pwcount_add(fs->p->counters, PWC_OUTPUT, end->output_tokens);
  finish(fs, f, now);
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

/* Every attempt on a target that broke at once: a lost link or a new life. */
static void break_all(pw_flights *fs, const pw_target *t, pw_code code,
                      const pw_policy *policy, int64_t now) {
  uint64_t id = t->id;
  size_t n = HASH_COUNT(fs->all);
  flight **hit = pw_alloc(sizeof *hit * (n + 1));
  size_t nhit = 0;
  for (flight *f = fs->all; f; f = f->hh.next)
    if (f->target == id && (f->state == F_SENT || f->state == F_ANSWERING) &&
        (code != PW_E_CUT || f->incarnation != t->incarnation))
      hit[nhit++] = f;
  for (size_t i = 0; i < nhit; i++)
    broken(fs, hit[i], code, policy, now);
  free(hit);
}

void pwflight_lost(pw_flights *fs, const char *addr, const pw_policy *policy,
                   int64_t now) {
  pw_target *t = pwtargets_by_agent(fs->targets, addr);
  if (!t || t->link != PW_LINK_UP)
    return;
  pwevent_add(fs->p->events, PWE_LINK_DOWN, 0, NULL, NULL, t->name,
              "connection lost, in_flight=%d", t->in_flight);
  pwtargets_lose(fs->targets, t);
  break_all(fs, t, PW_E_TIMEOUT, policy, now);
}

/* Runs that waited for this link go out. */
static void send_waiting(pw_flights *fs, pw_target *t, int64_t now) {
  for (flight *f = fs->all; f; f = f->hh.next)
    if (f->target == t->id && f->state == F_OPENING)
      send_run(fs, f, t, now);
}

static void on_life(pw_flights *fs, pw_target *t, const Pw__Envelope *e,
                    const pw_policy *policy, int64_t now) {
  t->link = PW_LINK_UP;
  t->link_heard = now;
  const Pw__Load *load = load_of(e);
  int reborn = load && pwtargets_report(fs->targets, load,
                                        now - (int64_t)load->age, now);
  if (reborn)
    break_all(fs, t, PW_E_CUT, policy, now);
  if (t->incarnation == e->incarnation)
    send_waiting(fs, t, now);
}

void pwflight_message(pw_flights *fs, const pw_peer *from,
                      const Pw__Envelope *e, const pw_policy *policy,
                      int64_t now) {
  pw_target *t = pwtargets_by_peer(fs->targets, from);
  if (!t)
    return;
  on_life(fs, t, e, policy, now);
  const char *attempt = attempt_of(e);
  if (!attempt)
    return;
  flight *f;
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

/* --- the once-ledger --- */

static void send_claim(pw_flights *fs, flight *f, int64_t now) {
  pw_call *c = f->call;
  Pw__Claim claim = PW__CLAIM__INIT;
  claim.id = c->request;
  claim.workspace = c->workspace.name;
  claim.key = c->once_key;
  claim.digest.data = c->digest;
  claim.digest.len = sizeof c->digest;
  Pw__Envelope e = PW_ENVELOPE(CLAIM, claim, &claim);
  pwsub_to_leader(fs->sub, &e);
  f->sent_at = now;
}

static void replay(pw_flights *fs, flight *f, const Pw__Claimed *cl) {
  pwcount_add(fs->p->counters, PWC_REPLAYS, 1);
  if (!cl->content_type[0] && cl->body.len == 0) {
    pwcall_fail(f->call, PW_E_NOT_KEPT, "", "done", 0);
  } else {
    pwcall_head(f->call, (int)cl->status, cl->content_type, "");
    pwcall_data(f->call, cl->body.data, cl->body.len);
    pwcall_finish(f->call, "done");
  }
  f->target = 0;
  drop(fs, f);
}

static flight *by_request(const pw_flights *fs, const char *request) {
  for (flight *f = fs->all; f; f = f->hh.next)
    if (!strcmp(f->call->request, request))
      return f;
  return NULL;
}

void pwflight_claimed(pw_flights *fs, const Pw__Claimed *cl,
                      const pw_policy *policy, int64_t now) {
  flight *f = by_request(fs, cl->id);
  if (!f || cl->code == PW_E_NOT_LEADER)
    return; /* asked again at the next tick */
  if (f->state == F_RECORDING) {
    drop(fs, f);
    return;
  }
  if (f->state != F_CLAIMING)
    return;
  pwevent_add(fs->p->events, PWE_CLAIM, (int)cl->code, f->call->request, NULL,
              NULL, "answered=%d", cl->answered);
  if (cl->answered) {
    replay(fs, f, cl);
  } else if (cl->code != PW_OK) {
    int running = cl->code == PW_E_RUNNING;
    pwcall_fail(f->call, (pw_code)cl->code, "", running ? "unknown" : "not-run",
                0);
    drop(fs, f);
  } else {
    f->state = F_OPENING;
    place(fs, f, policy, now);
  }
}

/* --- notes from HTTP threads --- */

/* Takes a request's tokens from its workspace's limit, of which each entry in
** touch with control has an equal share: no counter is common to them. Gives 0
** or the ms until there is room. */
static int64_t over_quota(pw_flights *fs, const pw_call *c, double tokens,
                          int64_t now) {
  uint32_t entries = pwsub_entries(fs->sub);
  double rate = c->workspace.tokens_per_s / (entries ? entries : 1);
  quota *q;
  if (rate <= 0)
    return 0;
  HASH_FIND_STR(fs->quotas, c->workspace.name, q);
  if (!q) {
    q = pw_alloc(sizeof *q);
    pw_copy(q->workspace, sizeof q->workspace, c->workspace.name);
    pwbucket_init(&q->bucket, rate, rate * QUOTA_BURST_S, now);
    HASH_ADD_STR(fs->quotas, workspace, q);
  }
  pwbucket_rate(&q->bucket, rate, rate * QUOTA_BURST_S, now);
  int64_t wait = pwbucket_wait(&q->bucket, 1, now);
  if (!wait) /* into debt: a request larger than the burst can run, too */
    pwbucket_charge(&q->bucket, tokens, now);
  return wait;
}

static void begin(pw_flights *fs, pw_call *c, const pw_policy *policy,
                  int may_serve, int64_t now) {
  flight *f = pw_alloc(sizeof *f);
  draw_id(f->attempt);
  f->call = c;
  pwcall_ref(c);
  f->deadline = now + c->deadline_ms;
  f->since = now;
  f->checked = now;
  f->walk.key = pwplace_key(c->pool, c->chat[0] ? c->chat : c->request);
  f->walk.zone = pwtargets_zone(fs->p->set->availability_zone);
  f->walk.cost = PWBOUND_PROMPT_WEIGHT * c->prompt_tokens + c->output_tokens;
  f->walk.returning = c->returning && !c->is_service && c->chat[0] &&
                      c->prompt_tokens >= policy->min_prefix_tokens;
  randombytes_buf(&f->walk.draw, sizeof f->walk.draw);
  HASH_ADD_STR(fs->all, attempt, f);
  pwcount_set(fs->p->counters, PWC_ACTIVE, pwflight_count(fs));
  int64_t wait = may_serve ? over_quota(fs, c, f->walk.cost, now) : 0;
  if (!may_serve) {
    fail(fs, f, PW_E_NOT_READY, now);
  } else if (wait) {
    f->retry_after = (uint32_t)wait;
    fail(fs, f, PW_E_QUOTA, now);
  } else if (c->never) {
    f->state = F_CLAIMING;
    send_claim(fs, f, now);
  } else {
    f->state = F_OPENING;
    place(fs, f, policy, now);
  }
}

static flight *by_call(const pw_flights *fs, const pw_call *c) {
  for (flight *f = fs->all; f; f = f->hh.next)
    if (f->call == c)
      return f;
  return NULL;
}

/* A caller that went away: its stream is cancelled. What may not be repeated
** runs on, so that its answer is there for the resend. */
static void abandon(pw_flights *fs, flight *f) {
  if (f->state == F_RECORDING || f->call->never)
    return;
  if (f->state == F_SENT || f->state == F_ANSWERING)
    send_cancel(fs, f);
  pwcount_add(fs->p->counters, PWC_CANCELS, 1);
  release(fs, f);
  drop(fs, f);
}

static void taken(pw_flights *fs, flight *f) {
  pthread_mutex_lock(&f->call->lock);
  uint64_t offset = f->call->taken;
  pthread_mutex_unlock(&f->call->lock);
  if (f->state == F_ANSWERING && offset - f->credited > PW_WINDOW / 4)
    send_credit(fs, f, offset);
}

void pwflight_note(pw_flights *fs, const pw_note *note, const pw_policy *policy,
                   int may_serve, int64_t now) {
  if (policy->retry_share != fs->share) {
    fs->share = policy->retry_share;
    pwretry_init(&fs->budget, fs->share, PW_RETRY_RESERVE);
  }
  if (note->kind == PW_NOTE_NEW) {
    begin(fs, note->call, policy, may_serve, now);
    return;
  }
  flight *f = by_call(fs, note->call);
  if (!f)
    return;
  if (note->kind == PW_NOTE_TAKEN)
    taken(fs, f);
  else
    abandon(fs, f);
}

/* --- time --- */

static void tick_claim(pw_flights *fs, flight *f, int64_t now) {
  int recording = f->state == F_RECORDING;
  int64_t limit = recording ? RECORD_GIVE_UP_MS : CLAIM_GIVE_UP_MS;
  if (now - f->since > limit) {
    if (recording) {
      drop(fs, f);
      return;
    }
    /* Nothing was run; a claim that yet arrives is given back. */
    pwcall_fail(f->call, PW_E_NOT_LEADER, "", "not-run", 1000);
    f->target = 0;
    settle(fs, f, 0, 1, now);
    return;
  }
  if (now - f->sent_at < CLAIM_RETRY_MS)
    return;
  if (recording)
    send_record(fs, f, now);
  else
    send_claim(fs, f, now);
}

static void tick_one(pw_flights *fs, flight *f, const pw_policy *policy,
                     int64_t now) {
  if (f->state == F_CLAIMING || f->state == F_RECORDING) {
    tick_claim(fs, f, now);
    return;
  }
  if (now + MARGIN_MS >= f->deadline) {
    send_cancel(fs, f);
    fail(fs, f, f->unproven ? PW_E_TIMEOUT : PW_E_DEADLINE, now);
    return;
  }
  if (f->state == F_PAUSING) {
    if (now - f->since >= (int64_t)RESUME_MS << f->resumes)
      end_pause(fs, f, now);
    return;
  }
  if (f->state == F_OPENING && now - f->since > PW_LINK_OPEN) {
    pw_target *t = target_of(fs, f);
    if (t) {
      pwbreak_result(&t->breaker, 1, now);
      pwtargets_lose(fs->targets, t);
    }
    if (f->resumes)
      broken(fs, f, PW_E_CUT, policy, now);
    else
      hop(fs, f, PW_E_CONNECT, policy, now);
    return;
  }
  if (now - f->checked < GONE_CHECK_MS)
    return;
  f->checked = now;
  if (pwcall_is_gone(f->call))
    abandon(fs, f);
}

/* Links with work on them that went silent are asked, then given up. */
static void tick_links(pw_flights *fs, const pw_policy *policy, int64_t now) {
  int n;
  pw_target **all = pwtargets_all(fs->targets, &n);
  for (int i = 0; i < n; i++) {
    pw_target *t = all[i];
    if (t->in_flight <= 0 || t->link != PW_LINK_UP)
      continue;
    if (now - t->link_heard > PW_LINK_LOST) {
      pwevent_add(fs->p->events, PWE_LINK_DOWN, 0, NULL, NULL, t->name,
                  "silent for %lld ms", (long long)(now - t->link_heard));
      pwtargets_lose(fs->targets, t);
      break_all(fs, t, PW_E_TIMEOUT, policy, now);
    } else if (now - t->link_heard > PW_LINK_ASK &&
               now - t->asked > PW_LINK_ASK) {
      pwtargets_ask(fs->targets, t, now);
    }
  }
}

void pwflight_tick(pw_flights *fs, const pw_policy *policy, int64_t now) {
  size_t n = HASH_COUNT(fs->all);
  flight **list = pw_alloc(sizeof *list * (n + 1));
  size_t k = 0;
  for (flight *f = fs->all; f; f = f->hh.next)
    list[k++] = f;
  for (size_t i = 0; i < k; i++)
    tick_one(fs, list[i], policy, now);
  free(list);
  tick_links(fs, policy, now);
}
