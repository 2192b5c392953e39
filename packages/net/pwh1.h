/* pwh1.h: HTTP/1 messages, parsed by http-parser. A head is given whole, the
** body in pieces; what follows a message's end is left to the caller. */
#ifndef PWH1_H
#define PWH1_H

#include "pwbuf.h"

#include <http_parser.h>
#include <stddef.h>

#define PWH1_HEADERS 128 /* headers of one message */

typedef struct pw_h1_header {
  const char *name; /* not zero-ended */
  size_t nname;
  const char *value;
  size_t nvalue;
} pw_h1_header;

typedef enum pw_h1_state {
  PWH1_HEAD, /* the head is not whole yet */
  PWH1_BODY,
  PWH1_DONE, /* the message is whole */
  PWH1_BAD,
  PWH1_TOO_LARGE /* the head is over its limit */
} pw_h1_state;

/* One message. Pointers into `head` stay until pwh1_reset. */
typedef struct pw_h1 {
  http_parser parser;
  pw_h1_state state;
  pw_buf head;
  size_t head_max;
  int skip_body; /* set before the head is whole: an answer to HEAD */
  const char *url;
  size_t nurl;
  pw_h1_header header[PWH1_HEADERS];
  int nheaders;
  int has_body; /* a length that is not 0, or chunks */
  int keep;     /* the connection may serve another message */
  int to_eof;   /* the body ends with the connection */
  void *arg;
  void (*on_body)(void *arg, const char *data, size_t n);
} pw_h1;

void pwh1_init(pw_h1 *m, enum http_parser_type type, size_t head_max);
void pwh1_free(pw_h1 *m);

/* Makes ready for the next message on the same connection. */
void pwh1_reset(pw_h1 *m);

/* Takes bytes; gives how many of them belong to this message. Stops when the
** head has just become whole (state PWH1_BODY or PWH1_DONE) so that the caller
** can look at it before the body comes. */
size_t pwh1_take(pw_h1 *m, const char *data, size_t n);

/* The connection ended in order: PWH1_DONE if that makes the message whole. */
void pwh1_eof(pw_h1 *m);

/* Value of a header, or NULL. Names compare without case. */
const pw_h1_header *pwh1_find(const pw_h1 *m, const char *name);

/* Whether a header has this name. */
int pwh1_is(const pw_h1_header *h, const char *name);

/* Appends a header as a line. */
void pwh1_write(pw_buf *out, const pw_h1_header *h);

/* Whether a header concerns one connection only. */
int pwh1_is_hop(const pw_h1 *m, const pw_h1_header *h);

#endif
