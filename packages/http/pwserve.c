/* pwserve.c: an HTTP server whose handlers may answer from other threads. Each server thread runs
** an event loop with its own connections (pwconn). */
#define _GNU_SOURCE
#include "pwserve.h"

#include "pwbuflimits.h"
#include "pwclock.h"
#include "pwconn.h"

#include <assert.h>
#include <ctype.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define HEADER_BYTES (32 * 1024) /* limit of request line and headers */
#define STREAM_BLOCK (16 * 1024) /* bytes of one read of a stream */

/* Kernel send buffer of a connection: the most that a slow caller fills. */
#define SEND_BYTES (32 * 1024)

/* Bytes that wait to be written; above that a stream pauses. */
#define PENDING_MAX (32 * 1024)

/* An answer of no more bytes than this is given also when memory is short. */
#define SMALL_REPLY (16 * 1024)
#define SWEEP_S 0.25 /* interval of checks for idle connections, s */
#define MS_PER_S 1000

/* One thread with its connections. */
typedef struct loop {
  pw_server *server;
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_conns conns;
  pthread_t thread;
  ev_timer sweep;
  ev_async notified; /* another thread has changed a field under the lock */
  pthread_mutex_t lock;
  pw_http *woken;          /* under the lock: requests to resume */
  pw_tls_keys *keys;       /* keys in use */
  pw_tls_keys *next_keys;  /* under the lock: keys to switch to, or NULL */
  int quiesce, end;        /* under the lock */
  struct pw_http *waiting; /* suspended requests that are not resumed yet */
} loop;

struct pw_server {
  pw_serve_setup set;
  loop *loops;
  int nloops;
  atomic_int active;
};

/* State in which the handler has left a request. */
typedef enum step { NOT_ANSWERED, WAITS, REPLIED, STREAMS } step;

struct pw_http {
  loop *l;
  pw_conn *conn; /* NULL: the caller disconnected */
  atomic_int is_gone;
  const char *method;
  char *path;
  char *query;
  char **value; /* copies of headers and arguments given to the handler */
  int nvalues;
  void *request; /* state of the handler */
  step step;
  int status;
  pw_buf lines, body; /* of the answer */
  pw_stream_read read;
  void *arg;
  int has_begun;
  pw_http *next_woken;
  pw_http *prev, *next; /* in the list of waiting requests */
};

/* --- request --- */

static int digit_of(char c) {
  if (!isxdigit((unsigned char)c))
    return -1;
  return isdigit((unsigned char)c) ? c - '0' : (tolower(c) - 'a') + 10;
}

/* Decodes %XX in a path or an argument. */
static char *unescape(const char *p, size_t n) {
  char *out = pw_alloc(n + 1);
  size_t at = 0;
  for (size_t i = 0; i < n; i++) {
    int high = i + 2 < n && p[i] == '%' ? digit_of(p[i + 1]) : -1;
    int low = high >= 0 ? digit_of(p[i + 2]) : -1;
    if (low >= 0) {
      out[at++] = (char)(16 * high + low);
      i += 2;
    } else {
      out[at++] = p[i];
    }
  }
  return out;
}

/* Owns a text until the request ends. */
static const char *own(pw_http *h, char *text) {
  char **grown = realloc(h->value, sizeof *grown * (size_t)(h->nvalues + 1));
  if (!grown)
    abort();
  h->value = grown;
  h->value[h->nvalues++] = text;
  return text;
}

const char *pwserve_method(const pw_http *h) {
  return h->method;
}

const char *pwserve_path(const pw_http *h) {
  return h->path;
}

const char *pwserve_query(pw_http *h, const char *name) {
  size_t n = strlen(name);
  for (const char *p = h->query; p && *p;) {
    size_t len = strcspn(p, "&");
    if (len > n && !strncmp(p, name, n) && p[n] == '=')
      return own(h, unescape(p + n + 1, len - n - 1));
    p += len + (p[len] != 0);
  }
  return NULL;
}

const char *pwserve_header(pw_http *h, const char *name) {
  const pw_h1_header *found =
      h->conn ? pwh1_find(&h->conn->request, name) : NULL;
  return found ? own(h, pw_memdup(found->value, found->nvalue)) : NULL;
}

const char *pwserve_body(const pw_http *h, size_t *n) {
  *n = h->conn ? h->conn->body.len : 0;
  return *n ? h->conn->body.data : "";
}

void pwserve_headers(pw_http *h,
                     void (*f)(void *arg, const char *name, const char *value),
                     void *arg) {
  const pw_h1 *m = &h->conn->request;
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *one = &m->header[i];
    if (!pwh1_is_hop_by_hop(m, one))
      f(arg, own(h, pw_memdup(one->name, one->nname)),
        own(h, pw_memdup(one->value, one->nvalue)));
  }
}

void pwserve_set(pw_http *h, void *request) {
  h->request = request;
}

void *pwserve_get(const pw_http *h) {
  return h->request;
}

/* --- answer --- */

void pwserve_add_header(pw_http *h, const char *name, const char *value) {
  if (strpbrk(value, "\r\n"))
    return; /* a line break would inject a header */
  pwbuf_fmt(&h->lines, "%s: %s\r\n", name, value);
}

static void answer_with(pw_http *h, step how, int status, const char *type) {
  h->step = how;
  h->status = status;
  if (type && type[0])
    pwserve_add_header(h, "Content-Type", type);
}

void pwserve_reply(pw_http *h, int status, const char *type, const void *body,
                   size_t n) {
  answer_with(h, REPLIED, status, type);
  pwbuf_add(&h->body, body, n);
}

void pwserve_stream(pw_http *h, int status, const char *type,
                    pw_stream_read read, void *arg) {
  answer_with(h, STREAMS, status, type);
  h->read = read;
  h->arg = arg;
}

void pwserve_wait(pw_http *h) {
  h->step = WAITS;
}

void pwserve_wake(pw_http *h) {
  loop *l = h->l;
  pthread_mutex_lock(&l->lock);
  h->next_woken = l->woken;
  l->woken = h;
  ev_async_send(l->ev, &l->notified);
  pthread_mutex_unlock(&l->lock);
}

int pwserve_is_gone(pw_http *h) {
  return atomic_load(&h->is_gone);
}

/* --- request lifecycle --- */

static void list_waiting(pw_http *h) {
  loop *l = h->l;
  h->prev = NULL;
  h->next = l->waiting;
  if (h->next)
    h->next->prev = h;
  l->waiting = h;
}

static void unlist_waiting(pw_http *h) {
  if (h->prev)
    h->prev->next = h->next;
  else
    h->l->waiting = h->next;
  if (h->next)
    h->next->prev = h->prev;
}

/* Ends a request that is answered or abandoned, and frees it. */
static void finish(pw_http *h, int is_complete) {
  pw_server *s = h->l->server;
  if (h->request)
    s->set.done(s->set.arg, h->request, is_complete);
  for (int i = 0; i < h->nvalues; i++)
    free(h->value[i]);
  free(h->value);
  free(h->path);
  free(h->query);
  pwbuf_free(&h->lines);
  pwbuf_free(&h->body);
  free(h);
  atomic_fetch_sub(&s->active, 1);
}

static const char *lines_of(const pw_http *h) {
  return h->lines.data ? h->lines.data : "";
}

/* Detaches the request from its connection; the caller ends the answer next. */
static pw_conn *detach_conn(pw_http *h) {
  pw_conn *c = h->conn;
  c->state = NULL;
  h->conn = NULL;
  return c;
}

/* Whether there is memory for the answer, should its caller not read it. The answer to a request that changes something is
** always given. */
static int has_room_for_reply(const pw_http *h) {
  return h->body.len <= SMALL_REPLY || strcmp(h->method, "GET") != 0 ||
         h->body.len <= pwmemory_buffer_left(h->l->tcp.memory);
}

static void reply(pw_http *h) {
  pw_conn *c = detach_conn(h);
  if (!has_room_for_reply(h))
    pwconn_refuse_for_memory(c, "no memory for the answer now");
  else
    pwconn_answer(c, h->status, lines_of(h), h->body.data, h->body.len);
  finish(h, 1);
}

/* Writes the stream until it waits or ends, or too many bytes are unwritten. */
static void pump(pw_http *h) {
  char block[STREAM_BLOCK];
  if (!h->has_begun)
    pwconn_begin(h->conn, h->status, lines_of(h));
  h->has_begun = 1;
  while (pwtcp_pending(h->conn->tcp) <= PENDING_MAX) {
    ssize_t n = h->read(h->arg, h, block, sizeof block);
    if (n > 0) {
      pwconn_write(h->conn, block, (size_t)n);
    } else if (n == 0) {
      assert(h->step == WAITS);
      list_waiting(h);
      return;
    } else {
      pw_conn *c = detach_conn(h);
      if (n == -1)
        pwconn_end(c);
      else
        pwconn_abort(c);
      finish(h, n == -1);
      return;
    }
  }
}

static void handle(pw_http *h, int again) {
  const pw_serve_setup *set = &h->l->server->set;
  h->step = NOT_ANSWERED;
  set->handle(set->arg, h, again);
  if (h->step == WAITS)
    list_waiting(h);
  else if (h->step == REPLIED)
    reply(h);
  else if (h->step == STREAMS)
    pump(h);
  else
    assert(!"the handler neither answered nor waited");
}

/* Resumes a suspended request. */
static void resume_request(pw_http *h) {
  unlist_waiting(h);
  if (!h->conn) {
    finish(h, 0);
  } else if (h->read) {
    h->step = STREAMS;
    pump(h);
  } else {
    handle(h, 1);
  }
}

static void split_url(pw_http *h, const char *url, size_t n) {
  const char *mark = memchr(url, '?', n);
  size_t path = mark ? (size_t)(mark - url) : n;
  h->path = unescape(url, path);
  h->query = mark ? pw_memdup(mark + 1, n - path - 1) : NULL;
}

static void on_request(pw_conn *c) {
  loop *l = c->all->arg;
  pw_http *h = pw_alloc(sizeof *h);
  h->l = l;
  h->conn = c;
  h->method = http_method_str((enum http_method)c->request.parser.method);
  split_url(h, c->request.url, c->request.nurl);
  c->state = h;
  atomic_fetch_add(&l->server->active, 1);
  handle(h, 0);
}

/* A suspended request is not freed before it is woken, because another thread refers to it. */
static void on_abandoned(void *request) {
  pw_http *h = request;
  h->conn = NULL;
  atomic_store(&h->is_gone, 1);
  if (h->step != WAITS)
    finish(h, 0);
}

static void on_resume(void *request) {
  pw_http *h = request;
  if (h->step == STREAMS)
    pump(h);
}

/* --- event loop of one thread --- */

static void handle_notification(loop *l) {
  pthread_mutex_lock(&l->lock);
  pw_http *woken = l->woken;
  pw_tls_keys *keys = l->next_keys;
  int quiesce = l->quiesce, end = l->end;
  l->woken = NULL;
  l->next_keys = NULL;
  pthread_mutex_unlock(&l->lock);
  if (keys) {
    pwtls_keys_release(l->keys);
    l->conns.keys = l->keys = keys;
  }
  while (woken) {
    pw_http *h = woken;
    woken = h->next_woken;
    resume_request(h);
  }
  if (quiesce && !l->conns.is_stopping) {
    l->conns.is_stopping = 1;
    pwconns_stop_listening(&l->conns);
    pwconns_close_idle(&l->conns);
  }
  if (end)
    ev_break(l->ev, EVBREAK_ALL);
}

static void on_notified(struct ev_loop *ev, ev_async *w, int events) {
  (void)ev;
  (void)events;
  handle_notification(w->data);
}

/* Callers that read nothing are disconnected only while memory is short. */
static void limit_stalls(loop *l) {
  const pw_memory *m = l->tcp.memory;
  l->conns.stall_ms = l->conns.stall_complete_ms = 0;
  if (!pwmemory_is_short(m))
    return;
  pw_buflimits limits =
      pwbuflimits_of(pwmemory_used(m), pwmemory_buffer_limit(m));
  l->conns.stall_ms = limits.stall_ms;
  l->conns.stall_complete_ms = limits.stall_complete_ms;
}

static void on_sweep(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  loop *l = w->data;
  limit_stalls(l);
  pwconns_close_stalled(&l->conns, pwclock_ms());
  pwconns_close_expired(&l->conns, pwclock_ms());
}

static void *run(void *arg) {
  loop *l = arg;
  ev_run(l->ev, 0);
  return NULL;
}

static void init_loop(pw_server *s, loop *l, pw_tls_keys *keys) {
  l->server = s;
  l->ev = ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV);
  if (!l->ev)
    abort();
  pthread_mutex_init(&l->lock, NULL);
  pwtcp_loop_init(&l->tcp, l->ev);
  l->tcp.memory = s->set.memory;
  int max = s->set.max_connections / s->nloops;
  l->keys = keys;
  l->conns =
      (pw_conns){.tcp = &l->tcp,
                 .limits = {.header_bytes = HEADER_BYTES,
                            .body_bytes = s->set.max_body,
                            .idle_ms = (int64_t)s->set.idle_timeout * MS_PER_S},
                 .max = max > 0 ? max : 1,
                 .is_reserved = s->set.is_reserved,
                 .send_bytes = SEND_BYTES,
                 .keys = keys,
                 .arg = l,
                 .handle = on_request,
                 .abandoned = on_abandoned,
                 .resume = on_resume};
  ev_async_init(&l->notified, on_notified);
  ev_timer_init(&l->sweep, on_sweep, SWEEP_S, SWEEP_S);
  l->notified.data = l->sweep.data = l;
  ev_async_start(l->ev, &l->notified);
  ev_timer_start(l->ev, &l->sweep);
}

/* Frees a loop whose thread has ended, and ends its suspended requests. */
static void free_loop(loop *l) {
  pwconns_end(&l->conns);
  handle_notification(l);
  while (l->waiting) {
    pw_http *h = l->waiting;
    unlist_waiting(h);
    finish(h, 0);
  }
  ev_async_stop(l->ev, &l->notified);
  ev_timer_stop(l->ev, &l->sweep);
  pwtcp_loop_free(&l->tcp);
  ev_loop_destroy(l->ev);
  pwtls_keys_release(l->keys);
  pthread_mutex_destroy(&l->lock);
}

/* --- the server --- */

static int has_tls(const pw_serve_setup *set) {
  return set->tls_cert && set->tls_cert[0];
}

/* Loads keys for each loop, or NULL without TLS; -1 with a reason in `err`. */
static int read_keys(const pw_server *s, pw_tls_keys **out, pw_buf *err) {
  for (int i = 0; i < s->nloops; i++) {
    out[i] =
        has_tls(&s->set) ? pwtls_keys(s->set.tls_cert, s->set.tls_key) : NULL;
    if (out[i] || !has_tls(&s->set))
      continue;
    while (i-- > 0)
      pwtls_keys_release(out[i]);
    pwbuf_fmt(err, "%s: %s and %s are not a certificate and its key\n",
              s->set.addr, s->set.tls_cert, s->set.tls_key);
    return -1;
  }
  return 0;
}

/* Returns a descriptor that listens on the address, or -1 with a reason in `err`. */
static int listen_on(const char *addr, pw_buf *err) {
  struct sockaddr_in at;
  if (pwtcp_address(addr, &at) != 0) {
    pwbuf_fmt(err, "%s: not an address of the form IP:PORT\n", addr);
    return -1;
  }
  int fd = pwtcp_listen(&at);
  if (fd < 0)
    pwbuf_fmt(err, "%s: cannot listen on this address\n", addr);
  return fd;
}

/* All loops accept on one socket, each through its own descriptor. */
static void start_loops(pw_server *s, pw_tls_keys **keys, int fd) {
  for (int i = 0; i < s->nloops; i++) {
    init_loop(s, &s->loops[i], keys[i]);
    int one = i == 0 ? fd : fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (one < 0)
      abort();
    pwconns_start(&s->loops[i].conns, one);
  }
  for (int i = 0; i < s->nloops; i++)
    if (pthread_create(&s->loops[i].thread, NULL, run, &s->loops[i]) != 0)
      abort();
}

pw_server *pwserve_start(const pw_serve_setup *setup, pw_buf *err) {
  pw_server *s = pw_alloc(sizeof *s);
  s->set = *setup;
  s->nloops = setup->threads;
  pw_tls_keys **keys = pw_alloc(sizeof *keys * (size_t)s->nloops);
  int fd = -1;
  if (read_keys(s, keys, err) != 0)
    goto failed;
  fd = listen_on(setup->addr, err);
  if (fd < 0)
    goto no_listener;
  s->loops = pw_alloc(sizeof *s->loops * (size_t)s->nloops);
  start_loops(s, keys, fd);
  free(keys);
  return s;
no_listener:
  for (int i = 0; i < s->nloops; i++)
    pwtls_keys_release(keys[i]);
failed:
  free(keys);
  free(s);
  return NULL;
}

/* Notifies a loop of changes made under its lock, and unlocks. */
static void notify(loop *l) {
  ev_async_send(l->ev, &l->notified);
  pthread_mutex_unlock(&l->lock);
}

int pwserve_reload_keys(pw_server *s, pw_buf *err) {
  pw_tls_keys **keys = pw_alloc(sizeof *keys * (size_t)s->nloops);
  int rc = read_keys(s, keys, err);
  for (int i = 0; rc == 0 && i < s->nloops; i++) {
    loop *l = &s->loops[i];
    pthread_mutex_lock(&l->lock);
    pwtls_keys_release(l->next_keys);
    l->next_keys = keys[i];
    notify(l);
  }
  free(keys);
  return rc;
}

void pwserve_quiesce(pw_server *s) {
  for (int i = 0; i < s->nloops; i++) {
    pthread_mutex_lock(&s->loops[i].lock);
    s->loops[i].quiesce = 1;
    notify(&s->loops[i]);
  }
}

int pwserve_active(const pw_server *s) {
  return atomic_load(&((pw_server *)s)->active);
}

void pwserve_stop(pw_server *s) {
  if (!s)
    return;
  for (int i = 0; i < s->nloops; i++) {
    pthread_mutex_lock(&s->loops[i].lock);
    s->loops[i].end = 1;
    notify(&s->loops[i]);
  }
  for (int i = 0; i < s->nloops; i++)
    pthread_join(s->loops[i].thread, NULL);
  for (int i = 0; i < s->nloops; i++)
    free_loop(&s->loops[i]);
  free(s->loops);
  free(s);
}
