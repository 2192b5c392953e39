/* pwtls.h: server side of TLS (GnuTLS). Translates between encrypted bytes of a connection and
** plain text; the caller does the I/O. */
#ifndef PWTLS_H
#define PWTLS_H

#include <stddef.h>
#include <sys/types.h>

typedef struct pw_tls pw_tls;
typedef struct pw_tls_keys pw_tls_keys;

/* Loads a certificate and its key from PEM files; NULL when they cannot be read or do not match.
** Each connection holds a reference, so the keys may be released while connections still use them. */
pw_tls_keys *pwtls_keys(const char *cert, const char *key);
void pwtls_keys_release(pw_tls_keys *k);

/* Session of one connection; `send` sends encrypted bytes to the peer. */
pw_tls *pwtls_new(const pw_tls_keys *k,
                  void (*send)(void *arg, const void *data, size_t n),
                  void *arg);
void pwtls_free(pw_tls *t);

/* Adds encrypted bytes received from the peer. */
void pwtls_feed(pw_tls *t, const void *data, size_t n);

/* Reads plain text: >0 bytes read, 0 none yet, -1 the peer closed the session, -2 the input is not
** TLS, or the session failed. */
ssize_t pwtls_read(pw_tls *t, void *buf, size_t cap);

/* Encrypts and sends; returns 0, or -1 before the handshake is done or when the session failed. */
int pwtls_write(pw_tls *t, const void *data, size_t n);

/* Sends close_notify: no more data follows. */
void pwtls_close_notify(pw_tls *t);

#endif
