/* test_spread.c: bulk over a narrow link: a document wanted by all at once, who hands it on
** to whom, and how fast it may go out. */
#include "pwpace.h"
#include "pwspread.h"
#include "pwtest.h"

#include <string.h>

#define RECEIVERS 60 /* of one control instance, at 300 gateways */
#define NEWEST 9
#define LINK_MBPS 6.0
#define BYTES 35000
#define HAND_MS 40 /* from one gateway to another: connection and 10 Mbit/s */
#define TURN_MS 5
#define ASK_MS 300 /* who got nothing asks again */

typedef struct day {
  pw_spread_place place[RECEIVERS];
  pw_spread_place *all[RECEIVERS];
  int64_t comes_at[RECEIVERS]; /* the document; 0: nothing is under way */
  int64_t asked_at[RECEIVERS];
  int is_dead[RECEIVERS]; /* hands nothing on, though it says that it would */
  pw_pace link;
  int own;    /* copies that the sender sent ... */
  int copies; /* ... and those of all */
  int64_t
      under_way_ms; /* an answer takes so long, and as long as the link needs */
} day;

static void begin(day *d, int can_hand) {
  memset(d, 0, sizeof *d);
  d->link = pwpace_of(LINK_MBPS);
  for (int i = 0; i < RECEIVERS; i++) {
    d->all[i] = &d->place[i];
    d->place[i].id = (uint64_t)i + 1;
    d->place[i].can_hand = can_hand;
    d->place[i].holds = NEWEST - 1;
  }
}

static int index_of(const day *d, const pw_spread_place *p) {
  return (int)(p - d->place);
}

static void check_giver(const day *d, const pw_spread_place *giver,
                        int64_t now) {
  CHECK(giver->holds == NEWEST);
  CHECK(giver->busy_until <= now);
  CHECK(d->comes_at[index_of(d, giver)] == 0);
}

static void serve(day *d, size_t bytes, int64_t now) {
  pw_spread_place *to;
  int own;
  while ((to = pwspread_first(d->all, RECEIVERS, now)) != NULL) {
    pw_spread_place *giver =
        pwspread_giver(to, d->all, RECEIVERS, NEWEST, bytes,
                       pwpace_has_room(&d->link, now), now, &own);
    if (!giver && !own)
      return;
    if (giver)
      check_giver(d, giver, now);
    pwspread_serve(to, giver, now);
    if (giver && d->is_dead[index_of(d, giver)])
      continue;
    if (own)
      pwpace_take(&d->link, bytes, now);
    d->own += own;
    d->copies++;
    if (!d->comes_at[index_of(d, to)])
      d->comes_at[index_of(d, to)] =
          (giver ? now + HAND_MS : d->link.free_at + 1) + d->under_way_ms;
  }
}

static void receive(day *d, int i, int64_t now) {
  pw_spread_place *p = &d->place[i];
  if (d->comes_at[i] && d->comes_at[i] <= now) {
    d->comes_at[i] = 0;
    pwspread_holds(p, NEWEST, NEWEST, d->all, RECEIVERS);
  }
  if (p->holds < NEWEST && (!p->wants_at || now - d->asked_at[i] >= ASK_MS)) {
    d->asked_at[i] = now;
    pwspread_want(p, now);
  }
}

/* When the last one has it, ms. */
static int64_t play(day *d, size_t bytes) {
  for (int64_t now = 1; now < 100000; now += TURN_MS) {
    int left = 0;
    for (int i = 0; i < RECEIVERS; i++) {
      receive(d, i, now);
      left += d->place[i].holds < NEWEST;
    }
    if (!left)
      return now;
    serve(d, bytes, now);
  }
  return INT64_MAX;
}

/* A long document: the sender sends a few copies, and all have it within a second; were it
** alone it would need 5.6 s. */
static void test_long(void) {
  day d;
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

/* A short one is sent by the sender itself, to all at once. */
static void test_short(void) {
  day d;
  begin(&d, 1);
  CHECK(play(&d, 100) < 50);
  CHECK(d.own == RECEIVERS);
}

/* A third of those that hold it hand nothing on: whoever was failed is served by the
** sender, and nobody waits for ever. */
static void test_dead_holders(void) {
  pw_random r = {.seed = test_seed(3)};
  for (int round = 0; round < 20; round++) {
    day d;
    begin(&d, 1);
    for (int i = 0; i < RECEIVERS; i++)
      d.is_dead[i] = pwrand_below(&r, 3) == 0;
    CHECK(play(&d, BYTES) < 6000);
  }
}

/* Where all answers are under way for seconds, on busy instances, nothing is lost and hardly anything
** is sent twice. 18 copies to 12 gateways, where 16 are allowed, were seen once: each gateway that
** waited for 400 ms was sent another copy. */
static void test_slow_answers(void) {
  for (int64_t slow = 500; slow <= 4000; slow += 500) {
    day d;
    begin(&d, 1);
    d.link = pwpace_of(0);
    d.under_way_ms = slow;
    int64_t took = play(&d, BYTES);
    CHECK(took < INT64_MAX);
    CHECK(d.copies <= RECEIVERS + 1 + took / PW_SPREAD_SERVE_MS);
  }
}

/* A newer version comes while one is handed on: what is held of the older one serves
** nobody any more, and who took it may be served again at once. */
static void test_newer(void) {
  day d;
  begin(&d, 1);
  pwspread_holds(d.all[0], NEWEST, NEWEST, d.all, RECEIVERS);
  pwspread_want(d.all[1], 1);
  pwspread_serve(d.all[1], d.all[0], 1);
  int own;
  CHECK(pwspread_first(d.all, RECEIVERS, 1) == NULL);
  pwspread_want(d.all[2], 2);
  CHECK(pwspread_giver(d.all[2], d.all, RECEIVERS, NEWEST, BYTES, 0, 2, &own) ==
        NULL);
  CHECK(!own); /* the only holder is busy, the link too */
  pwspread_holds(d.all[1], NEWEST, NEWEST + 1, d.all, RECEIVERS);
  CHECK(d.all[0]->busy_until == 0);
  CHECK(pwspread_giver(d.all[2], d.all, RECEIVERS, NEWEST + 1, BYTES, 0, 3,
                       &own) == NULL);
  pwspread_want(d.all[1], 3);
  CHECK(pwspread_first(d.all, RECEIVERS, 3) == d.all[1]);
}

/* Never more than its share over a second, and never far ahead. */
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
  TEST(test_dead_holders);
  TEST(test_slow_answers);
  TEST(test_newer);
  TEST(test_pace);
  TESTS_END();
}
