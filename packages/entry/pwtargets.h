/* pwtargets.h: an entry's table of targets: links, liveness, loads, pools. Only
** the wire thread calls these functions. */
#ifndef PWTARGETS_H
#define PWTARGETS_H

#include "pwbound.h"
#include "pwbreak.h"
#include "pwproc.h"
#include "pwreject.h"
#include "pwres.h"
#include "pwroute.h"
#include "pwview.h"

typedef enum pw_link_state {
  PW_LINK_NONE,    /* not dialled */
  PW_LINK_OPENING, /* dialled and pinged, nothing received yet */
  PW_LINK_UP
} pw_link_state;

/* One target. Times are ms of this process's monotonic clock. */
typedef struct pw_target {
  uint64_t id;
  char name[PW_NAME_MAX];
  char agent[96];             /* address of its agent */
  uint32_t availability_zone; /* number from pwtargets_availability_zone */
  uint32_t weight;
  int drain;  /* set in the target's resource */
  int marked; /* found in the resources during pwtargets_update */

  pw_link_state link;
  pw_peer peer;
  int64_t link_received_at; /* last message over the link */
  int64_t pinged_at;        /* last Ping sent */
  int64_t unanswered_since; /* first Ping sent since link_received_at */
  int64_t dialled_at;       /* when the link was dialled */
  int in_flight;            /* attempts of this entry */

  int64_t newest_report_at; /* when it was made, whoever forwarded it */
  uint64_t incarnation;
  int64_t clock;    /* lower bound of the agent's clock at clock_at, ms */
  int64_t clock_at; /* time of our clock to which `clock` belongs */
  int leaving;      /* the agent reports that it takes no new work */
  pw_report report;
  double pending; /* tokens this entry sent since the report */
  uint32_t queued;
  uint32_t retry_after;
  int64_t hold_off_until; /* end of the hold-off that the target asked for */
  pw_reject rejects;      /* recent rejections although the target had room */
  int changed;            /* the load has changed since reported_at */
  int64_t reported_at;    /* when the load was last reported to the peers */
  pw_breaker breaker;
} pw_target;

typedef struct pw_targets pw_targets;

pw_targets *pwtargets_new(pw_proc *p, pw_sock *dialler);
void pwtargets_free(pw_targets *t);

/* Reads the targets from the resources. Links to removed targets are closed. */
void pwtargets_update(pw_targets *t, const pw_res *r, int64_t now);

pw_target *pwtargets_by_id(pw_targets *t, uint64_t id);
pw_target *pwtargets_by_name(pw_targets *t, const char *name);
pw_target *pwtargets_by_peer(pw_targets *t, const pw_peer *peer);

/* The target whose agent has this address, or NULL. */
pw_target *pwtargets_by_agent(pw_targets *t, const char *addr);

/* All n targets. The array is valid until the next pwtargets_update. */
pw_target **pwtargets_all(pw_targets *t, int *n);

/* Takes in a load report that was made at or after our time `at`. Returns 1
** when it shows that the agent was restarted. */
int pwtargets_report(pw_targets *t, const Pw__Load *load, int64_t at,
                     int64_t now);

/* Sends the agent a Ping, over a new link if there is none. */
void pwtargets_ping(pw_targets *t, pw_target *one, int64_t now);

/* Whether a message of the agent arrived over the link recently enough to send a
** Run. */
int pwtargets_is_fresh(const pw_target *one, int64_t now);

/* Time since the first unanswered Ping, ms; 0 when all are answered. A link that
** was merely idle thus does not count as silent. */
int64_t pwtargets_unanswered_ms(const pw_target *one, int64_t now);

/* Closes the link to the target, if there is one. */
void pwtargets_disconnect(pw_targets *t, pw_target *one);

/* Lower bound of the agent's clock now. */
int64_t pwtargets_clock(const pw_target *one, int64_t now);

/* Fills in the named pool for the next pick; 0 when it has no targets. Valid
** until the next call. The random bits `draw` decide which targets in slow start
** take the request. With `save_retries` targets that recently rejected requests
** are avoided. */
int pwtargets_pool(pw_targets *t, const char *name, const pw_policy *policy,
                   uint64_t draw, int save_retries, int64_t now,
                   pw_route_pool *out);

/* Recomputes the load sums of all pools. */
void pwtargets_sum_up(pw_targets *t, int64_t now);

/* Load sums of up to max pools that the target is in. The names stay owned by
** the table. Returns their number. */
int pwtargets_sums_for(pw_targets *t, const char *target, const char **names,
                       pw_pool_sum *out, int max);

/* Hash of an availability zone's name, 0 for an empty name. */
uint32_t pwtargets_availability_zone(const char *name);

#endif
