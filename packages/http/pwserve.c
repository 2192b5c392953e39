/* pwserve.c: HTTP server side, over libmicrohttpd. */
#define _GNU_SOURCE
#include "pwserve.h"

#include "pwcode.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_MEMORY (32 * 1024) /* bytes of request line and headers */
#define STREAM_BLOCK (16 * 1024)
#define ADDED_MAX 24

/* One life of the listener: a new certificate takes a new one. */
typedef struct listener {
  struct MHD_Daemon *daemon;
  char *cert;
  char *key;
  struct listener *older; /* do not listen any more, but end what they have */
} listener;

struct pw_server {
  listener *now;
  pw_serve_setup set;
  atomic_int active;
};

typedef struct added {
  char *name;
  char *value;
} added;

struct pw_http {
  pw_server *server;
  struct MHD_Connection *conn;
  char *method;
  char *path;
  pw_buf body;
  int body_seen;
  int too_large;
  int handled;
  int answered;
  void *request;
  added add[ADDED_MAX];
  int nadd;
  enum MHD_Result result;
};

typedef struct stream {
  pw_http *h;
  pw_stream_read read;
  void *arg;
} stream;

const char *pwserve_method(const pw_http *h) {
  return h->method;
}

const char *pwserve_path(const pw_http *h) {
  return h->path;
}

const char *pwserve_query(pw_http *h, const char *name) {
  return MHD_lookup_connection_value(h->conn, MHD_GET_ARGUMENT_KIND, name);
}

const char *pwserve_header(pw_http *h, const char *name) {
  return MHD_lookup_connection_value(h->conn, MHD_HEADER_KIND, name);
}

const char *pwserve_body(const pw_http *h, size_t *n) {
  *n = h->body.len;
  return h->body.data ? h->body.data : "";
}

typedef struct header_visit {
  void (*f)(void *arg, const char *name, const char *value);
  void *arg;
} header_visit;

static enum MHD_Result visit_header(void *cls, enum MHD_ValueKind kind,
                                    const char *key, const char *value) {
  const header_visit *v = cls;
  (void)kind;
  v->f(v->arg, key, value ? value : "");
  return MHD_YES;
}

void pwserve_headers(pw_http *h,
                     void (*f)(void *arg, const char *name, const char *value),
                     void *arg) {
  header_visit v = {f, arg};
  MHD_get_connection_values(h->conn, MHD_HEADER_KIND, visit_header, &v);
}

void pwserve_set(pw_http *h, void *request) {
  h->request = request;
}

void *pwserve_get(const pw_http *h) {
  return h->request;
}

void pwserve_add(pw_http *h, const char *name, const char *value) {
  if (h->nadd == ADDED_MAX)
    return;
  h->add[h->nadd].name = pw_dup(name);
  h->add[h->nadd].value = pw_dup(value);
  h->nadd++;
}

static void queue(pw_http *h, int status, const char *type,
                  struct MHD_Response *r) {
  if (type && type[0])
    MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  for (int i = 0; i < h->nadd; i++)
    MHD_add_response_header(r, h->add[i].name, h->add[i].value);
  h->result = MHD_queue_response(h->conn, (unsigned)status, r);
  h->answered = 1;
  MHD_destroy_response(r);
}

void pwserve_reply(pw_http *h, int status, const char *type, const void *body,
                   size_t n) {
  struct MHD_Response *r =
      MHD_create_response_from_buffer(n, (void *)body, MHD_RESPMEM_MUST_COPY);
  queue(h, status, type, r);
}

static ssize_t read_stream(void *cls, uint64_t pos, char *buf, size_t max) {
  const stream *s = cls;
  (void)pos;
  ssize_t n = s->read(s->arg, s->h, buf, max);
  if (n == -1)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n < -1)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  return n;
}

static void free_stream(void *cls) {
  free(cls);
}

void pwserve_stream(pw_http *h, int status, const char *type,
                    pw_stream_read read, void *arg) {
  stream *s = pw_alloc(sizeof *s);
  *s = (stream){h, read, arg};
  struct MHD_Response *r = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, STREAM_BLOCK, read_stream, s, free_stream);
  queue(h, status, type, r);
}

void pwserve_wait(pw_http *h) {
  MHD_suspend_connection(h->conn);
}

void pwserve_wake(pw_http *h) {
  MHD_resume_connection(h->conn);
}

int pwserve_gone(pw_http *h) {
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info(h->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  return info && recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void refuse_large(pw_http *h) {
  char body[160];
  int n = snprintf(body, sizeof body,
                   "{\"error\": {\"code\": %d, \"name\": \"%s\", "
                   "\"message\": \"%s\"}}\n",
                   PW_E_TOO_LARGE, pwcode_name(PW_E_TOO_LARGE),
                   pwcode_text(PW_E_TOO_LARGE));
  pwserve_add(h, "Peatwell-Outcome", "not-run");
  pwserve_add(h, "Peatwell-Code", "1002");
  pwserve_reply(h, pwcode_http(PW_E_TOO_LARGE), "application/json", body,
                (size_t)n);
}

static pw_http *new_request(pw_server *s, struct MHD_Connection *conn,
                            const char *url, const char *method) {
  pw_http *h = pw_alloc(sizeof *h);
  h->server = s;
  h->conn = conn;
  h->method = pw_dup(method);
  h->path = pw_dup(url);
  h->result = MHD_YES;
  atomic_fetch_add(&s->active, 1);
  return h;
}

static void take_body(pw_http *h, const char *data, size_t n) {
  if (h->body.len + n > h->server->set.max_body)
    h->too_large = 1;
  if (!h->too_large)
    pwbuf_add(&h->body, data, n);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *size, void **con_cls) {
  pw_server *s = cls;
  pw_http *h = *con_cls;
  (void)version;
  if (!h) {
    *con_cls = new_request(s, conn, url, method);
    return MHD_YES;
  }
  if (*size) {
    take_body(h, data, *size);
    *size = 0;
    return MHD_YES;
  }
  if (h->too_large) {
    refuse_large(h);
    return h->result;
  }
  int again = h->handled;
  h->handled = 1;
  s->set.handle(s->set.arg, h, again);
  return h->result;
}

static void on_done(void *cls, struct MHD_Connection *conn, void **con_cls,
                    enum MHD_RequestTerminationCode code) {
  pw_server *s = cls;
  pw_http *h = *con_cls;
  (void)conn;
  if (!h)
    return;
  if (h->request)
    s->set.done(s->set.arg, h->request,
                code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  for (int i = 0; i < h->nadd; i++) {
    free(h->add[i].name);
    free(h->add[i].value);
  }
  pwbuf_free(&h->body);
  free(h->method);
  free(h->path);
  free(h);
  *con_cls = NULL;
  atomic_fetch_sub(&s->active, 1);
}

static int parse_addr(const char *addr, struct sockaddr_in *out) {
  char ip[64];
  unsigned port;
  if (sscanf(addr, "%63[0-9.]:%u", ip, &port) != 2 || port > 65535)
    return -1;
  *out = (struct sockaddr_in){.sin_family = AF_INET,
                              .sin_port = htons((uint16_t)port)};
  return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -1;
}

static char *read_text(const char *path) {
  FILE *f = path && path[0] ? fopen(path, "re") : NULL;
  if (!f)
    return NULL;
  pw_buf b = {0};
  char block[4096];
  size_t n;
  while ((n = fread(block, 1, sizeof block, f)) > 0)
    pwbuf_add(&b, block, n);
  fclose(f);
  return pwbuf_take(&b);
}

static struct MHD_Daemon *start_daemon(pw_server *s, const listener *l,
                                       const struct sockaddr_in *at, int fd) {
  unsigned flags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  struct MHD_OptionItem tls[] = {{MHD_OPTION_HTTPS_MEM_CERT, 0, l->cert},
                                 {MHD_OPTION_HTTPS_MEM_KEY, 0, l->key},
                                 {MHD_OPTION_END, 0, NULL}};
  struct MHD_OptionItem none[] = {{MHD_OPTION_END, 0, NULL}};
  struct MHD_OptionItem where[] = {
      {MHD_OPTION_SOCK_ADDR, 0, (void *)at},
      {MHD_OPTION_END, 0, NULL},
  };
  if (fd >= 0)
    where[0] = (struct MHD_OptionItem){MHD_OPTION_LISTEN_SOCKET, fd, NULL};
  if (l->cert)
    flags |= MHD_USE_TLS;
  return MHD_start_daemon(
      flags, 0, NULL, NULL, on_request, s, MHD_OPTION_THREAD_POOL_SIZE,
      (unsigned)s->set.threads, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)(s->set.max_connections < s->set.threads
                     ? s->set.threads
                     : s->set.max_connections),
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)s->set.idle_timeout,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HEADER_MEMORY,
      MHD_OPTION_NOTIFY_COMPLETED, on_done, s, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      1024u, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_ARRAY, where,
      MHD_OPTION_ARRAY, l->cert ? tls : none, MHD_OPTION_END);
}

static void end_listener(listener *l) {
  if (l->daemon)
    MHD_stop_daemon(l->daemon);
  free(l->cert);
  free(l->key);
  free(l);
}

/* Reads the certificate and listens, at an address or on a socket that listens
** already (fd, taken over). NULL with a reason in err. */
static listener *start_listener(pw_server *s, const struct sockaddr_in *at,
                                int fd, pw_buf *err) {
  listener *l = pw_alloc(sizeof *l);
  int tls = s->set.tls_cert && s->set.tls_cert[0];
  l->cert = read_text(s->set.tls_cert);
  l->key = read_text(s->set.tls_key);
  if (!tls || (l->cert && l->key))
    l->daemon = start_daemon(s, l, at, fd);
  if (l->daemon)
    return l;
  if (tls)
    pwbuf_fmt(
        err, "%s: cannot listen, or %s and %s are no certificate and its key\n",
        s->set.addr, s->set.tls_cert, s->set.tls_key);
  else
    pwbuf_fmt(err, "%s: cannot listen\n", s->set.addr);
  end_listener(l);
  return NULL;
}

pw_server *pwserve_start(const pw_serve_setup *setup, pw_buf *err) {
  struct sockaddr_in at;
  if (parse_addr(setup->addr, &at) != 0) {
    pwbuf_fmt(err, "%s: IP:PORT is allowed\n", setup->addr);
    return NULL;
  }
  pw_server *s = pw_alloc(sizeof *s);
  s->set = *setup;
  s->now = start_listener(s, &at, -1, err);
  if (s->now)
    return s;
  free(s);
  return NULL;
}

/* Those that have no connection left. */
static void end_idle(listener **at) {
  while (*at) {
    listener *l = *at;
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(l->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    if (info && info->num_connections > 0) {
      at = &l->older;
      continue;
    }
    *at = l->older;
    end_listener(l);
  }
}

int pwserve_renew(pw_server *s, pw_buf *err) {
  const union MHD_DaemonInfo *info =
      MHD_get_daemon_info(s->now->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  int fd = info ? fcntl(info->listen_fd, F_DUPFD_CLOEXEC, 0) : -1;
  if (fd < 0) {
    pwbuf_fmt(err, "%s: cannot listen\n", s->set.addr);
    return -1;
  }
  listener *l = start_listener(s, NULL, fd, err);
  if (!l) {
    close(fd);
    return -1;
  }
  MHD_socket old = MHD_quiesce_daemon(s->now->daemon);
  if (old != MHD_INVALID_SOCKET)
    close(old);
  l->older = s->now;
  s->now = l;
  end_idle(&l->older);
  return 0;
}

void pwserve_quiesce(pw_server *s) {
  MHD_socket fd = MHD_quiesce_daemon(s->now->daemon);
  if (fd != MHD_INVALID_SOCKET)
    shutdown(fd, SHUT_RD);
}

int pwserve_active(const pw_server *s) {
  return atomic_load(&((pw_server *)s)->active);
}

void pwserve_stop(pw_server *s) {
  if (!s)
    return;
  while (s->now) {
    listener *l = s->now;
    s->now = l->older;
    end_listener(l);
  }
  free(s);
}
