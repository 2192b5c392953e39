/* pwbuf.h: a growable byte buffer. */
#ifndef PWBUF_H
#define PWBUF_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct pw_buf {
  char *data; /* always ends in a zero byte that len leaves out, or NULL */
  size_t len;
  size_t cap;
} pw_buf;

/* A run of bytes of somebody else's. */
typedef struct pw_span {
  const char *p; /* NULL: there is none */
  size_t n;
} pw_span;

void pwbuf_add(pw_buf *b, const void *data, size_t len);
void pwbuf_str(pw_buf *b, const char *s);
void pwbuf_fmt(pw_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Drops the first n bytes. */
void pwbuf_skip(pw_buf *b, size_t n);

/* Hands the zero-ended bytes to the caller, who frees them. */
char *pwbuf_take(pw_buf *b);

void pwbuf_free(pw_buf *b);

/* Memory that ends the process when there is none left. */
void *pw_alloc(size_t n);
char *pw_dup(const char *s);
void *pw_memdup(const void *p, size_t n);

/* Whether two runs of bytes are the same; NULL is a run of none. */
int pw_same(const void *a, size_t an, const void *b, size_t bn);

/* Copies s into dst[cap], cut to fit and zero-ended. */
void pw_copy(char *dst, size_t cap, const char *s);

#ifdef __cplusplus
}
#endif

#endif
