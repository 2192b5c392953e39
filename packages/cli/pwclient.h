/* pwclient.h: calls to the resource API from the command line. */
#ifndef PWCLIENT_H
#define PWCLIENT_H

#include "pwcode.h"

#include <jansson.h>

#define PWCLIENT_SERVERS 16

typedef struct pw_client {
  const char *server[PWCLIENT_SERVERS]; /* "IP:PORT" */
  int nservers;
  int current; /* index of the server to call first: the last that answered */
  char *key;   /* bearer key, or NULL */
  int timeout_ms; /* of a call with all its retries */
} pw_client;

/* Calls the API and tries one server after another until one in contact with
** a leader answers or the time is over. All attempts of a change carry the
** same Idempotency-Key, so that it is made once. Gives PW_OK with *answer,
** or the error's code with the reason in `message` and *answer set if it has
** a body. */
pw_code pwclient_call(pw_client *c, const char *method, const char *path,
                      const json_t *body, json_t **answer, char *message,
                      size_t cap);

/* Makes one GET request to the process at "IP:PORT", without a key or
** retries. */
pw_code pwclient_get(const char *server, const char *path, json_t **answer);

/* Reads a bearer key from a file that only its owner can read; -1 with a
** reason. */
int pwclient_read_key(pw_client *c, const char *path, char *message,
                      size_t cap);

#endif
