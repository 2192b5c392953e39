/* pwh1.c: HTTP/1 messages, parsed by http-parser. */
#define _GNU_SOURCE
#include "pwh1.h"

#include "pwduration.h"

#include <assert.h>
#include <ctype.h>
#include <string.h>
#include <strings.h>

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
    return -1; /* the entry still holds the name of an earlier message */
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
      [PWH1_FOLDED_LINE] = "a header line begins with a blank"};
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

/* Whether a line of the head begins with a blank. Such a folded line continues the line before it; servers and
** proxies read it differently (RFC 9112, 5.2). */
static int has_folded_line(const pw_buf *head) {
  return memmem(head->data, head->len, "\n ", 2) ||
         memmem(head->data, head->len, "\n\t", 2);
}

static void run(pw_h1 *m, const char *data, size_t n, size_t *used) {
  *used = http_parser_execute(&m->parser, &settings, data, n);
  enum http_errno e = HTTP_PARSER_ERRNO(&m->parser);
  if (e != HPE_OK && e != HPE_PAUSED)
    fail(m, PWH1_SYNTAX);
  else if (m->parser.upgrade)
    fail(m, PWH1_SYNTAX); /* protocol upgrades are not supported */
}

static size_t feed_head(pw_h1 *m, const char *data, size_t n) {
  size_t skip = 0; /* empty lines before a message are ignored */
  while (m->head.len == 0 && skip < n && strchr("\r\n", data[skip]) &&
         data[skip])
    skip++;
  size_t before = m->head.len;
  pwbuf_add(&m->head, data + skip, n - skip);
  if (m->head.len == 0)
    return n;
  size_t end = head_end(&m->head, before);
  size_t length = end ? end : m->head.len;
  if (length > m->head_max) {
    m->state = PWH1_TOO_LARGE;
    return n;
  }
  if (has_bare_line_feed(&m->head, before, length)) {
    fail(m, PWH1_BARE_LINE_FEED);
    return n;
  }
  if (!end)
    return n;
  m->head.len = end;
  if (has_folded_line(&m->head)) {
    fail(m, PWH1_FOLDED_LINE);
    return n;
  }
  size_t used;
  run(m, m->head.data, end, &used);
  if (m->state == PWH1_HEAD)
    fail(m, PWH1_SYNTAX);
  if (m->state != PWH1_BAD && has_other_transfer_coding(m))
    fail(m, PWH1_TRANSFER_CODING);
  if (m->state == PWH1_BODY && !m->has_body && !m->to_eof)
    m->state = PWH1_DONE;
  return skip + end - before;
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

int pwh1_name_is(const pw_h1_header *h, const char *name) {
  return strlen(name) == h->nname && !strncasecmp(h->name, name, h->nname);
}

const pw_h1_header *pwh1_find(const pw_h1 *m, const char *name) {
  for (int i = 0; i < m->nheaders; i++)
    if (pwh1_name_is(&m->header[i], name))
      return &m->header[i];
  return NULL;
}

int64_t pwh1_keep_alive_ms(const pw_h1 *m) {
  static const char key[] = "timeout=";
  const pw_h1_header *h = pwh1_find(m, "Keep-Alive");
  const char *p = h ? memmem(h->value, h->nvalue, key, sizeof key - 1) : NULL;
  if (!p)
    return -1;
  p += sizeof key - 1;
  size_t n = 0;
  while (p + n < h->value + h->nvalue && isdigit((unsigned char)p[n]))
    n++;
  return n ? pwduration_read(p, n) : -1;
}

void pwh1_write(pw_buf *out, const pw_h1_header *h) {
  pwbuf_add(out, h->name, h->nname);
  pwbuf_add(out, ": ", 2);
  pwbuf_add(out, h->value, h->nvalue);
  pwbuf_add(out, "\r\n", 2);
}

static int is_separator(char c) {
  return c == ',' || c == ' ' || c == '\t';
}

/* Whether a Connection header lists this header among its options. */
static int lists(const pw_h1_header *connection, const pw_h1_header *h) {
  const char *p = connection->value, *end = p + connection->nvalue;
  while (p < end) {
    const char *from = p;
    while (p < end && !is_separator(*p))
      p++;
    if ((size_t)(p - from) == h->nname && !strncasecmp(from, h->name, h->nname))
      return 1;
    while (p < end && is_separator(*p))
      p++;
  }
  return 0;
}

static int is_listed_in_connection(const pw_h1 *m, const pw_h1_header *h) {
  for (int i = 0; i < m->nheaders; i++)
    if (pwh1_name_is(&m->header[i], "Connection") && lists(&m->header[i], h))
      return 1;
  return 0;
}

int pwh1_is_hop_by_hop(const pw_h1 *m, const pw_h1_header *h) {
  static const char *const hop[] = {
      "Connection",        "Keep-Alive", "Proxy-Connection", "TE",    "Trailer",
      "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect"};
  for (size_t i = 0; i < sizeof hop / sizeof hop[0]; i++)
    if (pwh1_name_is(h, hop[i]))
      return 1;
  return is_listed_in_connection(m, h);
}
