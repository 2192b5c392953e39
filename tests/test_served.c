/* test_served.c: unit tests of the record of software versions that serve or served lately. If it lost a version, as over
** a snapshot, a gateway that starts would take the versions that it sees for all that served, and join streams of two;
** 116_joined_versions tests the same with processes. */
#include "pwbuf.h"
#include "pwstate.h"
#include "pwtest.h"

#include <stdio.h>
#include <stdlib.h>

static void record(pw_state *s, const char *service, char **versions,
                   size_t n) {
  Pw__ServedVersions m = PW__SERVED_VERSIONS__INIT;
  m.service = (char *)service;
  m.versions = versions;
  m.n_versions = n;
  Pw__Command cmd = PW__COMMAND__INIT;
  cmd.body_case = PW__COMMAND__BODY_SERVED;
  cmd.served = &m;
  Pw__Outcome *outcome;
  Pw__Claimed *claimed;
  pwstate_apply(s, &cmd, &outcome, &claimed);
  CHECK(!outcome && !claimed);
}

static size_t count(const pw_state *s, const char *service) {
  const Pw__ServedVersions *m = pwserved_get(pwstate_served(s), service);
  return m ? m->n_versions : 0;
}

static int has(const pw_state *s, const char *service, const char *version) {
  return pwserved_has(pwserved_get(pwstate_served(s), service), version);
}

static pw_state *through_snapshot(pw_state *s) {
  size_t n;
  uint8_t *bytes = pwstate_save(s, &n);
  pw_state *copy = pwstate_new();
  CHECK(pwstate_load(copy, bytes, n) == PW_OK);
  free(bytes);
  pwstate_free(s);
  return copy;
}

static void test_replaced_and_removed(void) {
  pw_state *s = pwstate_new();
  char *both[] = {"v1", "v1.1"};
  record(s, "llm", both, 1);
  record(s, "portal", both, 2);
  CHECK(count(s, "llm") == 1 && count(s, "portal") == 2);
  record(s, "llm", both, 2);
  CHECK(has(s, "llm", "v1") && has(s, "llm", "v1.1"));
  record(s, "portal", both + 1, 1);
  CHECK(!has(s, "portal", "v1") && has(s, "portal", "v1.1"));
  record(s, "portal", NULL, 0);
  CHECK(!pwserved_get(pwstate_served(s), "portal"));
  CHECK(pwstate_served(s)->number == 5);
  pwstate_free(s);
}

static void test_kept_in_snapshots(void) {
  pw_state *s = pwstate_new();
  char *both[] = {"v1", "v1.1"};
  record(s, "llm", both, 2);
  record(s, "portal", both, 1);
  s = through_snapshot(through_snapshot(s));
  CHECK(has(s, "llm", "v1") && has(s, "llm", "v1.1"));
  CHECK(count(s, "portal") == 1 && pwstate_served(s)->number == 2);
  record(s, "llm", both + 1, 1);
  s = through_snapshot(s);
  CHECK(count(s, "llm") == 1 && pwstate_served(s)->number == 3);
  pwstate_free(s);
}

/* What does not fit is left out, and the rest stays. */
static void test_limits(void) {
  pw_state *s = pwstate_new();
  char *versions[PWSERVED_VERSIONS_MAX + 1];
  char name[PWSERVED_SERVICES_MAX + 1][8];
  for (size_t i = 0; i <= PWSERVED_VERSIONS_MAX; i++)
    versions[i] = "v";
  record(s, "many", versions, PWSERVED_VERSIONS_MAX + 1);
  CHECK(!pwserved_get(pwstate_served(s), "many"));
  for (size_t i = 0; i <= PWSERVED_SERVICES_MAX; i++) {
    snprintf(name[i], sizeof name[i], "s%zu", i);
    record(s, name[i], versions, 1);
  }
  s = through_snapshot(s);
  CHECK(pwstate_served(s)->n == PWSERVED_SERVICES_MAX);
  CHECK(count(s, name[0]) == 1 && count(s, name[PWSERVED_SERVICES_MAX]) == 0);
  pwstate_free(s);
}

int main(void) {
  TESTS_BEGIN("served");
  TEST(test_replaced_and_removed);
  TEST(test_kept_in_snapshots);
  TEST(test_limits);
  TESTS_END();
}
