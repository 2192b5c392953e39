/* pwpartrow.h: the crashes that are known of one part of prompts; internal to
** pwparts.c. */
#ifndef PWPARTROW_H
#define PWPARTROW_H

#include "pwparts.h"

/* Targets that crash within this time of each other, ms, crash at the same
** moment. It allows for the delay of the event loop in which they are seen. */
#define PWPARTS_COINCIDENT_MS 40

/* Whether both are one crash of a target, seen with different requests. */
int pwpartrow_is_one_crash(const pw_part_crash *a, const pw_part_crash *b);

/* Whether the row has the crash, seen with the same request or another one. */
int pwpartrow_has(const pw_part_row *r, const pw_part_crash *crash);

/* Whether a row has all crashes of another one. */
int pwpartrow_has_all(const pw_part_row *r, const pw_part_row *of);

/* Merges what was seen of a crash by several requests or instances: the earliest
** time and the shortest time since the request count. A report takes a while
** from instance to instance, so times alone would creep. Returns whether the
** row has the crash. */
int pwpartrow_merge(pw_part_row *r, const pw_part_crash *crash);

/* Inserts a crash in the order of time. The row must have room. */
void pwpartrow_insert(pw_part_row *r, const pw_part_crash *crash);

/* Makes room for one crash: the oldest that did not happen apart from the one
** before it gives way, since it counts for nothing; else the oldest. Returns the
** one that was removed. */
pw_part_crash pwpartrow_forget(pw_part_row *r);

/* Drops the crashes up to a time. Returns how many there were. */
int pwpartrow_drop_until(pw_part_row *r, int64_t until);

/* Number of crashes that happened one by one, each with a request that was sent
** after the one before, but for those of which `ignored` has a bit. */
int pwpartrow_count_apart(const pw_part_row *r, unsigned ignored);

#endif
