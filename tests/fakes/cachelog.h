/* cachelog.h: the stand-in engine's cache events (docs/ENGINE.md), late and
** with gaps on demand. */
#ifndef CACHELOG_H
#define CACHELOG_H

#include <jansson.h>
#include <stdint.h>

/* Faults: events younger than late_ms are not told yet; `lose` are dropped. */
typedef struct cachelog_faults {
  double late_ms;
  int lose;
  int off; /* the engine does not speak of events: 404 */
} cachelog_faults;

extern cachelog_faults cache_faults;

/* The engine now holds `tokens` of the prompt under key; 0: none. */
void cachelog_add(const char *key, uint32_t tokens);

/* Events after `after`, as the answer. */
json_t *cachelog_after(uint64_t after);

/* Head of an answer that tells all: its list of events is to be filled. */
json_t *cachelog_all(void);
json_t *cachelog_item(uint64_t n, const char *key, uint32_t tokens, int64_t at);

#endif
