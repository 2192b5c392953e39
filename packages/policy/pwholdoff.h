/* pwholdoff.h: how long a target that asked for a hold-off is sent no
** requests.
**
** Pure: time comes in as an argument. Prevents this failure: a few of many
** targets refuse requests and ask for some seconds without any. A target that
** refuses has little to do, so it was picked for the next request as well, and
** callers were refused while other targets were free. */
#ifndef PWHOLDOFF_H
#define PWHOLDOFF_H

#include <stdint.h>

/* The hold-off that one target asked this process for. {0}: none. */
typedef struct pw_holdoff {
  int64_t until; /* ms */
} pw_holdoff;

/* The target asks for a hold-off of `ms`, above 0, from `now` on; it is limited
** to PW_HOLD_OFF_MAX_MS. A shorter hold-off does not end a longer one. Returns
** whether it ends later than before. */
int pwholdoff_asked(pw_holdoff *h, int64_t ms, int64_t now);

/* Remaining ms of the hold-off; 0: requests may be sent. */
int64_t pwholdoff_left(const pw_holdoff *h, int64_t now);

#endif
