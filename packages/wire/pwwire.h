/* pwwire.h: messages between peatwell's processes, over ZeroMQ.
**
** Each process has one listening and one dialling socket; a socket belongs to
** the thread that made it. Messages queued for a lost peer may arrive after it
** comes back, so receivers judge each by incarnation, term and revision. */
#ifndef PWWIRE_H
#define PWWIRE_H

#include "peatwell.pb-c.h"
#include "pwclock.h"
#include "pwcount.h"
#include "pwset.h"

#include <stddef.h>
#include <stdint.h>

/* A peer of one socket: ZeroMQ's routing id. */
typedef struct pw_peer {
  uint8_t len;
  uint8_t id[31];
} pw_peer;

typedef struct pw_wire pw_wire;
typedef struct pw_sock pw_sock;

/* The messaging of one process. Settings name it and its keys; NULL with a
** reason in err when the keys cannot be read. */
pw_wire *pwwire_new(const pw_settings *settings, pw_counters *counters,
                    pw_hlc *hlc, pw_buf *err);

/* Closes what is left, dropping unsent messages. */
void pwwire_free(pw_wire *w);

/* A random number drawn at start; tells this life of the process apart. */
uint64_t pwwire_incarnation(const pw_wire *w);

/* The revision that all later messages carry. Any thread. */
void pwwire_set_revision(pw_wire *w, uint64_t revision);

/* Socket that listens on "tcp://IP:PORT"; NULL with a reason in err. */
pw_sock *pwwire_listen(pw_wire *w, const char *addr, pw_buf *err);

/* Socket to dial peers with, and a dial: fills *peer. Returns 0 or -1. */
pw_sock *pwwire_dialler(pw_wire *w);
int pwwire_dial(pw_sock *s, const char *addr, pw_peer *peer);

/* The address of a dialled peer whose connection was just lost; 0 when there
** is none. pwwire_lost_raw is the socket to poll for it. */
int pwwire_lost(pw_sock *s, char *addr, size_t cap);
void *pwwire_lost_raw(pw_sock *s);

/* Forgets a dialled peer and what is queued for it. */
void pwwire_hang_up(pw_sock *s, const char *addr);

void pwwire_close(pw_sock *s);

/* Sends a message whose body is set; the rest is filled in. Returns -1 when
** the peer is not connected or its queue is full: then it was not sent. */
int pwwire_send(pw_sock *s, const pw_peer *to, Pw__Envelope *e);

/* Next message, or NULL when there is none; broken ones are dropped. Freed
** with pw__envelope__free_unpacked(e, NULL). */
Pw__Envelope *pwwire_recv(pw_sock *s, pw_peer *from);

/* ZeroMQ's socket, for zmq_poll. */
void *pwwire_raw(pw_sock *s);

int pwwire_same(const pw_peer *a, const pw_peer *b);

/* An Envelope with a body: PW_ENVELOPE(RUN, run, &run). */
#define PW_ENVELOPE(case_name, field, pointer)                                 \
  ((Pw__Envelope){.base = PROTOBUF_C_MESSAGE_INIT(&pw__envelope__descriptor),  \
                  .from = "",                                                  \
                  .body_case = PW__ENVELOPE__BODY_##case_name,                 \
                  .field = (pointer)})

#endif
