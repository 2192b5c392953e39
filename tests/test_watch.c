/* test_watch.c: what a control instance sends to gateways when members of the control group are replaced.
**
** Guards against gateways that keep an old configuration for good. A list of control instances that is sent
** only at a gateway's registration names none of those that replace them later; once all of them are gone,
** the gateway knows nobody to ask. One that was away meanwhile is found only if control calls it. */
#include "pwports.h"
#include "pwtest.h"
#include "pwwatch.h"

#include <poll.h>
#include <string.h>

#define TRIES 1000   /* most iterations until a condition holds */
#define TRY_MS 5     /* duration of an iteration, ms */
#define WATCH_MS 300 /* interval of the gateways' watch messages, ms */
#define REPEAT_MS                                                              \
  6000 /* within this time an unchanged list is sent again, ms */
#define SETTLE_MS                                                              \
  3000 /* after this time no list is due for a change before, ms */
#define SILENT_MS 6000 /* after this time a silent gateway is lost, ms */
#define LIST_MAX 8     /* addresses in a list of the tests */
#define GATEWAYS 2 /* the first one relies on the instance for all targets */

/* A fake gateway, and the list of control instances that it was sent last. */
typedef struct gateway {
  pw_sock *sock;
  pw_peer control;
  char gossip[PW_NAME_MAX];
  int64_t watched_at;
  char list[LIST_MAX][PW_NAME_MAX];
  size_t nlist;
  int lists; /* lists received */
  char relay[PW_NAME_MAX];
  pw_sock *relay_sock;
  int is_silent; /* it sends no watch messages */
  int calls;     /* lists received at its relay address */
} gateway;

typedef struct bed {
  pw_settings set;
  pw_proc p;
  pw_wire *gateway_wire; /* transport of the gateways */
  pw_sock *listener, *dialler;
  pw_state *state;
  pw_watch *watch;
  gateway g[GATEWAYS];
  char self[PW_NAME_MAX];
  int64_t skipped_ms; /* time that was skipped */
} bed;

static void begin(bed *b) {
  pw_buf err = {0};
  memset(b, 0, sizeof *b);
  snprintf(b->self, sizeof b->self, "tcp://127.0.0.1:%d",
           test_free_port(INADDR_ANY));
  b->set.name = "control-1";
  b->set.availability_zone = "az-1";
  b->set.keys_file = b->set.trust_file = "";
  b->set.control_wire = b->self;
  b->set.control_beat = 1000;
  b->p.set = &b->set;
  b->p.counters = pwcount_new();
  pwhlc_init(&b->p.hlc);
  b->p.wire = pwwire_new(&b->set, b->p.counters, &b->p.hlc, &err);
  b->gateway_wire = pwwire_new(&b->set, b->p.counters, &b->p.hlc, &err);
  b->listener = pwwire_listen(b->p.wire, b->self, &err);
  CHECK(b->listener != NULL);
  b->dialler = pwwire_dialler(b->p.wire);
  b->state = pwstate_new();
  b->watch = pwwatch_new(&b->p, b->listener, b->dialler, b->state);
  for (int i = 0; i < GATEWAYS; i++) {
    b->g[i].sock = pwwire_dialler(b->gateway_wire);
    snprintf(b->g[i].gossip, sizeof b->g[i].gossip, "127.0.0.%d:1", i + 1);
    CHECK(pwwire_dial(b->g[i].sock, b->self, &b->g[i].control) == 0);
    snprintf(b->g[i].relay, sizeof b->g[i].relay, "tcp://127.0.0.1:%d",
             test_free_port(INADDR_ANY));
    b->g[i].relay_sock = pwwire_listen(b->gateway_wire, b->g[i].relay, &err);
    CHECK(b->g[i].relay_sock != NULL);
  }
}

static void end(bed *b) {
  pwwatch_free(b->watch);
  pwstate_free(b->state);
  for (int i = 0; i < GATEWAYS; i++) {
    pwwire_close(b->g[i].sock);
    pwwire_close(b->g[i].relay_sock);
  }
  pwwire_close(b->dialler);
  pwwire_close(b->listener);
  pwwire_free(b->gateway_wire);
  pwwire_free(b->p.wire);
  pwcount_free(b->p.counters);
}

static void send_watch(bed *b, int i, int64_t now) {
  Pw__Watch m = PW__WATCH__INIT;
  m.gossip = b->g[i].gossip;
  m.relay = b->g[i].relay;
  m.primary = i == 0;
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(b->g[i].sock, &b->g[i].control, &e);
  b->g[i].watched_at = now;
}

static void take_list(gateway *g, const Pw__Notice *n) {
  if (!n->n_control)
    return;
  g->lists++;
  g->nlist = n->n_control;
  for (size_t i = 0; i < n->n_control && i < LIST_MAX; i++)
    pw_copy(g->list[i], sizeof g->list[i], n->control[i]);
}

static void receive_notices(gateway *g) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(g->sock, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_NOTICE)
      take_list(g, e->notice);
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void receive_calls(gateway *g) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(g->relay_sock, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_NOTICE && e->notice->n_control)
      g->calls++;
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void receive_watches(bed *b, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(b->listener, &from)) != NULL) {
    pwwatch_message(b->watch, &from, e, now);
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void iterate(bed *b) {
  int64_t now = pwclock_ms() + b->skipped_ms;
  for (int i = 0; i < GATEWAYS; i++)
    if (!b->g[i].is_silent && now - b->g[i].watched_at >= WATCH_MS)
      send_watch(b, i, now);
  receive_watches(b, now);
  pwwatch_tick(b->watch, 1, 1, now);
  for (int i = 0; i < GATEWAYS; i++) {
    receive_notices(&b->g[i]);
    receive_calls(&b->g[i]);
  }
  poll(NULL, 0, TRY_MS);
}

#define UNTIL(b, condition)                                                    \
  do {                                                                         \
    for (int i_ = 0; i_ < TRIES && !(condition); i_++)                         \
      iterate(b);                                                              \
    CHECK(condition);                                                          \
  } while (0)

/* The group: this instance and one other. */
static void set_group(bed *b, const char *other) {
  char member[2][PW_NAME_MAX];
  pw_copy(member[0], sizeof member[0], b->self);
  pw_copy(member[1], sizeof member[1], other);
  pwwatch_group(b->watch, member, 2, 1, pwclock_ms() + b->skipped_ms);
}

static int is_listed(const gateway *g, const char *addr) {
  for (size_t i = 0; i < g->nlist && i < LIST_MAX; i++)
    if (!strcmp(g->list[i], addr))
      return 1;
  return 0;
}

static int all_know(const bed *b, const char *addr) {
  for (int i = 0; i < GATEWAYS; i++)
    if (!is_listed(&b->g[i], addr))
      return 0;
  return 1;
}

static void skip(bed *b, int64_t ms) {
  for (int64_t at = 0; at < ms; at += WATCH_MS) {
    b->skipped_ms += WATCH_MS;
    iterate(b);
  }
}

/* Begins with a group of this instance and one other, which the gateways know. Nothing changes any more. */
static void begin_with_group(bed *b) {
  begin(b);
  set_group(b, "tcp://127.0.0.2:1");
  UNTIL(b, all_know(b, "tcp://127.0.0.2:1"));
  skip(b, SETTLE_MS);
}

static void test_replaced_member_is_sent(void) {
  bed b;
  begin_with_group(&b);
  set_group(&b, "tcp://127.0.0.3:1");
  UNTIL(&b, all_know(&b, "tcp://127.0.0.3:1"));
  for (int i = 0; i < GATEWAYS; i++)
    CHECK(!is_listed(&b.g[i], "tcp://127.0.0.2:1"));
  end(&b);
}

/* A message is lost with the connection that carries it, so a list that was sent once may never arrive. */
static void test_list_is_repeated(void) {
  bed b;
  begin_with_group(&b);
  int before[GATEWAYS];
  for (int i = 0; i < GATEWAYS; i++)
    before[i] = b.g[i].lists;
  skip(&b, REPEAT_MS);
  for (int i = 0; i < GATEWAYS; i++)
    UNTIL(&b, b.g[i].lists > before[i]);
  end(&b);
}

static void test_lost_gateway_is_called(void) {
  bed b;
  begin_with_group(&b);
  b.g[1].is_silent = 1;
  skip(&b, SILENT_MS);
  UNTIL(&b, b.g[1].calls > 0);
  CHECK(b.g[0].calls == 0);
  b.g[1].is_silent = 0;
  skip(&b, SETTLE_MS);
  int calls = b.g[1].calls;
  skip(&b, SETTLE_MS);
  CHECK(b.g[1].calls == calls);
  end(&b);
}

/* A gateway that only another control instance has heard; that one may be gone by the time the gateway is back. */
static void test_gateway_lost_by_another_is_called(void) {
  bed b;
  begin(&b);
  set_group(&b, "tcp://127.0.0.2:1");
  b.g[0].is_silent = b.g[1].is_silent = 1;
  Pw__GatewayHeard lost = PW__GATEWAY_HEARD__INIT;
  lost.relay = b.g[1].relay;
  lost.age = SILENT_MS;
  Pw__GatewayHeard *list[] = {&lost};
  Pw__Notice n = PW__NOTICE__INIT;
  n.gateways_heard = list;
  n.n_gateways_heard = 1;
  Pw__Envelope e = PW_ENVELOPE(NOTICE, notice, &n);
  pw_peer from = {0};
  pwwatch_message(b.watch, &from, &e, pwclock_ms());
  UNTIL(&b, b.g[1].calls > 0);
  CHECK(b.g[0].calls == 0);
  end(&b);
}

int main(void) {
  TESTS_BEGIN("watch");
  TEST(test_replaced_member_is_sent);
  TEST(test_list_is_repeated);
  TEST(test_lost_gateway_is_called);
  TEST(test_gateway_lost_by_another_is_called);
  TESTS_END();
}
