/* pwgate.h: state of a gateway, private to this package.
**
** One thread with one event loop owns all of it. A caller's connection (pwconn)
** carries one exchange (pwexchange) at a time, which is sent to targets (pwfleet)
** over pooled connections (pwupconn). */
#ifndef PWGATE_H
#define PWGATE_H

#include "pwaccept.h"
#include "pwaffinity.h"
#include "pwbuflimits.h"
#include "pwconn.h"
#include "pwdialect.h"
#include "pwfleet.h"
#include "pworigins.h"
#include "pwparts.h"
#include "pwproc.h"
#include "pwquarantine.h"
#include "pwrendezvous.h"
#include "pwretries.h"
#include "pwserved.h"
#include "pwshare.h"
#include "pwshed.h"
#include "pwspike.h"
#include "pwstage.h"
#include "pwstoptime.h"
#include "pwtcp.h"
#include "pwtimeouts.h"
#include "pwtrace.h"
#include "pwunresponsive.h"
#include "pwupconn.h"

typedef struct pw_exchange pw_exchange;
typedef struct pw_link pw_link;
typedef struct pw_gossip pw_gossip;
typedef struct pw_versions pw_versions;

/* Per-service state. */
typedef struct pw_gate_service {
  char name[PW_NAME_MAX];
  pw_retries retries;
  pw_shed shed;       /* admission by urgency class */
  pw_share share;     /* request rate at this gateway */
  double others_rate; /* request rate at all other gateways, per second */
  int64_t
      slots_lacking_at; /* when a first attempt that is not surplus last got no slot, ms; 0: never */
  pw_prefill prefill; /* of its engines */
  pw_spike *spike;    /* load spikes of workspaces */
  /* Control instances are told of its streams, as found at tells_control_at, ms. */
  int tells_control;
  int64_t tells_control_at;
  struct pw_gate_service *next;
} pw_gate_service;

/* Per-route state. */
typedef struct pw_gate_route {
  char name[PW_NAME_MAX];
  pw_timeouts baseline; /* baseline of the deadlines that callers send */
  /* Smoothed answer time, or time per chunk of a stream. 0: unknown. */
  double answer_ms;
  double first_ms;    /* usual time to the first byte; 0: unknown */
  pw_longest longest; /* time that targets took for a complete answer */
  UT_hash_handle hh;
} pw_gate_route;

/* Callers refused by a planned stop are told to retry after this time, ms: another gateway takes them at once. */
#define PWGATE_RETRY_STOPPING_MS 100

/* Longest wait of new requests after a standstill of the gateway, ms. */
#define PWGATE_CATCH_UP_MS 800

struct pw_gate {
  pw_proc *p;
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  const pw_dialect *dialect;
  pw_site *site; /* configuration in force; NULL: none received yet */
  pw_fleet *fleet;
  /* The targets that have a shared part of a prompt cached, by its id. */
  pw_affinity *affinity;
  pw_link *link;
  pw_gossip *gossip;
  pw_trace *trace;
  pw_stages *stages;
  pw_quarantine *quarantine; /* requests whose targets crashed */
  pw_parts *parts;           /* parts of prompts whose targets crashed */
  /* Requests whose target is unresponsive but not yet known to have crashed. */
  pw_unresponsive unresponsive;
  /* Requests whose connection the target ended, until it is known whether it crashed. */
  pw_unresponsive ended;
  pw_versions *versions; /* services with a rollout in progress */
  pw_gate_service *services;
  pw_gate_route *routes;
  pw_conns callers;
  int knows_most_loads;    /* the reports of most other gateways are current */
  pw_accept accept;        /* which part of their connections is taken */
  int64_t limit_logged_at; /* when that was last logged, ms; 0: all are taken */
  pw_conns ready;          /* readiness checks by the platform */
  pw_conns metrics;        /* the separate metrics address, if one is set */
  int nexchanges;
  /* Requests that wait for a configuration, oldest first. */
  pw_exchange *awaiting;
  int nawaiting;
  /* Requests that resume a stream and wait for the answers to which version began it, oldest first. */
  pw_exchange *origin_waiters;
  pw_origins *origins; /* which version began which stream */
  pw_served served;    /* which versions served lately, as control recorded */
  /* Number of the last query for that record when it was last received. */
  uint64_t served_query;
  /* Requests that wait for another request's prefill of the prefix that they share, oldest first. */
  pw_exchange *prefix_waiters;
  size_t awaiting_bytes; /* body bytes of the waiting requests */
  uint64_t random;
  int64_t started_at;
  int64_t stop_at;      /* start of the planned stop, ms; 0: not stopping */
  int64_t stop_ends_at; /* when the requests left are ended then, ms */
  /* Until when new requests wait for what was missed in a standstill, ms; 0: they do not. */
  int64_t catch_up_until;
  pw_pick_policy pick_policy; /* how targets are picked */
  int is_ready;
  int64_t ticked_at, swept_at, checked_at;
  pw_buflimits buf_limits; /* current buffer limits per caller and target */
  ev_timer tick;
  ev_prepare reap;
  void **to_free; /* memory to free at the next iteration of the event loop */
  size_t nto_free, to_free_cap;
};

/* --- pwgate.c --- */

/* Frees memory at the next iteration of the event loop, when no callback can
** refer to it any more. */
void pwgate_free_later(pw_gate *g, void *p);

/* Random number, uniform in [0, 1). */
double pwgate_random(pw_gate *g);

/* The limits of what is buffered for each caller and target, by the memory that is held now. */
pw_buflimits pwgate_buf_limits(const pw_gate *g);

/* Whether requests can be sent anywhere: a configuration and targets are known. */
int pwgate_may_serve(pw_gate *g);

/* Ends a standstill of this process in which it missed `lost_ms`: after a long one new requests wait until what control
** instances have told meanwhile is here, but not longer than PWGATE_CATCH_UP_MS. */
void pwgate_note_standstill(pw_gate *g, int64_t lost_ms, int64_t now);

/* Whether new requests still wait after a standstill. */
int pwgate_catches_up(pw_gate *g, int64_t now);

/* Updates the gauge of refused parts of prompts, and logs which have begun or ceased to be refused. */
void pwgate_log_parts(pw_gate *g, int64_t now);

/* Updates the quarantine counters, and logs when a request enters or leaves quarantine. `how` is the
** source of the change: "seen" here, "told" by another gateway, or "kept" by a control instance. */
void pwgate_log_suspect(pw_gate *g, uint64_t fingerprint, pw_quar_change change,
                        const char *how);

/* Handles a report of control that a target is silent or gone: requests that it had when it became
** unresponsive are counted as requests whose target crashed. */
void pwgate_note_silent(pw_gate *g, const char *id, int64_t now);

/* Puts a newer configuration into force; drops one that is not newer. */
void pwgate_apply_site(pw_gate *g, pw_site *site);

/* --- pwgateaccept.c --- */

/* Adapts the part of new connections that is taken to the lag of the event loop, ms. */
void pwgate_limit_accepting(pw_gate *g, int64_t lag, int64_t now);

/* Whether to take a new connection. `gate`: the pw_gate. */
int pwgate_takes_connection(void *gate);

/* --- pwgatestate.c --- */

/* State of a service or route, created on first use. NULL: too many routes are tracked. */
pw_gate_service *pwgate_service(pw_gate *g, const char *name);
pw_gate_route *pwgate_route(pw_gate *g, const char *name);

/* Frees the state of all services and routes. */
void pwgate_free_state(pw_gate *g);

/* --- pwgateserved.c --- */

/* How many software versions of a service's targets serve or served lately. */
typedef enum pw_gate_served {
  PWGATE_SERVED_UNKNOWN, /* none is recorded, or control has not told */
  PWGATE_SERVED_ONE,
  PWGATE_SERVED_SEVERAL
} pw_gate_served;

/* Takes the recorded software versions from a Notice, if it has newer ones. */
void pwgate_receive_served(pw_gate *g, const Pw__Notice *n, int64_t now);

/* Takes the recorded software versions that the leader has confirmed. */
void pwgate_confirm_served(pw_gate *g, const Pw__StreamAnswers *m, int64_t now);

/* Whether a service had targets of one software version only within PWORIGINS_KEEP_MS, by the record as it is known
** here; sets its version_hash then. *version is not defined otherwise. A stream that was begun elsewhere may be of
** another version unless the leader has confirmed the record since its caller resumed it. */
pw_gate_served pwgate_served(const pw_gate *g, const char *service,
                             uint64_t *version);

/* The recorded software versions of a service. New streams begin at these only, so that no stream is of a version that
** the leader's record lacks. */
pw_fleet_versions pwgate_recorded_versions(const pw_gate *g,
                                           const char *service);

/* Whether control instances are told which version began each stream of a service: there may be several versions. */
int pwgate_tells_control(const pw_gate *g, pw_gate_service *s, int64_t now);

/* --- pwexchange.c --- */

/* Begins the exchange of a completely received request. */
void pwexchange_begin(pw_conn *c);

/* Begins the requests that waited for a configuration. */
void pwexchange_start_waiting(pw_gate *g);

/* Ends requests whose timers are overdue, retries elsewhere those whose target is unresponsive, and records
** those that their target leaves unanswered. */
void pwexchange_check(pw_gate *g, int64_t now);

/* Counts the crashes of targets that ended a request's connection a while ago and have given no sign of life since. */
void pwexchange_count_crashes(pw_gate *g, int64_t now);

/* Updates and logs which targets are suspected of leaving requests unanswered. */
void pwexchange_check_targets(pw_gate *g, int64_t now);

/* The caller has disconnected. */
void pwexchange_abandon(void *exchange);

/* Ends a request at the end of a planned stop: with an error that tells whether it may have run, or, if its answer has
** begun, with its connection. */
void pwexchange_stop(pw_exchange *x);

/* The caller has read all that was written to it. */
void pwexchange_resume(void *exchange);

/* --- pwexresume.c --- */

/* Takes an answer to the query which version began a stream, as a pw_origin_answered. */
void pwexchange_origin_answered(pw_gate *g, uint64_t stream, uint64_t from,
                                const pw_origin *origin);

/* The leader has confirmed the recorded versions after it had this query. */
void pwexchange_served_confirmed(pw_gate *g, uint64_t query);

/* Repeats queries that have no answer. */
void pwexchange_check_origins(pw_gate *g, int64_t now);

/* Drops old records. */
void pwexchange_sweep_origins(pw_gate *g, int64_t now);

/* --- pwexprefix.c --- */

/* Time for which a target is expected to have a prefix cached, ms. */
int64_t pwexchange_prefix_keep_ms(const pw_gate *g);

/* A target has finished prefill of the prefix with this key: dispatches the requests that waited for it. */
void pwexchange_prefix_cached(pw_gate *g, uint64_t key);

/* --- pwinflight.c --- */

/* Answers with a JSON list of the requests in flight, the oldest first. */
void pwinflight_answer(pw_gate *g, pw_conn *c);

/* --- pwworkspaces.c --- */

/* Most rows of workspaces in one message between gateways: two for each of 16 workspaces. More would take too much
** of an aggregator's link with some hundred gateways. */
#define PWWORKSPACES_ROWS 32

/* Adds the rates of workspaces to the rows that this gateway reports. */
void pwworkspaces_report(pw_gate *g, pw_loads *own, int64_t now);

/* Applies the sums of all gateways, of which `own` are this one's rows, and logs which workspaces begin
** or end to exceed their share. */
void pwworkspaces_receive(pw_gate *g, const pw_loads *all, const pw_loads *own,
                          int64_t now);

/* Number of rows that may be those of workspaces. */
size_t pwworkspaces_count(const pw_loads *loads);

/* Copies rows to `to`; of those of workspaces at most PWWORKSPACES_ROWS, those with the highest rates, and
** only while there are at most `rows` in total. Keys in `loads_of_targets` are none of workspaces. */
void pwworkspaces_fit(pw_loads *to, const pw_loads *from,
                      const pw_loads *loads_of_targets, size_t rows);

/* Answers with a JSON list of the workspaces with the highest rates. */
void pwworkspaces_answer(pw_gate *g, pw_conn *c);

/* --- pwhint.c --- */

/* Applies what a target reports of itself in the headers of any answer: that it leaves, or that it
** asks for a hold-off. */
void pwhint_apply(pw_gate *g, pw_target *t, int status,
                  const pw_answer_info *info);

/* Takes an answer to the query which version began a stream, from the instance with this hash; NULL: it does not
** know. */
typedef void pw_origin_answered(pw_gate *g, uint64_t stream, uint64_t from,
                                const pw_origin *origin);

/* Takes the leader's confirmation of the recorded versions, as pwexchange_served_confirmed. */
typedef void pw_served_confirmed(pw_gate *g, uint64_t query);

/* --- pwlink.c: control instances --- */

pw_link *pwlink_new(pw_gate *g, pw_origin_answered *origin_answered,
                    pw_served_confirmed *served_confirmed, pw_buf *err);
void pwlink_free(pw_link *l);
void pwlink_tick(pw_link *l, int64_t now);

/* Whether the configuration in force is the newest: confirmed by a control instance that has
** contact with its leader, or no such instance could be reached for a while. */
int pwlink_is_current(const pw_link *l, int64_t now);

/* Asks for all that control instances may have told while this process was suspended. */
void pwlink_begin_catch_up(pw_link *l, int64_t now);

/* Whether that has arrived: the full list of targets, and the configuration that is in force. */
int pwlink_has_caught_up(const pw_link *l, int64_t now);

/* Whether a control instance that has contact with its leader was heard lately: it would have told of new targets. */
int pwlink_hears_leader(const pw_link *l, int64_t now);

/* Number of known gateways, this one included. It may be too small right after a start. */
int pwlink_gateway_count(const pw_link *l);

/* Number of gateways by which a limit for all of them is divided so that they keep it together; 0: unknown. */
int pwlink_budget_count(pw_link *l, int64_t now);

/* Since when pwlink_budget_count has been known, ms; 0: it is not. */
int64_t pwlink_budget_count_since(pw_link *l, int64_t now);

/* --- pwgossip.c: the other gateways --- */

/* What other gateways' messages tell that concerns requests. */
typedef struct pw_gossip_callbacks {
  /* A target has finished prefill of the prefix with this key. */
  void (*prefix_cached)(pw_gate *g, uint64_t key);
  /* Time for which a target is expected to have a prefix cached, ms. */
  int64_t (*prefix_keep_ms)(const pw_gate *g);
  pw_origin_answered *origin_answered;
} pw_gossip_callbacks;

pw_gossip *pwgossip_new(pw_gate *g, const pw_gossip_callbacks *calls,
                        pw_buf *err);
void pwgossip_free(pw_gossip *s);

/* Sets the addresses of all gateways, "IP:PORT" each, as received from control. */
void pwgossip_set_peers(pw_gossip *s, char **address, size_t n);

/* Queues an announcement that a target has the prefix of this key cached, or computes it. */
void pwgossip_announce_prefix(pw_gossip *s, uint64_t key, uint32_t target);

/* Gateways that hold the record of which version began a stream, and gateways that are queried for it: more, since
** their lists may differ, and the gateway at which it began is not among its own holders. */
#define PWGOSSIP_STREAM_HOLDERS 4
#define PWGOSSIP_STREAM_QUERIED 6

/* Announces to the holders of a stream's record which version began it. */
void pwgossip_announce_stream(pw_gossip *s, uint64_t stream, uint64_t version);

/* When the number of known gateways last changed, ms. */
int64_t pwgossip_peers_changed_at(const pw_gossip *s);

/* Queries the holders of a stream's record; pwexchange_origin_answered gets each answer, with the hash of
** the address that it comes from. Sets the hashes of the gateways queried and returns their number. */
int pwgossip_query_stream(pw_gossip *s, uint64_t stream,
                          uint64_t queried[PWRENDEZVOUS_MAX]);

/* Sends this gateway's loads to the others and sums up the loads received. */
void pwgossip_tick(pw_gossip *s, int64_t now);

#endif
