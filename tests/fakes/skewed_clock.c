/* skewed_clock.c: replaces pwclock.c in peatwelld-skewed. Each SIGUSR2 advances pwclock_ms by SKEW_MS, as a
** suspension of the instance does; the clock of the event loops is not advanced. */
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

__attribute__((constructor)) static void install_handler(void) {
  signal(SIGUSR2, on_signal);
}

int64_t pwclock_ms(void);
int64_t pwclock_ms(void) {
  return pwclock_true_ms() + atomic_load(&skew_ms);
}
