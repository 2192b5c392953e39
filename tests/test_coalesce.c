/* test_coalesce.c: when gateways are notified of a configuration while hundreds
** of targets return.
**
** It guards against this failure: after a loss of all targets, 358 gateways
** get their configuration 0.50 s after control has a leader (at 26.906 s;
** version 33 at 27.407 s, 22 gateways between 27.04 and 27.44 s). Changes of
** targets arrive all the time, each update is delayed for 2 ms a watcher after
** the one before (716 ms), and the notice of the configuration waits with
** them. */
#include "pwcoalesce.h"
#include "pwtest.h"

typedef struct result {
  int64_t worst_ms; /* from a new configuration until gateways are notified */
  double messages;  /* a second, of both kinds */
} result;

/* A target changes every 5 ms; a configuration may come at any time. `apart`:
** notices of versions do not wait for updates on targets. */
static result play(int relying, int others, int apart) {
  result out = {0};
  for (int64_t from = 1000; from < 3000; from += 7) {
    int64_t targets_at = 0, versions_at = 0, messages = 0;
    int64_t targets_ms = pwcoalesce_targets_ms(relying, others);
    for (int64_t now = 0; now < 6000; now += 10) {
      int is_version = now >= from && versions_at < from;
      int64_t versions_ms =
          apart ? pwcoalesce_versions_ms(relying + others) : targets_ms;
      if (now - targets_at >= targets_ms) {
        targets_at = now;
        messages += relying + others;
        if (!apart && is_version)
          versions_at = now;
      }
      if (apart && is_version && now - versions_at >= versions_ms) {
        versions_at = now;
        messages += relying + others;
      }
    }
    if (versions_at - from > out.worst_ms)
      out.worst_ms = versions_at - from;
    out.messages = (double)messages / 6;
  }
  return out;
}

static void test_configuration_is_announced_at_once(void) {
  result together = play(358, 0, 0), apart = play(358, 0, 1);
  printf("358 gateways: %lld ms together, %lld ms apart, %.0f messages a "
         "second\n",
         (long long)together.worst_ms, (long long)apart.worst_ms,
         apart.messages);
  CHECK(together.worst_ms > 600);
  CHECK(apart.worst_ms <= 20);
  CHECK(apart.messages < 1.2 * together.messages);
}

/* The rate of messages is bounded, also when configurations follow one
** another. */
static void test_bounds(void) {
  CHECK(pwcoalesce_versions_ms(0) == 30 && pwcoalesce_targets_ms(0, 0) == 30);
  for (int n = 1; n <= 3000; n *= 2) {
    CHECK(pwcoalesce_versions_ms(n) <= pwcoalesce_targets_ms(n, 0));
    CHECK(1000.0 * n / (double)pwcoalesce_versions_ms(n) <= 4100);
    CHECK(1000.0 * n / (double)pwcoalesce_targets_ms(n, 0) <= 520);
    CHECK(pwcoalesce_targets_ms(n / 10, n - n / 10) <=
          pwcoalesce_targets_ms(n, 0) / 2 + 30);
  }
  CHECK(pwcoalesce_versions_ms(358) < 100 &&
        pwcoalesce_versions_ms(1000) <= 250);
}

int main(void) {
  TESTS_BEGIN("gather");
  TEST(test_configuration_is_announced_at_once);
  TEST(test_bounds);
  TESTS_END();
}
