/* pwbuf.h: a growable byte buffer. */
#ifndef PWBUF_H
#define PWBUF_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct pw_memory;

typedef struct pw_buf {
  char *data; /* zero-terminated, the zero not counted in len; or NULL */
  size_t len;
  size_t cap;
  struct pw_memory *memory; /* the account that cap is charged to; NULL: none */
} pw_buf;

/* A range of bytes that the span does not own. */
typedef struct pw_span {
  const char *p; /* NULL: there is none */
  size_t n;
} pw_span;

/* Grows the capacity to so many bytes; nothing if it is that large already. */
void pwbuf_grow(pw_buf *b, size_t cap);

/* The capacity that the buffer has once that many more bytes are added. */
size_t pwbuf_cap_with(const pw_buf *b, size_t more);

void pwbuf_add(pw_buf *b, const void *data, size_t len);
void pwbuf_str(pw_buf *b, const char *s);
void pwbuf_fmt(pw_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Removes the first n bytes. */
void pwbuf_skip(pw_buf *b, size_t n);

/* Returns the zero-terminated bytes, which the caller frees, and empties the buffer. */
char *pwbuf_take(pw_buf *b);

/* Frees the bytes. The buffer is empty then and keeps its account. */
void pwbuf_free(pw_buf *b);

/* Zeroed memory, and copies of a string or of bytes. The process aborts when out of memory. */
void *pw_alloc(size_t n);
char *pw_dup(const char *s);
void *pw_memdup(const void *p, size_t n);

/* Whether two byte ranges are equal; NULL stands for an empty one. */
int pw_same(const void *a, size_t an, const void *b, size_t bn);

/* Copies s into dst[cap], truncated to fit and zero-terminated. */
void pw_copy(char *dst, size_t cap, const char *s);

#ifdef __cplusplus
}
#endif

#endif
