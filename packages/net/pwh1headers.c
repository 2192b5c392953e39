/* pwh1headers.c: the headers of a complete head: look-up, and which of them concern one connection only. */
#define _GNU_SOURCE
#include "pwh1.h"

#include "pwduration.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

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
