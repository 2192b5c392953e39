/* pwtcp.h: TCP connections on an event loop (libev). A loop and its connections belong to one
** thread. No function blocks.
**
** Only its owner closes a connection. After pwtcp_close no callback of it runs any more; its memory
** is freed in the loop's next iteration, so an owner may close from within a callback. */
#ifndef PWTCP_H
#define PWTCP_H

#include "pwbuf.h"
#include "pwlag.h"
#include "pwmemory.h"
#include "pwtls.h"

#include <ev.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

/* Kernel receive buffer of an accepted connection, bytes: what a peer can send that is not read. The kernel's own default
** grows to megabytes. It still lets a caller 50 ms away send 2.5 MB a second. */
#define PWTCP_RECEIVE_BYTES (128 * 1024)

/* Most input that is discarded for a peer that cannot be served any more, bytes: the longest legal body of any listener by
** default, so that its caller can send all of it and then read the refusal. */
#define PWTCP_DISCARD_MAX (16UL * 1024 * 1024)

typedef struct pw_tcp pw_tcp;

/* How a connection ended. */
typedef enum pw_tcp_end {
  PWTCP_EOF,    /* the peer closed */
  PWTCP_RESET,  /* reset, timed out or failed */
  PWTCP_REFUSED /* the connection was never established: nothing was sent */
} pw_tcp_end;

typedef struct pw_tcp_callbacks {
  void (*connected)(void *arg);
  void (*data)(void *arg, const char *data, size_t n);
  void (*ended)(void *arg, pw_tcp_end how);
  void (*drained)(void *arg); /* all pending bytes are written; may be NULL */
} pw_tcp_callbacks;

/* State shared by the connections of one loop. */
typedef struct pw_tcp_loop {
  struct ev_loop *ev;
  ev_prepare reap;
  ev_check iteration; /* runs first in each iteration */
  /* Detects stalls. The owner needs a timer that fires within lag.iteration_max_ms. */
  pw_lag lag;

  /* The loop stalled for lost_ms; called before any other event. May be NULL. */
  void (*on_stall)(void *arg, int64_t lost_ms);
  void *arg;
  pw_memory *memory; /* account of the connections; NULL: none */
  pw_tcp *dead;
  pw_tcp *closing; /* connections that wait for their peer to close */
  int nclosing;    /* their number; each still has its descriptor */
  char *read_buf;  /* buffer of one read */
} pw_tcp_loop;

void pwtcp_loop_init(pw_tcp_loop *l, struct ev_loop *ev);
void pwtcp_loop_free(pw_tcp_loop *l);

/* Starts or restarts a timer to fire `ms` from now. Updates the loop's cached time first, which is
** out of date after a stall of the process. */
void pwtcp_timer(pw_tcp_loop *l, ev_timer *w, int64_t ms);

/* Clock for timeouts of peers, ms: it does not advance while the loop is stalled. */
int64_t pwtcp_clock(const pw_tcp_loop *l);

/* Listens on an address; returns the descriptor, or -1. */
int pwtcp_listen(const struct sockaddr_in *at);

/* Makes a connection of an accepted descriptor, which it then owns; with keys the peer uses TLS. */
pw_tcp *pwtcp_accepted(pw_tcp_loop *l, int fd, const pw_tls_keys *keys,
                       const pw_tcp_callbacks *calls, void *arg);

/* Starts to connect; NULL when there is no descriptor or the connect fails at once. `silent_ms`:
** TCP_USER_TIMEOUT, after which a peer that acknowledges nothing counts as lost. */
pw_tcp *pwtcp_connect(pw_tcp_loop *l, const struct sockaddr_in *to,
                      int silent_ms, const pw_tcp_callbacks *calls, void *arg);

/* Changes silent_ms; 0: the system's default. The kernel applies it to a peer with a full window as well, which is alive. */
void pwtcp_set_silent(pw_tcp *c, int silent_ms);

/* Writes now, or buffers until the socket is writable. */
void pwtcp_write(pw_tcp *c, const void *data, size_t n);

/* The same for two consecutive byte ranges. */
void pwtcp_write2(pw_tcp *c, const void *a, size_t an, const void *b,
                  size_t bn);

/* As pwtcp_write2, but what cannot be written now of `b` is not copied: those bytes must stay until they are written or
** the connection is closed. */
void pwtcp_write_borrowed(pw_tcp *c, const void *a, size_t an, const void *b,
                          size_t bn);

/* Bytes that are not yet written to the socket. */
size_t pwtcp_pending(const pw_tcp *c);

/* Whether bytes that were written have not been acknowledged by the peer yet. */
int pwtcp_has_unacknowledged(const pw_tcp *c);

/* Bytes that the peer has acknowledged since the start. While it reads slowly, they rise long before the socket takes
** more. */
uint64_t pwtcp_acknowledged(const pw_tcp *c);

/* Whether unread bytes wait in the socket. */
int pwtcp_has_unread(const pw_tcp *c);

/* Whether unread bytes wait, or the peer has closed. */
int pwtcp_is_readable(const pw_tcp *c);

/* Pauses or resumes reading; while paused, a close by the peer goes unnoticed. */
void pwtcp_pause(pw_tcp *c, int paused);

/* Closes; with `reset` pending bytes are dropped and the peer gets a reset. */
void pwtcp_close(pw_tcp *c, int reset);

/* Closes gracefully once all pending bytes are written. No callback runs any more. */
void pwtcp_close_after_write(pw_tcp *c);

/* Counts the connection in *count while it closes after its output is written. The counter must outlive the loop's
** connections. */
void pwtcp_count_closing(pw_tcp *c, int *count);

/* Parses "IP:PORT"; returns 0 or -1. */
int pwtcp_address(const char *text, struct sockaddr_in *out);

#endif
