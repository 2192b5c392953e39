/* pwmove.c: cost of moving a cached prefix, compared with computing it
** again. */
#include "pwmove.h"

#define KEEP 0.8 /* weight of the past in the averages */

void pwmove_init(pw_move *m, int may_import) {
  *m = (pw_move){.may_import = may_import};
}

static void average(double *avg, double seen) {
  *avg = *avg > 0 ? KEEP * *avg + (1 - KEEP) * seen : seen;
}

void pwmove_computed(pw_move *m, uint32_t tokens, double ms) {
  if (tokens >= PWMOVE_TOKENS_LEAST && ms > 0)
    average(&m->compute, ms / tokens);
}

/* Tokens that did not arrive had to be computed, which counts as a cost of the
** import. */
void pwmove_imported(pw_move *m, uint32_t asked, uint32_t got, double ms) {
  if (asked < PWMOVE_TOKENS_LEAST)
    return;
  if (got > asked)
    got = asked;
  double missed = m->compute * (asked - got);
  average(&m->import, (ms + missed) / asked);
}

double pwmove_share(const pw_move *m) {
  if (!m->may_import)
    return 1;
  if (m->import <= 0 || m->compute <= 0)
    return PWMOVE_FIRST_SHARE;
  double share = m->import / m->compute;
  return share < 1 ? share : 1;
}

int pwmove_should_import(pw_move *m, uint32_t tokens) {
  if (!m->may_import || tokens < PWMOVE_TOKENS_LEAST)
    return 0;
  if (pwmove_share(m) < 1 || ++m->passed >= PWMOVE_TRY_EVERY) {
    m->passed = 0;
    return 1;
  }
  return 0;
}
