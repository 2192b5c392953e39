/* pwclock.h: monotonic time and the hybrid logical clock of events. */
#ifndef PWCLOCK_H
#define PWCLOCK_H

#include <pthread.h>
#include <stdint.h>

/* Milliseconds of a monotonic clock that includes suspended time. */
int64_t pwclock_ms(void);

/* Nanoseconds of the same clock. */
int64_t pwclock_ns(void);

/* Wall clock, milliseconds since 1970: for timestamps and for the expiry of once-ledger entries. */
int64_t pwclock_wall_ms(void);

/* A hybrid logical clock: the upper 48 bits are wall milliseconds, the lower 16 a counter, so that
** an effect always gets a later stamp than its cause. */
typedef struct pw_hlc {
  pthread_mutex_t lock;
  uint64_t last;
} pw_hlc;

void pwhlc_init(pw_hlc *h);

/* Next stamp of this process, given the wall clock in ms. */
uint64_t pwhlc_tick(pw_hlc *h, int64_t wall_ms);

/* Advances the clock to a stamp received in a message. */
void pwhlc_update(pw_hlc *h, uint64_t stamp);

#endif
