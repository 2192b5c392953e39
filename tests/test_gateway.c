/* test_gateway.c: unit tests of the parts of a gateway: table of targets, choice of a target,
** retry budget, target lists, configuration documents and log lines. */
#include "platform.h"
#include "pwdoc.h"
#include "pwfleet.h"
#include "pwretries.h"
#include "pwtable.h"
#include "pwtest.h"
#include "pwtrace.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* --- targets --- */

static pw_heartbeat heartbeat(const char *id, const char *address, uint64_t seq,
                              int leaving) {
  pw_heartbeat b = {.slots = 4, .leaving = leaving, .seq = seq};
  pw_copy(b.id, sizeof b.id, id);
  pw_copy(b.service, sizeof b.service, "s");
  pw_copy(b.address, sizeof b.address, address);
  return b;
}

static void count_silent(void *arg, pw_target *t, int forgotten) {
  (void)t;
  *(int *)arg += !forgotten;
}

static void test_fleet(void) {
  pw_fleet *f = pwfleet_new("az", 100, 1000);
  /* a second target, which is never silent */
  pw_heartbeat c = heartbeat("c", "10.0.0.3:80", 1, 0);
  pwfleet_heartbeat(f, &c, 0, 100000);
  pw_heartbeat b = heartbeat("a", "10.0.0.1:80", 5, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1000) == PWFLEET_JOINED);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1010) == PWFLEET_UNCHANGED);
  CHECK(pwfleet_usable(f, "s", 1000) == 2);
  b = heartbeat("a", "10.0.0.1:80", 7, 1);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1020) == PWFLEET_LEAVING);
  b = heartbeat("a", "10.0.0.1:80", 6, 0); /* a delayed heartbeat */
  CHECK(pwfleet_heartbeat(f, &b, 0, 1030) == PWFLEET_UNCHANGED);
  CHECK(pwfleet_usable(f, "s", 1030) == 1);
  /* a new target takes over the address */
  b = heartbeat("b", "10.0.0.1:80", 1, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1040) == PWFLEET_JOINED);
  CHECK(pwfleet_find(f, "a")->is_gone);
  /* a target that is gone stays gone */
  b = heartbeat("a", "10.0.0.1:80", 9, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1050) == PWFLEET_UNCHANGED);
  CHECK(!pwfleet_find(f, "b")->is_gone);
  /* a target is silent when its heartbeats are missing */
  int silent = 0;
  pwfleet_tick(f, 1400, count_silent, &silent);
  CHECK(silent == 0 && pwfleet_usable(f, "s", 1400) == 2);
  pwfleet_tick(f, 1500, count_silent, &silent);
  CHECK(silent == 1 && pwfleet_usable(f, "s", 1500) == 1);
  pwfleet_answered(pwfleet_find(f, "b"), 1500);
  CHECK(pwfleet_usable(f, "s", 1700) == 2);
  CHECK(pwfleet_usable(f, "s", 1900) == 1);
  b = heartbeat("b", "10.0.0.1:80", 2, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1900) == PWFLEET_BACK);
  CHECK(pwfleet_usable(f, "s", 1900) == 2);
  CHECK(pwfleet_renew(f, "b", 0, 2, 1950) == PWFLEET_UNCHANGED);
  CHECK(pwfleet_renew(f, "b", 0, 3, 1950) == PWFLEET_RENEWED);
  CHECK(pwfleet_renew(f, "nobody", 0, 3, 1950) == PWFLEET_UNCHANGED);
  CHECK(!strcmp(pwfleet_find(f, "b")->address, "10.0.0.1:80"));
  CHECK(pwfleet_set_silent(f, "b", 0, 1, 2000) == PWFLEET_SILENT);
  CHECK(pwfleet_set_silent(f, "b", 0, 1, 2000) == PWFLEET_UNCHANGED);
  CHECK(pwfleet_usable(f, "s", 2000) == 1);
  /* without an address a heartbeat changes nothing */
  b = heartbeat("c", "", 9, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 2000) == PWFLEET_UNCHANGED);
  CHECK(!pwfleet_find(f, "c")->is_gone && pwfleet_find(f, "c")->seq == 1);
  CHECK(pwfleet_set_silent(f, "c", 0, 1, 2000) == PWFLEET_SILENT);
  /* all silent at once: the fault is in the listener */
  CHECK(pwfleet_usable(f, "s", 2000) == 2);
  pwfleet_tick(f, 10000, NULL, NULL);
  CHECK(pwfleet_find(f, "a") == NULL && pwfleet_find(f, "b") == NULL);
  pwfleet_free(f);
}

static pw_heartbeat heartbeat_of_incarnation(const char *id, uint64_t born,
                                             uint64_t seq) {
  pw_heartbeat b = heartbeat(id, "10.0.0.1:80", seq, 0);
  b.born = born;
  return b;
}

/* A target that restarts under its id gets a new incarnation, to which no state of the old one applies. */
static void test_incarnations(void) {
  pw_fleet *f = pwfleet_new("az", 100, 1000);
  pw_heartbeat b = heartbeat_of_incarnation("a", 10, 500);
  b.cold_ms = 5000;
  CHECK(pwfleet_heartbeat(f, &b, 0, 1000) == PWFLEET_JOINED);
  pw_target *old = pwfleet_retain(pwfleet_find(f, "a"));
  old->inflight = old->nconns = 1;
  old->failures = 3;
  old->ejected_until = 9000;
  b = heartbeat_of_incarnation("a", 20, 1);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1100) == PWFLEET_RESTARTED);
  pw_target *t = pwfleet_find(f, "a");
  CHECK(t != old && old->is_gone && !t->is_gone && t->born == 20);
  CHECK(t->inflight == 0 && t->failures == 0 && t->ejected_until == 0);
  CHECK(t->cold.until == 0 && pwfleet_usable(f, "s", 1100) == 1);
  CHECK(t->hash == old->hash); /* prompts keep it as home target ... */
  CHECK(t->short_hash != old->short_hash); /* ... but none is cached there */
  /* delayed messages of an earlier incarnation, or without one, change nothing */
  b = heartbeat_of_incarnation("a", 10, 501);
  b.leaving = 1;
  CHECK(pwfleet_heartbeat(f, &b, 0, 1110) == PWFLEET_UNCHANGED &&
        !t->is_leaving);
  b = heartbeat_of_incarnation("a", 0, 900);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1110) == PWFLEET_UNCHANGED);
  b = heartbeat_of_incarnation("a", 10, 0);
  CHECK(pwfleet_heartbeat(f, &b, 1, 1110) == PWFLEET_UNCHANGED && !t->is_gone);
  CHECK(pwfleet_renew(f, "a", 10, 502, 1120) == PWFLEET_UNCHANGED);
  CHECK(pwfleet_set_silent(f, "a", 10, 1, 1120) == PWFLEET_UNCHANGED);
  CHECK(pwfleet_knows(f, "a", 10) && pwfleet_knows(f, "a", 20));
  CHECK(!pwfleet_knows(f, "a", 30) && !pwfleet_knows(f, "b", 0));
  /* a message of an instance of an older version names no incarnation and means the known one */
  CHECK(pwfleet_renew(f, "a", PW_BORN_UNKNOWN, 2, 1130) == PWFLEET_RENEWED);
  b = heartbeat_of_incarnation("a", PW_BORN_UNKNOWN, 3);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1140) == PWFLEET_RENEWED && t->born == 20);
  b = heartbeat_of_incarnation("new", PW_BORN_UNKNOWN, 1);
  b.address[0] = '2';
  CHECK(pwfleet_heartbeat(f, &b, 0, 1140) == PWFLEET_JOINED);
  CHECK(pwfleet_find(f, "new")->born == 0);
  /* a target that leaves without naming an incarnation is gone until its next one */
  b = heartbeat_of_incarnation("a", 0, 0);
  CHECK(pwfleet_heartbeat(f, &b, 1, 1200) == PWFLEET_GONE && t->is_gone);
  b = heartbeat_of_incarnation("a", 20, 4);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1210) == PWFLEET_UNCHANGED);
  b = heartbeat_of_incarnation("a", 30, 1);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1220) == PWFLEET_RESTARTED);
  b = heartbeat_of_incarnation("a", 20, 0);
  CHECK(pwfleet_heartbeat(f, &b, 1, 1230) == PWFLEET_UNCHANGED); /* delayed */
  CHECK(!pwfleet_find(f, "a")->is_gone);
  /* an earlier incarnation is kept until its requests and connections have ended */
  pwfleet_tick(f, 1300, NULL, NULL);
  CHECK(pwfleet_retired(f) == old && !old->next_retired);
  old->inflight = old->nconns = 0;
  pwfleet_tick(f, 1400, NULL, NULL);
  CHECK(pwfleet_retired(f) == NULL);
  pwfleet_release(old);
  pwfleet_free(f);
}

/* A packed heartbeat carries the incarnation; one of an older version, without the field, is understood. */
static void test_incarnations_packed(void) {
  Pw__Beat packed;
  pw_heartbeat b = heartbeat_of_incarnation("a", 20, 1), got;
  pwtable_pack(&packed, &b, 0, 0, 0);
  pwtable_unpack(&packed, &got);
  CHECK(got.born == 20);
  b.born = 0;
  pwtable_pack(&packed, &b, 0, 0, 0);
  pwtable_unpack(&packed, &got);
  CHECK(got.born == 0);
  pwtable_pack_renewal(&packed, &b, 0);
  pwtable_unpack(&packed, &got);
  CHECK(got.born == 0);
  packed.born = 0; /* as an older version leaves it */
  pwtable_unpack(&packed, &got);
  CHECK(got.born == PW_BORN_UNKNOWN);
}

/* Malformed heartbeats are rejected with a reason. */
static void test_bad_heartbeats(void) {
  static const char good[] = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
                             "\"zone\":\"z\",\"version\":"
                             "\"v\",\"slots\":8,\"state\":\"ready\","
                             "\"coldLeftMs\":0,\"born\":1700000000000,"
                             "\"seq\":4,\"more\":[1]}";
  static const struct {
    const char *what, *instead;
  } change[] = {{"\"service\":\"s\",", ""},
                {"\"s\"", "7"},
                {"\"s\"", "\"\""},
                {"10.0.0.1:80", "10.0.0.1"},
                {"10.0.0.1:80", "nobody:80"},
                {"\"10.0.0.1:80\"", "null"},
                {"\"zone\":\"z\",", ""},
                {"\"v\"", "[\"v\"]"},
                {"\"slots\":8", "\"slots\":8.5"},
                {"\"slots\":8", "\"slots\":\"8\""},
                {"\"slots\":8", "\"slots\":-1"},
                {"\"slots\":8", "\"slots\":99999999999999"},
                {"\"slots\":8,", ""},
                {"ready", "resting"},
                {"\"ready\"", "true"},
                {"\"state\":\"ready\",", ""},
                {"\"coldLeftMs\":0", "\"coldLeftMs\":\"0\""},
                {"1700000000000", "1700000000000.5"},
                {"1700000000000", "\"1700000000000\""},
                {"1700000000000", "-1"},
                {"1700000000000", "1e300"},
                {"1700000000000", "99999999999999999999"},
                {"\"seq\":4", "\"seq\":\"4\""},
                {"\"seq\":4", "\"seq\":-4"},
                {"\"seq\":4", "\"seq\":4,\"seq\":5"},
                {",\"seq\":4", ""},
                {"\"more\":[1]", "\"more\":\"\xff\xfe\""},
                {"}", ""},
                {"{", "[{"}};
  char text[512], why[160];
  pw_heartbeat b;
  CHECK(plat_read_heartbeat("a", good, strlen(good), &b, why, sizeof why) ==
        PW_OK);
  CHECK(b.born == 1700000000000 && b.seq == 4 && b.slots == 8 && !b.leaving);
  for (size_t i = 0; i < sizeof change / sizeof change[0]; i++) {
    const char *at = strstr(good, change[i].what);
    CU_ASSERT_PTR_NOT_NULL_FATAL(at);
    snprintf(text, sizeof text, "%.*s%s%s", (int)(at - good), good,
             change[i].instead, at + strlen(change[i].what));
    why[0] = 0;
    pw_code rc =
        plat_read_heartbeat("a", text, strlen(text), &b, why, sizeof why);
    CHECK((rc == PW_E_SCHEMA || rc == PW_E_BODY) && why[0]);
  }
  char deep[40000];
  memset(deep, '[', sizeof deep);
  CHECK(plat_read_heartbeat("a", deep, sizeof deep, &b, why, sizeof why) !=
        PW_OK);
  CHECK(plat_read_heartbeat("a", "\0", 1, &b, why, sizeof why) != PW_OK);
  CHECK(plat_read_leave("a", "", 0, &b, why, sizeof why) == PW_OK && !b.born);
  static const char leave[] = "{\"born\":5}";
  CHECK(plat_read_leave("a", leave, strlen(leave), &b, why, sizeof why) ==
            PW_OK &&
        b.born == 5);
  CHECK(plat_read_leave("a", "{", 1, &b, why, sizeof why) == PW_E_BODY);
}

static void test_ejected(void) {
  pw_fleet *f = pwfleet_new("az", 100000, 1000);
  pw_heartbeat b = heartbeat("a", "10.0.0.1:80", 1, 0);
  pwfleet_heartbeat(f, &b, 0, 0);
  pw_target *t = pwfleet_find(f, "a");
  pwfleet_failed(t, 10);
  CHECK(pwfleet_usable(f, "s", 10) == 1);
  pwfleet_failed(t, 20);
  CHECK(pwfleet_usable(f, "s", 20) == 0);
  pwfleet_answered(t, 30);
  CHECK(pwfleet_usable(f, "s", 30) == 1);
  pwfleet_free(f);
}

/* Errors eject a target only while others have fewer, and for a limited time. */
static void test_errors(void) {
  pw_fleet *f = pwfleet_new("az", 100000, 1000);
  char id[8], address[24];
  for (int i = 0; i < 4; i++) {
    snprintf(id, sizeof id, "t%d", i);
    snprintf(address, sizeof address, "10.0.0.%d:80", i + 1);
    pw_heartbeat b = heartbeat(id, address, 1, 0);
    pwfleet_heartbeat(f, &b, 0, 0);
  }
  for (int i = 0; i < 20; i++)
    for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
      pwfleet_error_answered(t, i);
  CHECK(pwfleet_usable(f, "s", 20) == 4);
  for (int i = 0; i < 40; i++)
    for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
      if (strcmp(t->id, "t2") != 0)
        pwfleet_answered(t, 20 + i);
      else
        pwfleet_error_answered(t, 20 + i);
  CHECK(pwfleet_usable(f, "s", 60) == 3);
  CHECK(pwfleet_usable(f, "s", 10000) == 4);
  pwfleet_free(f);
}

/* If no target is usable, one that is ejected for failures is picked rather than none; one that leaves is
** not. */
static void test_last_resort(void) {
  pw_fleet *f = pwfleet_new("az", 100000, 1000);
  pw_heartbeat b = heartbeat("a", "10.0.0.1:80", 1, 0);
  pwfleet_heartbeat(f, &b, 0, 0);
  pw_target *t = pwfleet_find(f, "a");
  pwfleet_failed(t, 10);
  pwfleet_failed(t, 10);
  pw_fleet_criteria criteria = {
      .service = "s", .wait_ms = 100, .bound = {2, 2}};
  pw_fleet_picked picked = pwfleet_pick(f, &criteria, 20);
  CHECK(picked.target == t);
  pwfleet_release(picked.target);
  b = heartbeat("a", "10.0.0.1:80", 2, 1);
  pwfleet_heartbeat(f, &b, 0, 30);
  CHECK(pwfleet_pick(f, &criteria, 40).target == NULL);
  pwfleet_free(f);
}

/* A delayed heartbeat of a target that has crashed meanwhile arrives where that target is unknown, and
** takes over the address of the target that runs there now. The latter regains the address with its own next
** heartbeats, and a single delayed heartbeat does not give the address back to the crashed one. */
static void test_late_heartbeat(void) {
  pw_fleet *f = pwfleet_new("az", 1000, 1000);
  pw_heartbeat b = heartbeat("new", "10.0.0.1:80", 1, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1000) == PWFLEET_JOINED);
  b = heartbeat("crashed", "10.0.0.1:80", 40, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1100) == PWFLEET_JOINED);
  b = heartbeat("new", "10.0.0.1:80", 2, 0);
  pwfleet_heartbeat(f, &b, 0, 2000);
  b = heartbeat("new", "10.0.0.1:80", 3, 0);
  /* too soon after the last one to count as evidence */
  pwfleet_heartbeat(f, &b, 0, 2010);
  CHECK(pwfleet_find(f, "new")->is_gone);
  b = heartbeat("new", "10.0.0.1:80", 4, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 3000) == PWFLEET_BACK);
  CHECK(!pwfleet_find(f, "new")->is_gone);
  CHECK(pwfleet_find(f, "crashed")->is_gone);
  CHECK(pwfleet_usable(f, "s", 3000) == 1);
  /* one more delayed heartbeat */
  b = heartbeat("crashed", "10.0.0.1:80", 41, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 3100) == PWFLEET_UNCHANGED);
  CHECK(!pwfleet_find(f, "new")->is_gone);
  /* the same with renewals, which control instances send each other */
  b = heartbeat("late", "10.0.0.1:80", 9, 0);
  CHECK(pwfleet_heartbeat(f, &b, 0, 3200) == PWFLEET_JOINED);
  CHECK(pwfleet_renew(f, "new", 0, 5, 4000) == PWFLEET_UNCHANGED);
  CHECK(pwfleet_renew(f, "new", 0, 6, 5000) == PWFLEET_BACK);
  CHECK(pwfleet_find(f, "late")->is_gone && pwfleet_usable(f, "s", 5000) == 1);
  /* a gateway applies what control has decided */
  pw_fleet *gateway = pwfleet_new("az", 1000, 1000);
  pwfleet_trust_updates(gateway);
  b = heartbeat("new", "10.0.0.1:80", 1, 0);
  pwfleet_heartbeat(gateway, &b, 0, 1000);
  b = heartbeat("crashed", "10.0.0.1:80", 40, 0);
  pwfleet_heartbeat(gateway, &b, 0, 1100);
  b = heartbeat("new", "10.0.0.1:80", 4, 0);
  CHECK(pwfleet_heartbeat(gateway, &b, 0, 3000) == PWFLEET_BACK);
  CHECK(pwfleet_usable(gateway, "s", 3000) == 1);
  pwfleet_free(gateway);
  /* from a table with an older time: the target with the later heartbeat keeps the address */
  b = heartbeat("older", "10.0.0.1:80", 7, 0);
  pwfleet_heartbeat(f, &b, 0, 500);
  CHECK(pwfleet_find(f, "older")->is_gone && pwfleet_usable(f, "s", 5000) == 1);
  /* a target that has left stays gone */
  pwfleet_heartbeat(f, &b, 1, 3200);
  for (int i = 0; i < 5; i++) {
    b = heartbeat("older", "10.0.0.1:80", 10 + (uint64_t)i, 0);
    CHECK(pwfleet_heartbeat(f, &b, 0, 4000 + 1000 * i) == PWFLEET_UNCHANGED);
  }
  pwfleet_free(f);
}

/* Outdated load reports of other gateways must not send all short requests to the target that had
** the least load at the time of the report. For long requests, of sticky routes, they still hold. */
static void test_stale_loads(void) {
  enum { TARGETS = 4, PICKS = 400 };
  pw_random r = {.seed = test_seed(15)};
  for (int is_sticky = 0; is_sticky < 2; is_sticky++) {
    pw_fleet *f = pwfleet_new("az", 100000, 1000);
    for (int i = 0; i < TARGETS; i++) {
      char id[16], address[32];
      snprintf(id, sizeof id, "t%d", i);
      snprintf(address, sizeof address, "10.0.0.%d:80", i + 1);
      pw_heartbeat b = heartbeat(id, address, 1, 0);
      pwfleet_heartbeat(f, &b, 0, 0);
    }
    pw_loads all = {0}, own = {0};
    for (int i = 1; i < TARGETS; i++) {
      char id[16];
      snprintf(id, sizeof id, "t%d", i);
      pwloads_add(&all, pwfleet_find(f, id)->short_hash, 5);
      pwloads_add(&own, pwfleet_find(f, id)->short_hash, 2);
    }
    pwfleet_note_loads(f, &all, &own, 240);
    CHECK(pwfleet_find(f, "t1")->others == 3);
    pwloads_free(&all);
    pwloads_free(&own);
    pw_target *least_loaded = pwfleet_find(f, "t0");
    int to_least_loaded = 0;
    for (int i = 0; i < PICKS; i++) {
      pw_fleet_criteria criteria = {.service = "s",
                                    .wait_ms = 1000,
                                    .is_sticky = is_sticky,
                                    .home_only = 1, /* has no effect here */
                                    .key = pwrand(&r),
                                    .how = PWPICK_BY_LOAD,
                                    .draw = pwrand_unit(&r),
                                    .bound = {2, 2}};
      pw_fleet_picked picked = pwfleet_pick(f, &criteria, 20);
      to_least_loaded += picked.target == least_loaded;
      pwfleet_release(picked.target);
    }
    printf("sticky %d: %d of %d to the target with the least load\n", is_sticky,
           to_least_loaded, PICKS);
    CHECK(is_sticky ? to_least_loaded == PICKS : to_least_loaded < PICKS / 2);
    pwfleet_free(f);
  }
}

/* A target with a connection limit gets no request from a gateway that has used up its share of the
** connections. */
static void test_connections(void) {
  pw_fleet *f = pwfleet_new("az", 100000, 1000);
  pw_heartbeat b = heartbeat("a", "10.0.0.1:80", 1, 0);
  pwfleet_heartbeat(f, &b, 0, 0);
  pw_target *t = pwfleet_find(f, "a");
  pw_fleet_criteria criteria = {
      .service = "s", .wait_ms = 100, .bound = {2, 2}, .conns = 3};
  t->nconns = 2;
  pw_fleet_picked picked = pwfleet_pick(f, &criteria, 20);
  CHECK(picked.target == t);
  pwfleet_release(picked.target);
  t->nconns = 3;
  CHECK(pwfleet_pick(f, &criteria, 20).target == NULL);
  criteria.conns = 0;
  picked = pwfleet_pick(f, &criteria, 20);
  CHECK(picked.target == t);
  pwfleet_release(picked.target);
  t->nconns = 0;
  pwfleet_free(f);
}

/* --- choice of a target --- */

static void test_pick(void) {
  pw_random r = {.seed = test_seed(12)};
  pw_pick_bound bound = {1.3, 2, 0, 0};
  for (int round = 0; round < 2000; round++) {
    pw_pick t[10];
    int n = 1 + (int)pwrand_below(&r, 10);
    for (int i = 0; i < n; i++)
      t[i] = (pw_pick){.id = pwrand(&r),
                       .load = (double)pwrand_below(&r, 20),
                       .slots = 16,
                       .work_ms = 50,
                       .is_usable = pwrand_below(&r, 4) > 0};
    uint64_t key = pwrand(&r);
    int home = pwpick_home(t, n, key, bound);
    double limit = pwpick_limit(t, n, bound);
    if (home >= 0) {
      CHECK(t[home].is_usable && t[home].load + 1 <= limit);
      CHECK(t[home].load < t[home].slots);
    }
    int least = pwpick_least(t, n, 1e9, pwrand_unit(&r), bound);
    CHECK(least < 0 || t[least].is_usable);
    for (int i = 0; least >= 0 && i < n; i++)
      CHECK(!t[i].is_usable || t[i].load + 1 >= t[least].load);
    /* the loss of a target moves only its own keys */
    if (home < 0)
      continue;
    int other = (int)pwrand_below(&r, (uint64_t)n);
    for (int i = 0; i < n; i++)
      t[i].load = 0;
    home = pwpick_home(t, n, key, bound);
    t[other].is_usable = 0;
    int again = pwpick_home(t, n, key, bound);
    CHECK(home == other || again == home);
  }
}

/* While targets are nearly full a prompt stays at the targets that have it cached: although single slots
** come free at any target, it is not spread over all of them. It moves to other targets that have
** slots to spare. */
static void test_pick_sticks_when_full(void) {
  enum { TARGETS = 18, SLOTS = 48, ROUNDS = 3000 };
  pw_random r = {.seed = test_seed(14)};
  pw_pick_bound bound = {1.6, 2, 0, 0};
  pw_pick t[TARGETS];
  uint64_t key = pwrand(&r);
  int used[TARGETS] = {0}, targets_used = 0, placed = 0;
  for (int i = 0; i < TARGETS; i++)
    t[i] = (pw_pick){
        .id = pwrand(&r), .load = SLOTS, .slots = SLOTS, .is_usable = 1};
  for (int round = 0; round < ROUNDS; round++) {
    int freed = (int)pwrand_below(&r, TARGETS);
    t[freed].load = SLOTS - 1;
    int home = pwpick_home(t, TARGETS, key, bound);
    CHECK(home < 0 || home == freed);
    if (home >= 0) {
      targets_used += !used[home]++;
      placed++;
    }
    t[freed].load = SLOTS;
  }
  printf("%d targets have the prompt cached, %d of %d requests got a slot\n",
         targets_used, placed, ROUNDS);
  CHECK(targets_used <= 3 && placed > ROUNDS / 10);
  for (int i = 0; i < TARGETS; i++)
    t[i].load = used[i] ? SLOTS : SLOTS / 2.0;
  int other = pwpick_home(t, TARGETS, key, bound);
  CHECK(other >= 0 && !used[other]);
}

/* Only a live target counts as one that has a prefix cached. Guards against prompts that do not wait for a prefill in
** progress because a target that has crashed is still in the table of prefixes. */
static void test_live_holders(void) {
  pw_fleet *f = pwfleet_new("az", 100, 1000);
  pw_heartbeat a = heartbeat("a", "10.0.0.1:80", 1, 0);
  pw_heartbeat b = heartbeat("b", "10.0.0.2:80", 1, 0);
  pwfleet_heartbeat(f, &a, 0, 1000);
  pwfleet_heartbeat(f, &b, 0, 1000);
  pw_target *t = pwfleet_find(f, "a");
  uint32_t holder[2] = {t->short_hash, 12345};
  CHECK(pwfleet_has_live(f, "s", holder, 2, 1000));
  CHECK(!pwfleet_has_live(f, "s", holder + 1, 1, 1000));
  CHECK(!pwfleet_has_live(f, "other", holder, 2, 1000));
  t->is_gone = 1;
  CHECK(!pwfleet_has_live(f, "s", holder, 2, 1000));
  pwfleet_free(f);
}

/* The prompt of test_shared_prefix: 100 tokens of its own after 1,000 that it shares with others. */
static pw_fleet_prompt shared_prompt(void) {
  return (pw_fleet_prompt){.tokens = 1100,
                           .shared_tokens = 1000,
                           .can_copy = 1,
                           .is_first_attempt = 1,
                           .prefill = {.ms_per_token = 0.1, .goal_part = 1},
                           .times = {.soon_ms = 100, .latest_ms = 500}};
}

/* A prompt that is cached at another target than its home copies the prefix that it shares with others from
** there if it is sent elsewhere; otherwise the prefix is computed again. A prompt that is sent where it is cached
** copies nothing. */
static void test_shared_prefix(void) {
  pw_fleet *f = pwfleet_new("az", 100, 1000);
  pw_fleet_criteria criteria = {.service = "s",
                                .is_sticky = 1,
                                .key = 42,
                                .bound = {1.6, 2, 0, 0},
                                .prompt = shared_prompt(),
                                .part = 1};
  pw_heartbeat a = heartbeat("a", "10.0.0.1:80", 1, 0);
  pw_heartbeat b = heartbeat("b", "10.0.0.2:80", 1, 0);
  pwfleet_heartbeat(f, &a, 0, 1000);
  pwfleet_heartbeat(f, &b, 0, 1000);
  pw_fleet_picked picked = pwfleet_pick(f, &criteria, 1000);
  pw_target *home = picked.target;
  pw_target *other = pwfleet_find(f, strcmp(home->id, "a") ? "a" : "b");
  CHECK(picked.holder == NULL && picked.work.own == 1100);
  pwfleet_release(picked.target);
  /* a beginning of it is cached elsewhere */
  criteria.prompt.cached[0] = (pw_fleet_cached){other->short_hash, 400};
  criteria.prompt.ncached = 1;
  picked = pwfleet_pick(f, &criteria, 1000);
  CHECK(picked.target == home && picked.holder == other);
  CHECK(picked.work.copied == 400 && picked.work.own == 700);
  pwfleet_release(picked.target);
  /* all that it shares is cached elsewhere: it is sent there */
  criteria.prompt.cached[0].tokens = 1000;
  picked = pwfleet_pick(f, &criteria, 1000);
  CHECK(picked.target == other && picked.work.own == 100);
  CHECK(picked.work.copied == 0);
  pwfleet_release(picked.target);
  /* ... unless that target has too much prefill to do */
  other->others_prefill = 20000;
  picked = pwfleet_pick(f, &criteria, 1000);
  CHECK(picked.target == home && picked.holder == other);
  CHECK(picked.work.copied == 1000 && picked.work.own == 100);
  pwfleet_release(picked.target);
  /* targets that copy nothing compute the prefix again where the one that has it is late: it would be refused
  ** beside an idle target otherwise */
  criteria.prompt.can_copy = 0;
  picked = pwfleet_pick(f, &criteria, 1000);
  CHECK(picked.target == home && picked.work.own == 1100);
  if (picked.target)
    pwfleet_release(picked.target);
  criteria.prompt.can_copy = 1;
  /* its home has it */
  criteria.prompt.cached[0].target = home->short_hash;
  picked = pwfleet_pick(f, &criteria, 1000);
  CHECK(picked.target == home && picked.holder == NULL);
  pwfleet_release(picked.target);
  other->is_gone = 1; /* its cache is gone with it */
  criteria.prompt.cached[0].target = other->short_hash;
  picked = pwfleet_pick(f, &criteria, 1000);
  CHECK(picked.target == home && picked.holder == NULL);
  CHECK(picked.work.own == 1100);
  pwfleet_release(picked.target);
  pwfleet_free(f);
}

/* --- retry budget --- */

/* No window of the budget's length has more retries than the ratio and the slack allow. */
static void test_retries(void) {
  enum { WINDOW = 1000, TIME = 20000 };
  static int requests[TIME], retries[TIME];
  pw_random r = {.seed = test_seed(13)};
  pw_retries b;
  pwretries_init(&b, 0.2, 10, WINDOW);
  for (int now = 0; now < TIME; now++) {
    int busy = now / 3000 % 2;
    requests[now] = (int)pwrand_below(&r, busy ? 4 : 2);
    for (int i = 0; i < requests[now]; i++)
      pwretries_request(&b, now);
    for (int i = 0; i < 3; i++)
      retries[now] += pwretries_spend(&b, 1, now);
  }
  for (int from = 0; from + WINDOW < TIME; from += 17) {
    int asked = 0, spent = 0, before = 0;
    for (int i = from; i < from + WINDOW; i++) {
      asked += requests[i];
      spent += retries[i];
      before += i >= WINDOW ? requests[i - WINDOW] : 0;
    }
    int most = asked > before ? asked : before;
    CHECK(spent <= 0.2 * most + 10);
  }
}

/* The budget is divided among the gateways; a start has none of it. */
static void test_retries_shared(void) {
  pw_retries b;
  pwretries_init(&b, 0, 100, 1000);
  CHECK(!pwretries_spend(&b, 4, 1));
  int n = 0;
  for (int now = 1; now < 1001; now++)
    while (pwretries_spend(&b, 4, now))
      n++;
  CHECK(n > 0 && n * 4 <= 100);
}

/* --- target lists in notices --- */

static void count_valid(void *arg, const Pw__Beat *in) {
  pw_heartbeat b;
  pwtable_unpack(in, &b);
  *(int *)arg += b.slots == 4 && !strcmp(b.service, "s") && b.address[0];
}

/* A few heartbeats are packed as they are, many compressed; all are read back. */
static void test_tables(void) {
  for (int n = 1; n < 400; n += 57) {
    pw_heartbeat b[400];
    Pw__Beat packed[400], *at[400];
    Pw__Notice notice = PW__NOTICE__INIT;
    int n_valid = 0;
    for (int i = 0; i < n; i++) {
      char id[16];
      snprintf(id, sizeof id, "t%d", i);
      b[i] = heartbeat(id, "10.0.0.1:80", 1, 0);
      pwtable_pack(&packed[i], &b[i], 0, 0, 5);
      at[i] = &packed[i];
    }
    pwtable_put(at, (size_t)n, &notice);
    CHECK(n < 17 ? notice.n_beats == (size_t)n : notice.table.len > 0);
    pwtable_read(&notice, count_valid, &n_valid);
    CHECK(n_valid == n);
    if (notice.table.data) { /* a truncated table is dropped as a whole */
      notice.table.len /= 2;
      n_valid = 0;
      pwtable_read(&notice, count_valid, &n_valid);
      CHECK(n_valid == 0);
    }
    free(notice.table.data);
  }
}

/* Remaining cold time of a target whose heartbeat came `age` ms ago. */
static int64_t cold_left(const pw_heartbeat *b, int64_t age) {
  return b->cold_ms > age ? b->cold_ms - age : 0;
}

typedef struct comparison {
  const pw_heartbeat *want;
  int n, wrong;
} comparison;

static void compare(void *arg, const Pw__Beat *in) {
  comparison *s = arg;
  pw_heartbeat got;
  const pw_heartbeat *want = &s->want[s->n++];
  pwtable_unpack(in, &got);
  s->wrong += strcmp(got.id, want->id) != 0 ||
              strcmp(got.service, want->service) != 0 ||
              strcmp(got.address, want->address) != 0 ||
              strcmp(got.availability_zone, want->availability_zone) != 0 ||
              got.seq != want->seq || got.slots != want->slots ||
              got.leaving != want->leaving ||
              cold_left(&got, in->age) != want->cold_ms;
}

/* The table of a large fleet is read back unchanged and takes few bytes per target: one control instance
** may send it to hundreds of gateways at once. */
static void test_large_table(void) {
  enum { MANY = 3000, BYTES_A_TARGET = 12 };
  static pw_heartbeat b[MANY];
  static Pw__Beat packed[MANY], *at[MANY];
  static const char *const zone[] = {"north-a", "north-b", "south-a"};
  pw_random r = {.seed = test_seed(92)};
  Pw__Notice notice = PW__NOTICE__INIT;
  for (int i = 0; i < MANY; i++) {
    b[i] = (pw_heartbeat){.slots = i % 20 ? 64 : 6,
                          .seq = 8 + pwrand(&r) % 4,
                          .leaving = i % 100 == 0,
                          .cold_ms = i % 50 ? 0 : 900};
    snprintf(b[i].id, sizeof b[i].id, "i-%010llx",
             (unsigned long long)(pwrand(&r) & 0xffffffffffULL));
    snprintf(b[i].service, sizeof b[i].service, "%s",
             i % 20 ? "llm" : "portal");
    snprintf(b[i].availability_zone, sizeof b[i].availability_zone, "%s",
             zone[i % 3]);
    snprintf(b[i].address, sizeof b[i].address, "10.%d.%d.%d:8709", i % 3,
             i / 600, i / 3 % 200);
    int64_t age = (int64_t)(pwrand(&r) % 1200);
    pwtable_pack(&packed[i], &b[i], 0, 0, age);
    b[i].cold_ms = cold_left(&b[i], age);
    at[i] = &packed[i];
  }
  pwtable_put(at, MANY, &notice);
  CHECK(notice.table.len <= BYTES_A_TARGET * MANY);
  comparison s = {b, 0, 0};
  pwtable_read(&notice, compare, &s);
  CHECK(s.n == MANY && s.wrong == 0);
  free(notice.table.data);
}

/* --- configuration documents --- */

static char *document(pw_random *r, int lines) {
  pw_buf b = {0};
  for (int i = 0; i < lines; i++)
    pwbuf_fmt(&b, "line %d of %llx\n", i,
              (unsigned long long)(i % 50 ? 7 : pwrand(r)));
  return pwbuf_take(&b);
}

/* A follower that missed versions takes differences or the full document, and rejects outdated and
** corrupt ones. */
static void test_documents(void) {
  pw_random r = {.seed = test_seed(14)};
  pw_doc *leader = pwdoc_new(), *follower = pwdoc_new();
  for (uint64_t v = 1; v < 40; v++) {
    Pw__Document d;
    char *text = document(&r, 400 + (int)pwrand_below(&r, 100));
    pwdoc_pack_next(leader, v * 3, text, strlen(text), &d);
    CHECK(pwdoc_apply(leader, &d) == PW_OK);
    free(d.data.data);
    if (pwrand_below(&r, 3) == 0) { /* the follower misses this version */
      free(text);
      continue;
    }
    const Pw__Document *packed = pwdoc_packed(leader, pwdoc_version(follower));
    if (packed->since)
      CHECK(packed->data.len < strlen(text) / 4);
    CHECK(packed == pwdoc_packed(leader, pwdoc_version(follower)));
    CHECK(pwdoc_apply(follower, packed) == PW_OK);
    const Pw__Document *passed = pwdoc_packed(follower, packed->since);
    CHECK(pw_same(passed->data.data, passed->data.len, packed->data.data,
                  packed->data.len));
    CHECK(passed->version == packed->version && passed->size == packed->size);
    size_t n;
    CHECK(pwdoc_version(follower) == v * 3);
    CHECK(!strcmp(pwdoc_text(follower, &n), text) && n == strlen(text));
    free(text);
  }
  Pw__Document old = *pwdoc_packed(follower, 0);
  old.version = 1;
  uint64_t version_before = pwdoc_version(leader);
  CHECK(pwdoc_apply(leader, &old) == PW_OK &&
        pwdoc_version(leader) == version_before);
  old.version = version_before + 1;
  old.since = 2;
  CHECK(pwdoc_apply(leader, &old) == PW_E_STALE);
  old.since = 0;
  old.data.len /= 2;
  CHECK(pwdoc_apply(leader, &old) == PW_E_CORRUPT);
  CHECK(pwdoc_version(leader) == version_before);
  pwdoc_free(leader);
  pwdoc_free(follower);
}

/* --- log lines --- */

/* The log stays within its budget, failures are logged even when the budget is short, and a reader
** that does not read blocks nobody. */
static void test_trace(void) {
  int fd[2];
  CHECK(pipe(fd) == 0);
  fcntl(fd[0], F_SETFL, O_NONBLOCK);
  pw_trace *t = pwtrace_new("g", fd[1], 4000);
  for (int64_t now = 0; now < 10000; now++) {
    pwtrace_line(t, PWTRACE_ROUTINE, now, "placed", "n=%d", (int)now);
    if (now % 100 == 0)
      pwtrace_line(t, PWTRACE_FAIL, now, "refused", "n=%d", (int)now);
    if (now % 20 == 0)
      pwtrace_flush(t, now);
  }
  pwtrace_flush(t, 10000);
  pw_buf b = {0};
  char block[65536];
  ssize_t n;
  while ((n = read(fd[0], block, sizeof block)) > 0)
    pwbuf_add(&b, block, (size_t)n);
  CHECK(b.len < 4000 * 11);
  int failures = 0;
  for (const char *p = b.data; p && (p = strstr(p, "ev=refused")); p++)
    failures++;
  CHECK(failures == 100);
  CHECK(b.data && strstr(b.data, "ev=left-out lines=") != NULL);
  pwbuf_free(&b);
  /* the reader does not read any more */
  for (int64_t now = 10000; now < 2000000; now += 10) {
    pwtrace_line(t, PWTRACE_FAIL, now, "refused", "x=1");
    pwtrace_flush(t, now);
  }
  CHECK(pwtrace_dropped(t) > 0);
  pwtrace_free(t);
  close(fd[0]);
  close(fd[1]);
}

int main(void) {
  TESTS_BEGIN("gateway");
  TEST(test_fleet);
  TEST(test_incarnations);
  TEST(test_incarnations_packed);
  TEST(test_bad_heartbeats);
  TEST(test_ejected);
  TEST(test_errors);
  TEST(test_last_resort);
  TEST(test_late_heartbeat);
  TEST(test_stale_loads);
  TEST(test_connections);
  TEST(test_pick);
  TEST(test_pick_sticks_when_full);
  TEST(test_live_holders);
  TEST(test_shared_prefix);
  TEST(test_retries);
  TEST(test_retries_shared);
  TEST(test_tables);
  TEST(test_large_table);
  TEST(test_documents);
  TEST(test_trace);
  TESTS_END();
}
