/* pwconn.h: HTTP/1 connections of callers: reads requests, writes answers. Gateways, the resource
** API and entries all serve HTTP through it. A listener, its connections and their event loop
** belong to one thread. What they hold is charged to the account of the loop (pw_tcp_loop.memory), which is asked before
** bytes of callers are kept (pwconnmem). */
#ifndef PWCONN_H
#define PWCONN_H

#include "pwcode.h"
#include "pwh1.h"
#include "pwtcp.h"

#include <stdint.h>

typedef struct pw_conn pw_conn;

/* Limits on the size of a request, and on the time that a caller may take or stay idle. */
typedef struct pw_conn_limits {
  size_t header_bytes;
  size_t body_bytes;
  int64_t header_ms; /* longest time to send a head; 0: idle_ms applies */
  int64_t idle_ms;
} pw_conn_limits;

/* The connections of one listener. The owner sets the fields up to `resume` before pwconns_start. */
typedef struct pw_conns {
  pw_tcp_loop *tcp;
  pw_conn_limits limits;
  /* Connections at once; 0: any number. To make room idle ones are closed, or else requests that have been arriving for a
  ** while are refused. */
  int max;
  size_t read_ahead_max; /* bytes read ahead during a request; 0: a default */
  int is_reserved; /* few connections with small requests, which are served when memory is short, too */

  /* A connection whose caller reads nothing for so long during a request is reset, ms; 0: never. */
  int64_t stall_ms;
  /* The same limit when only complete answers are left to read, ms; 0: never. */
  int64_t stall_complete_ms;
  int send_bytes; /* kernel send buffer of a connection; 0: the system's default */
  const pw_tls_keys *keys;    /* keys for TLS with callers; NULL: plain TCP */
  void *arg;                  /* data of the owner */
  void (*handle)(pw_conn *c); /* a complete request has arrived */
  void (*abandoned)(void *request); /* the caller disconnected; may be NULL */
  void (*resume)(void *request); /* all output has been written; may be NULL */
  /* Whether to take a new connection; otherwise it is closed unread. NULL: all are taken. */
  int (*takes)(void *arg);

  pw_conn *first;
  int count;
  int nclosing; /* connections that wait for their callers to close; each still has its descriptor */
  int is_stopping; /* each answer closes its connection */
  ev_io listening;
  ev_timer accept_retry; /* retries accept */
  int nfailed;           /* failed accepts since the start */
  int nfailed_logged; /* nfailed as of the latest log line on failed accepts */
  int64_t failed_logged_at; /* when that line was logged, ms */
  int64_t nstalled; /* connections reset because the caller read nothing */
  int64_t stalled_logged_at; /* when such a reset was last logged, ms */
  int64_t nrefused; /* requests refused for want of memory or of connections */
  int64_t refused_logged_at; /* when such a refusal was last logged, ms */
  ev_prepare reap;
  pw_conn *dead;
  pw_buf chunk; /* scratch buffer for one chunk, shared by all connections */
} pw_conns;

/* One connection. */
struct pw_conn {
  pw_conns *all;
  pw_tcp *tcp;
  pw_h1 request;
  pw_buf body;
  pw_buf read_ahead; /* bytes received while a request is in progress */
  size_t unparsed; /* bytes of the block being parsed that follow the request */
  void *state;     /* the handler's state of this request; NULL: none */
  int is_busy;     /* a request is in progress */
  int is_parsing;  /* a block of received bytes is being parsed */
  int is_closed; /* the connection is freed in the next iteration of the event loop */
  int close_next;   /* the answer closes the connection */
  int is_throttled; /* the next request waits until the caller has read more */
  int is_paused;    /* nothing is read; what the kernel may hold is charged */
  size_t dropped;   /* bytes of input dropped */
  int drops_input; /* bytes after the request in progress are not kept; it is the last one */
  size_t body_max;    /* limit of the body being received, bytes */
  pw_code body_fault; /* why the rest of the body is not kept; PW_OK: it is */
  size_t
      seen_bytes; /* bytes of the request being received when progress was last seen ... */
  int64_t seen_at;     /* ... and when, by pwtcp_clock, ms; 0: never */
  uint64_t acked;      /* pwtcp_acknowledged when progress was last seen */
  int64_t progress_at; /* when output last moved, or none was pending, ms */
  int64_t since; /* when it became idle, or the head's first byte came, ms */
  pw_conn *prev, *next;
};

/* Accepts connections on a listening descriptor, which it then owns. */
void pwconns_start(pw_conns *s, int fd);

/* Closes the listening descriptor; open connections stay. */
void pwconns_stop_listening(pw_conns *s);

/* Closes idle connections, for a planned stop. */
void pwconns_close_idle(pw_conns *s);

/* Whether a request has begun to arrive and is not complete. */
int pwconns_are_receiving(const pw_conns *s);

/* Refuses all such requests, of which nothing has run, and closes their connections. The callers may retry after
** `retry_ms`. */
void pwconns_refuse_receiving(pw_conns *s, pw_code code, int64_t retry_ms);

/* Resets connections whose callers read nothing (stall_ms). `at`, here and below: the current pwclock_ms. */
void pwconns_close_stalled(pw_conns *s, int64_t at);

/* Closes connections that were idle for too long, and refuses requests that arrive too slowly, or without progress while
** memory is short. */
void pwconns_close_expired(pw_conns *s, int64_t at);

/* Stops listening, resets all connections and frees them. */
void pwconns_end(pw_conns *s);

/* Sends a complete answer; `lines` are header lines, each with its line end. */
void pwconn_answer(pw_conn *c, int status, const char *lines, const char *body,
                   size_t n);

/* Answers with a result code as JSON; retry_ms above 0 becomes Retry-After. */
void pwconn_refuse(pw_conn *c, pw_code code, const char *message,
                   int64_t retry_ms);

/* Refuses a complete request for want of memory for its answer. */
void pwconn_refuse_for_memory(pw_conn *c, const char *message);

/* Begins an answer of unknown length, sends a piece of its body, ends it. */
void pwconn_begin(pw_conn *c, int status, const char *lines);
void pwconn_write(pw_conn *c, const char *data, size_t n);
void pwconn_end(pw_conn *c);

/* Resets the connection, so that the caller does not take a partial answer for a complete one. */
void pwconn_abort(pw_conn *c);

/* Whether the caller has sent bytes after the request in progress (pipelining). */
int pwconn_has_more(const pw_conn *c);

/* Whether the request's URL is exactly this path. */
int pwconn_path_is(const pw_conn *c, const char *path);

#endif
