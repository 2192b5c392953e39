/* test_consensus_numbered.c: simulations of a control group whose members are named
** by number. Guards against acknowledged changes that are lost and claims that are
** granted twice when nodes crash, links are cut and messages are lost,
** duplicated or late. */
#include "group_model.h"
#include "pwtest.h"

#include <stdlib.h>

/* Half of these seeds are run here, the others by test_consensus_addressed. */
static int last_seed = 300;

static void test_models(void) {
  model_run_seeds(0, MODEL_EVEN_SEEDS, last_seed);
}

int main(int argc, char **argv) {
  if (argc > 1)
    last_seed = atoi(argv[1]);
  TESTS_BEGIN("consensus-numbered");
  TEST(test_models);
  TESTS_END();
}
