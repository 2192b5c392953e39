/* pwtls.c: server side of TLS, with GnuTLS. */
#include "pwtls.h"

#include "pwbuf.h"

#include <errno.h>
#include <gnutls/gnutls.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

struct pw_tls_keys {
  gnutls_certificate_credentials_t cred;
  atomic_int refs;
};

struct pw_tls {
  gnutls_session_t session;
  pw_tls_keys *keys;
  pw_buf in; /* encrypted input not yet read by the session */
  int is_up; /* the handshake is done */
  void (*send)(void *arg, const void *data, size_t n);
  void *arg;
};

/* --- keys --- */

void pwtls_keys_release(pw_tls_keys *k) {
  if (!k || atomic_fetch_sub(&k->refs, 1) > 1)
    return;
  gnutls_certificate_free_credentials(k->cred);
  free(k);
}

pw_tls_keys *pwtls_keys(const char *cert, const char *key) {
  pw_tls_keys *k = pw_alloc(sizeof *k);
  atomic_init(&k->refs, 1);
  if (gnutls_certificate_allocate_credentials(&k->cred) != GNUTLS_E_SUCCESS) {
    free(k);
    return NULL;
  }
  if (gnutls_certificate_set_x509_key_file(k->cred, cert, key,
                                           GNUTLS_X509_FMT_PEM) >= 0)
    return k;
  pwtls_keys_release(k);
  return NULL;
}

/* --- transport callbacks --- */

static ssize_t pull(gnutls_transport_ptr_t ptr, void *buf, size_t cap) {
  pw_tls *t = ptr;
  size_t n = t->in.len < cap ? t->in.len : cap;
  if (n == 0) {
    gnutls_transport_set_errno(t->session, EAGAIN);
    return -1;
  }
  memcpy(buf, t->in.data, n);
  pwbuf_skip(&t->in, n);
  return (ssize_t)n;
}

static ssize_t push(gnutls_transport_ptr_t ptr, const void *data, size_t n) {
  pw_tls *t = ptr;
  t->send(t->arg, data, n);
  return (ssize_t)n;
}

pw_tls *pwtls_new(const pw_tls_keys *k,
                  void (*send)(void *arg, const void *data, size_t n),
                  void *arg) {
  pw_tls *t = pw_alloc(sizeof *t);
  t->keys = (pw_tls_keys *)k;
  t->send = send;
  t->arg = arg;
  if (gnutls_init(&t->session, GNUTLS_SERVER | GNUTLS_NONBLOCK) !=
      GNUTLS_E_SUCCESS)
    abort(); /* out of memory, as in pw_alloc */
  atomic_fetch_add(&t->keys->refs, 1);
  gnutls_set_default_priority(t->session);
  gnutls_credentials_set(t->session, GNUTLS_CRD_CERTIFICATE, k->cred);
  gnutls_transport_set_ptr(t->session, t);
  gnutls_transport_set_pull_function(t->session, pull);
  gnutls_transport_set_push_function(t->session, push);
  return t;
}

void pwtls_free(pw_tls *t) {
  if (!t)
    return;
  gnutls_deinit(t->session);
  pwtls_keys_release(t->keys);
  pwbuf_free(&t->in);
  free(t);
}

/* --- reading and writing --- */

void pwtls_feed(pw_tls *t, const void *data, size_t n) {
  pwbuf_add(&t->in, data, n);
}

static int is_transient(ssize_t rc) {
  return rc == GNUTLS_E_AGAIN || rc == GNUTLS_E_INTERRUPTED;
}

/* 1: the session is established, 0: not yet, -2: the handshake failed. */
static int handshake(pw_tls *t) {
  if (t->is_up)
    return 1;
  int rc = gnutls_handshake(t->session);
  t->is_up = rc == GNUTLS_E_SUCCESS;
  if (t->is_up)
    return 1;
  return is_transient(rc) || !gnutls_error_is_fatal(rc) ? 0 : -2;
}

ssize_t pwtls_read(pw_tls *t, void *buf, size_t cap) {
  int up = handshake(t);
  if (up <= 0)
    return up;
  ssize_t n = gnutls_record_recv(t->session, buf, cap);
  if (n > 0)
    return n;
  if (n == 0)
    return -1;
  return is_transient(n) || !gnutls_error_is_fatal((int)n) ? 0 : -2;
}

int pwtls_write(pw_tls *t, const void *data, size_t n) {
  const char *p = data;
  while (t->is_up && n > 0) {
    ssize_t done = gnutls_record_send(t->session, p, n);
    if (is_transient(done))
      continue;
    if (done <= 0)
      return -1;
    p += done;
    n -= (size_t)done;
  }
  return n ? -1 : 0;
}

void pwtls_close_notify(pw_tls *t) {
  if (t->is_up)
    gnutls_bye(t->session, GNUTLS_SHUT_WR);
}
