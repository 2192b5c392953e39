/* pwquota.c: one entry's share of the workspaces' token rate limits. */
#include "pwquota.h"

#include "pwbudget.h"
#include "pwbuf.h"

#include <stdlib.h>
#include <uthash.h>

#define BURST_S 2 /* size of a burst, in seconds of the workspace's limit */

typedef struct quota {
  char workspace[PW_NAME_MAX];
  pw_bucket bucket;
  UT_hash_handle hh;
} quota;

struct pw_quotas {
  quota *all;
  int64_t started_at; /* ms */
};

pw_quotas *pwquota_new(int64_t now) {
  pw_quotas *qs = pw_alloc(sizeof *qs);
  qs->started_at = now;
  return qs;
}

void pwquota_free(pw_quotas *qs) {
  quota *q, *tmp;
  HASH_ITER(hh, qs->all, q, tmp) {
    HASH_DEL(qs->all, q);
    free(q);
  }
  free(qs);
}

/* The bucket has been filled since the start of the entry. If it were full at first, an entry that starts again and
** again would let through a burst each time. */
static quota *quota_of(pw_quotas *qs, const char *workspace, double rate) {
  quota *q;
  HASH_FIND_STR(qs->all, workspace, q);
  if (q)
    return q;
  q = pw_alloc(sizeof *q);
  pw_copy(q->workspace, sizeof q->workspace, workspace);
  pwbucket_init_empty(&q->bucket, rate, rate * BURST_S, qs->started_at);
  HASH_ADD_STR(qs->all, workspace, q);
  return q;
}

/* The bucket may go into debt, so that a request larger than the burst can run. */
int64_t pwquota_take(pw_quotas *qs, const pw_workspace *w, uint32_t entries,
                     double tokens, int64_t now) {
  double rate = w->tokens_per_s / (entries ? entries : 1);
  if (rate <= 0)
    return 0;
  quota *q = quota_of(qs, w->name, rate);
  pwbucket_rate(&q->bucket, rate, rate * BURST_S, now);
  int64_t wait = pwbucket_wait(&q->bucket, 1, now);
  if (!wait)
    pwbucket_charge(&q->bucket, tokens, now);
  return wait;
}
