/* pwsse.c: server-sent events: where events end, and the id of the last one. */
#include "pwsse.h"

#include <stdint.h>
#include <string.h>

#define NUMBER_DIGITS_MAX 18 /* fit into 64 bits */

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

/* The value of the id field at data[i], and its length. NULL: there is none. */
static const char *id_at(const char *data, size_t n, size_t i, size_t *length) {
  int begins = i == 0 || is_line_end(data[i - 1]) ||
               (i == BOM_BYTES && !memcmp(data, BOM, BOM_BYTES));
  if (!begins || n - i < ID_FIELD_BYTES ||
      memcmp(data + i, ID_FIELD, ID_FIELD_BYTES) != 0)
    return NULL;
  size_t from = i + ID_FIELD_BYTES;
  if (from < n && data[from] == ' ')
    from++;
  size_t to = from;
  while (to < n && !is_line_end(data[to]))
    to++;
  *length = to - from;
  return data + from;
}

const char *pwsse_last_id(const char *data, size_t n, size_t *length) {
  const char *id = NULL;
  for (size_t i = n; !id && i-- > 0;)
    id = id_at(data, n, i, length);
  return id;
}

const char *pwsse_first_id(const char *data, size_t n, size_t *length) {
  const char *id = NULL;
  for (size_t i = 0; !id && i < n; i++)
    id = id_at(data, n, i, length);
  return id;
}

/* Reads an id that is a number. Returns whether it is one. */
static int read_number(const char *id, size_t length, uint64_t *out) {
  *out = 0;
  for (size_t i = 0; i < length; i++) {
    if (id[i] < '0' || id[i] > '9')
      return 0;
    *out = 10 * *out + (uint64_t)(id[i] - '0');
  }
  return length > 0 && length <= NUMBER_DIGITS_MAX;
}

int pwsse_goes_back(const char *id, size_t length, const char *last,
                    size_t last_length) {
  uint64_t number, last_number;
  return read_number(id, length, &number) &&
         read_number(last, last_length, &last_number) && number <= last_number;
}
