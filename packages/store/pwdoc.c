/* pwdoc.c: a versioned document and its deltas (zstd with the base as
** prefix). */
#include "pwdoc.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#define VERSIONS 4                    /* versions retained, with the newest */
#define OLD_BYTES (4UL * 1024 * 1024) /* bytes of older versions, at most */
#define LEVEL 3                       /* zstd compression level */
#define WINDOW_MIN 10 /* smallest and largest zstd window, as log2 of bytes */
#define WINDOW_MAX 25

typedef struct doc_version {
  uint64_t version;
  char *text;
  size_t n;
} doc_version;

/* Cache of the newest version in packed form, one for each base that was
** requested. Packing takes some milliseconds, and a hundred receivers with
** the same base request it at the same moment. */
typedef struct pack_cache {
  Pw__Document d[VERSIONS];
  int used[VERSIONS];
  int next; /* slot to overwrite next */
} pack_cache;

struct pw_doc {
  doc_version v[VERSIONS]; /* the newest first */
  pack_cache *packs;
};

pw_doc *pwdoc_new(void) {
  pw_doc *d = pw_alloc(sizeof *d);
  d->packs = pw_alloc(sizeof *d->packs);
  return d;
}

static void clear_packs(pack_cache *p) {
  for (int i = 0; i < VERSIONS; i++)
    if (p->used[i])
      free(p->d[i].data.data);
  memset(p, 0, sizeof *p);
}

void pwdoc_clear(pw_doc *d) {
  for (int i = 0; i < VERSIONS; i++)
    free(d->v[i].text);
  memset(d->v, 0, sizeof d->v);
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
  return d->v[0].version;
}

const char *pwdoc_text(const pw_doc *d, size_t *n) {
  *n = d->v[0].n;
  return d->v[0].text ? d->v[0].text : "";
}

static const doc_version *find(const pw_doc *d, uint64_t version) {
  for (int i = 0; version && i < VERSIONS; i++)
    if (d->v[i].version == version)
      return &d->v[i];
  return NULL;
}

/* Makes `text` the newest version and takes ownership of it. Drops older
** versions past VERSIONS or OLD_BYTES. */
static void push(pw_doc *d, uint64_t version, char *text, size_t n) {
  clear_packs(d->packs);
  free(d->v[VERSIONS - 1].text);
  memmove(&d->v[1], &d->v[0], sizeof d->v[0] * (VERSIONS - 1));
  d->v[0] = (doc_version){version, text, n};
  size_t bytes = 0;
  for (int i = 1; i < VERSIONS; i++) {
    bytes += d->v[i].n;
    if (bytes <= OLD_BYTES)
      continue;
    free(d->v[i].text);
    d->v[i] = (doc_version){0};
  }
}

/* The smallest window that covers `bytes`, the sum of base and text. */
static int window_log(size_t bytes) {
  int log = WINDOW_MIN;
  while (log < WINDOW_MAX && ((size_t)1 << log) < bytes)
    log++;
  return log;
}

static void compress(const doc_version *base, const char *text, size_t n,
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

/* Returns an empty entry of the cache; when the cache is full, the oldest entry
** is evicted. */
static Pw__Document *new_pack(pack_cache *p) {
  int i = p->next++ % VERSIONS;
  if (p->used[i])
    free(p->d[i].data.data);
  p->used[i] = 1;
  pw__document__init(&p->d[i]);
  return &p->d[i];
}

const Pw__Document *pwdoc_packed(const pw_doc *d, uint64_t have) {
  const doc_version *base = have < d->v[0].version ? find(d, have) : NULL;
  uint64_t since = base ? base->version : 0;
  for (int i = 0; i < VERSIONS; i++)
    if (d->packs->used[i] && d->packs->d[i].since == since)
      return &d->packs->d[i];
  Pw__Document *out = new_pack(d->packs);
  out->version = d->v[0].version;
  compress(base, d->v[0].text ? d->v[0].text : "", d->v[0].n, out);
  return out;
}

void pwdoc_pack_next(const pw_doc *d, uint64_t version, const char *text,
                     size_t n, Pw__Document *out) {
  pw__document__init(out);
  out->version = version;
  compress(d->v[0].version ? &d->v[0] : NULL, text, n, out);
}

static char *decompress(const doc_version *base, const Pw__Document *in) {
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

pw_code pwdoc_apply(pw_doc *d, const Pw__Document *in) {
  if (in->version <= d->v[0].version)
    return PW_OK;
  const doc_version *base = find(d, in->since);
  if (in->since && !base)
    return PW_E_STALE;
  char *text = in->size <= PWDOC_MAX ? decompress(base, in) : NULL;
  if (!text)
    return PW_E_CORRUPT;
  push(d, in->version, text, in->size);
  Pw__Document *out = new_pack(d->packs); /* forwarded as it was received */
  out->version = in->version;
  out->since = in->since;
  out->size = in->size;
  out->data.len = in->data.len;
  out->data.data = pw_memdup(in->data.data, in->data.len);
  return PW_OK;
}
