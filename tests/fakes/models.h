/* models.h: models that the stand-in engine carries, and orders about them. */
#ifndef FAKE_MODELS_H
#define FAKE_MODELS_H

#include <jansson.h>
#include <stdint.h>

/* Faults to bring about. */
typedef struct fake_faults {
  int checks;        /* refuses orders older than the newest */
  int refuse_orders; /* answer this many loads with 507 */
  int fail_loads;    /* let this many loads come to nothing */
  double load_ms;
  char bad[64]; /* a version whose requests fail */
} fake_faults;

extern fake_faults faults;

/* An order; gives the HTTP status. */
int models_order(uint64_t term, uint64_t sequence, const json_t *order);

/* {role, models: [{model, version, state, adapters}]}; new reference. */
json_t *models_list(void);

/* A request for a model: 1 when it may run; version is filled. */
int models_may_run(const char *name, char version[64]);

/* Forgets every model, as a restarted engine does. */
void models_forget(void);

/* {orders, stale, refused, unloaded, served: {VERSION: n}}; new reference. */
json_t *models_stats(void);

#endif
