/* test_ledger.c: the once-ledger: claims, answers that exceed its limits, a
** full ledger, expiry and packing; and the set of hashed keys (pwdedup). */
#include "pwbuf.h"
#include "pwdedup.h"
#include "pwlimits.h"
#include "pwonce.h"
#include "pwtest.h"

#include <string.h>

static Pw__Claimed *claim(pw_once *o, uint64_t wall, const char *id,
                          const char *key, const char *body) {
  Pw__Claim c = PW__CLAIM__INIT;
  c.id = (char *)id;
  c.workspace = "w";
  c.key = (char *)key;
  c.digest.data = (uint8_t *)body;
  c.digest.len = strlen(body);
  return pwonce_claim(o, wall, &c);
}

/* Claims a key and checks code and `answered` of the result. */
static void expect_claim(pw_once *o, uint64_t wall, const char *id,
                         const char *key, const char *body, pw_code code,
                         int answered) {
  Pw__Claimed *c = claim(o, wall, id, key, body);
  CHECK(c->code == code && c->answered == answered);
  pw__claimed__free_unpacked(c, NULL);
}

static void test_once(void) {
  pw_once *o = pwonce_new();
  Pw__Record r = PW__RECORD__INIT;
  r.workspace = "w";
  r.key = "k";
  expect_claim(o, 1, "a", "k", "body", PW_OK, 0);
  expect_claim(o, 1, "a", "k", "body", PW_OK, 0); /* the same claim again */
  expect_claim(o, 1, "b", "k", "body", PW_E_RUNNING, 0);
  expect_claim(o, 1, "b", "k", "other", PW_E_REUSED, 0);
  r.id = "b";
  r.status = 200;
  pwonce_record(o, &r); /* not its owner */
  expect_claim(o, 1, "c", "k", "body", PW_E_RUNNING, 0);
  r.id = "a";
  r.not_run = 1;
  pwonce_record(o, &r); /* given back */
  expect_claim(o, 1, "c", "k", "body", PW_OK, 0);
  r.id = "c";
  r.not_run = 0;
  pwonce_record(o, &r);
  expect_claim(o, 1, "d", "k", "body", PW_OK, 1);
  pwonce_expire(o, 1 + PW_ONCE_KEEP_MS + 1, PW_ONCE_KEEP_MS);
  CHECK(pwonce_count(o) == 0);
  pwonce_free(o);
}

/* Guards against claims that are open for good: a copy of a claim that was
** read after the claim was given back was granted, so that a caller with the
** answer "not run" got 4007 for each resend. Neither a copy that arrives
** after the record nor one whose record arrives before any claim is granted,
** also after packing. */
static void test_given_back(void) {
  pw_once *o = pwonce_new();
  pw_once *copy = pwonce_new();
  Pw__Record r = PW__RECORD__INIT;
  Pw__State s = PW__STATE__INIT;
  r.workspace = "w";
  r.key = "k";
  r.id = "a";
  r.not_run = 1;
  expect_claim(o, 1, "a", "k", "body", PW_OK, 0);
  pwonce_record(o, &r);
  expect_claim(o, 1, "a", "k", "body", PW_E_RUNNING, 0);
  r.key = "early";
  pwonce_record(o, &r);
  pwonce_pack(o, &s);
  CHECK(pwonce_load(copy, &s) == PW_OK);
  free(s.claims);
  free(s.past.data);
  expect_claim(copy, 1, "a", "early", "body", PW_E_RUNNING, 0);
  expect_claim(copy, 1, "b", "early", "body", PW_OK, 0);
  expect_claim(copy, 1, "a", "early", "body", PW_E_RUNNING, 0);
  expect_claim(o, 1, "b", "k", "body", PW_OK, 0);
  expect_claim(o, 1, "a", "k", "body", PW_E_RUNNING, 0);
  r.key = "k";
  pwonce_record(o, &r); /* too late: another owner has the claim now */
  expect_claim(o, 1, "b", "k", "body", PW_OK, 0);
  for (int i = 0; i < 2 * PW_ONCE_GIVEN_BACK; i++) {
    char key[32];
    snprintf(key, sizeof key, "many-%d", i);
    r.key = key;
    pwonce_record(o, &r);
  }
  pwonce_pack(o, &s);
  CHECK(s.n_claims == PW_ONCE_GIVEN_BACK + 1);
  free(s.claims);
  free(s.past.data);
  pwonce_free(o);
  pwonce_free(copy);
}

static void record(pw_once *o, const char *id, const char *key) {
  Pw__Record r = PW__RECORD__INIT;
  r.id = (char *)id;
  r.workspace = "w";
  r.key = (char *)key;
  r.status = 200;
  r.content_type = "text/plain";
  pwonce_record(o, &r);
}

/* A key for each number. The text is valid until the next call. */
static const char *key_of(uint32_t i) {
  static char key[32];
  snprintf(key, sizeof key, "key-%u", i);
  return key;
}

/* Guards against requests that run twice: a ledger that removed its oldest
** answered claims to make room for new answers granted them to resends. */
static void test_too_many_answers(void) {
  pw_once *o = pwonce_new();
  const uint32_t n = PW_ONCE_ANSWERS + 100;
  for (uint32_t i = 0; i < n; i++) {
    pwonce_expire(o, 1000, PW_ONCE_KEEP_MS);
    expect_claim(o, 1000, "a", key_of(i), "body", PW_OK, 0);
    record(o, "a", key_of(i));
  }
  pwonce_expire(o, 1000, PW_ONCE_KEEP_MS);
  CHECK(pwonce_count(o) == n);
  CHECK(pwonce_past_count(o) == 100);
  for (uint32_t i = 0; i < n; i += 50)
    expect_claim(o, 1000, "b", key_of(i), "body", PW_OK, 1);
  expect_claim(o, 1000, "b", key_of(0), "other", PW_E_REUSED, 0);
  Pw__Claimed *c = claim(o, 1000, "b", key_of(0), "body");
  CHECK(c->answered && !c->content_type[0] && !c->body.len);
  pw__claimed__free_unpacked(c, NULL);
  pwonce_free(o);
}

/* A claim without a recorded answer stays claimed when only its hash is left,
** until the retention time of keys has elapsed. */
static void test_past_without_answer(void) {
  pw_once *o = pwonce_new();
  expect_claim(o, 1000, "a", "k", "body", PW_OK, 0);
  uint64_t wall = 1000 + PW_ONCE_OPEN_MS + 1;
  pwonce_expire(o, wall, PW_ONCE_KEEP_MS);
  CHECK(pwonce_past_count(o) == 1);
  expect_claim(o, wall, "b", "k", "body", PW_E_RUNNING, 0);
  record(o, "a", "k"); /* too late */
  expect_claim(o, wall, "a", "k", "body", PW_E_RUNNING, 0);
  wall = 2000 + PW_ONCE_KEEP_MS + 1000;
  pwonce_expire(o, wall, PW_ONCE_KEEP_MS);
  expect_claim(o, wall, "b", "k", "body", PW_OK, 0);
  pwonce_free(o);
}

/* A full ledger refuses new claims and removes none. */
static void test_full(void) {
  pw_once *o = pwonce_new();
  for (uint32_t i = 0; i < PW_ONCE_OPEN_MAX; i++)
    expect_claim(o, 1000, "a", key_of(i), "body", PW_OK, 0);
  expect_claim(o, 1000, "a", "more", "body", PW_E_LEDGER_FULL, 0);
  expect_claim(o, 1000, "b", key_of(0), "body", PW_E_RUNNING, 0);
  record(o, "a", key_of(0));
  expect_claim(o, 1000, "a", "more", "body", PW_OK, 0);
  pwonce_free(o);

  Pw__State full = PW__STATE__INIT;
  full.past.len = (size_t)PW_ONCE_MAX * PWDEDUP_ENTRY_BYTES;
  full.past.data = pw_alloc(full.past.len);
  for (uint32_t i = 0; i < PW_ONCE_MAX; i++) {
    uint8_t *at = full.past.data + (size_t)i * PWDEDUP_ENTRY_BYTES;
    uint32_t spread = i * 2654435761U;
    memcpy(at, &spread, sizeof spread);
    at[PWDEDUP_KEY_BYTES] = 100; /* seconds */
  }
  o = pwonce_new();
  CHECK(pwonce_load(o, &full) == PW_OK);
  CHECK(pwonce_past_count(o) == PW_ONCE_MAX);
  expect_claim(o, 101000, "a", "k", "body", PW_E_LEDGER_FULL, 0);
  pwonce_expire(o, 101000 + PW_ONCE_KEEP_MS, PW_ONCE_KEEP_MS);
  expect_claim(o, 101000 + PW_ONCE_KEEP_MS, "a", "k", "body", PW_OK, 0);
  full.past.len--;
  CHECK(pwonce_load(o, &full) == PW_E_CORRUPT);
  free(full.past.data);
  pwonce_free(o);
}

/* After a ledger was lost, unknown keys are refused until a set time, while
** known ones are answered. */
static void test_refuse_until(void) {
  pw_once *o = pwonce_new();
  expect_claim(o, 1000, "a", "k", "body", PW_OK, 0);
  pwonce_refuse_until(o, 5000);
  expect_claim(o, 4999, "a", "other", "body", PW_E_LEDGER_LOST, 0);
  expect_claim(o, 4999, "b", "k", "body", PW_E_RUNNING, 0);
  expect_claim(o, 5000, "a", "other", "body", PW_OK, 0);
  pwonce_free(o);
}

/* A ledger that was packed and loaded answers every claim as the original. */
static void test_packed(void) {
  pw_once *o = pwonce_new();
  pw_once *copy = pwonce_new();
  for (uint32_t i = 0; i < PW_ONCE_ANSWERS + 10; i++) {
    pwonce_expire(o, 1000, PW_ONCE_KEEP_MS);
    expect_claim(o, 1000, "a", key_of(i), "body", PW_OK, 0);
    if (i % 7)
      record(o, "a", key_of(i));
  }
  Pw__State s = PW__STATE__INIT;
  pwonce_pack(o, &s);
  CHECK(pwonce_load(copy, &s) == PW_OK);
  CHECK(pwonce_count(copy) == pwonce_count(o));
  CHECK(pwonce_past_count(copy) == pwonce_past_count(o));
  for (uint32_t i = 0; i < PW_ONCE_ANSWERS + 10; i += 3) {
    Pw__Claimed *x = claim(o, 1000, "b", key_of(i), "body");
    Pw__Claimed *y = claim(copy, 1000, "b", key_of(i), "body");
    CHECK(x->code == y->code && x->answered == y->answered);
    CHECK(!strcmp(x->content_type, y->content_type));
    pw__claimed__free_unpacked(x, NULL);
    pw__claimed__free_unpacked(y, NULL);
  }
  free(s.claims);
  free(s.past.data);
  pwonce_free(o);
  pwonce_free(copy);
}

#define NAIVE_MAX 4000

/* Reference implementation of pwdedup: a list with linear search. */
typedef struct naive {
  pw_dedup_entry e[NAIVE_MAX];
  int first, n;
} naive;

static int naive_find(const naive *l, const uint8_t *key) {
  for (int i = l->first; i < l->n; i++)
    if (!memcmp(l->e[i].key, key, PWDEDUP_KEY_BYTES))
      return i;
  return -1;
}

/* The hash table against the list. Keys have few different first bytes, so that
** many share a slot. */
static void test_dedup_against_naive(void) {
  pw_random rnd = {test_seed(71), 0};
  naive *l = pw_alloc(sizeof *l);
  pw_dedup *d = pwdedup_new();
  for (uint32_t round = 0; l->n < NAIVE_MAX; round++) {
    pw_dedup_entry e = {.at = round / 4, .body = round, .answered = round & 1};
    e.key[0] = (uint8_t)pwrand_below(&rnd, 8);
    e.key[3] = 0xff; /* near the end of the table: searches wrap around */
    e.key[8] = (uint8_t)pwrand_below(&rnd, 256);
    e.key[9] = (uint8_t)pwrand_below(&rnd, 16);
    pw_dedup_entry got = {0};
    int at = naive_find(l, e.key);
    int found = pwdedup_find(d, e.key, &got);
    CHECK(found == (at >= 0));
    if (found && at >= 0)
      CHECK(got.at == l->e[at].at && got.body == l->e[at].body &&
            got.answered == l->e[at].answered);
    if (!found) {
      pwdedup_add(d, &e);
      l->e[l->n++] = e;
    }
    if (pwrand_below(&rnd, 50) == 0 && round > 1500) {
      uint32_t before = (round - 1500 + (uint32_t)pwrand_below(&rnd, 500)) / 4;
      pwdedup_expire(d, before);
      while (l->first < l->n && l->e[l->first].at < before)
        l->first++;
    }
    CHECK((int)pwdedup_count(d) == l->n - l->first);
  }
  pwdedup_free(d);
  free(l);
}

int main(void) {
  TESTS_BEGIN("ledger");
  TEST(test_once);
  TEST(test_given_back);
  TEST(test_too_many_answers);
  TEST(test_past_without_answer);
  TEST(test_full);
  TEST(test_refuse_until);
  TEST(test_packed);
  TEST(test_dedup_against_naive);
  TESTS_END();
}
