/* pwsse.c: server-sent events: where events end, and the id of the last one. */
#include "pwsse.h"

#include <string.h>

#define BOM "\xEF\xBB\xBF" /* may stand at the beginning of a stream */
#define BOM_BYTES 3

#define ID_FIELD "id:"
#define ID_FIELD_BYTES 3

static int is_line_end(char c) {
  return c == '\n' || c == '\r';
}

static void end_line(pw_sse *s) {
  if (s->in_line) {
    s->in_event |= !s->in_comment;
  } else { /* an empty line */
    s->events += s->in_event;
    s->in_event = 0;
  }
  s->in_line = s->in_comment = 0;
}

static void read_byte(pw_sse *s, char c) {
  int continues_line_end = s->after_cr && c == '\n';
  s->after_cr = c == '\r';
  if (continues_line_end)
    return;
  if (is_line_end(c)) {
    end_line(s);
    return;
  }
  if (!s->in_line)
    s->in_comment = c == ':';
  s->in_line = 1;
}

int pwsse_is_between(const pw_sse *s) {
  return !s->in_line && !s->in_event;
}

size_t pwsse_read(pw_sse *s, const char *data, size_t n) {
  size_t between = 0;
  for (size_t i = 0; i < n; i++) {
    read_byte(s, data[i]);
    if (pwsse_is_between(s))
      between = i + 1;
  }
  return between;
}

const char *pwsse_last_id(const char *data, size_t n, size_t *length) {
  for (size_t i = n; i-- > 0;) {
    int begins = i == 0 || is_line_end(data[i - 1]) ||
                 (i == BOM_BYTES && !memcmp(data, BOM, BOM_BYTES));
    if (!begins || n - i < ID_FIELD_BYTES ||
        memcmp(data + i, ID_FIELD, ID_FIELD_BYTES) != 0)
      continue;
    size_t from = i + ID_FIELD_BYTES;
    if (from < n && data[from] == ' ')
      from++;
    size_t to = from;
    while (to < n && !is_line_end(data[to]))
      to++;
    *length = to - from;
    return data + from;
  }
  return NULL;
}
