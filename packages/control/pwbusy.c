/* pwbusy.c: logs what fills the link of a control instance while the link is
** busy. */
#include "pwbusy.h"

#include "pwcons.h"
#include "pwlog.h"

#define PERIOD_MS 1000
#define BUSY_SHARE 0.5 /* share of the link, over a period */
#define BITS_PER_BYTE 8
#define BITS_PER_MBIT 1000000.0

/* A round trip longer than a lease divided by this is logged: after four
** more such delays the lease is lost. */
#define SLOW_LEASE_PART 5

static const pw_counter kinds[PW_BUSY_KINDS] = {PWC_GROUP_OUT, PWC_NOTICE_OUT,
                                                PWC_DOCUMENT_OUT, PWC_CALL_OUT};

void pwbusy_message(pw_busy *b, const Pw__Cons *m, int64_t now) {
  if (m->type != PWCONS_APPEND_REPLY)
    return;
  int64_t round = now - (int64_t)m->round;
  if (round > b->round_ms)
    b->round_ms = round;
}

void pwbusy_tick(pw_busy *b, const pw_proc *p, int64_t now) {
  int64_t elapsed_ms = now - b->since;
  int64_t sent[PW_BUSY_KINDS], sum = 0;
  if (elapsed_ms < PERIOD_MS)
    return;
  for (int i = 0; i < PW_BUSY_KINDS; i++) {
    int64_t total = pwcount_get(p->counters, kinds[i]);
    sent[i] = total - b->sent[i];
    b->sent[i] = total;
    sum += sent[i];
  }
  double busy_bytes = p->set->control_link * BITS_PER_MBIT / BITS_PER_BYTE *
                      (double)elapsed_ms / PERIOD_MS * BUSY_SHARE;
  if ((busy_bytes > 0 && (double)sum > busy_bytes) ||
      b->round_ms > p->set->control_lease / SLOW_LEASE_PART)
    pwlog(LOG_NOTICE, "link-busy",
          "ms=%lld group=%lld notices=%lld documents=%lld calls=%lld "
          "slowest_round_ms=%lld",
          (long long)elapsed_ms, (long long)sent[0], (long long)sent[1],
          (long long)sent[2], (long long)sent[3], (long long)b->round_ms);
  b->since = now;
  b->round_ms = 0;
}
