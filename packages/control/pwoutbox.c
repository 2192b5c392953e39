/* pwoutbox.c: updates on targets that wait to be sent to one kind of
** watcher. */
#include "pwoutbox.h"

#include "pwbuf.h"
#include "pwtable.h"

#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 2048 /* beyond this one table of all targets is cheaper */
#define ITEMS_INITIAL 64

void pwoutbox_free(pw_outbox *o) {
  free(o->item);
  *o = (pw_outbox){0};
}

static void grow(pw_outbox *o) {
  o->cap = o->cap ? 2 * o->cap : ITEMS_INITIAL;
  o->item = realloc(o->item, sizeof *o->item * o->cap);
  if (!o->item)
    abort();
}

int pwoutbox_add(pw_outbox *o, const pw_target_update *t) {
  int is_full = o->n == ITEMS_MAX;
  if (is_full)
    o->n = 0;
  if (o->n == o->cap)
    grow(o);
  o->item[o->n++] = *t;
  if (!o->change_at && (t->is_change || t->gone || t->beat.leaving))
    o->change_at = t->received_at;
  return is_full ? -1 : 0;
}

int pwoutbox_is_due(const pw_outbox *o, int64_t batch_ms, int64_t renewal_ms,
                    int64_t now) {
  int64_t since = now - o->sent_at;
  return since >= renewal_ms || (o->change_at && since >= batch_ms);
}

void pwoutbox_sent(pw_outbox *o, int64_t now) {
  o->n = 0;
  o->change_at = 0;
  o->sent_at = now;
}

void pwoutbox_make_batch(pw_outbox_batch *b, const pw_outbox *o,
                         int (*concerns)(const pw_target_update *t),
                         int64_t now) {
  *b = (pw_outbox_batch){.notice = PW__NOTICE__INIT};
  b->beat = pw_alloc(sizeof *b->beat * (o->n + 1));
  b->beat_ptr = pw_alloc(sizeof *b->beat_ptr * (o->n + 1));
  for (size_t i = 0; i < o->n; i++) {
    const pw_target_update *t = &o->item[i];
    int64_t age = now - t->received_at;
    if (!concerns(t))
      continue;
    Pw__Beat *beat = &b->beat[b->n];
    if (t->is_change || t->gone ||
        /* a renewal may arrive before the change that it follows */
        t->beat.leaving)
      pwtable_pack(beat, &t->beat, t->gone, t->silent, age);
    else
      pwtable_pack_renewal(beat, &t->beat, age);
    b->beat_ptr[b->n++] = beat;
  }
  pwtable_put(b->beat_ptr, b->n, &b->notice);
}

void pwoutbox_free_batch(pw_outbox_batch *b) {
  free(b->notice.table.data);
  free(b->beat_ptr);
  free(b->beat);
}
