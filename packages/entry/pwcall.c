/* pwcall.c: one caller's request, shared by an HTTP thread and the wire thread. */
#include "pwcall.h"

#include "pwbuf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NS_PER_US 1000
#define BROKEN 2 /* pw_call.ended: the answer failed or was cut off */

pw_call *pwcall_new(pw_proc *p, pw_mail *mail) {
  pw_call *c = pw_alloc(sizeof *c);
  atomic_init(&c->refs, 1);
  c->p = p;
  c->mail = mail;
  c->started = pwclock_ns();
  c->out.memory = p->memory;
  pthread_mutex_init(&c->lock, NULL);
  return c;
}

void pwcall_ref(pw_call *c) {
  atomic_fetch_add(&c->refs, 1);
}

void pwcall_unref(pw_call *c) {
  if (atomic_fetch_sub(&c->refs, 1) != 1)
    return;
  for (size_t i = 0; i < c->nheaders; i++)
    pw__header__free_unpacked(c->headers[i], NULL);
  free(c->headers);
  free(c->method);
  free(c->path);
  free(c->body);
  pwbuf_free(&c->out);
  pthread_mutex_destroy(&c->lock);
  free(c);
}

void pwcall_post(pw_call *c, pw_note_kind kind) {
  pw_note *n = pw_alloc(sizeof *n);
  n->kind = kind;
  n->call = c;
  pwcall_ref(c);
  pwmail_post(c->mail, &n->item);
}

/* Resumes a suspended HTTP connection. The lock is held. */
static void wake(pw_call *c) {
  if (!c->h || !c->suspended)
    return;
  c->suspended = 0;
  pwserve_wake(c->h);
}

static void observe(const pw_call *c, pw_histogram id) {
  pwcount_observe(c->p->counters, id, (pwclock_ns() - c->started) / NS_PER_US);
}

void pwcall_head(pw_call *c, int status, const char *type, const char *target) {
  pthread_mutex_lock(&c->lock);
  c->status = status;
  pw_copy(c->type, sizeof c->type, type);
  pw_copy(c->target, sizeof c->target, target);
  c->answered = 1;
  pthread_mutex_unlock(&c->lock);
}

size_t pwcall_data(pw_call *c, const void *data, size_t n) {
  pthread_mutex_lock(&c->lock);
  pwbuf_add(&c->out, data, n);
  size_t buffered = c->out.len;
  if (c->stream)
    wake(c);
  pthread_mutex_unlock(&c->lock);
  return buffered;
}

void pwcall_reset(pw_call *c) {
  pthread_mutex_lock(&c->lock);
  pwbuf_skip(&c->out, c->out.len);
  c->answered = 0;
  c->has_tokens = 0;
  pthread_mutex_unlock(&c->lock);
}

void pwcall_finish(pw_call *c, const char *outcome) {
  pthread_mutex_lock(&c->lock);
  pw_copy(c->outcome, sizeof c->outcome, outcome);
  c->answered = 1;
  c->ended = 1;
  wake(c);
  pthread_mutex_unlock(&c->lock);
  pwcount_add(c->p->counters, PWC_DONE, 1);
}

void pwcall_fail(pw_call *c, pw_code code, const char *message,
                 const char *outcome, uint32_t retry_after) {
  pthread_mutex_lock(&c->lock);
  c->code = code;
  pw_copy(c->message, sizeof c->message, message);
  pw_copy(c->outcome, sizeof c->outcome, outcome);
  c->retry_after = retry_after;
  c->answered = 1;
  c->ended = BROKEN;
  wake(c);
  pthread_mutex_unlock(&c->lock);
  int not_run = !strcmp(outcome, "not-run");
  pwcount_add(c->p->counters, not_run ? PWC_NOT_RUN : PWC_UNKNOWN, 1);
}

/* Reads the answer for the HTTP server: bytes, 0 (wait), -1 (end) or -2 (broken). */
static ssize_t read_out(void *arg, pw_http *h, char *buf, size_t max) {
  pw_call *c = arg;
  ssize_t rc;
  pthread_mutex_lock(&c->lock);
  if (c->out.len) {
    size_t n = c->out.len < max ? c->out.len : max;
    memcpy(buf, c->out.data, n);
    pwbuf_skip(&c->out, n);
    if (c->taken == 0)
      observe(c, PWH_FIRST);
    c->taken += n;
    rc = (ssize_t)n;
  } else if (c->ended) {
    rc = c->ended == BROKEN ? -2 : -1;
  } else {
    c->suspended = 1;
    pwserve_wait(h);
    rc = 0;
  }
  pthread_mutex_unlock(&c->lock);
  if (rc > 0)
    pwcall_post(c, PW_NOTE_TAKEN);
  return rc;
}

static void add_number(pw_http *h, const char *name, uint32_t n) {
  char text[16];
  snprintf(text, sizeof text, "%u", n);
  pwserve_add_header(h, name, text);
}

static void add_headers(pw_call *c, pw_http *h) {
  pwserve_add_header(h, "Peatwell-Request", c->request);
  if (c->target[0])
    pwserve_add_header(h, "Peatwell-Target", c->target);
  if (c->has_tokens) {
    add_number(h, "Peatwell-Cached-Tokens", c->cached_tokens);
    add_number(h, "Peatwell-Prompt-Tokens", c->prompt_seen);
  }
}

/* Sends the answer, the error, or the beginning of a stream. The lock is held. */
static void send_answer(pw_call *c) {
  pw_http *h = c->h;
  add_headers(c, h);
  c->headers_sent = 1;
  if (c->code != PW_OK) {
    pwproc_refuse(h, c->code, c->message, c->outcome, c->retry_after);
  } else if (c->stream && !c->ended) {
    pwserve_add_header(h, "Peatwell-Outcome", "done");
    pwserve_stream(h, c->status, c->type, read_out, c);
  } else {
    pwserve_add_header(h, "Peatwell-Outcome", c->outcome);
    pwserve_reply(h, c->status, c->type, c->out.data, c->out.len);
    observe(c, PWH_FIRST);
  }
}

void pwcall_respond(pw_call *c) {
  pthread_mutex_lock(&c->lock);
  int ready = c->ended || (c->stream && c->answered && c->out.len);
  if (c->h && ready && !c->headers_sent) {
    send_answer(c);
  } else if (c->h && !c->headers_sent) {
    c->suspended = 1;
    pwserve_wait(c->h);
  }
  pthread_mutex_unlock(&c->lock);
}

void pwcall_begin(pw_call *c, pw_http *h) {
  pwserve_set(h, c);
  pthread_mutex_lock(&c->lock);
  c->h = h;
  c->suspended = 1;
  pwserve_wait(h);
  pthread_mutex_unlock(&c->lock);
  pwcall_post(c, PW_NOTE_NEW);
}

void pwcall_end(pw_call *c) {
  pthread_mutex_lock(&c->lock);
  c->h = NULL;
  pthread_mutex_unlock(&c->lock);
  observe(c, PWH_WHOLE);
  pwcall_post(c, PW_NOTE_GONE);
  pwcall_unref(c);
}

int pwcall_is_gone(pw_call *c) {
  pthread_mutex_lock(&c->lock);
  int gone = !c->h || pwserve_is_gone(c->h);
  pthread_mutex_unlock(&c->lock);
  return gone;
}
