/* pwspread.h: peer-to-peer distribution of a new document that all receivers
** want at once.
**
** Pure: time comes in as an argument. Prevents this failure: a hundred
** gateways want a configuration of 35 KB at the same moment, from a sender
** whose link carries twenty copies a second. Each receiver that has the
** document serves it to one other at a time, so the copies double with each
** round. The sender itself serves receivers that another one failed to serve,
** and all receivers when the document is small. */
#ifndef PWSPREAD_H
#define PWSPREAD_H

#include <stddef.h>
#include <stdint.h>

/* A receiver that was served and asks again after this time got nothing; a
** source is taken to be busy with one receiver for at most this time, ms. 35
** KB take 30 ms on a gateway's link of 10 Mbit/s; a connection to a process
** that is gone never ends. */
#define PW_SPREAD_TIMEOUT_MS 400

/* Receivers are not referred to another source for documents up to this size in
** bytes: a connection to it costs as much. */
#define PW_SPREAD_SMALL 2048

/* A receiver of the document, which can be a source once it has it. */
typedef struct pw_spread_peer {
  uint64_t id;          /* not 0, and unique */
  uint64_t holds;       /* version that it has */
  int can_serve;        /* it serves documents to others */
  int64_t requested_at; /* since when it waits for a newer version, ms; 0: no */
  int64_t served_at;  /* when it was last served or referred, ms; 0: not yet */
  uint64_t source;    /* the source that it was referred to; 0: none */
  int64_t busy_until; /* until when it counts as busy as a source, ms */
  int failed;         /* times that it was served and nothing arrived */
} pw_spread_peer;

/* The receiver asks for a version newer than the one it has. */
void pwspread_request(pw_spread_peer *p, int64_t now);

/* The receiver has `version` now; `newest` is the newest there is. The source
** that served it, if any, is looked up in all[n] and marked free. */
void pwspread_received(pw_spread_peer *p, uint64_t version, uint64_t newest,
                       pw_spread_peer *const *all, size_t n);

/* The receiver to serve next: the one that waits longest. Of those that got
** nothing and asked again, one at a time is served, until it has the document
** or PW_SPREAD_TIMEOUT_MS are over: n receivers get n copies and one more each
** 400 ms, however slow answers are. NULL: none waits. */
pw_spread_peer *pwspread_next(pw_spread_peer *const *all, size_t n,
                              int64_t now);

/* The source for a receiver: a peer that has `newest`. NULL with *own set: the
** sender itself; NULL without: none is free now. `has_room`: the sender's link
** has room; `bytes`: size of the document as sent to this receiver. */
pw_spread_peer *pwspread_source(const pw_spread_peer *to,
                                pw_spread_peer *const *all, size_t n,
                                uint64_t newest, size_t bytes, int has_room,
                                int64_t now, int *own);

/* The receiver is served: by that source, or by the sender itself (NULL). */
void pwspread_serve(pw_spread_peer *to, pw_spread_peer *source, int64_t now);

#endif
