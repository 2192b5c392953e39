/* pwconnmem.c: which bytes of a request a connection may keep. */
#include "pwconnmem.h"

#include "pwbuflimits.h"

/* A request that holds no more than this, bytes, is not evicted: that would free too little. */
#define SMALL_REQUEST (16 * 1024)

/* A request is evicted after PROGRESS_MS without PROGRESS_BYTES. Lost segments can delay bytes for more than a second, and
** the slowest links that callers have bring more in that time. */
#define PROGRESS_MS 2000
#define PROGRESS_BYTES 4096

/* Callers that are refused come back after this time and an even spread, ms. By then requests without progress have
** been evicted. */
#define RETRY_MS 1000
#define RETRY_SPREAD_MS 1000

/* Step of the spread: successive refusals are far apart (golden ratio of RETRY_SPREAD_MS). */
#define RETRY_STEP_MS 618

static const pw_memory *memory_of(const pw_conn *c) {
  return c->all->tcp->memory;
}

/* Bytes by which a buffer's capacity grows for n more bytes. */
static size_t growth(const pw_buf *b, size_t n) {
  return pwbuf_cap_with(b, n) - b->cap;
}

int pwconnmem_takes_head(const pw_conn *c, size_t n) {
  const pw_h1 *m = &c->request;
  size_t most = m->head_max > m->head.len ? m->head_max - m->head.len : 0;
  return c->all->is_reserved ||
         growth(&m->head, n < most ? n : most) <= pwmemory_left(memory_of(c));
}

/* Capacity of the body's buffer for n more bytes: it doubles, but not beyond the longest body. */
static size_t body_cap_with(const pw_conn *c, size_t n) {
  size_t need = c->body.len + n + 1;
  size_t doubled = pwbuf_cap_with(&c->body, n);
  size_t most = c->body_max + 1;
  if (doubled <= most)
    return doubled;
  return need > most ? need : most;
}

/* Whether the body's buffer may have this capacity. */
static int may_have_body(const pw_conn *c, size_t cap) {
  if (cap <= c->body.cap || c->all->is_reserved || !memory_of(c))
    return 1;
  size_t left = pwmemory_buffer_left(memory_of(c)) + c->body.cap;
  return cap <= pwbuflimits_body(left);
}

int pwconnmem_reserve_body(pw_conn *c, size_t n) {
  size_t cap = body_cap_with(c, n);
  if (!may_have_body(c, cap))
    return 0;
  pwbuf_grow(&c->body, cap);
  return 1;
}

int pwconnmem_takes_ahead(const pw_conn *c, size_t n) {
  /* Reading may pause after these bytes; what the kernel then holds counts as well. */
  return c->all->is_reserved ||
         growth(&c->read_ahead, n) + PWTCP_RECEIVE_BYTES <=
             pwmemory_buffer_left(memory_of(c));
}

/* Notes the bytes that have arrived; returns for how long there has been no progress, ms. */
static int64_t without_progress_ms(pw_conn *c, int64_t now) {
  size_t bytes = c->request.head.len + c->body.len;
  if (bytes < c->seen_bytes || bytes >= c->seen_bytes + PROGRESS_BYTES ||
      !c->seen_at) {
    c->seen_bytes = bytes;
    c->seen_at = now;
  }
  return now - c->seen_at;
}

int pwconnmem_must_evict(pw_conn *c, int64_t now) {
  int64_t ms = without_progress_ms(c, now);
  return ms >= PROGRESS_MS && !c->all->is_reserved &&
         pwmemory_is_short(memory_of(c)) &&
         c->request.head.cap + c->body.cap > SMALL_REQUEST;
}

int64_t pwconnmem_retry_ms(const pw_conns *s) {
  return RETRY_MS + s->nrefused * RETRY_STEP_MS % RETRY_SPREAD_MS;
}
