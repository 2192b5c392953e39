/* pwoutbox.c: news of targets that wait to be told to one kind of watcher. */
#include "pwoutbox.h"

#include "pwbuf.h"
#include "pwtable.h"

#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 2048 /* more are told as one table */
#define ITEMS_FIRST 64

void pwoutbox_free(pw_outbox *o) {
  free(o->item);
  *o = (pw_outbox){0};
}

static void grow(pw_outbox *o) {
  o->cap = o->cap ? 2 * o->cap : ITEMS_FIRST;
  o->item = realloc(o->item, sizeof *o->item * o->cap);
  if (!o->item)
    abort();
}

int pwoutbox_add(pw_outbox *o, const pw_tidings *t) {
  int is_over = o->n == ITEMS_MAX;
  if (is_over)
    o->n = 0;
  if (o->n == o->cap)
    grow(o);
  o->item[o->n++] = *t;
  if (!o->urgent_at && (t->is_change || t->gone || t->beat.leaving))
    o->urgent_at = t->heard_at;
  return is_over ? -1 : 0;
}

int pwoutbox_is_due(const pw_outbox *o, int64_t gather, int64_t renew,
                    int64_t now) {
  int64_t since = now - o->told_at;
  return since >= renew || (o->urgent_at && since >= gather);
}

void pwoutbox_told(pw_outbox *o, int64_t now) {
  o->n = 0;
  o->urgent_at = 0;
  o->told_at = now;
}

void pwbundle_make(pw_bundle *b, const pw_outbox *o,
                   int (*concerns)(const pw_tidings *t), int64_t now) {
  *b = (pw_bundle){.notice = PW__NOTICE__INIT};
  b->beat = pw_alloc(sizeof *b->beat * (o->n + 1));
  b->at = pw_alloc(sizeof *b->at * (o->n + 1));
  for (size_t i = 0; i < o->n; i++) {
    const pw_tidings *t = &o->item[i];
    int64_t age = now - t->heard_at;
    if (!concerns(t))
      continue;
    Pw__Beat *beat = &b->beat[b->n];
    if (t->is_change || t->gone ||
        t->beat.leaving) /* may overtake the change */
      pwtable_pack(beat, &t->beat, t->gone, t->silent, age);
    else
      pwtable_pack_renewal(beat, &t->beat, age);
    b->at[b->n++] = beat;
  }
  pwtable_put(b->at, b->n, &b->notice);
}

void pwbundle_free(pw_bundle *b) {
  free(b->notice.table.data);
  free(b->at);
  free(b->beat);
}
