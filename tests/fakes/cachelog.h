/* cachelog.h: the stand-in engine's cache events (docs/ENGINE.md), which can be delayed and dropped. */
#ifndef CACHELOG_H
#define CACHELOG_H

#include <jansson.h>
#include <stdint.h>

/* Faults: events younger than late_ms are not reported yet; the next `lose` events are dropped. */
typedef struct cachelog_faults {
  double late_ms;
  int lose;
  int off; /* the engine has no cache events: 404 */
} cachelog_faults;

extern cachelog_faults cache_faults;

/* Adds an event: the engine now caches `tokens` tokens of the prompt under key; 0: none. */
void cachelog_add(const char *key, uint32_t tokens);

/* Answer with the events after number `after`; new reference. */
json_t *cachelog_after(uint64_t after);

/* Answer for a snapshot of the whole cache; the caller fills its list of events with items. */
json_t *cachelog_all(void);
json_t *cachelog_item(uint64_t n, const char *key, uint32_t tokens, int64_t at);

#endif
