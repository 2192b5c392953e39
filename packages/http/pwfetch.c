/* pwfetch.c: HTTP client, built on neon. */
#include "pwfetch.h"

#include "pwlimits.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_ssl.h>
#include <ne_uri.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_BYTES 16384  /* bytes of one read */
#define CONNECT_TIMEOUT 2 /* s */

/* A session; `address`, if set, is in use until the session ends. */
typedef struct fetch_session {
  ne_session *s;
  ne_inet_addr *address;
} fetch_session;

struct pw_fetch_head {
  ne_request *req;
};

const char *pwfetch_answer_header(const pw_fetch_head *h, const char *name) {
  return ne_get_response_header(h->req, name);
}

static pw_code code_of(int ne) {
  switch (ne) {
  case NE_OK:
    return PW_OK;
  case NE_CONNECT:
  case NE_LOOKUP:
    return PW_E_CONNECT;
  case NE_TIMEOUT:
    return PW_E_TIMEOUT;
  default:
    return PW_E_CUT;
  }
}

/* Sets *sent once the connection is established, since bytes may be sent from then on. */
static void on_status(void *arg, ne_session_status status,
                      const ne_session_status_info *info) {
  (void)info;
  if (status == ne_status_connected)
    *(int *)arg = 1;
}

/* Trusts the certificate in a file, or without a file the system's authorities. */
static void trust(ne_session *s, const char *ca) {
  ne_ssl_certificate *cert = ca ? ne_ssl_cert_read(ca) : NULL;
  if (cert) {
    ne_ssl_trust_cert(s, cert);
    ne_ssl_cert_free(cert);
  } else if (!ca) {
    ne_ssl_trust_default_ca(s);
  }
}

/* Connects a session to the IP address of the URL, whatever host the session names. */
static int set_address(fetch_session *out, const char *ip) {
  out->address = ne_iaddr_parse(ip, ne_iaddr_ipv4);
  if (!out->address)
    return -1;
  const ne_inet_addr *list[] = {out->address};
  ne_set_addrlist(out->s, list, 1);
  return 0;
}

static void close_session(fetch_session *f) {
  if (f->s)
    ne_session_destroy(f->s);
  if (f->address)
    ne_iaddr_free(f->address);
}

/* Returns -1 when the URL or its address cannot be used. */
static int open_session(const pw_fetch *f, int *sent, fetch_session *out) {
  ne_uri uri = {0};
  int rc = -1;
  *out = (fetch_session){0};
  if (ne_uri_parse(f->url, &uri) != 0 || !uri.host)
    goto end;
  int tls = uri.scheme && !strcmp(uri.scheme, "https");
  unsigned port = uri.port ? uri.port : tls ? 443 : 80;
  out->s = ne_session_create(tls ? "https" : "http",
                             f->host ? f->host : uri.host, port);
  if (f->host && set_address(out, uri.host) != 0)
    goto end;
  if (tls)
    trust(out->s, f->ca);
  ne_set_session_flag(out->s, NE_SESSFLAG_PERSIST, 0);
  ne_set_connect_timeout(out->s, CONNECT_TIMEOUT);
  ne_set_read_timeout(out->s, f->timeout);
  ne_set_notifier(out->s, on_status, sent);
  rc = 0;
end:
  ne_uri_free(&uri);
  return rc;
}

/* Whether an answer is HTTP/1.0 or 1.1 with a status of 100 to 599; neon takes any number of three digits. */
static int is_http(const ne_status *st) {
  return st->major_version == 1 && st->minor_version <= 1 && st->code >= 100 &&
         st->code <= 599;
}

/* Whether the end of an answer is told by its status, length or chunks, and not by the end of the connection. */
static int is_framed(ne_request *req) {
  int code = ne_get_status(req)->code;
  return code == 204 || code == 304 ||
         ne_get_response_header(req, "Content-Length") ||
         ne_get_response_header(req, "Transfer-Encoding");
}

/* Whether the answer may have ended before the target had all of the request: it ended with the connection, and the body may
** not have fitted into the target's receive buffer. neon does not tell what was acknowledged. */
static int may_be_cut(const pw_fetch *f, ne_request *req) {
  return f->body_len > PW_LONG_BODY && !is_framed(req);
}

static pw_code read_answer(const pw_fetch *f, ne_request *req) {
  pw_fetch_head head = {req};
  const ne_status *st = ne_get_status(req);
  if (!is_http(st))
    return PW_E_CUT;
  if (f->on_head && f->on_head(f->arg, st->code, &head) != 0)
    return PW_E_CUT;
  char *block = pw_alloc(READ_BYTES);
  pw_code rc = PW_OK;
  ssize_t n;
  while ((n = ne_read_response_block(req, block, READ_BYTES)) > 0) {
    if (f->on_data && f->on_data(f->arg, block, (size_t)n) != 0) {
      rc = PW_E_CUT;
      break;
    }
  }
  free(block);
  return n < 0 || (n == 0 && may_be_cut(f, req)) ? PW_E_CUT : rc;
}

pw_code pwfetch(const pw_fetch *f, int *sent) {
  *sent = 0;
  fetch_session session;
  if (open_session(f, sent, &session) != 0) {
    close_session(&session);
    return PW_E_CONNECT;
  }
  ne_request *req = ne_request_create(session.s, f->method, f->path);
  for (int i = 0; i < f->nheaders; i++)
    ne_add_request_header(req, f->headers[i].name, f->headers[i].value);
  if (f->body_len)
    ne_set_request_body_buffer(req, f->body, f->body_len);
  int ne = ne_begin_request(req);
  pw_code rc = code_of(ne);
  if (ne == NE_ERROR && ne_get_status(req)->code == 0 && *sent)
    rc = PW_E_CUT;
  if (ne == NE_OK)
    rc = read_answer(f, req);
  if (rc == PW_OK)
    rc = code_of(ne_end_request(req));
  if (rc == PW_E_CONNECT)
    *sent = 0;
  ne_request_destroy(req);
  close_session(&session);
  return rc;
}

typedef struct text_result {
  int status;
  size_t max;
  pw_buf *out;
} text_result;

static int on_text_head(void *arg, int status, const pw_fetch_head *h) {
  (void)h;
  ((text_result *)arg)->status = status;
  return 0;
}

static int on_text_data(void *arg, const char *data, size_t n) {
  const text_result *a = arg;
  if (a->out->len + n > a->max)
    return -1;
  pwbuf_add(a->out, data, n);
  return 0;
}

pw_code pwfetch_text(const char *url, const char *method, const char *path,
                     const pw_fetch_header *headers, int nheaders,
                     const char *body, int timeout, size_t max, int *status,
                     pw_buf *out) {
  text_result a = {0, max, out};
  pw_fetch f = {.url = url,
                .method = method,
                .path = path,
                .headers = headers,
                .nheaders = nheaders,
                .body = body,
                .body_len = body ? strlen(body) : 0,
                .timeout = timeout,
                .arg = &a,
                .on_head = on_text_head,
                .on_data = on_text_data};
  int sent;
  pw_code rc = pwfetch(&f, &sent);
  *status = a.status;
  return rc;
}
