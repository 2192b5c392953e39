/* pwfetch.h: HTTP client side, over neon.
**
** Each call uses a connection of its own that is never kept: neon resends a
** request by itself when a kept connection closes before the reply, and a
** request that may not be repeated would then run twice. */
#ifndef PWFETCH_H
#define PWFETCH_H

#include "pwbuf.h"
#include "pwcode.h"

typedef struct pw_fetch_header {
  const char *name;
  const char *value;
} pw_fetch_header;

/* The answer's status and headers are known. get(h, name) reads a header of
** the answer, or gives NULL. Returns 0 to go on, -1 to break off. */
typedef struct pw_fetch_head pw_fetch_head;
const char *pwfetch_answer_header(const pw_fetch_head *h, const char *name);

typedef struct pw_fetch {
  const char *url; /* "http://IP:PORT", or https */
  const char *ca;  /* https: file of the certificate to trust; NULL: the
                      system's authorities */
  const char *method;
  const char *path; /* with query */
  const pw_fetch_header *headers;
  int nheaders;
  const void *body;
  size_t body_len;
  int timeout; /* s without a byte */
  void *arg;
  int (*on_head)(void *arg, int status, const pw_fetch_head *h);
  int (*on_data)(void *arg, const char *data, size_t n); /* 0, -1: break off */
} pw_fetch;

/* Makes one call. PW_OK: the whole answer was read; PW_E_CONNECT: nothing was
** sent; PW_E_CUT: broken off after sending; PW_E_TIMEOUT; PW_E_UPSTREAM: the
** answer is not HTTP. *sent tells whether the request may have arrived. */
pw_code pwfetch(const pw_fetch *f, int *sent);

/* A call with a small answer, kept whole in out (up to max bytes). */
pw_code pwfetch_text(const char *url, const char *method, const char *path,
                     const pw_fetch_header *headers, int nheaders,
                     const char *body, int timeout, size_t max, int *status,
                     pw_buf *out);

#endif
