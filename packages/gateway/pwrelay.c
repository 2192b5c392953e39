/* pwrelay.c: hands the configuration on to other gateways, which control sends here. */
#include "pwlinkint.h"

#include <stdlib.h>
#include <zmq.h>

#define POLL_S 0.05 /* in case an edge of the socket was missed */

struct pw_relay {
  pw_gate *g;
  pw_sock *sock; /* NULL: it hands nothing on */
  const pw_doc *doc;
  ev_io io;
  ev_timer poll;
};

static void on_watch(pw_relay *r, const pw_peer *from, const Pw__Watch *m) {
  if (!m->want || pwdoc_version(r->doc) <= m->site)
    return; /* what was here is gone: who asked asks control again */
  Pw__Document d = *pwdoc_packed(r->doc, m->site);
  Pw__Envelope e = PW_ENVELOPE(DOCUMENT, document, &d);
  pwwire_send(r->sock, from, &e);
}

static void read_messages(pw_relay *r) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(r->sock, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_WATCH)
      on_watch(r, &from, e->watch);
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void on_io(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  read_messages(w->data);
}

static void on_poll(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  read_messages(w->data);
}

pw_relay *pwrelay_new(pw_gate *g, const pw_doc *doc, pw_buf *err) {
  const char *addr = g->p->set->gateway_relay;
  pw_relay *r = pw_alloc(sizeof *r);
  int fd = -1;
  size_t len = sizeof fd;
  r->g = g;
  r->doc = doc;
  if (!addr[0])
    return r;
  r->sock = pwwire_listen(g->p->wire, addr, err);
  if (!r->sock) {
    free(r);
    return NULL;
  }
  zmq_getsockopt(pwwire_raw(r->sock), ZMQ_FD, &fd, &len);
  ev_io_init(&r->io, on_io, fd, EV_READ);
  ev_timer_init(&r->poll, on_poll, POLL_S, POLL_S);
  r->io.data = r->poll.data = r;
  ev_io_start(g->ev, &r->io);
  ev_timer_start(g->ev, &r->poll);
  return r;
}

void pwrelay_free(pw_relay *r) {
  if (!r)
    return;
  if (r->sock) {
    ev_io_stop(r->g->ev, &r->io);
    ev_timer_stop(r->g->ev, &r->poll);
  }
  pwwire_close(r->sock);
  free(r);
}
