/* test_quota.c: unit tests of limits that an entry keeps in memory, over its starts and over changes of the policy. */
#include "pwbudget.h"
#include "pwquota.h"
#include "pwtest.h"

enum {
  ENTRIES = 4,
  RATE = 1000,
  COST = 10,
  RUN_MS = 60000,
  START_EACH_MS = 3000
};

/* Tokens that all entries let through while each starts anew every START_EACH_MS, if they are killed at all. */
static double tokens_taken(int is_killed) {
  pw_quotas *qs[ENTRIES];
  pw_workspace w = {.name = "w", .tokens_per_s = RATE};
  double taken = 0;
  for (int e = 0; e < ENTRIES; e++)
    qs[e] = pwquota_new(1);
  for (int64_t now = 1; now < RUN_MS; now++)
    for (int e = 0; e < ENTRIES; e++) {
      if (is_killed && now % START_EACH_MS == 0) {
        pwquota_free(qs[e]);
        qs[e] = pwquota_new(now);
      }
      while (!pwquota_take(qs[e], &w, ENTRIES, COST, now))
        taken += COST;
    }
  for (int e = 0; e < ENTRIES; e++)
    pwquota_free(qs[e]);
  return taken;
}

/* A bucket that was full after each start let through 2 s of the limit again, so that a workspace got two thirds more
** than its limit from entries that started every 3 s. */
static void test_starts(void) {
  double most = (double)RATE * RUN_MS / 1000 + 2 * ENTRIES * COST;
  double calm = tokens_taken(0), killed = tokens_taken(1);
  printf("tokens of %.0f: %.0f, %.0f over starts\n", most, calm, killed);
  CHECK(calm <= most && calm > 0.95 * most);
  CHECK(killed <= most && killed > 0.9 * most);
}

/* A change of the share of retries gives no retries by itself. */
static void test_share_changes(void) {
  pw_retry_budget b;
  pwretry_init(&b, 0.1, 10);
  int paid = 0;
  for (int i = 0; i < 100; i++) {
    pwretry_set_share(&b, i % 2 ? 0.1 : 0.2);
    for (int k = 0; k < 5; k++)
      paid += pwretry_spend(&b);
  }
  CHECK(paid == 10);
  for (int i = 0; i < 11; i++)
    pwretry_success(&b);
  CHECK(pwretry_spend(&b));
}

int main(void) {
  TESTS_BEGIN("quota");
  TEST(test_starts);
  TEST(test_share_changes);
  TESTS_END();
}
