/* pwlinkwatch.c: messages by which a gateway tells a control instance what it has, and asks for what it lacks. */
#include "pwlinkint.h"

#include "pwversions.h"

void pwlink_send_watch(pw_link *l, contact *c, int want, int64_t now) {
  Pw__Watch m = PW__WATCH__INIT;
  m.site = pwdoc_version(l->doc);
  m.want = want;
  m.gossip = l->g->p->set->gateway_gossip;
  m.primary = c == l->primary;
  m.relay = l->g->p->set->gateway_relay;
  pw_suspects suspects;
  m.n_suspects =
      pwsuspects_list(&suspects, l->g->quarantine, &l->suspects_at, now);
  m.suspects = suspects.list;
  pw_partsmsg parts;
  m.n_crashing_parts = pwpartsmsg_list(&parts, l->g->parts, &l->parts_at, now);
  m.crashing_parts = parts.list;
  if (c->leads)
    pwversions_fill(l->g->versions, &m);
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(l->sock, &c->peer, &e);
  pwversions_clear(&m);
  c->watched_at = now;
}
