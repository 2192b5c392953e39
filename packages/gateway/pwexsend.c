/* pwexsend.c: a request on its way: which target, over which connection. */
#include "pwexint.h"

#include <stdio.h>

/* A connection that rested longer than this carries no request that may not
** run twice: the target may have closed it, and who read what is not known. */
#define REST_ONCE_MS 800
#define REST_ANY_MS 60000

#define MS_PER_S 1000

/* Connections to a target that a gateway may have, however many gateways there are. */
#define CONNECTIONS_LEAST 2

static void write_head(pw_exchange *x, pw_buf *out) {
  const pw_h1 *m = &x->client->request;
  pwbuf_fmt(out, "%s %.*s HTTP/1.1\r\n",
            http_method_str((enum http_method)m->parser.method), (int)m->nurl,
            m->url);
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (!pwh1_is_hop(m, h) && x->g->dialect->passes(h))
      pwh1_write(out, h);
  }
  pw_forward f = {.target = x->t->id,
                  .workspace = x->workspace ? x->workspace->name : NULL,
                  .deadline_ms = pwexi_time_left(x),
                  .urgency = -1,
                  .last_event = x->ask.last_event,
                  .fetch_from = x->holder && x->service->moves_kv
                                    ? x->holder->address
                                    : NULL};
  if (x->nlast_event)
    f.last_event = (pw_span){x->last_event, x->nlast_event};
  x->g->dialect->write_forward(out, &f);
  if (m->has_body || x->client->body.len)
    pwbuf_fmt(out, "Content-Length: %zu\r\n", x->client->body.len);
  pwbuf_add(out, "\r\n", 2);
}

int pwexi_send(pw_exchange *x) {
  pw_buf head = {0};
  int64_t rest = x->route->kind == PWSITE_SAFE ? REST_ANY_MS : REST_ONCE_MS;
  if (x->is_fresh_only)
    rest = 0;
  write_head(x, &head);
  x->is_sent = 0;
  x->sent_at = pwclock_ms();
  x->sent_lost = x->g->tcp.lag.lost_ms;
  x->u = pwupconn_send(x->g, x->t, x, &head, &x->client->body,
                       x->client->request.parser.method == HTTP_HEAD, rest);
  pwbuf_free(&head);
  return x->u ? 0 : -1;
}

/* How many parts of a prompt others have, too; the last is its own. */
static int shared_parts(const pw_ask *ask) {
  return ask->nparts > 1 ? ask->nparts - 1 : ask->nparts;
}

static uint64_t prompt_key(const pw_ask *ask) {
  int n = shared_parts(ask);
  return n ? ask->part[n - 1].id : 0;
}

/* Where a prompt was sent last that begins as this one does, the longest such beginning first;
** 0: none is known. */
static uint32_t find_beginning(const pw_gate *g, const pw_ask *ask, int64_t now,
                               int64_t keep) {
  for (int i = shared_parts(ask) - 2; i >= 0; i--) {
    uint32_t at = pwwhere_find(g->where, ask->part[i].id, now, keep);
    if (at)
      return at;
  }
  return 0;
}

/* Its beginnings lie there from now on. Others are told of the first place that is known here:
** any place will do. */
static void note_beginnings(pw_gate *g, const pw_ask *ask, uint32_t target,
                            int64_t now, int64_t keep) {
  for (int i = shared_parts(ask) - 2; i >= 0; i--) {
    uint64_t key = ask->part[i].id;
    if (!pwwhere_find(g->where, key, now, keep))
      pwgossip_moved(g->gossip, key, target);
    pwwhere_note(g->where, key, target, now);
  }
}

/* Whether it has been nowhere yet: then it may still be refused at once. */
static int is_new(const pw_exchange *x) {
  return !x->has_begun && !x->may_have_run && x->ntried == 0;
}

/* How long a request may wait in its target's own queue: in an engine's, which knows no
** urgency, not at all; where work is short, so that news of free slots come late, half of
** its goal. One that has been somewhere goes on where it can. */
static double wait_at_target(const pw_exchange *x) {
  if (!is_new(x) || x->route->goal_ms <= 0)
    return (double)pwexi_time_left(x) / 2;
  return x->service->is_engine ? 0 : (double)x->route->goal_ms / 2;
}

/* This gateway's part of what all are asked for. */
static double part_of_demand(const pw_exchange *x, int64_t now) {
  double mine = pwshare_rate(&x->kept->share, now);
  double all = mine + x->kept->others_rate;
  return mine > 0 ? mine / all : 1.0 / pwlink_gateways(x->g->link);
}

/* A gateway's part of the places of a service. */
typedef struct part {
  double places;    /* that it may fill with requests as urgent as this one */
  pw_fleet_sum sum; /* of all targets */
} part;

static part part_of(const pw_exchange *x, int64_t now) {
  part p = {.sum = pwfleet_sum(x->g->fleet, x->service->name, x->side, now)};
  double mine = pwshare_rate(&x->kept->share, now);
  double kept = pwplaces_reserve(&x->kept->places, x->urgency, x->is_last);
  if (!x->service->is_engine && p.sum.work_ms > 0) /* targets' queues, too */
    p.sum.slots *= 1 + wait_at_target(x) / p.sum.work_ms;
  p.places = pwshare_places(mine, mine + x->kept->others_rate, p.sum.slots,
                            p.sum.inflight + p.sum.others, kept);
  return p;
}

/* Whether this gateway has its part already; a fraction of a place counts as often. */
static int is_taken(const pw_exchange *x, const part *p) {
  return p->sum.inflight + pwgate_draw(x->g) > p->places;
}

/* Whether it is refused whatever target is free. Places of engines that come free have one who
** comes back: with these turned away as well a day at six times the load was worth 0.399 in place
** of 0.419. A gateway's part of a plain service is a place or less, of which nothing can be
** kept: at three times the load of 103 gateways 0.77 of their credit in place of 0.63. */
static int is_turned_away(const pw_exchange *x, const part *p) {
  int is_back = x->is_last && !x->service->is_engine &&
                !pwplaces_may_return(&x->kept->places, pwgate_draw(x->g));
  return is_back || is_taken(x, p);
}

/* The connections that this gateway may have to one target: its part of those that a
** target takes. */
static int connections_of(const pw_exchange *x) {
  int all = x->service->max_conns;
  int mine = all / pwlink_gateways(x->g->link);
  return all > 0 && mine < CONNECTIONS_LEAST ? CONNECTIONS_LEAST : mine;
}

/* Whether targets that turn requests away are left to others. Where places are short, what they do take is
** needed, and retries are not what is lacking. */
static int spares_retries(const pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  return pwplaces_share(&x->kept->places) > PWEX_CALM_SHARE &&
         pwretries_is_scarce(&x->kept->retries, pwlink_gateways(g->link),
                             pwgate_draw(g), now);
}

/* How far a target may be loaded: more where few requests come to it before the other gateways
** have told of them. */
static pw_pick_bound bound_of(const pw_exchange *x, const part *p) {
  double times = x->g->p->set->gateway_load_times;
  double a_second =
      p->sum.targets > 0 ? x->kept->others_rate / p->sum.targets : 0;
  return (pw_pick_bound){PW_GW_BOUND_SHARE * times,
                         pwpick_extra(a_second, p->sum.others_age_ms),
                         PW_GW_BOUND_ALL_SHARE * times, PW_GW_BOUND_ALL_EXTRA};
}

/* Fills x->t (held) and x->holder; 0 when there is no target. */
static int pick(pw_exchange *x, const part *p) {
  pw_gate *g = x->g;
  int64_t now = pwclock_ms();
  int is_sticky = x->route->is_sticky && x->ask.nparts > 0;
  uint64_t key = prompt_key(&x->ask);
  int64_t keep = (int64_t)(g->p->set->gateway_keep * MS_PER_S);
  pw_fleet_ask ask = {
      .service = x->service->name,
      .side = x->side,
      .how = g->how,
      .is_sticky = is_sticky,
      .key = key,
      .stays = is_new(x) && x->service->is_engine,
      .last = is_sticky ? pwwhere_find(g->where, key, now, keep) : 0,
      .beginning = is_sticky ? find_beginning(g, &x->ask, now, keep) : 0,
      .wait_ms = wait_at_target(x),
      .draw = pwgate_draw(g),
      .bound = bound_of(x, p),
      .cold = {x->service->cold_ms, x->service->cold_per_s},
      .part = part_of_demand(x, now),
      .conns = connections_of(x),
      .spares_retries = spares_retries(x, now),
      .tried = x->tried,
      .ntried = x->ntried};
  pw_fleet_picked got = pwfleet_pick(g->fleet, &ask, now);
  x->t = got.target;
  x->holder = got.holder;
  if (!got.target)
    return 0;
  if (is_sticky) {
    pwwhere_note(g->where, key, got.target->short_hash, now);
    note_beginnings(g, &x->ask, got.target->short_hash, now, keep);
    if (!got.is_home)
      pwgossip_moved(g->gossip, key, got.target->short_hash);
  }
  return 1;
}

/* The gateway has its part of the places, or all targets have as much as they may have. */
static void refuse_full(pw_exchange *x, const part *p) {
  char why[160];
  snprintf(why, sizeof why,
           "all places are taken: urgency %d%s, %.0f in 100 get one; here %.0f "
           "of %.1f, of all %.0f of %.0f",
           x->urgency, x->is_last ? " after others" : "",
           100 * pwplaces_share(&x->kept->places), p->sum.inflight, p->places,
           p->sum.inflight + p->sum.others, p->sum.slots);
  pwcount_add(x->g->p->counters, PWC_GW_FULL, 1);
  /* Its caller comes back over a new connection, unless that would cost it what it has sent behind. */
  x->client->close_next = !pwconn_has_more(x->client);
  pwexi_refuse(
      x, PW_E_BUSY, why,
      pwplaces_retry(pwexi_time_left(x), x->known_after, pwgate_draw(x->g)));
}

/* Nobody can be asked: its caller is told when the first one may be. */
static void refuse_unserved(pw_exchange *x, int64_t now) {
  int64_t left = pwfleet_held_off(x->g->fleet, x->service->name, now);
  if (left > 0)
    pwexi_refuse(x, PW_E_HELD_OFF, "all targets have asked to be left alone",
                 left);
  else
    pwexi_refuse(x, PW_E_NO_TARGET, "no target of the service is known",
                 PWEX_RETRY_NO_TARGET_MS);
}

static void note_placed(pw_exchange *x) {
  const pw_target *t = x->t;
  if (x->ntried == 1)
    pwexi_observe(x, PWSTAGE_QUEUE, x->sent_at - x->arrived);
  pwexi_note(x, PWTRACE_WELL, "placed",
             "target=%s load=%d+%d n=%d key=%llx fetch=%s", t->id, t->inflight,
             t->others, x->ntried, (unsigned long long)prompt_key(&x->ask),
             x->holder ? x->holder->id : "-");
  x->holder = NULL; /* not held */
}

/* Sends it to a target that has a place; 0: there is none. */
static int place_now(pw_exchange *x, const part *p) {
  while (pwexi_time_left(x) > 0 && x->ntried < PWEX_TRIED_MAX && pick(x, p)) {
    x->is_fresh_only = 0;
    x->t->inflight++;
    x->tried[x->ntried++] = pwfleet_hold(x->t);
    pwcount_add(x->g->p->counters, PWC_ATTEMPTS, 1);
    if (pwexi_send(x) == 0) {
      note_placed(x);
      return 1;
    }
    pwexi_let_go(x); /* no descriptor to be had */
  }
  return 0;
}

/* A request that the new version failed goes back to the old one. */
static void choose_side(pw_exchange *x) {
  if (x->ntried == 0)
    x->side = pwfleet_side(x->g->fleet, x->service->name, pwgate_draw(x->g));
  else if (x->side == PWFLEET_TO)
    x->side = PWFLEET_FROM;
}

/* Sends it to a target of its side that has a place, if it gets one; 0: it does not. */
static int try_side(pw_exchange *x, part *p, int was_new, int64_t now) {
  *p = part_of(x, now);
  return !(was_new && is_turned_away(x, p)) && place_now(x, p);
}

void pwexi_place(pw_exchange *x) {
  int64_t now = pwclock_ms();
  int was_new = is_new(x);
  if (pwexi_end_quarantined(x, now))
    return;
  if (was_new)
    pwshare_asked(&x->kept->share, now);
  part p;
  choose_side(x);
  int is_placed = try_side(x, &p, was_new, now);
  if (!is_placed && x->side == PWFLEET_TO) {
    x->side = PWFLEET_FROM;
    is_placed = try_side(x, &p, was_new, now);
  }
  if (was_new)
    pwplaces_asked(&x->kept->places, x->urgency, x->is_last, is_placed, now);
  if (is_placed)
    return;
  if (x->has_begun || x->may_have_run)
    pwexi_give_up(x, PW_E_UNKNOWN, "no other target", 0);
  else if (pwfleet_usable(x->g->fleet, x->service->name, now) == 0)
    refuse_unserved(x, now);
  else
    refuse_full(x, &p);
}
