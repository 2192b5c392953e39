/* test_spread.c: bulk data on a narrow link: distribution of a document that
** all receivers want at once, and pacing. */
#include "pwpace.h"
#include "pwspread.h"
#include "pwtest.h"

#include <string.h>

#define RECEIVERS 60 /* of one control instance, at 300 gateways */
#define NEWEST 9
#define LINK_MBPS 6.0
#define BYTES 35000
#define SERVE_MS 40 /* between two gateways: connection and 10 Mbit/s */
#define STEP_MS 5
#define ASK_MS 300 /* after this a receiver that got nothing asks again */

typedef struct sim {
  pw_spread_peer peer[RECEIVERS];
  pw_spread_peer *all[RECEIVERS];
  /* When the document arrives, ms; 0: none is in flight. */
  int64_t arrives_at[RECEIVERS];
  int64_t asked_at[RECEIVERS];
  int is_dead[RECEIVERS]; /* serves no one, though it can_serve */
  pw_pace link;
  int own;            /* copies sent by the sender */
  int copies;         /* copies sent by all */
  int64_t latency_ms; /* of an answer, in addition to the time on the link */
} sim;

static void begin(sim *d, int can_serve) {
  memset(d, 0, sizeof *d);
  d->link = pwpace_of(LINK_MBPS);
  for (int i = 0; i < RECEIVERS; i++) {
    d->all[i] = &d->peer[i];
    d->peer[i].id = (uint64_t)i + 1;
    d->peer[i].can_serve = can_serve;
    d->peer[i].holds = NEWEST - 1;
  }
}

static int index_of(const sim *d, const pw_spread_peer *p) {
  return (int)(p - d->peer);
}

static void check_source(const sim *d, const pw_spread_peer *source,
                         int64_t now) {
  CHECK(source->holds == NEWEST);
  CHECK(source->busy_until <= now);
  CHECK(d->arrives_at[index_of(d, source)] == 0);
}

static void serve(sim *d, size_t bytes, int64_t now) {
  pw_spread_peer *to;
  int own;
  while ((to = pwspread_next(d->all, RECEIVERS, now)) != NULL) {
    pw_spread_peer *source =
        pwspread_source(to, d->all, RECEIVERS, NEWEST, bytes,
                        pwpace_has_room(&d->link, now), now, &own);
    if (!source && !own)
      return;
    if (source)
      check_source(d, source, now);
    pwspread_serve(to, source, now);
    if (source && d->is_dead[index_of(d, source)])
      continue;
    if (own)
      pwpace_take(&d->link, bytes, now);
    d->own += own;
    d->copies++;
    if (!d->arrives_at[index_of(d, to)])
      d->arrives_at[index_of(d, to)] =
          (source ? now + SERVE_MS : d->link.free_at + 1) + d->latency_ms;
  }
}

static void receive(sim *d, int i, int64_t now) {
  pw_spread_peer *p = &d->peer[i];
  if (d->arrives_at[i] && d->arrives_at[i] <= now) {
    d->arrives_at[i] = 0;
    pwspread_received(p, NEWEST, NEWEST, d->all, RECEIVERS);
  }
  if (p->holds < NEWEST &&
      (!p->requested_at || now - d->asked_at[i] >= ASK_MS)) {
    d->asked_at[i] = now;
    pwspread_request(p, now);
  }
}

/* Returns when the last receiver has the document, ms. */
static int64_t play(sim *d, size_t bytes) {
  for (int64_t now = 1; now < 100000; now += STEP_MS) {
    int left = 0;
    for (int i = 0; i < RECEIVERS; i++) {
      receive(d, i, now);
      left += d->peer[i].holds < NEWEST;
    }
    if (!left)
      return now;
    serve(d, bytes, now);
  }
  return INT64_MAX;
}

/* A long document: the sender sends a few copies, and all have it within a
** second; without the others the sender needs 5.6 s. */
static void test_long(void) {
  sim d;
  begin(&d, 1);
  int64_t took = play(&d, BYTES);
  printf("all have it after %lld ms, %d copies by the sender\n",
         (long long)took, d.own);
  CHECK(took < 600);
  CHECK(d.own <= 6);
  begin(&d, 0);
  took = play(&d, BYTES);
  printf("the sender alone: %lld ms\n", (long long)took);
  CHECK(took > 5000);
  CHECK(d.own == RECEIVERS);
}

/* A short document is sent by the sender itself, to all at once. */
static void test_short(void) {
  sim d;
  begin(&d, 1);
  CHECK(play(&d, 100) < 50);
  CHECK(d.own == RECEIVERS);
}

/* A third of the sources serve no one: a receiver that got nothing is served
** by the sender, and none waits for ever. */
static void test_dead_sources(void) {
  pw_random r = {.seed = test_seed(3)};
  for (int round = 0; round < 20; round++) {
    sim d;
    begin(&d, 1);
    for (int i = 0; i < RECEIVERS; i++)
      d.is_dead[i] = pwrand_below(&r, 3) == 0;
    CHECK(play(&d, BYTES) < 6000);
  }
}

/* Where all answers take seconds, on busy instances, nothing is lost and
** hardly any copy is sent twice. It guards against sending each gateway that
** waited for 400 ms another copy: 18 copies to 12 gateways, where 16 are
** allowed. */
static void test_slow_answers(void) {
  for (int64_t slow = 500; slow <= 4000; slow += 500) {
    sim d;
    begin(&d, 1);
    d.link = pwpace_of(0);
    d.latency_ms = slow;
    int64_t took = play(&d, BYTES);
    CHECK(took < INT64_MAX);
    CHECK(d.copies <= RECEIVERS + 1 + took / PW_SPREAD_TIMEOUT_MS);
  }
}

/* A newer version arrives while one is being distributed: peers with the older
** one are no sources any more, and a receiver of it may be served again at
** once. */
static void test_newer(void) {
  sim d;
  begin(&d, 1);
  pwspread_received(d.all[0], NEWEST, NEWEST, d.all, RECEIVERS);
  pwspread_request(d.all[1], 1);
  pwspread_serve(d.all[1], d.all[0], 1);
  int own;
  CHECK(pwspread_next(d.all, RECEIVERS, 1) == NULL);
  pwspread_request(d.all[2], 2);
  CHECK(pwspread_source(d.all[2], d.all, RECEIVERS, NEWEST, BYTES, 0, 2,
                        &own) == NULL);
  CHECK(!own); /* the only source is busy, and so is the link */
  pwspread_received(d.all[1], NEWEST, NEWEST + 1, d.all, RECEIVERS);
  CHECK(d.all[0]->busy_until == 0);
  CHECK(pwspread_source(d.all[2], d.all, RECEIVERS, NEWEST + 1, BYTES, 0, 3,
                        &own) == NULL);
  pwspread_request(d.all[1], 3);
  CHECK(pwspread_next(d.all, RECEIVERS, 3) == d.all[1]);
}

/* Bulk data never exceeds its share over a second, and is never sent far
** ahead. */
static void test_pace(void) {
  pw_pace p = pwpace_of(LINK_MBPS);
  size_t sent = 0;
  for (int64_t now = 0; now < 1000; now++)
    while (pwpace_has_room(&p, now)) {
      CHECK(p.free_at - now < 50);
      pwpace_take(&p, 1500, now);
      sent += 1500;
    }
  CHECK(sent > 350000 && sent < 400000);
  p = pwpace_of(0);
  pwpace_take(&p, 1000000000, 0);
  CHECK(pwpace_has_room(&p, 0));
}

int main(void) {
  TESTS_BEGIN("spread");
  TEST(test_long);
  TEST(test_short);
  TEST(test_dead_sources);
  TEST(test_slow_answers);
  TEST(test_newer);
  TEST(test_pace);
  TESTS_END();
}
