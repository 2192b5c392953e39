/* pwrelay.c: the address at which others call this gateway. It sends the configuration to gateways that control has
** referred to this one, and learns control instances from a leader that looks for lost gateways. */
#include "pwlinkint.h"

#include <stdlib.h>

struct pw_relay {
  pw_gate *g;
  pw_sock *sock; /* NULL: no address is set, so nothing is sent */
  const pw_doc *doc;
  pw_relay_learned *learned;
  pw_zmqev watcher;
};

static void on_watch(pw_relay *r, const pw_peer *from, const Pw__Watch *m) {
  if (!m->want || pwdoc_version(r->doc) <= m->site)
    return; /* there is nothing newer here: the other gateway requests it from control again */
  Pw__Document d = *pwdoc_packed(r->doc, m->site);
  Pw__Envelope e = PW_ENVELOPE(DOCUMENT, document, &d);
  pwwire_send(r->sock, from, &e);
}

static void read_messages(void *arg) {
  pw_relay *r = arg;
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(r->sock, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_WATCH)
      on_watch(r, &from, e->watch);
    else if (e->body_case == PW__ENVELOPE__BODY_NOTICE)
      r->learned(r->g->link, e->notice->control, e->notice->n_control);
    pw__envelope__free_unpacked(e, NULL);
  }
}

pw_relay *pwrelay_new(pw_gate *g, const pw_doc *doc, pw_relay_learned *learned,
                      pw_buf *err) {
  const char *addr = g->p->set->gateway_relay;
  pw_relay *r = pw_alloc(sizeof *r);
  r->g = g;
  r->doc = doc;
  r->learned = learned;
  if (!addr[0])
    return r;
  r->sock = pwwire_listen(g->p->wire, addr, err);
  if (!r->sock) {
    free(r);
    return NULL;
  }
  pwzmqev_start(&r->watcher, g->ev, r->sock, read_messages, r);
  return r;
}

void pwrelay_free(pw_relay *r) {
  if (!r)
    return;
  pwzmqev_stop(&r->watcher);
  pwwire_close(r->sock);
  free(r);
}
