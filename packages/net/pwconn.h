/* pwconn.h: callers' connections: requests in, answers out. One HTTP engine for all
** that is served here. The connections of a server and its loop belong to one
** thread. */
#ifndef PWCONN_H
#define PWCONN_H

#include "pwcode.h"
#include "pwh1.h"
#include "pwtcp.h"

#include <stdint.h>

typedef struct pw_conn pw_conn;

/* What a caller may send, and how long it may take or rest. */
typedef struct pw_conn_limits {
  size_t header_bytes;
  size_t body_bytes;
  int64_t header_ms; /* 0: a head may take as long as a connection may rest */
  int64_t idle_ms;
} pw_conn_limits;

/* The connections of one listener. The owner fills in the first part. */
typedef struct pw_conns {
  pw_tcp_loop *tcp;
  pw_conn_limits limits;
  int max; /* connections at once; 0: any number. Those that rest give way */
  size_t
      ahead_max; /* bytes read while a request is in progress; 0: as is usual */
  size_t
      body_room; /* longest body that there is room for; 0: any that is allowed */
  int64_t
      stall_ms; /* a caller that takes nothing for so long is ended; 0: never ... */
  int64_t
      stall_whole_ms; /* ... and one that has only whole answers to take; 0: never */
  int send_bytes; /* that the kernel holds for a caller; 0: as it likes */
  const pw_tls_keys *keys;          /* callers speak TLS; NULL: they do not */
  void *arg;                        /* the owner's own */
  void (*handle)(pw_conn *c);       /* a whole request is there */
  void (*abandoned)(void *request); /* its caller has gone; may be NULL */
  void (*resume)(void *request);    /* what was written has left; may be NULL */

  pw_conn *first;
  int count;
  int is_stopping; /* each answer ends its connection */
  ev_io listening;
  ev_timer again;     /* accept is tried anew then */
  int nfailed;        /* accepts that failed, since the start ... */
  int nsaid;          /* ... and as of the last log line of it ... */
  int64_t said_at;    /* ... which was written then, ms */
  int64_t nstalled;   /* callers that were ended since they took nothing ... */
  int64_t stalled_at; /* ... and when a line said so last, ms */
  ev_prepare reap;
  pw_conn *dead;
  pw_buf chunk; /* the piece being written, of any of them */
} pw_conns;

/* One connection. */
struct pw_conn {
  pw_conns *all;
  pw_tcp *tcp;
  pw_h1 request;
  pw_buf body;
  pw_buf ahead;  /* bytes that came while a request is in progress */
  size_t behind; /* bytes of what is being taken that follow the request */
  void *state;   /* the handler's own of this request; NULL: none */
  int is_busy;   /* a request is in progress */
  int is_taking; /* bytes of it are being read into requests */
  int is_closed; /* its memory goes at the loop's next turn */
  int close_next;
  int is_held_up;   /* its next request waits until the caller has taken more */
  size_t body_max;  /* of the request that comes */
  uint64_t taken;   /* bytes that the caller had taken ... */
  int64_t taken_at; /* ... when that last changed, or nothing waited, ms */
  int64_t since;    /* when it came to rest, or the head's first byte; ms */
  pw_conn *prev, *next;
};

/* Accepts on a descriptor that listens, which is taken over. */
void pwconns_start(pw_conns *s, int fd);

/* Closes the listening descriptor; connections go on. */
void pwconns_unlisten(pw_conns *s);

/* Closes connections at rest: a planned stop. */
void pwconns_close_idle(pw_conns *s);

/* Ends callers that take nothing, and gives the bytes that are held for all of them. `at`: now, by
** pwclock_ms, here and below. */
size_t pwconns_check(pw_conns *s, int64_t at);

/* Closes connections that have rested or dawdled for too long. */
void pwconns_sweep(pw_conns *s, int64_t at);

/* Breaks off all that is left, and ends. */
void pwconns_end(pw_conns *s);

/* Answers whole; `lines` are header lines, each with its line end. */
void pwconn_answer(pw_conn *c, int status, const char *lines, const char *body,
                   size_t n);

/* Answers with a result code as JSON; retry_ms above 0 becomes Retry-After. */
void pwconn_refuse(pw_conn *c, pw_code code, const char *message,
                   int64_t retry_ms);

/* Begins an answer whose length is not known, gives pieces of it, ends it. */
void pwconn_begin(pw_conn *c, int status, const char *lines);
void pwconn_piece(pw_conn *c, const char *data, size_t n);
void pwconn_end(pw_conn *c);

/* Breaks off: an answer in progress does not look whole. */
void pwconn_break(pw_conn *c);

/* Whether its caller has sent more behind the request in progress. */
int pwconn_has_more(const pw_conn *c);

/* Whether the request is for this path. */
int pwconn_path_is(const pw_conn *c, const char *path);

#endif
