/* pwtcp.h: TCP connections on an event loop (libev). All of a loop belongs to
** one thread. Nothing here blocks.
**
** A connection is closed by its owner only. After pwtcp_close none of its
** calls comes any more; the memory goes at the loop's next turn, so an owner
** may close from within a call. */
#ifndef PWTCP_H
#define PWTCP_H

#include "pwbuf.h"
#include "pwlag.h"
#include "pwtls.h"

#include <ev.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

typedef struct pw_tcp pw_tcp;

/* How a connection ended. */
typedef enum pw_tcp_end {
  PWTCP_EOF,    /* the peer closed in order */
  PWTCP_RESET,  /* reset, timed out or broken */
  PWTCP_REFUSED /* never came up: nothing was sent */
} pw_tcp_end;

typedef struct pw_tcp_calls {
  void (*connected)(void *arg);
  void (*data)(void *arg, const char *data, size_t n);
  void (*ended)(void *arg, pw_tcp_end how);
  void (*drained)(void *arg); /* all that was written has left; may be NULL */
} pw_tcp_calls;

/* What the connections of one loop share. */
typedef struct pw_tcp_loop {
  struct ev_loop *ev;
  ev_prepare reap;
  ev_check turn; /* before all else of a turn */
  pw_lag lag;    /* some timer of the owner turns the loop within lag.turn_ms */
  void (*held_up)(void *arg,
                  int64_t lost_ms); /* before all else; may be NULL */
  void *arg;
  pw_tcp *dead;
  pw_tcp *closing; /* those that wait for their peer to close ... */
  int nclosing;    /* ... each has its descriptor yet */
  char *block;     /* one read's bytes */
} pw_tcp_loop;

void pwtcp_loop_init(pw_tcp_loop *l, struct ev_loop *ev);
void pwtcp_loop_free(pw_tcp_loop *l);

/* Starts a timer, or starts it anew, to end `ms` from now: also right after the process stood
** still, when the loop's own time is old. */
void pwtcp_timer(pw_tcp_loop *l, ev_timer *w, int64_t ms);

/* The clock that peers are held to, which leaves out what held the loop up; ms. */
int64_t pwtcp_clock(const pw_tcp_loop *l);

/* Listens on ip:port; the descriptor, or -1. */
int pwtcp_listen(const struct sockaddr_in *at);

/* Takes over an accepted descriptor; with keys its peer speaks TLS. */
pw_tcp *pwtcp_accepted(pw_tcp_loop *l, int fd, const pw_tls_keys *keys,
                       const pw_tcp_calls *calls, void *arg);

/* Begins to connect; NULL when no descriptor can be had. `silent_ms`: a peer
** that acknowledges nothing for so long is taken for lost. */
pw_tcp *pwtcp_connect(pw_tcp_loop *l, const struct sockaddr_in *to,
                      int silent_ms, const pw_tcp_calls *calls, void *arg);

/* Writes, at once or when the peer takes it. */
void pwtcp_write(pw_tcp *c, const void *data, size_t n);

/* The same for two runs of bytes that follow one another. */
void pwtcp_write2(pw_tcp *c, const void *a, size_t an, const void *b,
                  size_t bn);

/* Bytes that the peer has not taken yet. */
size_t pwtcp_pending(const pw_tcp *c);

/* Bytes of memory that hold them, and bytes that it has taken since it came up. */
size_t pwtcp_held(const pw_tcp *c);
uint64_t pwtcp_taken(const pw_tcp *c);

/* Whether bytes have come that were not read yet. */
int pwtcp_has_unread(const pw_tcp *c);

/* The same, or whether its peer has closed in order. */
int pwtcp_is_readable(const pw_tcp *c);

/* Stops and resumes reading; the end of a stopped one is not noticed. */
void pwtcp_pause(pw_tcp *c, int paused);

/* Closes; `reset` drops what is pending and resets. */
void pwtcp_close(pw_tcp *c, int reset);

/* Closes in order once all that is pending has left. No calls come any more. */
void pwtcp_close_after_write(pw_tcp *c);

/* Parses "IP:PORT"; 0 or -1. */
int pwtcp_address(const char *text, struct sockaddr_in *out);

#endif
