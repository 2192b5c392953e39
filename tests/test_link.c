/* test_link.c: a gateway's links to control instances: how it dials them, chooses its primary, keeps those that it knows
** while none is heard, and requests a newer configuration from only one when all of them report it at once. */
#include "platform.h"
#include "pwgate.h"
#include "pwpb.h"
#include "pwports.h"
#include "pwtest.h"
#include "pwversions.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

#define CONTROLS 5
#define TRIES 1000 /* most iterations until a condition holds */
#define TRY_MS 5   /* duration of an iteration, ms */
#define ITERATIONS 4
#define WATCH_MS 100000 /* longer than any silence in these tests */

/* After this time a document that was not received is requested again. */
#define REQUEST_AGAIN_MS 2000

/* After this time gateways have returned to their preferred control instance. */
#define LONG_MS 8000

/* After this time silent control instances are dropped while others are heard. */
#define VERY_LONG_MS 30000

/* A fake control instance. */
typedef struct control {
  pw_sock *sock;
  pw_peer gateway; /* the sender of its last watch message */
  int watched, wanted, is_primary;
} control;

typedef struct bed {
  pw_settings set;
  pw_proc p;
  pw_gate g;
  pw_wire *control_wire; /* transport of the control instances */
  control c[CONTROLS];
  int64_t now;  /* the time passed to the gateway's ticks, ms */
  int64_t step; /* advance of that time in each iteration, ms */
} bed;

/* Begins with `seeds` control instances in the gateway's settings. */
static void begin_with_seeds(bed *b, int seeds) {
  pw_buf err = {0};
  int port = test_free_port(INADDR_ANY);
  CHECK(port > 0);
  memset(b, 0, sizeof *b);
  b->now = pwclock_ms();
  b->step = TRY_MS;
  b->set.name = "gateway-1";
  b->set.availability_zone = "az-1";
  b->set.keys_file = b->set.trust_file = "";
  b->set.gateway_gossip = "127.0.0.1:1";
  b->set.gateway_relay = "";
  b->set.gateway_control_port = port;
  b->p.set = &b->set;
  b->p.counters = pwcount_new();
  pwhlc_init(&b->p.hlc);
  b->p.wire = pwwire_new(&b->set, b->p.counters, &b->p.hlc, &err);
  b->control_wire = pwwire_new(&b->set, b->p.counters, &b->p.hlc, &err);
  for (int i = 0; i < CONTROLS; i++) {
    char addr[PW_NAME_MAX];
    snprintf(addr, sizeof addr, "127.0.0.%d:1", i + 1);
    if (i < seeds)
      b->set.gateway_control.item[b->set.gateway_control.n++] = pw_dup(addr);
    snprintf(addr, sizeof addr, "tcp://127.0.0.%d:%d", i + 1, port);
    b->c[i].sock = pwwire_listen(b->control_wire, addr, &err);
    CHECK(b->c[i].sock != NULL);
  }
  b->g.p = &b->p;
  b->g.dialect = &platform_dialect;
  b->g.ev = ev_loop_new(EVFLAG_AUTO);
  b->g.fleet = pwfleet_new("az-1", 1000, 1000);
  b->g.quarantine = pwquar_new();
  b->g.parts = pwparts_new();
  b->g.versions = pwversions_new(&b->g);
  b->g.trace = pwtrace_new("gateway-1", STDOUT_FILENO, 0);
  b->g.link = pwlink_new(&b->g, pwexchange_origin_answered,
                         pwexchange_served_confirmed, &err);
  CHECK(b->g.link != NULL);
}

static void begin(bed *b) {
  begin_with_seeds(b, CONTROLS);
}

static void end(bed *b) {
  pwlink_free(b->g.link);
  pwquar_free(b->g.quarantine);
  pwparts_free(b->g.parts);
  pwversions_free(b->g.versions);
  for (int i = 0; i < CONTROLS; i++) {
    pwwire_close(b->c[i].sock);
    if (i < b->set.gateway_control.n)
      free(b->set.gateway_control.item[i]);
  }
  pwfleet_free(b->g.fleet);
  pwtrace_free(b->g.trace);
  ev_loop_destroy(b->g.ev);
  pwwire_free(b->control_wire);
  pwwire_free(b->p.wire);
  pwcount_free(b->p.counters);
}

static void receive(control *c) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(c->sock, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_WATCH) {
      c->gateway = from;
      c->watched++;
      c->wanted += e->watch->want;
      c->is_primary = e->watch->primary;
    }
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void iterate(bed *b) {
  b->now += b->step;
  pwlink_tick(b->g.link, b->now);
  ev_run(b->g.ev, EVRUN_NOWAIT);
  for (int i = 0; i < CONTROLS; i++)
    receive(&b->c[i]);
  poll(NULL, 0, TRY_MS);
}

static int wanted(const bed *b) {
  int n = 0;
  for (int i = 0; i < CONTROLS; i++)
    n += b->c[i].wanted;
  return n;
}

static int watched(const bed *b) {
  int n = 0;
  for (int i = 0; i < CONTROLS; i++)
    n += b->c[i].watched > 0;
  return n;
}

static int watched_by_all(const bed *b) {
  return watched(b) == CONTROLS;
}

static control *primary(bed *b) {
  for (int i = 0; i < CONTROLS; i++)
    if (b->c[i].is_primary)
      return &b->c[i];
  return NULL;
}

#define UNTIL(b, condition)                                                    \
  do {                                                                         \
    for (int i_ = 0; i_ < TRIES && !(condition); i_++)                         \
      iterate(b);                                                              \
    CHECK(condition);                                                          \
  } while (0)

static void send_notice_contact(control *c, uint64_t site, int full,
                                int in_touch) {
  Pw__Notice n = PW__NOTICE__INIT;
  n.site = site;
  n.in_touch = in_touch;
  n.full = full;
  n.watch_ms = WATCH_MS;
  Pw__Envelope e = PW_ENVELOPE(NOTICE, notice, &n);
  pwwire_send(c->sock, &c->gateway, &e);
}

static void send_notice(control *c, uint64_t site, int full) {
  send_notice_contact(c, site, full, 1);
}

/* A gateway that starts dials control instances one after another. If it dialled all at once, a hundred
** gateways that start together would load all of them with connections at the same time. */
static void test_dials_one_by_one(void) {
  bed b;
  begin(&b);
  b.step = 0;
  b.now += LONG_MS;
  for (int n = 1; n <= CONTROLS; n++) {
    UNTIL(&b, watched(&b) == n);
    for (int i = 0; i < ITERATIONS; i++)
      iterate(&b);
    CHECK(watched(&b) == n);
    b.now += LONG_MS;
  }
  end(&b);
}

/* Begins with links to all control instances and one of them chosen as primary. */
static void begin_with_primary(bed *b) {
  begin(b);
  UNTIL(b, watched_by_all(b));
  for (int i = 0; i < CONTROLS; i++)
    send_notice(&b->c[i], 0, 0);
  UNTIL(b, primary(b) != NULL);
}

/* All report version 7 at once: it is requested once, from the primary alone. */
static void test_requests_from_primary(void) {
  bed b;
  begin_with_primary(&b);
  for (int i = 0; i < CONTROLS; i++)
    send_notice(&b.c[i], 7, b.c[i].is_primary);
  UNTIL(&b, wanted(&b) > 0);
  CHECK(wanted(&b) == 1);
  CHECK(primary(&b)->wanted == 1);
  /* it is not received: requested again from the primary */
  UNTIL(&b, wanted(&b) > 1);
  CHECK(primary(&b)->wanted == wanted(&b));
  end(&b);
}

/* The primary does not have the version: it is requested from another instance after a while. */
static void test_requests_from_another(void) {
  bed b;
  begin_with_primary(&b);
  for (int i = 0; i < CONTROLS; i++)
    send_notice(&b.c[i], b.c[i].is_primary ? 0 : 7, b.c[i].is_primary);
  UNTIL(&b, wanted(&b) > 0);
  CHECK(wanted(&b) == 1);
  CHECK(primary(&b)->wanted == 0);
  end(&b);
}

/* All instances send full lists and report a newer configuration; the request for it shows that the
** gateway has read them. `by`: the primary expected then; NULL: any. Then LONG_MS pass. */
static void send_all_notices(bed *b, uint64_t site, const control *by) {
  int before = wanted(b);
  b->step = 0;
  b->now += REQUEST_AGAIN_MS;
  for (int i = 0; i < CONTROLS; i++)
    send_notice(&b->c[i], site, 1);
  UNTIL(b, wanted(b) > before);
  for (int i = 0; i < ITERATIONS; i++)
    iterate(b);
  CHECK(!by || primary(b) == by);
  b->step = TRY_MS;
  b->now += LONG_MS;
  for (int i = 0; i < ITERATIONS; i++)
    iterate(b);
}

/* The primary loses contact with its leader for long while another instance has it, so the gateway
** switches to that one. When all are healthy again, it returns to the instance that it prefers.
** Otherwise all gateways would stay at one instance after a fault. */
static void test_returns_to_preferred(void) {
  bed b;
  begin(&b);
  UNTIL(&b, watched_by_all(&b));
  /* the first primary may be just the first one that answered */
  for (uint64_t site = 1; site <= 3; site++)
    send_all_notices(&b, site, NULL);
  control *first = primary(&b);
  CHECK(first != NULL);
  send_all_notices(&b, 4, NULL);
  CHECK(primary(&b) == first);
  control *second = first == b.c ? &b.c[1] : b.c;
  b.step = 0;
  for (int i = 0; i < CONTROLS; i++)
    send_notice_contact(&b.c[i], 5, 0, &b.c[i] == second);
  b.now += REQUEST_AGAIN_MS;
  int before = wanted(&b);
  UNTIL(&b, wanted(&b) > before);
  CHECK(primary(&b) == first); /* a short loss of contact is tolerated */
  b.step = TRY_MS;
  b.now += LONG_MS;
  UNTIL(&b, primary(&b) == second);
  send_all_notices(&b, 6, second);
  UNTIL(&b, primary(&b) == first);
  end(&b);
}

/* Sends the addresses of all fake control instances. */
static void send_control_list(bed *b, control *from) {
  char addr[CONTROLS][PW_NAME_MAX], *list[CONTROLS];
  Pw__Notice n = PW__NOTICE__INIT;
  for (int i = 0; i < CONTROLS; i++) {
    snprintf(addr[i], sizeof addr[i], "tcp://127.0.0.%d:%d", i + 1,
             (int)b->set.gateway_control_port);
    list[i] = addr[i];
  }
  n.control = list;
  n.n_control = CONTROLS;
  n.in_touch = 1;
  Pw__Envelope e = PW_ENVELOPE(NOTICE, notice, &n);
  pwwire_send(from->sock, &from->gateway, &e);
}

/* Nothing is heard for so long that silent instances would be dropped, as when all of control is down or the gateway is
** cut off. The instances that are not in the settings are still known when they are back. Otherwise nobody would be left
** whom the gateway could ask. */
static void test_keeps_instances_while_none_is_heard(void) {
  bed b;
  begin_with_seeds(&b, 1);
  UNTIL(&b, b.c[0].watched > 0);
  send_control_list(&b, &b.c[0]);
  UNTIL(&b, watched_by_all(&b));
  b.now += VERY_LONG_MS;
  for (int i = 0; i < ITERATIONS; i++)
    iterate(&b);
  b.now += VERY_LONG_MS;
  for (int i = 0; i < ITERATIONS; i++)
    iterate(&b);
  send_notice(&b.c[CONTROLS - 1], 7, 1);
  UNTIL(&b, b.c[CONTROLS - 1].wanted > 0);
  end(&b);
}

int main(void) {
  TESTS_BEGIN("link");
  TEST(test_dials_one_by_one);
  TEST(test_requests_from_primary);
  TEST(test_requests_from_another);
  TEST(test_returns_to_preferred);
  TEST(test_keeps_instances_while_none_is_heard);
  TESTS_END();
}
