/* pwoutbox.h: updates on targets that wait to be sent to one kind of
** watcher. */
#ifndef PWOUTBOX_H
#define PWOUTBOX_H

#include "peatwell.pb-c.h"
#include "pwdialect.h"

#include <stddef.h>
#include <stdint.h>

/* An update on one target, from its heartbeat or for the lack of one. */
typedef struct pw_target_update {
  pw_heartbeat beat;
  int gone, silent;
  int is_change; /* 0: a renewal, which changes nothing but the time */
  /* received from the target itself, not from another control instance */
  int is_own;
  int64_t received_at;
} pw_target_update;

typedef struct pw_outbox {
  pw_target_update *item;
  size_t n, cap;
  int64_t change_at; /* when the oldest change that waits came; 0: none waits */
  int64_t sent_at;
} pw_outbox;

void pwoutbox_free(pw_outbox *o);

/* Queues an update. -1: the outbox was full and all that waited is dropped;
** its watchers must be sent everything. */
int pwoutbox_add(pw_outbox *o, const pw_target_update *t);

/* Whether the updates are due: `batch_ms` after the last sending if there
** is a change, else `renewal_ms` after it. */
int pwoutbox_is_due(const pw_outbox *o, int64_t batch_ms, int64_t renewal_ms,
                    int64_t now);

/* Empties the outbox after its updates were sent. */
void pwoutbox_sent(pw_outbox *o, int64_t now);

/* The updates for one audience as a Notice, built once for all its watchers. */
typedef struct pw_outbox_batch {
  Pw__Notice notice;
  Pw__Beat *beat;
  Pw__Beat **beat_ptr;
  size_t n;
} pw_outbox_batch;

/* Packs the updates for which `concerns` holds; freed with
** pwoutbox_free_batch. */
void pwoutbox_make_batch(pw_outbox_batch *b, const pw_outbox *o,
                         int (*concerns)(const pw_target_update *t),
                         int64_t now);
void pwoutbox_free_batch(pw_outbox_batch *b);

#endif
