/* pwtargets.h: an entry's table of targets: links, liveness, loads, pools.
** Belongs to the wire thread. */
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
  PW_LINK_OPENING, /* dialled and asked, not yet heard */
  PW_LINK_UP
} pw_link_state;

typedef struct pw_target {
  uint64_t id;
  char name[PW_NAME_MAX];
  char agent[96];
  uint32_t availability_zone;
  uint32_t weight;
  int drain;  /* by the resource */
  int marked; /* still in the resources, while they are read */

  pw_link_state link;
  pw_peer peer;
  int64_t link_heard; /* over the link */
  int64_t asked;      /* last Ping */
  int64_t unanswered; /* first Ping since the link was last heard */
  int64_t dialled_at; /* when the link was dialled */
  int in_flight;      /* attempts of this entry */

  int64_t heard; /* by any way, as of the agent's own report */
  uint64_t incarnation;
  int64_t clock;    /* the agent's clock ... */
  int64_t clock_at; /* ... was at least this, at our time */
  int leaving;      /* by its own report */
  pw_report report;
  double pending; /* tokens this entry sent since the report */
  uint32_t queued;
  uint32_t retry_after;
  int64_t held_until; /* its agent starts nothing until then, ms */
  pw_reject rejects;  /* what it turned away lately, with room */
  int changed;        /* since it was last told to the peers */
  int64_t told;
  pw_breaker breaker;
} pw_target;

typedef struct pw_targets pw_targets;

pw_targets *pwtargets_new(pw_proc *p, pw_sock *dialler);
void pwtargets_free(pw_targets *t);

/* Takes the targets from the resources; those gone are hung up. */
void pwtargets_update(pw_targets *t, const pw_res *r, int64_t now);

pw_target *pwtargets_by_id(pw_targets *t, uint64_t id);
pw_target *pwtargets_by_name(pw_targets *t, const char *name);
pw_target *pwtargets_by_peer(pw_targets *t, const pw_peer *peer);

/* The target whose agent is at this address, or NULL. */
pw_target *pwtargets_by_agent(pw_targets *t, const char *addr);

/* All of them: t[0 .. n-1]. */
pw_target **pwtargets_all(pw_targets *t, int *n);

/* A report of a load that was read at or after our time `at`. Gives 1 when it
** shows that the agent is a new life of itself. */
int pwtargets_report(pw_targets *t, const Pw__Load *load, int64_t at,
                     int64_t now);

/* Opens the link if need be and asks the agent for a sign of life. */
void pwtargets_ask(pw_targets *t, pw_target *one, int64_t now);

/* Whether a Run may go out on the link now. */
int pwtargets_is_fresh(const pw_target *one, int64_t now);

/* ms for which the link has owed an answer; 0: it owes none. A link that was
** merely idle is not silent. */
int64_t pwtargets_silence(const pw_target *one, int64_t now);

/* Hangs up a link that is lost. */
void pwtargets_lose(pw_targets *t, pw_target *one);

/* Our lowest estimate of the agent's clock now. */
int64_t pwtargets_clock(const pw_target *one, int64_t now);

/* The pool of that name for the next pick; 0 when there is none. Good until
** the next call. `draw` decides what slow starts let through; with `spares_retries`
** targets that turn requests away are set aside. */
int pwtargets_pool(pw_targets *t, const char *name, const pw_policy *policy,
                   uint64_t draw, int spares_retries, int64_t now,
                   pw_route_pool *out);

/* Works the sums of all pools out anew; called a few times a second. */
void pwtargets_sum_up(pw_targets *t, int64_t now);

/* Sums of all pools that the target is in, at most max; names are borrowed. */
int pwtargets_sums_for(pw_targets *t, const char *target, const char **names,
                       pw_pool_sum *out, int max);

/* Number for an availability zone's name. */
uint32_t pwtargets_zone(const char *name);

#endif
