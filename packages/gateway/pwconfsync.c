/* pwconfsync.c: fetches newer configurations of a gateway, reads them and applies them. */
#include "pwlinkint.h"

/* A document that was not received is requested again after this time, ms. */
#define REQUEST_RETRY_MS 300

/* A newer document is requested from the primary. If the primary has not reported it after this
** time, ms, it is requested from another control instance, and from the next one each time that the same
** time has passed again. */
#define REQUEST_OTHER_MS 1000

/* --- requests --- */

static int has_newer(const pw_link *l, const contact *c, int64_t now) {
  return c->config_version > pwdoc_version(l->doc) &&
         pwcontacts_is_fresh(c, now);
}

/* The n-th control instance, counted from 0, among those that have a newer configuration: the primary,
** then the others in this gateway's order. NULL: there are fewer. */
static contact *nth_newer(const pw_link *l, int n, int64_t now) {
  contact *last = NULL;
  if (l->primary && has_newer(l, l->primary, now) && n-- == 0)
    return l->primary;
  do {
    contact *best = NULL;
    for (contact *c = l->contacts; c; c = c->next)
      if (c != l->primary && has_newer(l, c, now) &&
          (!last || pwcontacts_rank(l, c) < pwcontacts_rank(l, last)) &&
          (!best || pwcontacts_rank(l, c) > pwcontacts_rank(l, best)))
        best = c;
    last = best;
  } while (last && n-- > 0);
  return last;
}

/* Requests the newest configuration from one control instance. If it were requested from each one,
** 103 gateways would get 515 copies of 35 KB, which kept the links of five control instances busy for 5 s, with
** votes and leases queued behind them. */
void pwconfsync_request(pw_link *l, int64_t now) {
  int nnewer = 0;
  for (const contact *c = l->contacts; c; c = c->next)
    nnewer += has_newer(l, c, now);
  if (!nnewer) {
    l->behind_at = 0;
    return;
  }
  if (!l->behind_at)
    l->behind_at = now;
  if (now - l->requested_at < REQUEST_RETRY_MS)
    return;
  int round = (int)((now - l->behind_at) / REQUEST_OTHER_MS);
  int primary_has_newer = l->primary && has_newer(l, l->primary, now);
  if (l->primary && !primary_has_newer &&
      pwcontacts_is_fresh(l->primary, now) && round-- == 0)
    return;
  l->requested_at = now;
  l->requested_from = nth_newer(l, round % nnewer, now);
  pwlink_send_watch(l, l->requested_from, 1, now);
}

/* --- reading and applying --- */

void pwconfsync_end(pw_link *l) {
  l->g->dialect->end_site(l->reading);
  l->reading = NULL;
  pwsite_release(l->base_site);
  l->base_site = NULL;
}

/* Reads the received document, one step in each iteration of the event loop, so that streams are
** forwarded meanwhile. A document received while another one is read is read next. */
void pwconfsync_read(pw_link *l) {
  pw_gate *g = l->g;
  pw_site *site;
  char why[160] = "";
  if (!l->reading) {
    size_t n;
    const char *text = pwdoc_text(l->doc, &n);
    l->base_site = g->site ? pwsite_retain(g->site) : NULL;
    l->read_version = pwdoc_version(l->doc);
    l->read_bytes = n;
    l->reading = g->dialect->begin_site(text, n, l->base_site);
  }
  int routes = pwsite_routes_per_step(l->read_bytes, !g->site);
  pw_code rc =
      g->dialect->step_site(l->reading, routes, &site, why, sizeof why);
  if (rc == PW_OK && !site)
    return;
  pwconfsync_end(l);
  if (rc == PW_OK)
    pwgate_apply_site(g, site);
  else
    pwlog(LOG_ERR, "configuration-unreadable", "code=%d why=\"%s\"", (int)rc,
          why);
}

static void close_relay(pw_link *l) {
  if (l->relay_addr[0])
    pwwire_disconnect(l->sock, l->relay_addr);
  l->relay_addr[0] = 0;
}

/* Requests the document from a gateway that has it. That copy is the same as control's, since a version
** never changes and only committed versions are ever sent. */
static void fetch_from_relay(pw_link *l, const char *addr) {
  Pw__Watch m = PW__WATCH__INIT;
  pw_peer peer;
  close_relay(l);
  pw_copy(l->relay_addr, sizeof l->relay_addr, addr);
  pwwire_dial(l->sock, l->relay_addr, &peer);
  m.site = pwdoc_version(l->doc);
  m.want = 1;
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(l->sock, &peer, &e);
}

void pwconfsync_document(pw_link *l, const Pw__Document *d, int64_t now) {
  uint64_t before = pwdoc_version(l->doc);
  if (d->ask[0]) {
    if (d->version > before)
      fetch_from_relay(l, d->ask);
    return;
  }
  pw_code rc = pwdoc_apply(l->doc, d);
  /* This gateway does not have the base version of the difference: the full document is needed. */
  if (rc == PW_E_STALE) {
    l->requested_at = 0;
    pwdoc_clear(l->doc);
  }
  if (rc != PW_OK || pwdoc_version(l->doc) == before)
    return;
  l->config_at = now;
  close_relay(l);
  if (l->requested_from) /* it may refer other gateways here now */
    pwlink_send_watch(l, l->requested_from, 0, now);
  pwconfsync_read(l);
}
