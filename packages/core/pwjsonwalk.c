/* pwjsonwalk.c: iterates over the items of a JSON object or array. */
#include "pwjsonwalk.h"

#include <string.h>

static const char *skip_blanks(const char *p, const char *end) {
  while (p < end && (*p == ' ' || *p == '\t' || *p == '\n' || *p == '\r'))
    p++;
  return p;
}

/* The position after a string's closing quote, or NULL. */
static const char *skip_string(const char *p, const char *end) {
  for (p++; p < end; p++) {
    if (*p == '\\')
      p++;
    else if (*p == '"')
      return p + 1;
  }
  return NULL;
}

/* The position after the bracket that closes the one at p, or NULL. */
static const char *skip_brackets(const char *p, const char *end) {
  int depth = 0;
  while (p && p < end) {
    char c = *p;
    if (c == '"') {
      p = skip_string(p, end);
      continue;
    }
    p++;
    if (c == '{' || c == '[')
      depth++;
    else if ((c == '}' || c == ']') && --depth == 0)
      return p;
  }
  return NULL;
}

static const char *skip_value(const char *p, const char *end) {
  if (p == end)
    return NULL;
  if (*p == '"')
    return skip_string(p, end);
  if (*p == '{' || *p == '[')
    return skip_brackets(p, end);
  const char *from = p;
  while (p < end && !strchr(",]}: \t\r\n", *p))
    p++;
  return p > from ? p : NULL;
}

int pwjsonwalk_open(pw_jsonwalk *w, pw_span text, char open) {
  w->end = text.p + text.n;
  w->p = skip_blanks(text.p, w->end);
  w->close = open == '{' ? '}' : ']';
  w->is_first = 1;
  if (w->p == w->end || *w->p != open)
    return -1;
  w->p++;
  return 0;
}

static int take_key(pw_jsonwalk *w, pw_span *key) {
  if (w->p == w->end || *w->p != '"')
    return -1;
  const char *after = skip_string(w->p, w->end);
  if (!after)
    return -1;
  *key = (pw_span){w->p, (size_t)(after - w->p)};
  w->p = skip_blanks(after, w->end);
  if (w->p == w->end || *w->p != ':')
    return -1;
  w->p = skip_blanks(w->p + 1, w->end);
  return 0;
}

int pwjsonwalk_next(pw_jsonwalk *w, pw_span *key, pw_span *value) {
  int was_first = w->is_first;
  w->is_first = 0;
  w->p = skip_blanks(w->p, w->end);
  if (w->p == w->end)
    return -1;
  if (*w->p == w->close) {
    w->p++;
    return 0;
  }
  if (!was_first) {
    if (*w->p != ',')
      return -1;
    w->p = skip_blanks(w->p + 1, w->end);
  }
  if (w->close == '}' && take_key(w, key) != 0)
    return -1;
  const char *after = skip_value(w->p, w->end);
  if (!after)
    return -1;
  *value = (pw_span){w->p, (size_t)(after - w->p)};
  w->p = after;
  return 1;
}

int pwjsonwalk_is_over(const pw_jsonwalk *w) {
  return skip_blanks(w->p, w->end) == w->end;
}
