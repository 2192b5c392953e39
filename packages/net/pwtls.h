/* pwtls.h: the server side of TLS (GnuTLS) between a connection's bytes and those
** of its user. No I/O of its own. */
#ifndef PWTLS_H
#define PWTLS_H

#include <stddef.h>
#include <sys/types.h>

typedef struct pw_tls pw_tls;
typedef struct pw_tls_keys pw_tls_keys;

/* Reads a certificate and its key, PEM files; NULL if they are none. Connections
** hold what they use: it may be dropped while they go on. */
pw_tls_keys *pwtls_keys(const char *cert, const char *key);
void pwtls_keys_drop(pw_tls_keys *k);

/* One connection; `send` takes bytes for the peer. */
pw_tls *pwtls_new(const pw_tls_keys *k,
                  void (*send)(void *arg, const void *data, size_t n),
                  void *arg);
void pwtls_free(pw_tls *t);

/* Bytes of the peer. */
void pwtls_feed(pw_tls *t, const void *data, size_t n);

/* What they say: bytes read, 0 none yet, -1 the peer ended in order, -2 this is no
** TLS, or another fault. */
ssize_t pwtls_read(pw_tls *t, void *buf, size_t cap);

/* Writes; -1 before there is a session, or when it is at fault. */
int pwtls_write(pw_tls *t, const void *data, size_t n);

/* Tells the peer that no more comes. */
void pwtls_bye(pw_tls *t);

#endif
