/* pwcount.c: counters striped by CPU and summed when read. */
#define _GNU_SOURCE
#include "pwcount.h"

#include "pwhist.h"

#include <sched.h>
#include <stdatomic.h>
#include <stdlib.h>

/* Copies of each counter, so that threads on different CPUs do not contend for a cache line. */
#define STRIPES 16

typedef struct stripe {
  _Alignas(64) atomic_llong value[PWC_COUNT];
  atomic_llong bucket[PWH_COUNT][PWHIST_BUCKETS];
  atomic_llong sum_us[PWH_COUNT];
} stripe;

struct pw_counters {
  stripe s[STRIPES];
};

typedef struct counter_row {
  const char *name;
  const char *type;
  const char *help;
} counter_row;

static const counter_row rows[] = {
#define PW_COUNTER_ROW(id, name, type, help) {name, type, help},
    PW_COUNTERS(PW_COUNTER_ROW)
#undef PW_COUNTER_ROW
};

static const counter_row histogram_rows[] = {
#define PW_HISTOGRAM_ROW(id, name, help) {name, "histogram", help},
    PW_HISTOGRAMS(PW_HISTOGRAM_ROW)
#undef PW_HISTOGRAM_ROW
};

pw_counters *pwcount_new(void) {
  size_t size = sizeof(pw_counters);
  pw_counters *c = aligned_alloc(64, (size + 63) / 64 * 64);
  if (!c)
    abort();
  for (int i = 0; i < STRIPES; i++) {
    for (int j = 0; j < PWC_COUNT; j++)
      atomic_init(&c->s[i].value[j], 0);
    for (int h = 0; h < PWH_COUNT; h++) {
      atomic_init(&c->s[i].sum_us[h], 0);
      for (int b = 0; b < PWHIST_BUCKETS; b++)
        atomic_init(&c->s[i].bucket[h][b], 0);
    }
  }
  return c;
}

void pwcount_free(pw_counters *c) {
  free(c);
}

static int my_stripe(void) {
  int cpu = sched_getcpu();
  return cpu < 0 ? 0 : cpu % STRIPES;
}

void pwcount_add(pw_counters *c, pw_counter id, int64_t n) {
  atomic_fetch_add_explicit(&c->s[my_stripe()].value[id], n,
                            memory_order_relaxed);
}

void pwcount_set(pw_counters *c, pw_counter id, int64_t v) {
  atomic_store_explicit(&c->s[0].value[id], v, memory_order_relaxed);
}

int64_t pwcount_get(const pw_counters *c, pw_counter id) {
  int64_t sum = 0;
  for (int i = 0; i < STRIPES; i++)
    sum += atomic_load_explicit(&c->s[i].value[id], memory_order_relaxed);
  return sum;
}

void pwcount_observe(pw_counters *c, pw_histogram id, int64_t us) {
  stripe *s = &c->s[my_stripe()];
  int b = pwhist_bucket(us);
  atomic_fetch_add_explicit(&s->bucket[id][b], 1, memory_order_relaxed);
  atomic_fetch_add_explicit(&s->sum_us[id], us, memory_order_relaxed);
}

static void render_histogram(const pw_counters *c, int h, pw_buf *out) {
  int64_t bucket[PWHIST_BUCKETS] = {0};
  int64_t sum = 0;
  for (int i = 0; i < STRIPES; i++) {
    for (int b = 0; b < PWHIST_BUCKETS; b++)
      bucket[b] +=
          atomic_load_explicit(&c->s[i].bucket[h][b], memory_order_relaxed);
    sum += atomic_load_explicit(&c->s[i].sum_us[h], memory_order_relaxed);
  }
  pwhist_head(out, histogram_rows[h].name, histogram_rows[h].help);
  pwhist_render(out, histogram_rows[h].name, "", bucket, sum);
}

void pwcount_render(const pw_counters *c, pw_buf *out) {
  for (int i = 0; i < PWC_COUNT; i++) {
    const counter_row *r = &rows[i];
    pwbuf_fmt(out, "# HELP peatwell_%s %s\n# TYPE peatwell_%s %s\n", r->name,
              r->help, r->name, r->type);
    pwbuf_fmt(out, "peatwell_%s %lld\n", r->name,
              (long long)pwcount_get(c, (pw_counter)i));
  }
  for (int h = 0; h < PWH_COUNT; h++)
    render_histogram(c, h, out);
}
