/* pwclock.c: monotonic time and the hybrid logical clock. */
#include "pwclock.h"

#include <time.h>

#define HLC_BITS 16 /* bits of the counter in a stamp */

static int64_t read_ns(clockid_t id) {
  struct timespec ts;
  clock_gettime(id, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

int64_t pwclock_ms(void) {
  return read_ns(CLOCK_BOOTTIME) / 1000000;
}

int64_t pwclock_ns(void) {
  return read_ns(CLOCK_BOOTTIME);
}

int64_t pwclock_wall_ms(void) {
  return read_ns(CLOCK_REALTIME) / 1000000;
}

void pwhlc_init(pw_hlc *h) {
  pthread_mutex_init(&h->lock, NULL);
  h->last = 0;
}

uint64_t pwhlc_tick(pw_hlc *h, int64_t wall_ms) {
  uint64_t now = (uint64_t)wall_ms << HLC_BITS;
  pthread_mutex_lock(&h->lock);
  h->last = now > h->last ? now : h->last + 1;
  uint64_t stamp = h->last;
  pthread_mutex_unlock(&h->lock);
  return stamp;
}

void pwhlc_update(pw_hlc *h, uint64_t stamp) {
  pthread_mutex_lock(&h->lock);
  if (stamp > h->last)
    h->last = stamp;
  pthread_mutex_unlock(&h->lock);
}
