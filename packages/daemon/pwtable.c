/* pwtable.c: targets as control instances tell of them. */
#include "pwtable.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <stdlib.h>
#include <zstd.h>

#define LEVEL 3
#define TABLE_FROM 16                /* heartbeats that are worth compressing */
#define TABLE_MAX (16 * 1024 * 1024) /* bytes of a table */

void pwtable_pack(Pw__Beat *out, const pw_beat *b, int gone, int silent,
                  int64_t age) {
  pw__beat__init(out);
  out->target = (char *)b->id;
  out->service = (char *)b->service;
  out->address = (char *)b->address;
  out->availability_zone = (char *)b->zone;
  out->version = (char *)b->version;
  out->slots = (uint32_t)b->slots;
  out->leaving = b->leaving;
  out->gone = gone;
  out->silent = silent;
  out->cold = (uint32_t)(b->cold_ms > age ? b->cold_ms - age : 0);
  out->seq = b->seq;
  out->age = (uint32_t)(age > 0 ? age : 0);
}

void pwtable_unpack(const Pw__Beat *in, pw_beat *out) {
  *out = (pw_beat){.slots = (int)in->slots,
                   .leaving = in->leaving,
                   .cold_ms = in->cold,
                   .seq = in->seq};
  pw_copy(out->id, sizeof out->id, in->target);
  pw_copy(out->service, sizeof out->service, in->service);
  pw_copy(out->address, sizeof out->address, in->address);
  pw_copy(out->zone, sizeof out->zone, in->availability_zone);
  pw_copy(out->version, sizeof out->version, in->version);
}

/* Only who and which: the rest is known where it was told before. */
void pwtable_pack_renewal(Pw__Beat *out, const pw_beat *b, int64_t age) {
  pw__beat__init(out);
  out->target = (char *)b->id;
  out->seq = b->seq;
  out->age = (uint32_t)(age > 0 ? age : 0);
}

int pwtable_is_renewal(const Pw__Beat *in) {
  return !in->address[0] && !in->gone;
}

static void compress(const Pw__Table *t, Pw__Notice *out) {
  size_t n = pw__table__get_packed_size(t);
  uint8_t *plain = pw_alloc(n);
  pw__table__pack(t, plain);
  size_t cap = ZSTD_compressBound(n);
  out->table.data = pw_alloc(cap);
  size_t got = ZSTD_compress(out->table.data, cap, plain, n, LEVEL);
  out->table.len = ZSTD_isError(got) ? 0 : got;
  out->table_size = (uint32_t)n;
  free(plain);
}

void pwtable_put(Pw__Beat **beats, size_t n, Pw__Notice *out) {
  Pw__Table t = PW__TABLE__INIT;
  if (n <= TABLE_FROM) {
    out->beats = beats;
    out->n_beats = n;
    return;
  }
  t.beats = beats;
  t.n_beats = n;
  compress(&t, out);
}

void pwtable_write(const pw_fleet *f, int64_t now, Pw__Notice *out) {
  Pw__Table t = PW__TABLE__INIT;
  size_t n = 0;
  for (pw_target *one = pwfleet_first(f); one; one = one->hh.next)
    n++;
  pw_beat *beat = pw_alloc(sizeof *beat * (n + 1));
  Pw__Beat *packed = pw_alloc(sizeof *packed * (n + 1));
  t.beats = pw_alloc(sizeof *t.beats * (n + 1));
  for (pw_target *one = pwfleet_first(f); one; one = one->hh.next) {
    size_t i = t.n_beats++;
    pwfleet_beat_of(one, now, &beat[i]);
    pwtable_pack(&packed[i], &beat[i], one->is_gone, one->is_silent,
                 now - one->heard_at);
    t.beats[i] = &packed[i];
  }
  compress(&t, out);
  free(t.beats);
  free(packed);
  free(beat);
}

void pwtable_read(const Pw__Notice *n,
                  void (*f)(void *arg, const Pw__Beat *beat), void *arg) {
  for (size_t i = 0; i < n->n_beats; i++)
    f(arg, n->beats[i]);
  if (!n->table_size || n->table_size > TABLE_MAX)
    return;
  uint8_t *plain = pw_alloc(n->table_size);
  size_t got =
      ZSTD_decompress(plain, n->table_size, n->table.data, n->table.len);
  Pw__Table *t =
      got == n->table_size ? pw__table__unpack(NULL, got, plain) : NULL;
  free(plain);
  if (!t) {
    pwlog(LOG_ERR, "table-unreadable", "bytes=%zu", n->table.len);
    return;
  }
  for (size_t i = 0; i < t->n_beats; i++)
    f(arg, t->beats[i]);
  pw__table__free_unpacked(t, NULL);
}
