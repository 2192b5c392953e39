/* pwwire.c: messages between peatwell's processes, over ZeroMQ. */
#include "pwwire.h"

#include "pwbuf.h"
#include "pwkeys.h"
#include "pwlimits.h"
#include "pwlog.h"

#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

struct pw_wire {
  void *zmq;
  char *name;
  uint64_t incarnation;
  atomic_ullong revision;
  pw_counters *counters;
  pw_hlc *hlc;
  pw_keys *keys; /* NULL: no encryption */
};

struct pw_sock {
  pw_wire *w;
  void *zmq;
  void *monitor;    /* reports lost connections; NULL on a listener */
  uint32_t dialled; /* number of dials, for unique routing ids */
};

pw_wire *pwwire_new(const pw_settings *set, pw_counters *counters, pw_hlc *hlc,
                    pw_buf *err) {
  pw_wire *w = pw_alloc(sizeof *w);
  w->zmq = zmq_ctx_new();
  zmq_ctx_set(w->zmq, ZMQ_MAX_SOCKETS, 64);
  w->name = pw_dup(set->name);
  w->counters = counters;
  w->hlc = hlc;
  while (w->incarnation == 0)
    randombytes_buf(&w->incarnation, sizeof w->incarnation);
  if (set->keys_file[0]) {
    w->keys = pwkeys_load(set->keys_file, set->trust_file, w->zmq, err);
    if (!w->keys) {
      pwwire_free(w);
      return NULL;
    }
  }
  return w;
}

void pwwire_free(pw_wire *w) {
  if (!w)
    return;
  zmq_ctx_shutdown(w->zmq);
  pwkeys_free(w->keys);
  zmq_ctx_term(w->zmq);
  free(w->name);
  free(w);
}

uint64_t pwwire_incarnation(const pw_wire *w) {
  return w->incarnation;
}

void pwwire_set_revision(pw_wire *w, uint64_t revision) {
  atomic_store_explicit(&w->revision, revision, memory_order_relaxed);
}

static void set_int(void *zmq, int option, int value) {
  zmq_setsockopt(zmq, option, &value, sizeof value);
}

static pw_sock *new_sock(pw_wire *w) {
  pw_sock *s = pw_alloc(sizeof *s);
  s->w = w;
  s->zmq = zmq_socket(w->zmq, ZMQ_ROUTER);
  set_int(s->zmq, ZMQ_LINGER, 0);
  set_int(s->zmq, ZMQ_ROUTER_MANDATORY, 1);
  set_int(s->zmq, ZMQ_SNDHWM, PW_WIRE_HWM);
  set_int(s->zmq, ZMQ_RCVHWM, PW_WIRE_HWM);
  set_int(s->zmq, ZMQ_TCP_KEEPALIVE, 1);
  set_int(s->zmq, ZMQ_TCP_KEEPALIVE_IDLE, PW_WIRE_KEEPALIVE_S);
  set_int(s->zmq, ZMQ_TCP_MAXRT, PW_WIRE_LOST_MS);
  set_int(s->zmq, ZMQ_CONNECT_TIMEOUT, PW_WIRE_CONNECT_MS);
  set_int(s->zmq, ZMQ_RECONNECT_IVL, 50); /* ms, as the next one */
  set_int(s->zmq, ZMQ_RECONNECT_IVL_MAX, 500);
  int64_t max = PW_WIRE_MAX;
  zmq_setsockopt(s->zmq, ZMQ_MAXMSGSIZE, &max, sizeof max);
  return s;
}

pw_sock *pwwire_listen(pw_wire *w, const char *addr, pw_buf *err) {
  pw_sock *s = new_sock(w);
  if (w->keys)
    pwkeys_serve(w->keys, s->zmq);
  if (zmq_bind(s->zmq, addr) == 0)
    return s;
  pwbuf_fmt(err, "%s: %s\n", addr, zmq_strerror(zmq_errno()));
  pwwire_close(s);
  return NULL;
}

pw_sock *pwwire_dialler(pw_wire *w) {
  char name[64];
  pw_sock *s = new_sock(w);
  snprintf(name, sizeof name, "inproc://monitor-%p", (void *)s);
  zmq_socket_monitor(s->zmq, name, ZMQ_EVENT_DISCONNECTED);
  s->monitor = zmq_socket(w->zmq, ZMQ_PAIR);
  set_int(s->monitor, ZMQ_LINGER, 0);
  zmq_connect(s->monitor, name);
  return s;
}

/* An event has two parts: its number and value, then the peer's address. */
int pwwire_next_lost(pw_sock *s, char *addr, size_t cap) {
  uint8_t event[6];
  if (zmq_recv(s->monitor, event, sizeof event, ZMQ_DONTWAIT) < 0)
    return 0;
  int n = zmq_recv(s->monitor, addr, cap - 1, ZMQ_DONTWAIT);
  addr[n > 0 ? (size_t)n < cap ? (size_t)n : cap - 1 : 0] = 0;
  return 1;
}

void *pwwire_monitor_raw(pw_sock *s) {
  return s->monitor;
}

int pwwire_dial(pw_sock *s, const char *addr, pw_peer *peer) {
  int n = snprintf((char *)peer->id, sizeof peer->id, "L%u", ++s->dialled);
  peer->len = (uint8_t)n;
  if (s->w->keys && pwkeys_dial(s->w->keys, s->zmq, addr) != 0) {
    pwlog(LOG_ERR, "no-key", "address=%s", addr);
    return -1;
  }
  zmq_setsockopt(s->zmq, ZMQ_CONNECT_ROUTING_ID, peer->id, peer->len);
  return zmq_connect(s->zmq, addr);
}

void pwwire_disconnect(pw_sock *s, const char *addr) {
  zmq_disconnect(s->zmq, addr);
}

void pwwire_close(pw_sock *s) {
  if (!s)
    return;
  if (s->monitor) {
    zmq_socket_monitor(s->zmq, NULL, 0);
    zmq_close(s->monitor);
  }
  zmq_close(s->zmq);
  free(s);
}

void *pwwire_raw(pw_sock *s) {
  return s->zmq;
}

int pwwire_same_peer(const pw_peer *a, const pw_peer *b) {
  return a->len == b->len && !memcmp(a->id, b->id, a->len);
}

/* Whether a message belongs to a request, rather than to the control traffic. */
static int is_data(const Pw__Envelope *e) {
  switch (e->body_case) {
  case PW__ENVELOPE__BODY_RUN:
  case PW__ENVELOPE__BODY_REFUSE:
  case PW__ENVELOPE__BODY_HEAD:
  case PW__ENVELOPE__BODY_CHUNK:
  case PW__ENVELOPE__BODY_END:
  case PW__ENVELOPE__BODY_CREDIT:
  case PW__ENVELOPE__BODY_CANCEL:
    return 1;
  default:
    return 0;
  }
}

/* The byte counter of a kind of control message, kept in addition to the total; PWC_COUNT: none. */
static pw_counter class_of(const Pw__Envelope *e) {
  switch (e->body_case) {
  case PW__ENVELOPE__BODY_WELCOME:
  case PW__ENVELOPE__BODY_HELLO:
    return PWC_FEED_OUT;
  case PW__ENVELOPE__BODY_LOADS:
  case PW__ENVELOPE__BODY_PING:
    return PWC_REPORT_OUT;
  case PW__ENVELOPE__BODY_CONS:
  case PW__ENVELOPE__BODY_JOIN:
    return PWC_GROUP_OUT;
  case PW__ENVELOPE__BODY_NOTICE:
    return PWC_NOTICE_OUT;
  case PW__ENVELOPE__BODY_DOCUMENT:
    return PWC_DOCUMENT_OUT;
  default:
    return PWC_COUNT;
  }
}

/* The counter of a configuration document, or of a referral to a process that has it; PWC_COUNT
** for other messages. */
static pw_counter document_of(const Pw__Envelope *e) {
  if (e->body_case != PW__ENVELOPE__BODY_DOCUMENT)
    return PWC_COUNT;
  return e->document->ask && e->document->ask[0] ? PWC_REFERRED : PWC_DOCUMENTS;
}

static void count_sent(pw_wire *w, const Pw__Envelope *e, size_t n) {
  pw_counter class = class_of(e);
  pwcount_add(w->counters, is_data(e) ? PWC_DATA_OUT : PWC_CTL_OUT, (int64_t)n);
  if (class != PWC_COUNT)
    pwcount_add(w->counters, class, (int64_t)n);
  pw_counter document = document_of(e);
  if (document != PWC_COUNT)
    pwcount_add(w->counters, document, 1);
}

int pwwire_send(pw_sock *s, const pw_peer *to, Pw__Envelope *e) {
  pw_wire *w = s->w;
  e->from = w->name;
  e->incarnation = w->incarnation;
  e->revision = atomic_load_explicit(&w->revision, memory_order_relaxed);
  e->hlc = pwhlc_tick(w->hlc, pwclock_wall_ms());
  size_t n = pw__envelope__get_packed_size(e);
  uint8_t *bytes = pw_alloc(n);
  pw__envelope__pack(e, bytes);
  int rc = zmq_send(s->zmq, to->id, to->len, ZMQ_SNDMORE | ZMQ_DONTWAIT);
  if (rc >= 0)
    rc = zmq_send(s->zmq, bytes, n, ZMQ_DONTWAIT);
  free(bytes);
  if (rc < 0)
    return -1;
  count_sent(w, e, n);
  return 0;
}

/* Reads and drops the further parts of a malformed message. */
static void skip_parts(void *zmq) {
  int more = 1;
  size_t len = sizeof more;
  while (zmq_getsockopt(zmq, ZMQ_RCVMORE, &more, &len) == 0 && more) {
    zmq_msg_t m;
    zmq_msg_init(&m);
    zmq_msg_recv(&m, zmq, ZMQ_DONTWAIT);
    zmq_msg_close(&m);
  }
}

static Pw__Envelope *recv_one(pw_sock *s, pw_peer *from, int *got) {
  zmq_msg_t id, body;
  Pw__Envelope *e = NULL;
  zmq_msg_init(&id);
  zmq_msg_init(&body);
  *got = zmq_msg_recv(&id, s->zmq, ZMQ_DONTWAIT) >= 0;
  if (*got && zmq_msg_more(&id) &&
      zmq_msg_recv(&body, s->zmq, ZMQ_DONTWAIT) >= 0) {
    size_t n = zmq_msg_size(&id);
    from->len = (uint8_t)(n > sizeof from->id ? sizeof from->id : n);
    memcpy(from->id, zmq_msg_data(&id), from->len);
    e = pw__envelope__unpack(NULL, zmq_msg_size(&body), zmq_msg_data(&body));
  }
  if (*got)
    skip_parts(s->zmq);
  if (e)
    pwcount_add(s->w->counters, is_data(e) ? PWC_DATA_IN : PWC_CTL_IN,
                (int64_t)zmq_msg_size(&body));
  zmq_msg_close(&id);
  zmq_msg_close(&body);
  return e;
}

Pw__Envelope *pwwire_recv(pw_sock *s, pw_peer *from) {
  int got = 1;
  while (got) {
    Pw__Envelope *e = recv_one(s, from, &got);
    if (!e)
      continue;
    pwhlc_update(s->w->hlc, e->hlc);
    return e;
  }
  return NULL;
}
