/* skewed_clock.c: the clock of an instance that is suspended: each SIGUSR2 is a pause of SKEW_MS, which
** the clock of its loops does not count. It stands in for pwclock.c in peatwelld-skewed. */
#define pwclock_ms pwclock_true_ms
#include "../../packages/core/pwclock.c"
#undef pwclock_ms

#include <signal.h>
#include <stdatomic.h>

#define SKEW_MS 10000

static _Atomic int64_t skew_ms;

static void on_signal(int sig) {
  (void)sig;
  atomic_fetch_add(&skew_ms, SKEW_MS);
}

__attribute__((constructor)) static void listen_for_pauses(void) {
  signal(SIGUSR2, on_signal);
}

int64_t pwclock_ms(void);
int64_t pwclock_ms(void) {
  return pwclock_true_ms() + atomic_load(&skew_ms);
}
