/* pwsequence.c: gap detection over the sequenced updates of one sender. */
#include "pwsequence.h"

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_NO_GAP = 40,    /* a gap in the numbers is not noticed */
  MUT_NO_LAST = 41,   /* the loss of the newest update is not noticed */
  MUT_OLD_TABLE = 42, /* a full state closes a gap after it as well */
  MUT_SAME_LIFE = 43  /* numbers continue through a restart */
};

/* Records a full state. Afterwards nothing is missing, unless there is a gap
** between the state and the updates that arrived already. */
static void record_full(pw_sequence *t, uint64_t number) {
  if (!t->is_complete && t->first > number + 1 && PW_MUTATION != MUT_OLD_TABLE)
    return;
  if (number > t->last)
    t->last = number;
  t->is_complete = 1;
}

static void record_update(pw_sequence *t, uint64_t number) {
  if (number <= t->last)
    return;
  int follows = number == t->last + 1 || PW_MUTATION == MUT_NO_GAP;
  if (!follows || !(t->is_complete || t->first)) {
    t->is_complete = 0;
    t->first = number;
  }
  t->last = number;
}

void pwsequence_receive(pw_sequence *t, uint64_t incarnation, uint64_t number,
                        int has_update, int full) {
  if (t->incarnation != incarnation && PW_MUTATION != MUT_SAME_LIFE)
    *t = (pw_sequence){.incarnation = incarnation};
  if (full)
    record_full(t, number);
  else if (has_update)
    record_update(t, number);
  else if (number > t->last && PW_MUTATION != MUT_NO_LAST)
    *t = (pw_sequence){.incarnation = incarnation};
}

uint64_t pwsequence_complete_to(const pw_sequence *t) {
  return t->is_complete ? t->last : 0;
}
