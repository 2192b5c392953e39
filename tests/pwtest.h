/* pwtest.h: macros and random numbers shared by the CUnit tests. */
#ifndef PWTEST_H
#define PWTEST_H

#include <CUnit/Basic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#define CHECK(x) CU_ASSERT(x)

#define TESTS_BEGIN(name)                                                      \
  CU_pSuite suite;                                                             \
  CU_initialize_registry();                                                    \
  suite = CU_add_suite(name, NULL, NULL)

#define TEST(f) CU_add_test(suite, #f, f)

#define TESTS_END()                                                            \
  CU_basic_set_mode(CU_BRM_VERBOSE);                                           \
  CU_basic_run_tests();                                                        \
  unsigned failures = CU_get_number_of_failures();                             \
  CU_cleanup_registry();                                                       \
  return failures != 0

/* A reproducible sequence of random numbers. */
typedef struct pw_random {
  uint64_t seed, n;
} pw_random;

static inline uint64_t pwrand(pw_random *r) {
  uint64_t in[2] = {r->seed, ++r->n};
  return XXH3_64bits(in, sizeof in);
}

/* Uniform in [0, n). */
static inline uint64_t pwrand_below(pw_random *r, uint64_t n) {
  return pwrand(r) % n;
}

/* Uniform in [0, 1). */
static inline double pwrand_unit(pw_random *r) {
  return (double)(pwrand(r) >> 11) / 9007199254740992.0;
}

/* The seed from PW_SEED, or else the fixed one; prints it. */
static inline uint64_t test_seed(uint64_t fixed) {
  const char *s = getenv("PW_SEED");
  uint64_t seed = s ? strtoull(s, NULL, 10) : fixed;
  printf("seed %llu\n", (unsigned long long)seed);
  return seed;
}

#endif
