/* test_stoptime.c: unit tests of which requests may begin during a planned stop. One that begins and does not end is cut
** after it has run; 119_late_in_a_stop tests the same with processes. */
#include "pwstoptime.h"
#include "pwtest.h"

enum { WINDOW = 30000, LIMIT = 10000 };

static void test_unknown_needs_all_its_time(void) {
  pw_longest l = {0};
  CHECK(!pwstoptime_may_begin(&l, LIMIT, LIMIT - 1));
  CHECK(pwstoptime_may_begin(&l, LIMIT, LIMIT));
}

static void test_longest_counts(void) {
  pw_longest l = {0};
  for (int i = 0; i < 1000; i++)
    pwlongest_note(&l, 100, 1000 + i);
  pwlongest_note(&l, 2000, 2001);
  pwlongest_note(&l, 100, 2002);
  CHECK(!pwstoptime_may_begin(&l, LIMIT, 2000)); /* a margin is needed */
  CHECK(pwstoptime_may_begin(&l, LIMIT, 2500));
  CHECK(!pwstoptime_may_begin(&l, LIMIT, 0));
}

/* A request cannot need more than its deadline and time-out leave it. */
static void test_limit(void) {
  pw_longest l = {0};
  pwlongest_note(&l, 5000, 1000);
  CHECK(pwstoptime_may_begin(&l, 300, 300));
  CHECK(!pwstoptime_may_begin(&l, 300, 299));
}

static void test_old_times_are_dropped(void) {
  pw_longest l = {0};
  pwlongest_note(&l, 5000, WINDOW);
  pwlongest_note(&l, 100, 2 * WINDOW);
  CHECK(!pwstoptime_may_begin(&l, LIMIT, 1000));
  pwlongest_note(&l, 100, 3 * WINDOW);
  CHECK(pwstoptime_may_begin(&l, LIMIT, 1000));
  pwlongest_note(&l, 5000, 3 * WINDOW);
  pwlongest_note(&l, 100, 9 * WINDOW); /* nothing was answered in between */
  CHECK(pwstoptime_may_begin(&l, LIMIT, 1000));
}

int main(void) {
  TESTS_BEGIN("stoptime");
  TEST(test_unknown_needs_all_its_time);
  TEST(test_longest_counts);
  TEST(test_limit);
  TEST(test_old_times_are_dropped);
  TESTS_END();
}
