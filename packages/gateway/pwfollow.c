/* pwfollow.c: the configuration of a gateway, from being told of to being in force. */
#include "pwlinkint.h"

#define ASK_AGAIN_MS 300 /* a document that did not come is asked for again */

/* A newer document is asked of the primary; of another one when the primary has not told
** of it by then, and of the next after as long again, ms. */
#define ASK_OTHER_MS 1000

/* --- asking for it --- */

static int has_newer(const pw_link *l, const contact *c, int64_t now) {
  return c->site > pwdoc_version(l->doc) && pwlink_is_fresh(c, now);
}

/* The control instance of that place in this gateway's order among those that have a
** newer configuration; the primary comes first. NULL: there are not so many. */
static contact *nth_newer(const pw_link *l, int n, int64_t now) {
  contact *last = NULL;
  if (l->primary && has_newer(l, l->primary, now) && n-- == 0)
    return l->primary;
  do {
    contact *best = NULL;
    for (contact *c = l->contacts; c; c = c->next)
      if (c != l->primary && has_newer(l, c, now) &&
          (!last || pwlink_rank(l, c) < pwlink_rank(l, last)) &&
          (!best || pwlink_rank(l, c) > pwlink_rank(l, best)))
        best = c;
    last = best;
  } while (last && n-- > 0);
  return last;
}

/* Asks one control instance for the newest configuration. All have it: were each
** asked, 103 gateways got 515 copies of 35 KB, which kept the links of five control
** instances busy for 5 s; votes and leases waited behind them (counted by
** document_sent_bytes_total). */
void pwfollow_ask(pw_link *l, int64_t now) {
  int behind = 0;
  for (const contact *c = l->contacts; c; c = c->next)
    behind += has_newer(l, c, now);
  if (!behind) {
    l->behind_at = 0;
    return;
  }
  if (!l->behind_at)
    l->behind_at = now;
  if (now - l->wanted_at < ASK_AGAIN_MS)
    return;
  int turn = (int)((now - l->behind_at) / ASK_OTHER_MS);
  int told = l->primary && has_newer(l, l->primary, now);
  if (l->primary && !told && pwlink_is_fresh(l->primary, now) && turn-- == 0)
    return;
  l->wanted_at = now;
  l->wanted_of = nth_newer(l, turn % behind, now);
  pwlink_send_watch(l, l->wanted_of, 1, now);
}

/* --- taking it --- */

void pwfollow_end(pw_link *l) {
  l->g->dialect->end_site(l->reading);
  l->reading = NULL;
  pwsite_drop(l->before);
  l->before = NULL;
}

/* Reads on in the document that came: a step a turn of the loop, so that streams go
** on meanwhile. One that came while another was read is next. */
void pwfollow_read(pw_link *l) {
  pw_gate *g = l->g;
  pw_site *site;
  char why[160] = "";
  if (!l->reading) {
    size_t n;
    const char *text = pwdoc_text(l->doc, &n);
    l->before = g->site ? pwsite_hold(g->site) : NULL;
    l->read_version = pwdoc_version(l->doc);
    l->read_bytes = n;
    l->reading = g->dialect->begin_site(text, n, l->before);
  }
  int routes = pwsite_routes_a_step(l->read_bytes, !g->site);
  pw_code rc =
      g->dialect->step_site(l->reading, routes, &site, why, sizeof why);
  if (rc == PW_OK && !site)
    return;
  pwfollow_end(l);
  if (rc == PW_OK)
    pwgate_adopt(g, site);
  else
    pwlog(LOG_ERR, "configuration-unreadable", "code=%d why=\"%s\"", (int)rc,
          why);
}

static void drop_helper(pw_link *l) {
  if (l->helper[0])
    pwwire_hang_up(l->sock, l->helper);
  l->helper[0] = 0;
}

/* A gateway that holds the document is asked for it; what it sends is as good as what control
** sends, since a version is written once, and only what is committed is ever sent. */
static void ask_helper(pw_link *l, const char *addr) {
  Pw__Watch m = PW__WATCH__INIT;
  pw_peer peer;
  drop_helper(l);
  pw_copy(l->helper, sizeof l->helper, addr);
  pwwire_dial(l->sock, l->helper, &peer);
  m.site = pwdoc_version(l->doc);
  m.want = 1;
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(l->sock, &peer, &e);
}

void pwfollow_document(pw_link *l, const Pw__Document *d, int64_t now) {
  uint64_t before = pwdoc_version(l->doc);
  if (d->ask[0]) {
    if (d->version > before)
      ask_helper(l, d->ask);
    return;
  }
  pw_code rc = pwdoc_take(l->doc, d);
  if (rc == PW_E_STALE) { /* its base is not kept here: the whole, please */
    l->wanted_at = 0;
    pwdoc_clear(l->doc);
  }
  if (rc != PW_OK || pwdoc_version(l->doc) == before)
    return;
  l->site_at = now;
  drop_helper(l);
  if (l->wanted_of) /* it may name this one to others now */
    pwlink_send_watch(l, l->wanted_of, 0, now);
  pwfollow_read(l);
}
