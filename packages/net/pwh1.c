/* pwh1.c: HTTP/1 messages, parsed by http-parser. */
#define _GNU_SOURCE
#include "pwh1.h"

#include <assert.h>
#include <string.h>
#include <strings.h>

/* Bytes of a head that are added to its buffer at a time: what follows the head is not buffered with it. */
#define HEAD_PIECE 2048

/* Bytes of a head's buffer that are kept for the next message; a larger buffer is freed. */
#define HEAD_RETAIN_MAX (8 * 1024)

/* --- parser callbacks --- */

static int on_url(http_parser *p, const char *at, size_t n) {
  pw_h1 *m = p->data;
  if (!m->url)
    m->url = at;
  m->nurl += n;
  return 0;
}

/* Trailer fields are dropped: they come after the head, in memory that is used again for other bytes. */
static int is_trailer(const pw_h1 *m) {
  return m->state != PWH1_HEAD;
}

/* Whether bytes lie in memory of this message, which stays until pwh1_reset. */
static int lies_in_head(const pw_h1 *m, const char *at, size_t n) {
  return at >= m->head.data && at + n <= m->head.data + m->head.len;
}

static int on_field(http_parser *p, const char *at, size_t n) {
  pw_h1 *m = p->data;
  if (is_trailer(m))
    return 0;
  if (m->nheaders == PWH1_HEADERS || memchr(at, ' ', n))
    return -1; /* other parsers may read a name with a blank differently */
  m->header[m->nheaders] = (pw_h1_header){.name = at, .nname = n};
  m->has_name = 1;
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  pw_h1 *m = p->data;
  if (is_trailer(m))
    return 0;
  if (!m->has_name)
    return -1; /* the array may still hold a name of an earlier message there */
  assert(lies_in_head(m, at, n));
  pw_h1_header *h = &m->header[m->nheaders++];
  m->has_name = 0;
  h->value = at;
  while (n > 0 && (at[n - 1] == ' ' || at[n - 1] == '\t'))
    n--; /* trailing blanks are not part of the value */
  h->nvalue = n;
  return 0;
}

/* Whether the body has a transfer coding other than chunked, which alone is taken off (RFC 9112, 6.1). */
static int has_other_transfer_coding(const pw_h1 *m) {
  static const char chunked[] = "chunked";
  int codings = 0;
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (!pwh1_name_is(h, "Transfer-Encoding"))
      continue;
    codings++;
    if (h->nvalue != sizeof chunked - 1 ||
        strncasecmp(h->value, chunked, h->nvalue) != 0)
      return 1;
  }
  return codings > 1;
}

static int on_head(http_parser *p) {
  pw_h1 *m = p->data;
  int length = (p->flags & F_CONTENTLENGTH) && p->content_length > 0;
  m->has_body = length || (p->flags & F_CHUNKED);
  m->keep = http_should_keep_alive(p);
  m->to_eof = p->type == HTTP_RESPONSE && !m->skip_body &&
              p->status_code / 100 != 1 && p->status_code != 204 &&
              p->status_code != 304 &&
              !(p->flags & (F_CHUNKED | F_CONTENTLENGTH));
  m->state = PWH1_BODY;
  return m->skip_body ? 1 : 0;
}

static int on_bytes(http_parser *p, const char *at, size_t n) {
  pw_h1 *m = p->data;
  if (m->on_body)
    m->on_body(m->arg, at, n);
  return 0;
}

static int on_end(http_parser *p) {
  pw_h1 *m = p->data;
  m->state = PWH1_DONE;
  http_parser_pause(p, 1);
  return 0;
}

static const http_parser_settings settings = {.on_url = on_url,
                                              .on_header_field = on_field,
                                              .on_header_value = on_value,
                                              .on_headers_complete = on_head,
                                              .on_body = on_bytes,
                                              .on_message_complete = on_end};

/* --- messages --- */

void pwh1_init(pw_h1 *m, enum http_parser_type type, size_t head_max) {
  *m = (pw_h1){.head_max = head_max};
  http_parser_init(&m->parser, type);
  m->parser.data = m;
}

void pwh1_free(pw_h1 *m) {
  pwbuf_free(&m->head);
}

void pwh1_reset(pw_h1 *m) {
  enum http_parser_type type = (enum http_parser_type)m->parser.type;
  http_parser_init(&m->parser, type);
  m->parser.data = m;
  m->state = PWH1_HEAD;
  m->fault = PWH1_NO_FAULT;
  m->head.len = 0;
  if (m->head.cap > HEAD_RETAIN_MAX)
    pwbuf_free(&m->head);
  m->url = NULL;
  m->nurl = 0;
  m->nheaders = 0;
  m->has_name = 0;
  m->has_body = m->keep = m->to_eof = m->skip_body = 0;
}

static void fail(pw_h1 *m, pw_h1_fault fault) {
  m->state = PWH1_BAD;
  m->fault = fault;
}

const char *pwh1_fault_text(pw_h1_fault fault) {
  static const char *const texts[] = {
      [PWH1_NO_FAULT] = "no fault",
      [PWH1_SYNTAX] = "not HTTP/1.1 that can be read",
      [PWH1_BARE_LINE_FEED] = "a line of the head ends with LF alone",
      [PWH1_TRANSFER_CODING] = "a transfer coding other than chunked",
      [PWH1_FOLDED_LINE] = "a header line begins with a blank",
      [PWH1_STATUS_LINE] =
          "the first line is not HTTP/1.0 or 1.1 with a status of 100 to 599"};
  return texts[fault];
}

/* Length of the head with its empty line, or 0 while that has not arrived. `from`: bytes already
** searched. */
static size_t head_end(const pw_buf *b, size_t from) {
  size_t start = from > 3 ? from - 3 : 0;
  const char *p = memmem(b->data + start, b->len - start, "\r\n\r\n", 4);
  return p ? (size_t)(p - b->data) + 4 : 0;
}

/* Whether a line of the first n bytes ends with LF alone. `from`: bytes already searched. */
static int has_bare_line_feed(const pw_buf *head, size_t from, size_t n) {
  const char *end = head->data + n;
  for (const char *p = head->data + from;
       (p = memchr(p, '\n', (size_t)(end - p))); p++)
    if (p == head->data || p[-1] != '\r')
      return 1;
  return 0;
}

/* Whether one of the first n bytes begins a line with a blank. Such a folded line continues the line before it; servers
** and proxies read it differently (RFC 9112, 5.2). `from`: bytes already searched. */
static int has_folded_line(const pw_buf *head, size_t from, size_t n) {
  size_t start = from > 0 ? from - 1 : 0; /* a line may have ended there */
  return memmem(head->data + start, n - start, "\n ", 2) ||
         memmem(head->data + start, n - start, "\n\t", 2);
}

static int is_digit(char c) {
  return c >= '0' && c <= '9';
}

/* Whether a complete head begins with a status line as RFC 9112 has it, such as "HTTP/1.1 200 OK": the parser takes any
** number for a status, and versions that do not exist. */
static int has_status_line(const pw_buf *head) {
  static const char start[] = "HTTP/1.";
  enum { MINOR = sizeof start - 1, STATUS = MINOR + 2, END = STATUS + 3 };
  const char *p = head->data;
  if (head->len <= END || memcmp(p, start, MINOR) != 0)
    return 0;
  int has_version = p[MINOR] == '0' || p[MINOR] == '1';
  int has_status = p[STATUS] >= '1' && p[STATUS] <= '5' &&
                   is_digit(p[STATUS + 1]) && is_digit(p[STATUS + 2]);
  return has_version && p[MINOR + 1] == ' ' && has_status &&
         (p[END] == ' ' || p[END] == '\r');
}

/* Checks what the parser lets pass in the first n bytes of a head. `from`: bytes already checked. */
static pw_h1_fault check_lines(const pw_buf *head, size_t from, size_t n) {
  if (has_bare_line_feed(head, from, n))
    return PWH1_BARE_LINE_FEED;
  return has_folded_line(head, from, n) ? PWH1_FOLDED_LINE : PWH1_NO_FAULT;
}

static void run(pw_h1 *m, const char *data, size_t n, size_t *used) {
  *used = http_parser_execute(&m->parser, &settings, data, n);
  enum http_errno e = HTTP_PARSER_ERRNO(&m->parser);
  if (e != HPE_OK && e != HPE_PAUSED)
    fail(m, PWH1_SYNTAX);
  else if (m->parser.upgrade)
    fail(m, PWH1_SYNTAX); /* protocol upgrades are not supported */
}

/* Parses the head, which is complete with its first n bytes. */
static void parse_head(pw_h1 *m, size_t n) {
  size_t used;
  m->head.len = n;
  if (m->parser.type == HTTP_RESPONSE && !has_status_line(&m->head)) {
    fail(m, PWH1_STATUS_LINE);
    return;
  }
  run(m, m->head.data, n, &used);
  if (m->state == PWH1_HEAD)
    fail(m, PWH1_SYNTAX);
  if (m->state != PWH1_BAD && has_other_transfer_coding(m))
    fail(m, PWH1_TRANSFER_CODING);
  if (m->state == PWH1_BODY && !m->has_body && !m->to_eof)
    m->state = PWH1_DONE;
}

/* Takes a piece of the head; returns how many of its bytes belong to it. */
static size_t feed_head_piece(pw_h1 *m, const char *data, size_t n) {
  size_t before = m->head.len;
  pwbuf_add(&m->head, data, n);
  size_t end = head_end(&m->head, before);
  size_t length = end ? end : m->head.len;
  if (length > m->head_max) {
    m->state = PWH1_TOO_LARGE;
    return n;
  }
  pw_h1_fault fault = check_lines(&m->head, before, length);
  if (fault) {
    fail(m, fault);
    return n;
  }
  if (!end)
    return n;
  parse_head(m, end);
  return end - before;
}

static size_t feed_head(pw_h1 *m, const char *data, size_t n) {
  size_t at = 0; /* empty lines before a message are ignored */
  while (m->head.len == 0 && at < n && strchr("\r\n", data[at]) && data[at])
    at++;
  while (at < n && m->state == PWH1_HEAD)
    at += feed_head_piece(m, data + at,
                          n - at < HEAD_PIECE ? n - at : HEAD_PIECE);
  return at;
}

size_t pwh1_feed(pw_h1 *m, const char *data, size_t n) {
  if (m->state == PWH1_HEAD)
    return feed_head(m, data, n);
  if (m->state != PWH1_BODY || n == 0)
    return 0;
  size_t used;
  run(m, data, n, &used);
  return used;
}

void pwh1_eof(pw_h1 *m) {
  size_t used;
  if (m->state == PWH1_BODY && m->to_eof)
    run(m, NULL, 0, &used);
  if (m->state != PWH1_DONE)
    fail(m, PWH1_SYNTAX);
}
