/* pwdoc.c: a versioned document, sent as differences (zstd with a prefix). */
#include "pwdoc.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#define KEPT 4                         /* versions kept, the newest included */
#define KEPT_BYTES (4UL * 1024 * 1024) /* of the older ones */
#define LEVEL 3                        /* of compression */
#define WINDOW_MIN 10 /* zstd's least and largest window, log 2 */
#define WINDOW_MAX 25

typedef struct kept {
  uint64_t version;
  char *text;
  size_t n;
} kept;

/* The newest version as it was packed, against each base that was asked for: packing
** takes some ms, and a hundred receivers of the same base ask in the same moment. */
typedef struct packs {
  Pw__Document d[KEPT];
  int used[KEPT];
  int turn;
} packs;

struct pw_doc {
  kept k[KEPT]; /* the newest first */
  packs *packs;
};

pw_doc *pwdoc_new(void) {
  pw_doc *d = pw_alloc(sizeof *d);
  d->packs = pw_alloc(sizeof *d->packs);
  return d;
}

static void clear_packs(packs *p) {
  for (int i = 0; i < KEPT; i++)
    if (p->used[i])
      free(p->d[i].data.data);
  memset(p, 0, sizeof *p);
}

void pwdoc_clear(pw_doc *d) {
  for (int i = 0; i < KEPT; i++)
    free(d->k[i].text);
  memset(d->k, 0, sizeof d->k);
  clear_packs(d->packs);
}

void pwdoc_free(pw_doc *d) {
  if (!d)
    return;
  pwdoc_clear(d);
  free(d->packs);
  free(d);
}

uint64_t pwdoc_version(const pw_doc *d) {
  return d->k[0].version;
}

const char *pwdoc_text(const pw_doc *d, size_t *n) {
  *n = d->k[0].n;
  return d->k[0].text ? d->k[0].text : "";
}

static const kept *find(const pw_doc *d, uint64_t version) {
  for (int i = 0; version && i < KEPT; i++)
    if (d->k[i].version == version)
      return &d->k[i];
  return NULL;
}

/* Takes over text. Older ones go when they are too many or too large. */
static void push(pw_doc *d, uint64_t version, char *text, size_t n) {
  clear_packs(d->packs);
  free(d->k[KEPT - 1].text);
  memmove(&d->k[1], &d->k[0], sizeof d->k[0] * (KEPT - 1));
  d->k[0] = (kept){version, text, n};
  size_t bytes = 0;
  for (int i = 1; i < KEPT; i++) {
    bytes += d->k[i].n;
    if (bytes <= KEPT_BYTES)
      continue;
    free(d->k[i].text);
    d->k[i] = (kept){0};
  }
}

/* A window that reaches over base and text. */
static int window_log(size_t bytes) {
  int log = WINDOW_MIN;
  while (log < WINDOW_MAX && ((size_t)1 << log) < bytes)
    log++;
  return log;
}

static void compress(const kept *base, const char *text, size_t n,
                     Pw__Document *out) {
  size_t cap = ZSTD_compressBound(n);
  ZSTD_CCtx *c = ZSTD_createCCtx();
  out->data.data = pw_alloc(cap);
  ZSTD_CCtx_setParameter(c, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter(c, ZSTD_c_windowLog,
                         window_log(n + (base ? base->n : 0)));
  if (base)
    ZSTD_CCtx_refPrefix(c, base->text, base->n);
  size_t got = ZSTD_compress2(c, out->data.data, cap, text, n);
  out->data.len = ZSTD_isError(got) ? 0 : got;
  out->since = base ? base->version : 0;
  out->size = (uint32_t)n;
  ZSTD_freeCCtx(c);
}

/* Room for one more; the oldest makes it. */
static Pw__Document *new_pack(packs *p) {
  int i = p->turn++ % KEPT;
  if (p->used[i])
    free(p->d[i].data.data);
  p->used[i] = 1;
  pw__document__init(&p->d[i]);
  return &p->d[i];
}

const Pw__Document *pwdoc_packed(const pw_doc *d, uint64_t have) {
  const kept *base = have < d->k[0].version ? find(d, have) : NULL;
  uint64_t since = base ? base->version : 0;
  for (int i = 0; i < KEPT; i++)
    if (d->packs->used[i] && d->packs->d[i].since == since)
      return &d->packs->d[i];
  Pw__Document *out = new_pack(d->packs);
  out->version = d->k[0].version;
  compress(base, d->k[0].text ? d->k[0].text : "", d->k[0].n, out);
  return out;
}

void pwdoc_pack_next(const pw_doc *d, uint64_t version, const char *text,
                     size_t n, Pw__Document *out) {
  pw__document__init(out);
  out->version = version;
  compress(d->k[0].version ? &d->k[0] : NULL, text, n, out);
}

static char *decompress(const kept *base, const Pw__Document *in) {
  ZSTD_DCtx *c = ZSTD_createDCtx();
  char *text = pw_alloc((size_t)in->size + 1);
  ZSTD_DCtx_setParameter(c, ZSTD_d_windowLogMax, WINDOW_MAX);
  if (base)
    ZSTD_DCtx_refPrefix(c, base->text, base->n);
  size_t got =
      ZSTD_decompressDCtx(c, text, in->size, in->data.data, in->data.len);
  ZSTD_freeDCtx(c);
  if (!ZSTD_isError(got) && got == in->size)
    return text;
  free(text);
  return NULL;
}

pw_code pwdoc_take(pw_doc *d, const Pw__Document *in) {
  if (in->version <= d->k[0].version)
    return PW_OK;
  const kept *base = find(d, in->since);
  if (in->since && !base)
    return PW_E_STALE;
  char *text = in->size <= PWDOC_MAX ? decompress(base, in) : NULL;
  if (!text)
    return PW_E_CORRUPT;
  push(d, in->version, text, in->size);
  Pw__Document *out = new_pack(d->packs); /* handed on as it came */
  out->version = in->version;
  out->since = in->since;
  out->size = in->size;
  out->data.len = in->data.len;
  out->data.data = pw_memdup(in->data.data, in->data.len);
  return PW_OK;
}
