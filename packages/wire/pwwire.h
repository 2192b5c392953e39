/* pwwire.h: messages between peatwell's processes, over ZeroMQ.
**
** Each process has one listening and one dialling socket. A socket belongs to
** the thread that created it. Messages queued for a lost peer may arrive after
** it reconnects, so receivers must check incarnation, term and revision of each
** message. */
#ifndef PWWIRE_H
#define PWWIRE_H

#include "peatwell.pb-c.h"
#include "pwclock.h"
#include "pwcount.h"
#include "pwset.h"

#include <stddef.h>
#include <stdint.h>

/* A peer of one socket, as its ZeroMQ routing id. */
typedef struct pw_peer {
  uint8_t len;
  uint8_t id[31];
} pw_peer;

typedef struct pw_wire pw_wire;
typedef struct pw_sock pw_sock;

/* Creates the messaging of one process. The settings give its name and its key
** files. NULL with a reason in err if the keys cannot be read. */
pw_wire *pwwire_new(const pw_settings *settings, pw_counters *counters,
                    pw_hlc *hlc, pw_buf *err);

/* Shuts messaging down and drops unsent messages. */
void pwwire_free(pw_wire *w);

/* A random number, drawn at start, that identifies this run of the process. */
uint64_t pwwire_incarnation(const pw_wire *w);

/* Sets the revision that all later messages carry. Any thread may call it. */
void pwwire_set_revision(pw_wire *w, uint64_t revision);

/* Creates a socket that listens on "tcp://IP:PORT". NULL with a reason in
** err. */
pw_sock *pwwire_listen(pw_wire *w, const char *addr, pw_buf *err);

/* Creates a socket for outgoing connections. */
pw_sock *pwwire_dialler(pw_wire *w);

/* Connects such a socket to one more peer. Fills *peer and returns 0, or -1. */
int pwwire_dial(pw_sock *s, const char *addr, pw_peer *peer);

/* Reads the address of the next dialled peer whose connection was lost; 0: no
** such event is left. pwwire_monitor_raw is the socket to poll for events. */
int pwwire_next_lost(pw_sock *s, char *addr, size_t cap);
void *pwwire_monitor_raw(pw_sock *s);

/* Disconnects a dialled peer and drops the messages queued for it. */
void pwwire_disconnect(pw_sock *s, const char *addr);

void pwwire_close(pw_sock *s);

/* Sends a message, whose body the caller has set. Returns -1, and does not send,
** if the peer is not connected or its queue is full. */
int pwwire_send(pw_sock *s, const pw_peer *to, Pw__Envelope *e);

/* Receives the next message; NULL: none is waiting. Malformed messages are
** dropped. Free it with pw__envelope__free_unpacked(e, NULL). */
Pw__Envelope *pwwire_recv(pw_sock *s, pw_peer *from);

/* The ZeroMQ socket, for zmq_poll. */
void *pwwire_raw(pw_sock *s);

int pwwire_same_peer(const pw_peer *a, const pw_peer *b);

/* Initializes an Envelope with a body, as in PW_ENVELOPE(RUN, run, &run). */
#define PW_ENVELOPE(case_name, field, pointer)                                 \
  ((Pw__Envelope){.base = PROTOBUF_C_MESSAGE_INIT(&pw__envelope__descriptor),  \
                  .from = "",                                                  \
                  .body_case = PW__ENVELOPE__BODY_##case_name,                 \
                  .field = (pointer)})

#endif
