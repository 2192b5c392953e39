/* pwholdoff.h: how long a target that asked to be left alone is left alone.
**
** Pure: time comes in as an argument. Answers this load: a few targets of many turn requests away and
** ask for some seconds without any. Who refuses has little to do, so it drew the next request, and the
** one after, and callers were refused while other targets were free. */
#ifndef PWHOLDOFF_H
#define PWHOLDOFF_H

#include <stdint.h>

/* What one target has asked of this process. {0}: nothing. */
typedef struct pw_holdoff {
  int64_t until; /* ms */
} pw_holdoff;

/* It asks for `ms`, above 0, from `now` on; PW_HOLD_OFF_MAX_MS at most are kept. A shorter wish does not
** end a longer one. Gives whether it is left alone for longer than was known. */
int pwholdoff_asked(pw_holdoff *h, int64_t ms, int64_t now);

/* Ms for which it is still to be left alone; 0: it may be sent to. */
int64_t pwholdoff_left(const pw_holdoff *h, int64_t now);

#endif
