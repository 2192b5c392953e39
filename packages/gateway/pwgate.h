/* pwgate.h: state of a gateway, for the files of this package alone.
**
** One thread and one event loop own all of it. A client's connection
** (pwclient) carries one exchange (pwexchange) at a time, which goes to
** targets (pwfleet) over kept connections (pwupconn). */
#ifndef PWGATE_H
#define PWGATE_H

#include "pwdialect.h"
#include "pwfleet.h"
#include "pwproc.h"
#include "pwretries.h"
#include "pwtcp.h"
#include "pwtrace.h"
#include "pwwhere.h"

typedef struct pw_gate pw_gate;
typedef struct pw_client pw_client;
typedef struct pw_exchange pw_exchange;
typedef struct pw_link pw_link;
typedef struct pw_gossip pw_gossip;

/* A connection of a caller, or of the platform that asks for readiness. */
struct pw_client {
  pw_gate *g;
  pw_tcp *tcp;
  void (*handle)(pw_client *c); /* a whole request is there */
  pw_h1 request;
  pw_buf body;
  pw_buf ahead; /* bytes that came while a request is in progress */
  pw_exchange *exchange;
  int is_busy;   /* a request is in progress */
  int is_closed; /* its memory goes at the loop's next turn */
  int close_next;
  int64_t since; /* when it came to rest, or the head's first byte; ms */
  pw_client *prev, *next;
};

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
  struct pw_gate_retries *retries; /* one of each service */
  pw_client *clients;
  int nclients;
  int nexchanges;
  uint64_t random;
  int64_t started_at;
  int64_t stop_at; /* when the planned stop began, ms; 0: it has not */
  pw_pick_how how; /* targets are picked */
  int is_ready;
  int64_t swept_at, checked_at;
  ev_io front, ready;
  ev_timer tick;
  ev_prepare reap;
  void **later; /* memory that goes at the loop's next turn */
  size_t nlater, later_cap;
};

/* Frees memory when no call can refer to it any more. */
void pwgate_later(pw_gate *g, void *p);

/* Starts a timer that was initialised, to end `ms` from now: also right after the
** process stood still, when the loop's own time is old. */
void pwgate_timer(pw_gate *g, ev_timer *w, int64_t ms);

/* The retry budget of a service. */
pw_retries *pwgate_retries(pw_gate *g, const char *service);

/* Uniform in [0, 1). */
double pwgate_draw(pw_gate *g);

/* A newer configuration is in force from now on. */
void pwgate_adopt(pw_gate *g, pw_site *site);

/* --- pwclient.c --- */

/* Takes over an accepted connection. */
void pwclient_new(pw_gate *g, int fd, void (*handle)(pw_client *c));

/* Answers whole; `lines` are header lines, each with its line end. */
void pwclient_answer(pw_client *c, int status, const char *lines,
                     const char *body, size_t n);

/* Answers with a result code as JSON; retry_ms above 0 becomes Retry-After. */
void pwclient_refuse(pw_client *c, pw_code code, const char *message,
                     int64_t retry_ms);

/* Begins an answer whose length is not known, gives pieces of it, ends it. */
void pwclient_begin(pw_client *c, int status, const char *lines);
void pwclient_piece(pw_client *c, const char *data, size_t n);
void pwclient_end(pw_client *c);

/* Breaks off: an answer in progress does not look whole. */
void pwclient_break(pw_client *c);

/* Closes connections at rest: a planned stop. */
void pwclient_close_idle(pw_gate *g);

/* Closes connections that have rested or dawdled for too long. */
void pwclient_sweep(pw_gate *g, int64_t now);

/* --- pwexchange.c --- */

/* Begins the exchange of a whole request. */
void pwexchange_begin(pw_client *c);

/* Has requests go on elsewhere whose target went dark. */
void pwexchange_check(pw_gate *g, int64_t now);

/* The caller has gone. */
void pwexchange_abandon(pw_exchange *x);

/* The planned stop is over: what is not answered yet is broken off. */
void pwexchange_stop(pw_exchange *x);

/* The caller has taken all that was written. */
void pwexchange_resume(pw_exchange *x);

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

/* --- pwupconn.c --- */

/* Sends head and body to the target of an exchange, over a kept connection
** that has rested for at most `rest_ms` or a new one. NULL: none to be had. */
pw_upconn *pwupconn_send(pw_gate *g, pw_target *t, pw_exchange *x, pw_buf *head,
                         const pw_buf *body, int is_head_only, int64_t rest_ms);

/* Gives up the answer that is due: the connection is reset. */
void pwupconn_cancel(pw_upconn *u);

void pwupconn_pause(pw_upconn *u, int paused);

/* Closes connections that have rested long, and all to targets that went. */
void pwupconn_sweep(pw_gate *g, pw_target *t, int64_t now);

/* Connections to this target from this gateway. */
int pwupconn_count(const pw_target *t);

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
