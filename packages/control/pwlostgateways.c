/* pwlostgateways.c: keeps gateways that this instance does not hear, and calls lost ones. */
#include "pwlostgateways.h"

#include "pwbuf.h"
#include "pwlimits.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

/* A gateway is forgotten when nobody has heard it for this time, ms. */
#define FORGET_MS 600000

/* Gateways that are kept; beyond that new ones are left out. */
#define KEPT_MAX 4096

/* Lost gateways that are called at the same time, the interval between two
** messages to each of them, ms, and how long one is called before its place
** goes to the next one if there are more, ms. Connections to hundreds of
** gateways that are gone would keep the leader busy. */
#define CALLED_MAX 64
#define CALL_MS 500
#define HOLD_MS 1000

typedef struct gateway {
  char relay[PW_NAME_MAX];
  int64_t heard_at; /* when any instance last heard it */
  int is_lost;
  int64_t called_at; /* when the connection to it was begun; 0: there is none */
  int64_t called_before; /* when the connection before was begun */
  pw_peer peer;
  struct gateway *next;
} gateway;

struct pw_lost_gateways {
  pw_proc *p;
  pw_sock *dialler;
  gateway *first;
  int n, nlost, ncalled;
  int64_t sent_at; /* when the lost gateways were last sent the members */
};

pw_lost_gateways *pwlost_new(pw_proc *p, pw_sock *dialler) {
  pw_lost_gateways *l = pw_alloc(sizeof *l);
  l->p = p;
  l->dialler = dialler;
  return l;
}

static void hang_up(pw_lost_gateways *l, gateway *one) {
  if (!one->called_at)
    return;
  pwwire_disconnect(l->dialler, one->relay);
  one->called_before = one->called_at;
  one->called_at = 0;
  l->ncalled--;
}

static void drop(pw_lost_gateways *l, gateway **at) {
  gateway *one = *at;
  hang_up(l, one);
  *at = one->next;
  l->n--;
  l->nlost -= one->is_lost;
  free(one);
}

void pwlost_free(pw_lost_gateways *l) {
  if (!l)
    return;
  while (l->first)
    drop(l, &l->first);
  free(l);
}

static gateway **find(pw_lost_gateways *l, const char *relay) {
  gateway **at = &l->first;
  while (*at && strcmp((*at)->relay, relay) != 0)
    at = &(*at)->next;
  return at;
}

static void set_lost(pw_lost_gateways *l, gateway *one, int is_lost,
                     int64_t now) {
  if (one->is_lost == is_lost)
    return;
  one->is_lost = is_lost;
  l->nlost += is_lost ? 1 : -1;
  pwlog(LOG_NOTICE, is_lost ? "gateway-lost" : "gateway-back",
        "relay=%s silent_ms=%lld", one->relay,
        (long long)(now - one->heard_at));
}

/* The latest time counts at which any instance heard the gateway. */
void pwlost_add(pw_lost_gateways *l, const char *relay, int64_t age_ms,
                int64_t now) {
  gateway *known = *find(l, relay);
  if (known) {
    if (now - age_ms > known->heard_at)
      known->heard_at = now - age_ms;
    return;
  }
  if (!relay[0] || l->n == KEPT_MAX || age_ms >= FORGET_MS)
    return;
  gateway *one = pw_alloc(sizeof *one);
  pw_copy(one->relay, sizeof one->relay, relay);
  one->heard_at = now - age_ms;
  one->next = l->first;
  l->first = one;
  l->n++;
}

void pwlost_remove(pw_lost_gateways *l, const char *relay) {
  gateway **at = find(l, relay);
  if (!*at)
    return;
  set_lost(l, *at, 0, pwclock_ms());
  drop(l, at);
}

int pwlost_count(const pw_lost_gateways *l) {
  return l->n;
}

void pwlost_fill_one(Pw__Notice *n, char *relay, int64_t age_ms) {
  Pw__GatewayHeard *m = pw_alloc(sizeof *m);
  pw__gateway_heard__init(m);
  m->relay = relay;
  m->age = age_ms > 0 ? (uint32_t)age_ms : 0;
  n->gateways_heard[n->n_gateways_heard++] = m;
}

void pwlost_fill(const pw_lost_gateways *l, Pw__Notice *n, int64_t now) {
  for (gateway *one = l->first; one; one = one->next)
    pwlost_fill_one(n, one->relay, now - one->heard_at);
}

void pwlost_clear(Pw__Notice *n) {
  for (size_t i = 0; i < n->n_gateways_heard; i++)
    free(n->gateways_heard[i]);
  free(n->gateways_heard);
  n->gateways_heard = NULL;
  n->n_gateways_heard = 0;
}

/* --- calls --- */

static void update_lost(pw_lost_gateways *l, int64_t silent_ms, int64_t now) {
  for (gateway **at = &l->first; *at;) {
    set_lost(l, *at, now - (*at)->heard_at >= silent_ms, now);
    if (now - (*at)->heard_at < FORGET_MS)
      at = &(*at)->next;
    else
      drop(l, at);
  }
}

static void end_calls(pw_lost_gateways *l, int leads, int64_t now) {
  for (gateway *one = l->first; one; one = one->next)
    if (!leads || !one->is_lost ||
        (l->nlost > CALLED_MAX && now - one->called_at >= HOLD_MS))
      hang_up(l, one);
}

/* The gateway that has not been called for longest. */
static gateway *next_to_call(const pw_lost_gateways *l) {
  gateway *best = NULL;
  for (gateway *one = l->first; one; one = one->next)
    if (one->is_lost && !one->called_at &&
        (!best || one->called_before < best->called_before))
      best = one;
  return best;
}

static void begin_calls(pw_lost_gateways *l, int64_t now) {
  gateway *one;
  while (l->ncalled < CALLED_MAX && (one = next_to_call(l)) != NULL) {
    if (pwwire_dial(l->dialler, one->relay, &one->peer) != 0) {
      pwlog(LOG_WARNING, "gateway-not-called", "relay=%s", one->relay);
      drop(l, find(l, one->relay));
      continue;
    }
    one->called_at = now;
    l->ncalled++;
  }
}

static void send_members(pw_lost_gateways *l, char **control, size_t ncontrol) {
  Pw__Notice n = PW__NOTICE__INIT;
  n.control = control;
  n.n_control = ncontrol;
  Pw__Envelope e = PW_ENVELOPE(NOTICE, notice, &n);
  /* A message that cannot be sent now is repeated. */
  for (gateway *one = l->first; one; one = one->next)
    if (one->called_at)
      pwwire_send(l->dialler, &one->peer, &e);
}

void pwlost_tick(pw_lost_gateways *l, int leads, char **control,
                 size_t ncontrol, int64_t silent_ms, int64_t now) {
  if (now - l->sent_at < CALL_MS)
    return;
  l->sent_at = now;
  update_lost(l, silent_ms, now);
  pwcount_set(l->p->counters, PWC_LOST_GATEWAYS, l->nlost);
  end_calls(l, leads, now);
  if (!leads)
    return;
  begin_calls(l, now);
  send_members(l, control, ncontrol);
}
