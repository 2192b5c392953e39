/* pwholdoff.c: how long a target that asked for a hold-off is sent no
** requests. */
#include "pwholdoff.h"

#include "pwlimits.h"

#include <assert.h>

int pwholdoff_asked(pw_holdoff *h, int64_t ms, int64_t now) {
  assert(ms > 0);
  int64_t until = now + (ms < PW_HOLD_OFF_MAX_MS ? ms : PW_HOLD_OFF_MAX_MS);
  if (until <= h->until)
    return 0;
  h->until = until;
  return 1;
}

int64_t pwholdoff_left(const pw_holdoff *h, int64_t now) {
  return h->until > now ? h->until - now : 0;
}
