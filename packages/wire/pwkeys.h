/* pwkeys.h: CURVE keys of a process, and the peers that it trusts. */
#ifndef PWKEYS_H
#define PWKEYS_H

#include "pwbuf.h"

typedef struct pw_keys pw_keys;

/* Reads a key pair (two lines, Z85) and a trust file whose lines are
** "PUBLIC-KEY [tcp://IP:PORT]", and starts the thread that answers ZeroMQ's
** authentication requests in the ZeroMQ context `context`. NULL with a reason in
** err. */
pw_keys *pwkeys_load(const char *keys_file, const char *trust_file,
                     void *context, pw_buf *err);

/* Joins the thread of pwkeys_load and frees the keys; the context must be shut down before. */
void pwkeys_free(pw_keys *k);

/* Makes a listening socket accept only trusted keys. */
void pwkeys_serve(const pw_keys *k, void *socket);

/* Sets a socket's keys for the next connection to addr; -1 if the trust file
** has no key for addr. */
int pwkeys_dial(const pw_keys *k, void *socket, const char *addr);

/* Writes a new key pair to path (mode 0600), which must not exist, and its
** public key to out. */
int pwkeys_generate(const char *path, pw_buf *out, pw_buf *err);

#endif
