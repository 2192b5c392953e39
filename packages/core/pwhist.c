/* pwhist.c: latency histograms as Prometheus text. */
#include "pwhist.h"

#define US_PER_S 1e6

/* Upper bounds of all buckets but the last, in microseconds. */
static const int64_t bounds[PWHIST_BUCKETS - 1] = {
    500,    1000,   2500,   5000,   10000,   25000,    50000,
    100000, 250000, 500000, 910000, 2500000, 10000000, 60000000};

int pwhist_bucket(int64_t us) {
  int b = 0;
  while (b < PWHIST_BUCKETS - 1 && us > bounds[b])
    b++;
  return b;
}

void pwhist_head(pw_buf *out, const char *name, const char *help) {
  pwbuf_fmt(out, "# HELP peatwell_%s %s\n# TYPE peatwell_%s histogram\n", name,
            help, name);
}

void pwhist_render(pw_buf *out, const char *name, const char *labels,
                   const int64_t *bucket, int64_t sum_us) {
  const char *comma = labels[0] ? "," : "";
  const char *open = labels[0] ? "{" : "";
  const char *close = labels[0] ? "}" : "";
  int64_t count = 0;
  for (int b = 0; b < PWHIST_BUCKETS; b++) {
    count += bucket[b];
    if (b < PWHIST_BUCKETS - 1)
      pwbuf_fmt(out, "peatwell_%s_bucket{%s%sle=\"%g\"} %lld\n", name, labels,
                comma, (double)bounds[b] / US_PER_S, (long long)count);
  }
  pwbuf_fmt(out, "peatwell_%s_bucket{%s%sle=\"+Inf\"} %lld\n", name, labels,
            comma, (long long)count);
  pwbuf_fmt(out, "peatwell_%s_sum%s%s%s %.6f\n", name, open, labels, close,
            (double)sum_us / US_PER_S);
  pwbuf_fmt(out, "peatwell_%s_count%s%s%s %lld\n", name, open, labels, close,
            (long long)count);
}
