/* models.h: the models of the stand-in engine, and the orders that load and retire them. */
#ifndef FAKE_MODELS_H
#define FAKE_MODELS_H

#include <jansson.h>
#include <stdint.h>

/* Faults that can be set. */
typedef struct fake_faults {
  int checks;        /* refuse orders older than the newest */
  int refuse_orders; /* answer this many loads with 507 */
  int fail_loads;    /* let this many loads fail */
  double load_ms;
  char bad[64]; /* version whose requests fail */
} fake_faults;

extern fake_faults faults;

/* Executes an order; returns the HTTP status. */
int models_order(uint64_t term, uint64_t sequence, const json_t *order);

/* {role, models: [{model, version, state, adapters}]}; new reference. */
json_t *models_list(void);

/* Returns 1 when a request for a model may run, else 0; fills the version that serves it. */
int models_may_run(const char *name, char version[64]);

/* Unloads every model, as a restart of the engine does. */
void models_forget(void);

/* {orders, stale, refused, unloaded, served: {VERSION: n}}; new reference. */
json_t *models_stats(void);

#endif
