/* pwfetch.h: HTTP client, built on neon.
**
** Each call opens a connection of its own and does not reuse it. On a persistent connection neon
** resends a request by itself when the peer closes before the answer, and a request that must not
** be repeated would run twice. */
#ifndef PWFETCH_H
#define PWFETCH_H

#include "pwbuf.h"
#include "pwcode.h"

typedef struct pw_fetch_header {
  const char *name;
  const char *value;
} pw_fetch_header;

/* Head of an answer, valid within on_head; a header of it, or NULL. */
typedef struct pw_fetch_head pw_fetch_head;
const char *pwfetch_answer_header(const pw_fetch_head *h, const char *name);

typedef struct pw_fetch {
  const char *url;  /* "http://IP:PORT", or https */
  const char *ca;   /* https: file of the certificate to trust; NULL: the
                      system's authorities */
  const char *host; /* of the Host header, beside a URL with an IPv4 address;
                       NULL: that of the URL */
  const char *method;
  const char *path; /* with query */
  const pw_fetch_header *headers;
  int nheaders;
  const void *body;
  size_t body_len;
  int timeout; /* s without receiving a byte */
  void *arg;

  /* The status and headers have arrived; a piece of the body has arrived. Each returns 0 to continue,
  ** -1 to abort the call. */
  int (*on_head)(void *arg, int status, const pw_fetch_head *h);
  int (*on_data)(void *arg, const char *data, size_t n);
} pw_fetch;

/* Makes one call. PW_OK: the complete answer was read; PW_E_CONNECT: nothing was sent; PW_E_CUT:
** the call failed after sending; PW_E_TIMEOUT; PW_E_UPSTREAM: the answer is not HTTP. *sent:
** whether the request may have arrived. */
pw_code pwfetch(const pw_fetch *f, int *sent);

/* Makes a call and collects the answer's body in `out`; fails above `max` bytes. */
pw_code pwfetch_text(const char *url, const char *method, const char *path,
                     const pw_fetch_header *headers, int nheaders,
                     const char *body, int timeout, size_t max, int *status,
                     pw_buf *out);

#endif
