/* pwstage.c: latency histograms by route and stage. */
#include "pwstage.h"

#include "pwhist.h"
#include "pwlimits.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Routes with a series of their own; the rest share "other". */
#define ROUTES_MAX 1000

#define US_PER_MS 1000

typedef struct series {
  char route[PW_NAME_MAX];
  int64_t bucket[PWSTAGES][PWHIST_BUCKETS];
  int64_t sum_us[PWSTAGES];
  UT_hash_handle hh;
} series;

struct pw_stages {
  series *by_route;
};

static const char *const names[PWSTAGES] = {[PWSTAGE_QUEUE] = "queue",
                                            [PWSTAGE_FIRST] = "first",
                                            [PWSTAGE_PAUSE] = "pause",
                                            [PWSTAGE_WHOLE] = "whole"};

pw_stages *pwstage_new(void) {
  return pw_alloc(sizeof(pw_stages));
}

void pwstage_free(pw_stages *s) {
  series *one, *tmp;
  if (!s)
    return;
  HASH_ITER(hh, s->by_route, one, tmp) {
    HASH_DEL(s->by_route, one);
    free(one);
  }
  free(s);
}

static series *series_of(pw_stages *s, const char *route) {
  series *one;
  HASH_FIND_STR(s->by_route, route, one);
  if (one)
    return one;
  if (HASH_COUNT(s->by_route) >= ROUTES_MAX && strcmp(route, "other") != 0)
    return series_of(s, "other");
  one = pw_alloc(sizeof *one);
  pw_copy(one->route, sizeof one->route, route);
  HASH_ADD_STR(s->by_route, route, one);
  return one;
}

void pwstage_observe(pw_stages *s, const char *route, pw_stage stage,
                     int64_t ms) {
  series *one = series_of(s, route);
  one->bucket[stage][pwhist_bucket(ms * US_PER_MS)]++;
  one->sum_us[stage] += ms * US_PER_MS;
}

/* Writes a label value without the characters that would end it: route names come from the
** configuration. */
static void add_label(pw_buf *out, const char *value) {
  for (const char *p = value; *p; p++)
    if (*p != '"' && *p != '\\' && *p != '\n')
      pwbuf_add(out, p, 1);
}

static int has_any(const series *one, int stage) {
  for (int b = 0; b < PWHIST_BUCKETS; b++)
    if (one->bucket[stage][b])
      return 1;
  return 0;
}

void pwstage_render(const pw_stages *s, pw_buf *out) {
  static const char metric[] = "gateway_stage_seconds";
  pwhist_head(out, metric, "time of a stage of requests, by route");
  for (const series *one = s->by_route; one; one = one->hh.next) {
    for (int stage = 0; stage < PWSTAGES; stage++) {
      pw_buf labels = {0};
      if (!has_any(one, stage))
        continue;
      pwbuf_str(&labels, "route=\"");
      add_label(&labels, one->route);
      pwbuf_fmt(&labels, "\",stage=\"%s\"", names[stage]);
      pwhist_render(out, metric, labels.data, one->bucket[stage],
                    one->sum_us[stage]);
      pwbuf_free(&labels);
    }
  }
}
