/* pwspike.h: detects load spikes of single workspaces.
**
** Pure: time comes in as an argument. The baseline is a workspace's rate over
** minutes. Its current rate is compared with the baseline, raised as the other
** workspaces send more than theirs, so that a rise of the whole load is a spike
** of none.
**
** Prevents this failure: one workspace sends 20 or 30 times its baseline
** through 12 to 22 gateways. If each decides on what it receives, the spike
** gets an allowance at every gateway, gateways that receive little of it
** detect none, and one that has just started knows no baseline. So gateways
** report counts of their largest workspaces to each other, and each decides on
** the sums: the allowance is one for all gateways. */
#ifndef PWSPIKE_H
#define PWSPIKE_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_spike pw_spike;

/* Workspaces in one report: those with the highest rates at this gateway. */
#define PWSPIKE_REPORTED 8

/* Rows of one report: current rate and baseline of these and of all requests. */
#define PWSPIKE_ROWS (2 * PWSPIKE_REPORTED + 2)

/* A row of a report. Rows with the same key are added up over gateways. */
typedef struct pw_spike_row {
  uint32_t key, count;
} pw_spike_row;

/* Returns the sum over all other gateways for a key. */
typedef uint32_t (*pw_spike_sum)(void *arg, uint32_t key);

/* What is known of a workspace. */
typedef struct pw_spike_state {
  const char *workspace;
  double here;     /* requests a second at this gateway */
  double now;      /* the same at all gateways that report it */
  double expected; /* what it would send now according to its baseline */
  double surplus;  /* share of its requests that exceeds its allowance */
  /* Requests refused since it is tracked because no slot was free; how many of
  ** them were surplus. */
  uint64_t refused, refused_surplus;
  int is_spiking;
  int is_summed; /* `now` and `expected` are sums over gateways */
} pw_spike_state;

/* `service` makes the keys of reports differ between services. */
pw_spike *pwspike_new(const char *service, int64_t now);
void pwspike_free(pw_spike *s);

/* Counts a request of the workspace. Returns the share of its current requests
** that exceeds what it may send before other workspaces take precedence, 0 to
** 1. */
double pwspike_note(pw_spike *s, const char *workspace, int64_t now);

/* Counts a request of the workspace that was refused because no slot was free. */
void pwspike_refused(pw_spike *s, const char *workspace, int is_surplus);

/* Fills `rows`, which has room for PWSPIKE_ROWS, with what this gateway reports
** to the others; returns their number. Call it at each report: it also makes
** room for workspaces that are not tracked yet. A gateway reports nothing in
** its first seconds, nor while no gateway receives requests. */
size_t pwspike_report(pw_spike *s, int64_t now, pw_spike_row *rows);

/* Takes the sums of the other gateways' reports. They are ignored after one
** second. */
void pwspike_receive(pw_spike *s, pw_spike_sum sum, void *arg, int64_t now);

/* Whether a key of a report may be one of this file. A sixteenth of all other
** keys is, too. */
int pwspike_is_key(uint32_t key);

/* Whether a key holds a current rate rather than a baseline; the key of the
** baseline is pwspike_other_key(key). */
int pwspike_is_rate(uint32_t key);
uint32_t pwspike_other_key(uint32_t key);

/* Calls `on_change` for each workspace that has begun to spike since the last
** call, or has ended. At most PWSPIKE_REPORTED are seen as spiking at a time.
** Returns the number of those that spike. */
int pwspike_check(pw_spike *s, int64_t now,
                  void (*on_change)(void *arg, const pw_spike_state *state),
                  void *arg);

/* Fills `states` with at most `most` workspaces, those with the highest rates
** first; returns their number. */
size_t pwspike_list(pw_spike *s, int64_t now, pw_spike_state *states,
                    size_t most);

#endif
