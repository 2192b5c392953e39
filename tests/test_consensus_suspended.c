/* test_consensus_suspended.c: simulations of a control group whose nodes are
** suspended besides the faults of test_consensus. */
#include "group_model.h"
#include "pwtest.h"

#include <stdlib.h>

static int last_seed = 100;

/* A control instance may be suspended for seconds at any moment, a leader even as it acknowledges a
** change. When it resumes, it must answer no read under a lease that has expired. At the end, as many disks
** are lost as may be while all other nodes lose power. */
static void test_suspended(void) {
  model_run_seeds(MODEL_SUSPENDS, MODEL_ALL_SEEDS, last_seed);
}

/* Reads at members that do not lead, while leaders are suspended and deposed and logs are
** rewritten: what a leader states to be committed must be, and a confirmed read must not be
** older than what was acknowledged before it. */
static void test_reads(void) {
  model_run_seeds(MODEL_SUSPENDS | MODEL_READS, MODEL_ALL_SEEDS, last_seed);
}

int main(int argc, char **argv) {
  if (argc > 1)
    last_seed = atoi(argv[1]) / 3;
  TESTS_BEGIN("consensus-suspended");
  TEST(test_suspended);
  TEST(test_reads);
  TESTS_END();
}
