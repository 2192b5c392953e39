/* pwtelling.c: whether all that another instance has told has come here. */
#include "pwtelling.h"

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_NO_GAP = 40,    /* a number that is missing is not missed */
  MUT_NO_LAST = 41,   /* what was lost last is not missed */
  MUT_OLD_TABLE = 42, /* a table closes a gap after it, too */
  MUT_SAME_LIFE = 43  /* numbers go on through a restart */
};

/* Everything that was told is here: with what came since, if that follows on. */
static void take_full(pw_telling *t, uint64_t number) {
  if (!t->is_whole && t->first > number + 1 && PW_MUTATION != MUT_OLD_TABLE)
    return;
  if (number > t->last)
    t->last = number;
  t->is_whole = 1;
}

static void take_news(pw_telling *t, uint64_t number) {
  if (number <= t->last)
    return;
  int follows = number == t->last + 1 || PW_MUTATION == MUT_NO_GAP;
  if (!follows || !(t->is_whole || t->first)) {
    t->is_whole = 0;
    t->first = number;
  }
  t->last = number;
}

void pwtelling_take(pw_telling *t, uint64_t life, uint64_t number, int has_news,
                    int full) {
  if (t->life != life && PW_MUTATION != MUT_SAME_LIFE)
    *t = (pw_telling){.life = life};
  if (full)
    take_full(t, number);
  else if (has_news)
    take_news(t, number);
  else if (number > t->last && PW_MUTATION != MUT_NO_LAST)
    *t = (pw_telling){.life = life};
}

uint64_t pwtelling_has(const pw_telling *t) {
  return t->is_whole ? t->last : 0;
}
