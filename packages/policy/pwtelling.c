/* pwtelling.c: gap detection over the sequenced updates of one sender. */
#include "pwtelling.h"

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_NO_GAP = 40,    /* a gap in the numbers is not noticed */
  MUT_NO_LAST = 41,   /* the loss of the newest update is not noticed */
  MUT_OLD_TABLE = 42, /* a full state closes a gap after it as well */
  MUT_SAME_LIFE = 43  /* numbers continue through a restart */
};

/* Takes a full state. It leaves nothing missing unless there is a gap between
** it and the updates that arrived already. */
static void take_full(pw_telling *t, uint64_t number) {
  if (!t->is_whole && t->first > number + 1 && PW_MUTATION != MUT_OLD_TABLE)
    return;
  if (number > t->last)
    t->last = number;
  t->is_whole = 1;
}

static void take_update(pw_telling *t, uint64_t number) {
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
    take_update(t, number);
  else if (number > t->last && PW_MUTATION != MUT_NO_LAST)
    *t = (pw_telling){.life = life};
}

uint64_t pwtelling_has(const pw_telling *t) {
  return t->is_whole ? t->last : 0;
}
