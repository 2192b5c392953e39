/* pwpartsmsg.h: messages between instances about parts of prompts that may
** crash targets. */
#ifndef PWPARTSMSG_H
#define PWPARTSMSG_H

#include "peatwell.pb-c.h"
#include "pwparts.h"

/* One row, ready to be packed. */
typedef struct pw_part_message {
  Pw__CrashingPart message;
  uint64_t target[PWPARTS_CRASHES];
  uint32_t age_ms[PWPARTS_CRASHES], span_ms[PWPARTS_CRASHES];
} pw_part_message;

/* The rows of one message. It has pointers into itself, so it must not be
** copied. */
typedef struct pw_partsmsg {
  pw_part_message item[PWPARTS_ROWS];
  Pw__CrashingPart *list[PWPARTS_ROWS];
  size_t n;
} pw_partsmsg;

/* Fills in the parts whose state must be sent now. Returns their number. */
size_t pwpartsmsg_due(pw_partsmsg *m, pw_parts *q, int64_t now);

/* Fills in the next parts, from *at on, of those that pwparts_list lists.
** Returns their number. */
size_t pwpartsmsg_list(pw_partsmsg *m, pw_parts *q, size_t *at, int64_t now);

/* Applies the states of parts that another instance sent. */
void pwpartsmsg_receive(pw_parts *q, Pw__CrashingPart *const *list, size_t n,
                        int64_t now);

#endif
