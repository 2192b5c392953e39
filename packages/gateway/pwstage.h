/* pwstage.h: latencies of requests by route and stage. One thread owns a table. */
#ifndef PWSTAGE_H
#define PWSTAGE_H

#include "pwbuf.h"

#include <stdint.h>

typedef enum pw_stage {
  PWSTAGE_QUEUE, /* until it was sent to a first target */
  PWSTAGE_FIRST, /* until its caller has the first of the answer */
  PWSTAGE_PAUSE, /* longest pause between events of a stream, as passed on */
  PWSTAGE_WHOLE, /* until its caller has all of it */
  PWSTAGES
} pw_stage;

typedef struct pw_stages pw_stages;

pw_stages *pwstage_new(void);
void pwstage_free(pw_stages *s);

void pwstage_observe(pw_stages *s, const char *route, pw_stage stage,
                     int64_t ms);

/* As Prometheus text; series without an observation are left out. */
void pwstage_render(const pw_stages *s, pw_buf *out);

#endif
