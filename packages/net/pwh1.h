/* pwh1.h: HTTP/1 messages, parsed by http-parser. A head is delivered complete, a body in pieces.
** Trailer fields are dropped. A head that other parsers may read differently is malformed (pw_h1_fault).
** Bytes after a message's end are not consumed. */
#ifndef PWH1_H
#define PWH1_H

#include "pwbuf.h"

#include <http_parser.h>
#include <stddef.h>
#include <stdint.h>

#define PWH1_HEADERS 128 /* headers of one message */

typedef struct pw_h1_header {
  const char *name; /* not zero-terminated */
  size_t nname;
  const char *value;
  size_t nvalue;
} pw_h1_header;

typedef enum pw_h1_state {
  PWH1_HEAD, /* the head is not complete yet */
  PWH1_BODY,
  PWH1_DONE, /* the message is complete */
  PWH1_BAD,
  PWH1_TOO_LARGE /* the head is over its limit */
} pw_h1_state;

/* Why a message is malformed. */
typedef enum pw_h1_fault {
  PWH1_NO_FAULT,
  PWH1_SYNTAX,         /* any other fault, or the message was cut */
  PWH1_BARE_LINE_FEED, /* a line of the head ends with LF alone */
  PWH1_TRANSFER_CODING, /* a transfer coding other than chunked, or a second one */
  PWH1_FOLDED_LINE,     /* a header line begins with a blank */
  PWH1_STATUS_LINE, /* an answer that is not HTTP/1.0 or 1.1 with a status of 100 to 599 */
} pw_h1_fault;

/* One message. Pointers into `head` are valid until pwh1_reset. */
typedef struct pw_h1 {
  http_parser parser;
  pw_h1_state state;
  pw_h1_fault fault; /* set in state PWH1_BAD */
  pw_buf head;
  size_t head_max;
  int skip_body; /* set before the head is complete: this answers a HEAD request */
  const char *url;
  size_t nurl;
  pw_h1_header header[PWH1_HEADERS];
  int nheaders;
  int has_name; /* header[nheaders] has its name, not yet its value */
  int has_body; /* a length that is not 0, or chunks */
  int keep;     /* the connection stays open after this message */
  int to_eof;   /* the body ends with the connection */
  void *arg;
  void (*on_body)(void *arg, const char *data, size_t n);
} pw_h1;

void pwh1_init(pw_h1 *m, enum http_parser_type type, size_t head_max);
void pwh1_free(pw_h1 *m);

/* Prepares for the next message on the same connection. */
void pwh1_reset(pw_h1 *m);

/* Parses bytes; returns how many of them belong to this message. Stops when the head has just
** become complete (state PWH1_BODY or PWH1_DONE), so that the caller can check it before the
** body. */
size_t pwh1_feed(pw_h1 *m, const char *data, size_t n);

/* Text of a fault, for logs and error messages. */
const char *pwh1_fault_text(pw_h1_fault fault);

/* The peer closed the connection: PWH1_DONE if that completes the message, else PWH1_BAD. */
void pwh1_eof(pw_h1 *m);

/* --- headers of a complete head (pwh1headers.c) --- */

/* The first header of this name, or NULL. Names compare without case. */
const pw_h1_header *pwh1_find(const pw_h1 *m, const char *name);

/* How long the peer keeps the connection open while it is idle (Keep-Alive: timeout=S), ms; -1: not given. */
int64_t pwh1_keep_alive_ms(const pw_h1 *m);

/* Whether a header has this name, compared without case. */
int pwh1_name_is(const pw_h1_header *h, const char *name);

/* Appends a header as a line with its line end. */
void pwh1_write(pw_buf *out, const pw_h1_header *h);

/* Whether a header is hop-by-hop: it concerns one connection and is not forwarded. */
int pwh1_is_hop_by_hop(const pw_h1 *m, const pw_h1_header *h);

#endif
