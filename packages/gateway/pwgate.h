/* pwgate.h: state of a gateway, for the files of this package alone.
**
** One thread and one event loop own all of it. A caller's connection (pwconn)
** carries one exchange (pwexchange) at a time, which goes to targets (pwfleet)
** over kept connections (pwupconn). */
#ifndef PWGATE_H
#define PWGATE_H

#include "pwconn.h"
#include "pwdark.h"
#include "pwdialect.h"
#include "pwfleet.h"
#include "pwhold.h"
#include "pwplaces.h"
#include "pwproc.h"
#include "pwquarantine.h"
#include "pwretries.h"
#include "pwshare.h"
#include "pwstage.h"
#include "pwsurge.h"
#include "pwtcp.h"
#include "pwtrace.h"
#include "pwusual.h"
#include "pwwhere.h"

typedef struct pw_gate pw_gate;
typedef struct pw_exchange pw_exchange;
typedef struct pw_link pw_link;
typedef struct pw_gossip pw_gossip;
typedef struct pw_versions pw_versions;

/* What a gateway keeps of one service. */
typedef struct pw_gate_service {
  char name[PW_NAME_MAX];
  pw_retries retries;
  pw_places places;
  pw_share share;     /* of what all gateways are asked for ... */
  double others_rate; /* ... the others, as they told, requests a second */
  pw_surge *surge;    /* of workspaces */
  struct pw_gate_service *next;
} pw_gate_service;

/* And of one route. */
typedef struct pw_gate_route {
  char name[PW_NAME_MAX];
  pw_usual usual; /* time that its callers give a request */
  double
      usual_ms; /* smoothed time of an answer, or between pieces of a stream; 0: not known */
  UT_hash_handle hh;
} pw_gate_route;

struct pw_gate {
  pw_proc *p;
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  const pw_dialect *dialect;
  pw_site *site; /* in force here; NULL: none is known yet */
  pw_fleet *fleet;
  pw_where *where; /* prompts, by the id of their last shared part */
  pw_link *link;
  pw_gossip *gossip;
  pw_trace *trace;
  pw_stages *stages;
  pw_quarantine *quarantine; /* requests under which targets ended ... */
  pw_dark dark; /* ... and those of which it is not known whether theirs did */
  pw_versions *versions; /* services that are rolled out */
  pw_gate_service *services;
  pw_gate_route *routes;
  pw_conns front;   /* callers */
  pw_conns ready;   /* the platform, which asks for readiness */
  pw_conns metrics; /* and at an address of its own */
  int nexchanges;
  pw_exchange *awaiting; /* a configuration, the longest first ... */
  int nawaiting;
  size_t awaiting_bytes; /* ... and their bodies */
  uint64_t random;
  int64_t started_at;
  int64_t stop_at; /* when the planned stop began, ms; 0: it has not */
  pw_pick_how how; /* targets are picked */
  int is_ready;
  int64_t ticked_at, swept_at, checked_at;
  pw_hold hold; /* what each caller and target may have held for it */
  ev_timer tick;
  ev_prepare reap;
  void **later; /* memory that goes at the loop's next turn */
  size_t nlater, later_cap;
};

/* --- pwgate.c --- */

/* Frees memory when no call can refer to it any more. */
void pwgate_later(pw_gate *g, void *p);

/* Uniform in [0, 1). */
double pwgate_draw(pw_gate *g);

/* Whether requests can be sent anywhere: a configuration and targets are known. */
int pwgate_may_serve(pw_gate *g);

/* Tells in a line what has become known of a request under which targets ended; `how`:
** "seen" here, "told" by another gateway, or "kept" by a control instance. */
void pwgate_note_suspect(pw_gate *g, uint64_t sign, pw_quar_news news,
                         const char *how);

/* Control has missed a target's heartbeats, or heard that it ended: what it had when it went dark is
** held against the requests. */
void pwgate_note_silent(pw_gate *g, const char *id, int64_t now);

/* A newer configuration is in force from now on. */
void pwgate_adopt(pw_gate *g, pw_site *site);

/* --- pwkept.c --- */

/* What is kept of a service, and of a route; NULL: too many are. */
pw_gate_service *pwgate_service(pw_gate *g, const char *name);
pw_gate_route *pwgate_route(pw_gate *g, const char *name);

/* Frees all that is kept. */
void pwgate_forget(pw_gate *g);

/* --- pwexchange.c --- */

/* Begins the exchange of a whole request. */
void pwexchange_begin(pw_conn *c);

/* Begins those that waited for a configuration. */
void pwexchange_go_on(pw_gate *g);

/* Ends requests whose time is over, and has those go on elsewhere whose target went dark. */
void pwexchange_check(pw_gate *g, int64_t now);

/* The caller has gone. */
void pwexchange_abandon(void *exchange);

/* The planned stop is over: what is not answered yet is broken off. */
void pwexchange_stop(pw_exchange *x);

/* Bytes that are held for it beside its connection's. */
size_t pwexchange_held(const pw_exchange *x);

/* The caller has taken all that was written. */
void pwexchange_resume(void *exchange);

/* Whether an answer belongs to another, earlier request; fills *told. */
int pwexchange_is_surplus(const pw_exchange *x, const pw_h1 *m, pw_told *told);

/* From its connection to the target: */
void pwexchange_sent(pw_exchange *x);
void pwexchange_head(pw_exchange *x, const pw_h1 *m, const pw_told *told);
void pwexchange_body(pw_exchange *x, const char *data, size_t n);
void pwexchange_whole(pw_exchange *x);

/* The connection failed; `unused`: it had rested before and the target sent
** nothing over it since. */
void pwexchange_failed(pw_exchange *x, pw_tcp_end how, int unused);

/* --- pwunderway.c --- */

/* Answers with the requests under way, the oldest first. */
void pwunderway_answer(pw_gate *g, pw_conn *c);

/* --- pwupconn.c --- */

/* Sends head and body to the target of an exchange, over a kept connection
** that has rested for at most `rest_ms` or a new one. NULL: none to be had. */
pw_upconn *pwupconn_send(pw_gate *g, pw_target *t, pw_exchange *x, pw_buf *head,
                         const pw_buf *body, int is_head_only, int64_t rest_ms);

/* Gives up the answer that is due: the connection is reset. */
void pwupconn_cancel(pw_upconn *u);

/* Bytes that the target has not taken. */
size_t pwupconn_held(const pw_upconn *u);

/* Whether more of the answer has come, or its end. */
int pwupconn_is_readable(const pw_upconn *u);

void pwupconn_pause(pw_upconn *u, int paused);

/* Closes connections that have rested long, and all to targets that went. */
void pwupconn_sweep(pw_target *t, int64_t now);

/* --- pwhint.c --- */

/* Heeds what a target says of itself in an answer, whichever request that is for. */
void pwhint_heed(pw_gate *g, pw_target *t, int status, const pw_told *told);

/* --- pwlink.c: control instances --- */

pw_link *pwlink_new(pw_gate *g, pw_buf *err);
void pwlink_free(pw_link *l);
void pwlink_tick(pw_link *l, int64_t now);

/* Whether a control instance that is in touch with its leader has confirmed
** the configuration in force here; or none could be asked for long. */
int pwlink_is_current(const pw_link *l, int64_t now);

/* Gateways known, this one included. */
int pwlink_gateways(const pw_link *l);

/* --- pwgossip.c: the other gateways --- */

pw_gossip *pwgossip_new(pw_gate *g, pw_buf *err);
void pwgossip_free(pw_gossip *s);

/* The addresses of the gateways, as control tells them; "IP:PORT" each. */
void pwgossip_peers(pw_gossip *s, char **address, size_t n);

/* A prompt was sent where the others would not look for it. */
void pwgossip_moved(pw_gossip *s, uint64_t key, uint32_t target);

/* Tells the others, and adds up what they told. */
void pwgossip_tick(pw_gossip *s, int64_t now);

#endif
