/* pwserve.c: a server for handlers that answer from other threads: event loops of
** connections (pwconn), one thread each. */
#define _GNU_SOURCE
#include "pwserve.h"

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

#define HEADER_BYTES (32 * 1024) /* of request line and headers */
#define STREAM_BLOCK (16 * 1024)
#define SEND_BYTES (32 * 1024)  /* a slow caller holds no more in the kernel */
#define PENDING_MAX (32 * 1024) /* bytes that a caller has not taken yet */
#define SWEEP_S 0.25
#define MS_PER_S 1000

/* One thread with its connections. */
typedef struct loop {
  pw_server *server;
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_conns conns;
  pthread_t thread;
  ev_timer sweep;
  ev_async called;
  pthread_mutex_t lock;
  pw_http *woken;          /* under the lock: requests that are to go on */
  pw_tls_keys *keys;       /* in use */
  pw_tls_keys *next_keys;  /* under the lock: to be used from now on; or NULL */
  int quiesce, end;        /* under the lock */
  struct pw_http *waiting; /* that nobody has woken yet */
} loop;

struct pw_server {
  pw_serve_setup set;
  loop *loops;
  int nloops;
  atomic_int active;
};

/* What the handler did with a request, when it returns. */
typedef enum step { LEFT, WAITS, REPLIED, STREAMS } step;

struct pw_http {
  loop *l;
  pw_conn *conn; /* NULL: its caller has gone */
  atomic_int is_gone;
  const char *method;
  char *path;
  char *query;
  char **value; /* of headers and arguments that were asked for, zero-ended */
  int nvalues;
  void *request;
  step step;
  int status;
  pw_buf lines, body; /* of the answer */
  pw_stream_read read;
  void *arg;
  int has_begun;
  pw_http *next_woken;
  pw_http *prev, *next; /* of those that wait */
};

/* --- what was asked --- */

static int digit_of(char c) {
  if (!isxdigit((unsigned char)c))
    return -1;
  return isdigit((unsigned char)c) ? c - '0' : (tolower(c) - 'a') + 10;
}

/* Bytes of a path or an argument, with %XX read. */
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

/* Keeps text for as long as the request. */
static const char *keep(pw_http *h, char *text) {
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
      return keep(h, unescape(p + n + 1, len - n - 1));
    p += len + (p[len] != 0);
  }
  return NULL;
}

const char *pwserve_header(pw_http *h, const char *name) {
  const pw_h1_header *found =
      h->conn ? pwh1_find(&h->conn->request, name) : NULL;
  return found ? keep(h, pw_memdup(found->value, found->nvalue)) : NULL;
}

const char *pwserve_body(const pw_http *h, size_t *n) {
  *n = h->conn ? h->conn->body.len : 0;
  return *n ? h->conn->body.data : "";
}

void pwserve_headers(pw_http *h,
                     void (*f)(void *arg, const char *name, const char *value),
                     void *arg) {
  const pw_h1 *m = &h->conn->request;
  for (int i = 0; i < m->nheaders; i++)
    f(arg, keep(h, pw_memdup(m->header[i].name, m->header[i].nname)),
      keep(h, pw_memdup(m->header[i].value, m->header[i].nvalue)));
}

void pwserve_set(pw_http *h, void *request) {
  h->request = request;
}

void *pwserve_get(const pw_http *h) {
  return h->request;
}

/* --- what the handler does with it --- */

void pwserve_add(pw_http *h, const char *name, const char *value) {
  if (strpbrk(value, "\r\n"))
    return; /* would begin another line */
  pwbuf_fmt(&h->lines, "%s: %s\r\n", name, value);
}

static void answer_with(pw_http *h, step how, int status, const char *type) {
  h->step = how;
  h->status = status;
  if (type && type[0])
    pwserve_add(h, "Content-Type", type);
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
  ev_async_send(l->ev, &l->called);
  pthread_mutex_unlock(&l->lock);
}

int pwserve_gone(pw_http *h) {
  return atomic_load(&h->is_gone);
}

/* --- the life of a request --- */

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

/* The request is over; its connection, if any is left, has its answer. */
static void finish(pw_http *h, int whole) {
  pw_server *s = h->l->server;
  if (h->request)
    s->set.done(s->set.arg, h->request, whole);
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

/* Takes the request off its connection, whose answer is to be ended next. */
static pw_conn *take_conn(pw_http *h) {
  pw_conn *c = h->conn;
  c->state = NULL;
  h->conn = NULL;
  return c;
}

static void reply(pw_http *h) {
  pw_conn *c = take_conn(h);
  pwconn_answer(c, h->status, lines_of(h), h->body.data, h->body.len);
  finish(h, 1);
}

/* Reads the stream until it waits, ends, or the caller does not keep up. */
static void pump(pw_http *h) {
  char block[STREAM_BLOCK];
  if (!h->has_begun)
    pwconn_begin(h->conn, h->status, lines_of(h));
  h->has_begun = 1;
  while (pwtcp_pending(h->conn->tcp) <= PENDING_MAX) {
    ssize_t n = h->read(h->arg, h, block, sizeof block);
    if (n > 0) {
      pwconn_piece(h->conn, block, (size_t)n);
    } else if (n == 0) {
      assert(h->step == WAITS);
      list_waiting(h);
      return;
    } else {
      pw_conn *c = take_conn(h);
      if (n == -1)
        pwconn_end(c);
      else
        pwconn_break(c);
      finish(h, n == -1);
      return;
    }
  }
}

static void handle(pw_http *h, int again) {
  const pw_serve_setup *set = &h->l->server->set;
  h->step = LEFT;
  set->handle(set->arg, h, again);
  if (h->step == WAITS)
    list_waiting(h);
  else if (h->step == REPLIED)
    reply(h);
  else if (h->step == STREAMS)
    pump(h);
  else
    assert(!"a handler answers or waits");
}

/* A request that was left is to go on. */
static void go_on(pw_http *h) {
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

/* Whoever waits is told when it is woken: another thread refers to it. */
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

/* --- a loop --- */

static void take_orders(loop *l) {
  pthread_mutex_lock(&l->lock);
  pw_http *woken = l->woken;
  pw_tls_keys *keys = l->next_keys;
  int quiesce = l->quiesce, over = l->end;
  l->woken = NULL;
  l->next_keys = NULL;
  pthread_mutex_unlock(&l->lock);
  if (keys) {
    pwtls_keys_drop(l->keys);
    l->conns.keys = l->keys = keys;
  }
  while (woken) {
    pw_http *h = woken;
    woken = h->next_woken;
    go_on(h);
  }
  if (quiesce && !l->conns.is_stopping) {
    l->conns.is_stopping = 1;
    pwconns_unlisten(&l->conns);
    pwconns_close_idle(&l->conns);
  }
  if (over)
    ev_break(l->ev, EVBREAK_ALL);
}

static void on_called(struct ev_loop *ev, ev_async *w, int events) {
  (void)ev;
  (void)events;
  take_orders(w->data);
}

static void on_sweep(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  loop *l = w->data;
  pwconns_sweep(&l->conns, pwclock_ms());
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
  int max = s->set.max_connections / s->nloops;
  l->keys = keys;
  l->conns =
      (pw_conns){.tcp = &l->tcp,
                 .limits = {.header_bytes = HEADER_BYTES,
                            .body_bytes = s->set.max_body,
                            .idle_ms = (int64_t)s->set.idle_timeout * MS_PER_S},
                 .max = max > 0 ? max : 1,
                 .send_bytes = SEND_BYTES,
                 .keys = keys,
                 .arg = l,
                 .handle = on_request,
                 .abandoned = on_abandoned,
                 .resume = on_resume};
  ev_async_init(&l->called, on_called);
  ev_timer_init(&l->sweep, on_sweep, SWEEP_S, SWEEP_S);
  l->called.data = l->sweep.data = l;
  ev_async_start(l->ev, &l->called);
  ev_timer_start(l->ev, &l->sweep);
}

/* Its thread has ended. Those that nobody woke end here. */
static void free_loop(loop *l) {
  pwconns_end(&l->conns);
  take_orders(l);
  while (l->waiting) {
    pw_http *h = l->waiting;
    unlist_waiting(h);
    finish(h, 0);
  }
  ev_async_stop(l->ev, &l->called);
  ev_timer_stop(l->ev, &l->sweep);
  pwtcp_loop_free(&l->tcp);
  ev_loop_destroy(l->ev);
  pwtls_keys_drop(l->keys);
  pthread_mutex_destroy(&l->lock);
}

/* --- the server --- */

static int has_tls(const pw_serve_setup *set) {
  return set->tls_cert && set->tls_cert[0];
}

/* Keys for each loop, or none where TLS is not spoken. -1 with a reason. */
static int read_keys(const pw_server *s, pw_tls_keys **out, pw_buf *err) {
  for (int i = 0; i < s->nloops; i++) {
    out[i] =
        has_tls(&s->set) ? pwtls_keys(s->set.tls_cert, s->set.tls_key) : NULL;
    if (out[i] || !has_tls(&s->set))
      continue;
    while (i-- > 0)
      pwtls_keys_drop(out[i]);
    pwbuf_fmt(err, "%s: %s and %s are no certificate and its key\n",
              s->set.addr, s->set.tls_cert, s->set.tls_key);
    return -1;
  }
  return 0;
}

/* A descriptor that listens at the address, or -1 with a reason. */
static int listen_at(const char *addr, pw_buf *err) {
  struct sockaddr_in at;
  if (pwtcp_address(addr, &at) != 0) {
    pwbuf_fmt(err, "%s: IP:PORT is allowed\n", addr);
    return -1;
  }
  int fd = pwtcp_listen(&at);
  if (fd < 0)
    pwbuf_fmt(err, "%s: cannot listen\n", addr);
  return fd;
}

/* All loops accept at one socket, by descriptors of their own. */
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
  fd = listen_at(setup->addr, err);
  if (fd < 0)
    goto no_listener;
  s->loops = pw_alloc(sizeof *s->loops * (size_t)s->nloops);
  start_loops(s, keys, fd);
  free(keys);
  return s;
no_listener:
  for (int i = 0; i < s->nloops; i++)
    pwtls_keys_drop(keys[i]);
failed:
  free(keys);
  free(s);
  return NULL;
}

/* Has a loop look at what it is told under its lock. */
static void call(loop *l) {
  ev_async_send(l->ev, &l->called);
  pthread_mutex_unlock(&l->lock);
}

int pwserve_renew(pw_server *s, pw_buf *err) {
  pw_tls_keys **keys = pw_alloc(sizeof *keys * (size_t)s->nloops);
  int rc = read_keys(s, keys, err);
  for (int i = 0; rc == 0 && i < s->nloops; i++) {
    loop *l = &s->loops[i];
    pthread_mutex_lock(&l->lock);
    pwtls_keys_drop(l->next_keys);
    l->next_keys = keys[i];
    call(l);
  }
  free(keys);
  return rc;
}

void pwserve_quiesce(pw_server *s) {
  for (int i = 0; i < s->nloops; i++) {
    pthread_mutex_lock(&s->loops[i].lock);
    s->loops[i].quiesce = 1;
    call(&s->loops[i]);
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
    call(&s->loops[i]);
  }
  for (int i = 0; i < s->nloops; i++)
    pthread_join(s->loops[i].thread, NULL);
  for (int i = 0; i < s->nloops; i++)
    free_loop(&s->loops[i]);
  free(s->loops);
  free(s);
}
