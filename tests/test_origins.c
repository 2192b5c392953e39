/* test_origins.c: unit tests of what gateways remember of the version that began a stream, and of who keeps it. A
** record that is forgotten too soon ends a stream for its caller, and a wrong one joins what two versions wrote;
** 77_stream_versions tests the same with processes. */
#include "pworigins.h"
#include "pwrendezvous.h"
#include "pwtest.h"

enum { MANY = 3 * PWORIGINS_MAX, MEMBERS = 350, KEYS = 2000, WANT = 4 };

static int version_of(const pw_origins *o, uint64_t stream, int64_t now,
                      uint64_t version) {
  pw_origin found;
  return pworigins_find(o, stream, now, &found) && found.version == version;
}

static void test_kept_and_dropped(void) {
  pw_origins *o = pworigins_new();
  pw_origin found;
  pworigins_tick(o, 1000);
  pworigins_note(o, 7, 11, 1, 1000);
  pworigins_note(o, 0, 12, 0, 1500);
  CHECK(pworigins_find(o, 7, 1200, &found));
  CHECK(found.version == 11 && found.age_ms == 200 && found.is_own);
  CHECK(pworigins_find(o, 0, 1500, &found) && !found.is_own);
  CHECK(!pworigins_find(o, 8, 1200, &found));
  for (int64_t at = 1000; at <= 1500 + PWORIGINS_KEEP_MS; at += 250)
    pworigins_tick(o, at);
  CHECK(version_of(o, 7, 1000 + PWORIGINS_KEEP_MS, 11));
  CHECK(version_of(o, 0, 1500 + PWORIGINS_KEEP_MS, 12));
  /* One that is noted again is kept for longer. */
  pworigins_note(o, 7, 11, 0, 1500 + PWORIGINS_KEEP_MS);
  pworigins_tick(o, 1000 + 2 * PWORIGINS_KEEP_MS);
  CHECK(version_of(o, 7, 1000 + 2 * PWORIGINS_KEEP_MS, 11));
  CHECK(pworigins_find(o, 7, 1000 + 2 * PWORIGINS_KEEP_MS, &found) &&
        found.is_own);
  CHECK(!pworigins_find(o, 0, 1000 + 2 * PWORIGINS_KEEP_MS, &found));
  pworigins_free(o);
}

/* Two versions under one id: nobody knows which is right, and no later word decides it. */
static void test_conflict(void) {
  pw_origins *o = pworigins_new();
  pworigins_note(o, 7, 11, 1, 0);
  pworigins_note(o, 7, 12, 0, 10);
  CHECK(version_of(o, 7, 10, PWORIGINS_CONFLICT));
  pworigins_note(o, 7, 11, 0, 20);
  CHECK(version_of(o, 7, 20, PWORIGINS_CONFLICT));
  pworigins_tick(o, PWORIGINS_KEEP_MS);
  pworigins_note(o, 7, 12, 0, PWORIGINS_KEEP_MS);
  CHECK(version_of(o, 7, PWORIGINS_KEEP_MS, PWORIGINS_CONFLICT));
  pworigins_free(o);
}

/* The number of records is bounded, and the newest stay. */
static void test_bounded(void) {
  pw_origins *o = pworigins_new();
  pw_random r = {.seed = test_seed(71)};
  uint64_t *stream = malloc(sizeof *stream * MANY);
  int kept = 0;
  for (int i = 0; i < MANY; i++) {
    stream[i] = pwrand(&r);
    pworigins_note(o, stream[i], 1 + (uint64_t)i, 1, i);
    CHECK(pworigins_count(o) <= 2 * PWORIGINS_MAX);
  }
  for (int i = MANY - PWORIGINS_MAX; i < MANY; i++)
    kept += version_of(o, stream[i], MANY, 1 + (uint64_t)i);
  CHECK(kept == PWORIGINS_MAX);
  free(stream);
  pworigins_free(o);
}

static int is_among(int member, const int *list, int n) {
  for (int i = 0; i < n; i++)
    if (list[i] == member)
      return 1;
  return 0;
}

/* Those queried include the holders, also where the one that queries is itself a holder and its list differs by one. */
static void test_holders_are_queried(void) {
  pw_random r = {.seed = test_seed(72)};
  uint64_t member[MEMBERS];
  int counts[MEMBERS] = {0};
  for (int i = 0; i < MEMBERS; i++)
    member[i] = pwrand(&r);
  for (int k = 0; k < KEYS; k++) {
    uint64_t key = pwrand(&r);
    int held[PWRENDEZVOUS_MAX], queried[PWRENDEZVOUS_MAX];
    int nheld = pwrendezvous_choose(member, MEMBERS - 1, key, WANT, held);
    int nqueried =
        pwrendezvous_choose(member + 1, MEMBERS - 1, key, WANT + 2, queried);
    CHECK(nheld == WANT && nqueried == WANT + 2);
    for (int i = 0; i < nheld; i++) {
      counts[held[i]]++;
      CHECK(held[i] == 0 || is_among(held[i] - 1, queried, nqueried));
    }
  }
  for (int i = 0; i < MEMBERS - 1; i++) /* the mean is 23 */
    CHECK(counts[i] > 0 && counts[i] < 60);
}

static void test_few_members(void) {
  uint64_t member[] = {5, 6, 7};
  int chosen[PWRENDEZVOUS_MAX];
  CHECK(pwrendezvous_choose(member, 0, 1, WANT, chosen) == 0);
  CHECK(pwrendezvous_choose(member, 3, 1, 0, chosen) == 0);
  CHECK(pwrendezvous_choose(member, 3, 1, 2 * PWRENDEZVOUS_MAX, chosen) == 3);
  CHECK(is_among(0, chosen, 3) && is_among(1, chosen, 3) &&
        is_among(2, chosen, 3));
}

int main(void) {
  TESTS_BEGIN("origins");
  TEST(test_kept_and_dropped);
  TEST(test_conflict);
  TEST(test_bounded);
  TEST(test_holders_are_queried);
  TEST(test_few_members);
  TESTS_END();
}
