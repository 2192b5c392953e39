/* pwstage.h: latency histograms by route and stage. Not thread-safe: each table belongs to one thread. */
#ifndef PWSTAGE_H
#define PWSTAGE_H

#include "pwbuf.h"

#include <stdint.h>

typedef enum pw_stage {
  PWSTAGE_QUEUE, /* until the request was sent to its first target */
  PWSTAGE_FIRST, /* until the first bytes of the answer were sent to the caller */
  PWSTAGE_PAUSE, /* longest pause between forwarded events of a stream */
  PWSTAGE_WHOLE, /* until the complete answer was sent to the caller */
  PWSTAGES
} pw_stage;

typedef struct pw_stages pw_stages;

pw_stages *pwstage_new(void);
void pwstage_free(pw_stages *s);

void pwstage_observe(pw_stages *s, const char *route, pw_stage stage,
                     int64_t ms);

/* Writes Prometheus text; series without observations are left out. */
void pwstage_render(const pw_stages *s, pw_buf *out);

#endif
