/* pwoutbox.h: news of targets that wait to be told to one kind of watcher. */
#ifndef PWOUTBOX_H
#define PWOUTBOX_H

#include "peatwell.pb-c.h"
#include "pwdialect.h"

#include <stddef.h>
#include <stdint.h>

/* What was heard of a target. */
typedef struct pw_tidings {
  pw_beat beat;
  int gone, silent;
  int is_change; /* else: it was heard again, as before */
  int is_own;    /* heard here, not told by another control instance */
  int64_t heard_at;
} pw_tidings;

typedef struct pw_outbox {
  pw_tidings *item;
  size_t n, cap;
  int64_t urgent_at; /* when the oldest change came; 0: there is none */
  int64_t told_at;
} pw_outbox;

void pwoutbox_free(pw_outbox *o);

/* -1: it is full, and what waited is dropped: its watchers are to be told all. */
int pwoutbox_add(pw_outbox *o, const pw_tidings *t);

/* Whether it is to be told: a change after `gather`, all else after `renew`, ms. */
int pwoutbox_is_due(const pw_outbox *o, int64_t gather, int64_t renew,
                    int64_t now);

/* It was told. */
void pwoutbox_told(pw_outbox *o, int64_t now);

/* What one audience is told, made once for all of it. */
typedef struct pw_bundle {
  Pw__Notice notice;
  Pw__Beat *beat;
  Pw__Beat **at;
  size_t n;
} pw_bundle;

/* The items that concern its audience; freed with pwbundle_free. */
void pwbundle_make(pw_bundle *b, const pw_outbox *o,
                   int (*concerns)(const pw_tidings *t), int64_t now);
void pwbundle_free(pw_bundle *b);

#endif
