/* pwtable.c: target updates of control instances: heartbeats and tables. */
#include "pwtable.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <stdlib.h>
#include <zstd.h>

#define LEVEL 3                      /* zstd compression level */
#define AGE_STEP_MS 50               /* tables have ages rounded down to this */
#define PLAIN_MAX 16                 /* heartbeats sent one by one, at most */
#define TABLE_MAX (16 * 1024 * 1024) /* bytes of an unpacked table */

void pwtable_pack(Pw__Beat *out, const pw_heartbeat *b, int gone, int silent,
                  int64_t age) {
  pw__beat__init(out);
  out->target = (char *)b->id;
  out->service = (char *)b->service;
  out->address = (char *)b->address;
  out->availability_zone = (char *)b->availability_zone;
  out->version = (char *)b->version;
  out->slots = (uint32_t)b->slots;
  out->leaving = b->leaving;
  out->gone = gone;
  out->silent = silent;
  out->cold = (uint32_t)(b->cold_ms > age ? b->cold_ms - age : 0);
  out->seq = b->seq;
  out->born = b->born + 1;
  out->age = (uint32_t)(age > 0 ? age : 0);
}

void pwtable_unpack(const Pw__Beat *in, pw_heartbeat *out) {
  *out = (pw_heartbeat){.born = in->born ? in->born - 1 : PW_BORN_UNKNOWN,
                        .slots = (int)in->slots,
                        .leaving = in->leaving,
                        .cold_ms = in->cold ? (int64_t)in->cold + in->age : 0,
                        .seq = in->seq};
  pw_copy(out->id, sizeof out->id, in->target);
  pw_copy(out->service, sizeof out->service, in->service);
  pw_copy(out->address, sizeof out->address, in->address);
  pw_copy(out->availability_zone, sizeof out->availability_zone,
          in->availability_zone);
  pw_copy(out->version, sizeof out->version, in->version);
}

/* The receiver knows the other fields from the heartbeat that is renewed. */
void pwtable_pack_renewal(Pw__Beat *out, const pw_heartbeat *b, int64_t age) {
  pw__beat__init(out);
  out->target = (char *)b->id;
  out->seq = b->seq;
  out->born = b->born + 1;
  out->age = (uint32_t)(age > 0 ? age : 0);
}

int pwtable_is_renewal(const Pw__Beat *in) {
  return !in->address[0] && !in->gone;
}

/* --- tables --- */

enum { LEAVING = 1, GONE = 2, SILENT = 4 };

/* Allocates the columns of a table with n rows. */
static void alloc_columns(Pw__Table *t, size_t n) {
  char ***text[] = {&t->target, &t->service, &t->address, &t->availability_zone,
                    &t->version};
  uint32_t **number[] = {&t->slots, &t->flags, &t->cold, &t->age};
  pw__table__init(t);
  for (size_t i = 0; i < sizeof text / sizeof text[0]; i++)
    *text[i] = pw_alloc(sizeof(char *) * (n + 1));
  for (size_t i = 0; i < sizeof number / sizeof number[0]; i++)
    *number[i] = pw_alloc(sizeof(uint32_t) * (n + 1));
  t->seq = pw_alloc(sizeof(uint64_t) * (n + 1));
  t->born = pw_alloc(sizeof(uint64_t) * (n + 1));
  t->n_target = t->n_service = t->n_address = n;
  t->n_availability_zone = t->n_version = t->n_slots = n;
  t->n_flags = t->n_cold = t->n_seq = t->n_age = t->n_born = n;
}

static void free_columns(Pw__Table *t) {
  free(t->target);
  free(t->service);
  free(t->address);
  free(t->availability_zone);
  free(t->version);
  free(t->slots);
  free(t->flags);
  free(t->cold);
  free(t->seq);
  free(t->born);
  free(t->age);
}

static void put_row(Pw__Table *t, size_t i, const Pw__Beat *b) {
  t->target[i] = b->target;
  t->service[i] = b->service;
  t->address[i] = b->address;
  t->availability_zone[i] = b->availability_zone;
  t->version[i] = b->version;
  t->slots[i] = b->slots;
  t->flags[i] = (b->leaving ? LEAVING : 0U) | (b->gone ? GONE : 0U) |
                (b->silent ? SILENT : 0U);
  t->cold[i] = b->cold;
  t->seq[i] = b->seq;
  t->born[i] = b->born;
  t->age[i] = b->age - b->age % AGE_STEP_MS;
}

/* Whether all columns have one item for each row. The column `born` may be
** empty. */
static int has_equal_columns(const Pw__Table *t) {
  const size_t n[] = {
      t->n_service, t->n_address, t->n_version, t->n_availability_zone,
      t->n_slots,   t->n_flags,   t->n_cold,    t->n_seq,
      t->n_age};
  for (size_t i = 0; i < sizeof n / sizeof n[0]; i++)
    if (n[i] != t->n_target)
      return 0;
  return t->n_born == 0 || t->n_born == t->n_target;
}

/* Reads a row as a heartbeat, whose strings belong to the table. */
static void get_row(const Pw__Table *t, size_t i, Pw__Beat *out) {
  pw__beat__init(out);
  out->target = t->target[i];
  out->service = t->service[i];
  out->address = t->address[i];
  out->availability_zone = t->availability_zone[i];
  out->version = t->version[i];
  out->slots = t->slots[i];
  out->leaving = (t->flags[i] & LEAVING) != 0;
  out->gone = (t->flags[i] & GONE) != 0;
  out->silent = (t->flags[i] & SILENT) != 0;
  out->cold = t->cold[i];
  out->seq = t->seq[i];
  out->born = t->n_born ? t->born[i] : 0;
  out->age = t->age[i];
}

static void compress(const Pw__Table *t, Pw__Notice *out) {
  size_t n = pw__table__get_packed_size(t);
  uint8_t *plain = pw_alloc(n + 1);
  pw__table__pack(t, plain);
  size_t cap = ZSTD_compressBound(n);
  out->table.data = pw_alloc(cap);
  size_t got = ZSTD_compress(out->table.data, cap, plain, n, LEVEL);
  out->table.len = ZSTD_isError(got) ? 0 : got;
  out->table_size = (uint32_t)n;
  free(plain);
}

void pwtable_put(Pw__Beat **beats, size_t n, Pw__Notice *out) {
  if (n <= PLAIN_MAX) {
    out->beats = beats;
    out->n_beats = n;
    return;
  }
  Pw__Table t;
  alloc_columns(&t, n);
  for (size_t i = 0; i < n; i++)
    put_row(&t, i, beats[i]);
  compress(&t, out);
  free_columns(&t);
}

void pwtable_write(const pw_fleet *f, int64_t now, Pw__Notice *out) {
  size_t n = 0, i = 0;
  for (pw_target *one = pwfleet_first(f); one; one = one->hh.next)
    n++;
  pw_heartbeat *beat = pw_alloc(sizeof *beat * (n + 1));
  Pw__Table t;
  alloc_columns(&t, n);
  for (pw_target *one = pwfleet_first(f); one; one = one->hh.next, i++) {
    Pw__Beat packed;
    pwfleet_to_heartbeat(one, &beat[i]);
    pwtable_pack(&packed, &beat[i], one->is_gone && !one->is_displaced,
                 one->is_silent, now - one->heard_at);
    put_row(&t, i, &packed);
  }
  compress(&t, out);
  free_columns(&t);
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
  if (!t || !has_equal_columns(t)) {
    pwlog(LOG_ERR, "table-unreadable", "bytes=%zu", n->table.len);
    pw__table__free_unpacked(t, NULL);
    return;
  }
  for (size_t i = 0; i < t->n_target; i++) {
    Pw__Beat beat;
    get_row(t, i, &beat);
    f(arg, &beat);
  }
  pw__table__free_unpacked(t, NULL);
}
