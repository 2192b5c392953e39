/* pwlostgateways.c: keeps and calls gateways that are silent. */
#include "pwlostgateways.h"

#include "pwbuf.h"
#include "pwlimits.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

/* A lost gateway is forgotten after this time, ms. */
#define FORGET_MS 600000

/* Lost gateways that are kept; beyond that new ones are left out. */
#define LOST_MAX 1024

/* Lost gateways that are called at the same time, the interval between two
** messages to each of them, ms, and how long one is called before its place
** goes to the next one if there are more, ms. Connections to hundreds of
** gateways that are gone would keep the leader busy. */
#define CALLED_MAX 64
#define CALL_MS 500
#define HOLD_MS 1000

typedef struct lost {
  char relay[PW_NAME_MAX];
  int64_t heard_at;
  int64_t called_at; /* when the connection to it was begun; 0: there is none */
  int64_t called_before; /* when the connection before was begun */
  pw_peer peer;
  struct lost *next;
} lost;

struct pw_lost_gateways {
  pw_proc *p;
  pw_sock *dialler;
  lost *first;
  int n, ncalled;
  int64_t sent_at; /* when the lost gateways were last sent the members */
};

pw_lost_gateways *pwlost_new(pw_proc *p, pw_sock *dialler) {
  pw_lost_gateways *l = pw_alloc(sizeof *l);
  l->p = p;
  l->dialler = dialler;
  return l;
}

static void hang_up(pw_lost_gateways *l, lost *one) {
  if (!one->called_at)
    return;
  pwwire_disconnect(l->dialler, one->relay);
  one->called_before = one->called_at;
  one->called_at = 0;
  l->ncalled--;
}

static void drop(pw_lost_gateways *l, lost **at) {
  lost *one = *at;
  hang_up(l, one);
  *at = one->next;
  l->n--;
  free(one);
}

void pwlost_free(pw_lost_gateways *l) {
  if (!l)
    return;
  while (l->first)
    drop(l, &l->first);
  free(l);
}

static lost **find(pw_lost_gateways *l, const char *relay) {
  lost **at = &l->first;
  while (*at && strcmp((*at)->relay, relay) != 0)
    at = &(*at)->next;
  return at;
}

/* The earliest time counts at which any instance last heard the gateway, so
** that all forget it together. */
void pwlost_add(pw_lost_gateways *l, const char *relay, int64_t age_ms,
                int64_t now) {
  lost *known = *find(l, relay);
  if (known) {
    if (now - age_ms < known->heard_at)
      known->heard_at = now - age_ms;
    return;
  }
  if (!relay[0] || l->n == LOST_MAX || age_ms >= FORGET_MS)
    return;
  lost *one = pw_alloc(sizeof *one);
  pw_copy(one->relay, sizeof one->relay, relay);
  one->heard_at = now - age_ms;
  one->next = l->first;
  l->first = one;
  l->n++;
  pwlog(LOG_NOTICE, "gateway-lost", "relay=%s silent_ms=%lld", relay,
        (long long)age_ms);
}

void pwlost_remove(pw_lost_gateways *l, const char *relay) {
  lost **at = find(l, relay);
  if (!*at)
    return;
  pwlog(LOG_NOTICE, "gateway-back", "relay=%s", relay);
  drop(l, at);
}

void pwlost_fill(const pw_lost_gateways *l, Pw__Notice *n, int64_t now) {
  n->lost_gateways = pw_alloc(sizeof *n->lost_gateways * (size_t)(l->n + 1));
  for (lost *one = l->first; one; one = one->next) {
    Pw__LostGateway *m = pw_alloc(sizeof *m);
    pw__lost_gateway__init(m);
    m->relay = one->relay;
    m->age = (uint32_t)(now - one->heard_at);
    n->lost_gateways[n->n_lost_gateways++] = m;
  }
}

void pwlost_clear(Pw__Notice *n) {
  for (size_t i = 0; i < n->n_lost_gateways; i++)
    free(n->lost_gateways[i]);
  free(n->lost_gateways);
  n->lost_gateways = NULL;
  n->n_lost_gateways = 0;
}

/* --- calls --- */

static void forget_old(pw_lost_gateways *l, int64_t now) {
  for (lost **at = &l->first; *at;) {
    if (now - (*at)->heard_at < FORGET_MS)
      at = &(*at)->next;
    else
      drop(l, at);
  }
}

static void end_calls(pw_lost_gateways *l, int leads, int64_t now) {
  for (lost *one = l->first; one; one = one->next)
    if (!leads || (l->n > CALLED_MAX && now - one->called_at >= HOLD_MS))
      hang_up(l, one);
}

/* The gateway that has not been called for longest. */
static lost *next_to_call(const pw_lost_gateways *l) {
  lost *best = NULL;
  for (lost *one = l->first; one; one = one->next)
    if (!one->called_at && (!best || one->called_before < best->called_before))
      best = one;
  return best;
}

static void begin_calls(pw_lost_gateways *l, int64_t now) {
  lost *one;
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
  for (lost *one = l->first; one; one = one->next)
    if (one->called_at)
      pwwire_send(l->dialler, &one->peer, &e);
}

void pwlost_tick(pw_lost_gateways *l, int leads, char **control,
                 size_t ncontrol, int64_t now) {
  pwcount_set(l->p->counters, PWC_LOST_GATEWAYS, l->n);
  if (now - l->sent_at < CALL_MS)
    return;
  l->sent_at = now;
  forget_old(l, now);
  end_calls(l, leads, now);
  if (!leads)
    return;
  begin_calls(l, now);
  send_members(l, control, ncontrol);
}
