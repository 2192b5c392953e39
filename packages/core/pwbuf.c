/* pwbuf.c: a growable byte buffer, and allocation that aborts when out of memory. */
#include "pwbuf.h"

#include "pwmemory.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_CAP 256 /* bytes of a buffer's first allocation */

void *pw_alloc(size_t n) {
  void *p = calloc(1, n ? n : 1);
  if (!p) {
    fputs("out of memory\n", stderr);
    abort();
  }
  return p;
}

void *pw_memdup(const void *p, size_t n) {
  char *copy = pw_alloc(n + 1);
  if (n)
    memcpy(copy, p, n);
  return copy;
}

char *pw_dup(const char *s) {
  return s ? pw_memdup(s, strlen(s)) : NULL;
}

int pw_same(const void *a, size_t an, const void *b, size_t bn) {
  return an == bn && (an == 0 || memcmp(a, b, an) == 0);
}

void pw_copy(char *dst, size_t cap, const char *s) {
  size_t n = s ? strlen(s) : 0;
  if (n >= cap)
    n = cap - 1;
  if (s && n)
    memcpy(dst, s, n);
  dst[n] = 0;
}

size_t pwbuf_cap_with(const pw_buf *b, size_t more) {
  size_t need = b->len + more + 1;
  if (need <= b->cap)
    return b->cap;
  size_t cap = b->cap ? 2 * b->cap : FIRST_CAP;
  return cap < need ? need : cap;
}

void pwbuf_grow(pw_buf *b, size_t cap) {
  if (cap <= b->cap)
    return;
  char *data = realloc(b->data, cap);
  if (!data) {
    fputs("out of memory\n", stderr);
    abort();
  }
  pwmemory_charge(b->memory, cap - b->cap);
  b->data = data;
  b->cap = cap;
}

void pwbuf_add(pw_buf *b, const void *data, size_t len) {
  pwbuf_grow(b, pwbuf_cap_with(b, len));
  if (len)
    memcpy(b->data + b->len, data, len);
  b->len += len;
  b->data[b->len] = 0;
}

void pwbuf_str(pw_buf *b, const char *s) {
  pwbuf_add(b, s, strlen(s));
}

void pwbuf_fmt(pw_buf *b, const char *fmt, ...) {
  va_list ap, again;
  va_start(ap, fmt);
  va_copy(again, ap);
  int n = vsnprintf(NULL, 0, fmt, ap);
  va_end(ap);
  if (n > 0) {
    pwbuf_grow(b, pwbuf_cap_with(b, (size_t)n));
    vsnprintf(b->data + b->len, (size_t)n + 1, fmt, again);
    b->len += (size_t)n;
  }
  va_end(again);
}

void pwbuf_skip(pw_buf *b, size_t n) {
  if (n >= b->len) {
    b->len = 0;
  } else {
    memmove(b->data, b->data + n, b->len - n);
    b->len -= n;
  }
  if (b->data)
    b->data[b->len] = 0;
}

char *pwbuf_take(pw_buf *b) {
  char *p = b->data ? b->data : pw_alloc(1);
  b->data = NULL;
  pwbuf_free(b);
  return p;
}

void pwbuf_free(pw_buf *b) {
  free(b->data);
  pwmemory_release(b->memory, b->cap);
  *b = (pw_buf){.memory = b->memory};
}
