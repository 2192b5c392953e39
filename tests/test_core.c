/* test_core.c: codes, counters, events, settings, clock, mailbox. */
#include "pwbuf.h"
#include "pwclock.h"
#include "pwcode.h"
#include "pwcount.h"
#include "pwevent.h"
#include "pwset.h"
#include "pwtest.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static char *read_text(const char *path) {
  pw_buf b = {0};
  char block[4096];
  size_t n;
  FILE *f = fopen(path, "r");
  while (f && (n = fread(block, 1, sizeof block, f)) > 0)
    pwbuf_add(&b, block, n);
  if (f)
    fclose(f);
  return pwbuf_take(&b);
}

/* docs/CODES.md has one row for each code, and no others. */
static void test_codes_page(void) {
  char *page = read_text("docs/CODES.md");
  pw_code code;
  const char *name;
  int rows = 0;
  for (int i = 0; pwcode_row(i, &code, &name); i++) {
    char row[160];
    snprintf(row, sizeof row, "| %d | %d | `%s` |", (int)code,
             pwcode_http(code), name);
    CHECK(strstr(page, row) != NULL);
    rows++;
  }
  int lines = 0;
  for (const char *p = page; (p = strstr(p, "| `")) != NULL; p++)
    lines++;
  CHECK(lines == rows);
  free(page);
}

static void test_settings_page(void) {
  char *page = read_text("docs/SETTINGS.md");
  pw_buf made = {0};
  pwset_document(&made);
  CHECK(!strcmp(page, made.data));
  pwbuf_free(&made);
  free(page);
}

static pw_code check_text(const char *text, pw_buf *err) {
  char path[] = "/tmp/pwsetXXXXXX";
  int fd = mkstemp(path);
  ssize_t done = write(fd, text, strlen(text));
  close(fd);
  pw_settings s;
  pw_code rc = done < 0 ? PW_E_IO : pwset_read(&s, path, err);
  pwset_free(&s);
  unlink(path);
  return rc;
}

/* Whether the messages contain a text. */
static int contains(const pw_buf *b, const char *text) {
  return b->data && strstr(b->data, text) != NULL;
}

static int lines_in(const pw_buf *b) {
  int n = 0;
  for (size_t i = 0; i < b->len; i++)
    n += b->data[i] == '\n';
  return n;
}

#define GOOD                                                                   \
  "[instance]\nname = \"c\"\nroles = [\"control\"]\n[control]\n"               \
  "http = \"127.0.0.1:1\"\nwire = \"tcp://127.0.0.1:2\"\ndata_dir = \"d\"\n"

static void test_settings(void) {
  pw_buf err = {0};
  CHECK(check_text(GOOD, &err) == PW_OK);
  CHECK(err.len == 0);
  CHECK(check_text(GOOD "colour = 3\nid = \"x\"\nheartbeat_ms = 5\n", &err) ==
        PW_E_SETTINGS);
  CHECK(lines_in(&err) == 3); /* all mistakes are reported at once */
  CHECK(contains(&err, ":8:10: control.colour: unknown key"));
  CHECK(contains(&err, ":9:6: control.id: wrong type"));
  CHECK(contains(&err, ":10:16: control.heartbeat_ms: out of range; "
                       "10 to 10000 ms is allowed"));
  pwbuf_free(&err);
  CHECK(check_text(GOOD "heartbeat_ms = 300\nretry_ms = 400\n", &err) ==
        PW_E_SETTINGS);
  CHECK(contains(&err, "heartbeat_ms + 2 * retry_ms <= lease_ms"));
  pwbuf_free(&err);
  CHECK(check_text("[instance]\nroles = [\"entry\"]\n", &err) == PW_E_SETTINGS);
  CHECK(lines_in(&err) == 4); /* name, entry.http, .wire, .control */
  pwbuf_free(&err);
  CHECK(check_text("[instance\n", &err) == PW_E_SETTINGS);
  CHECK(lines_in(&err) == 1);
  pwbuf_free(&err);
}

/* Inputs found by fuzzing on which toml++ fails an assertion: they are refused with one line and do
** not abort the process. */
static void test_bad_toml(void) {
  static const char *const bad[] = {"[&[0\t2", "[instance]\n\xcc\xae = 1\n",
                                    "[instance]\nname = \xc3\xa9\n",
                                    "\xae\xcc\xae"};
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++) {
    pw_buf err = {0};
    CHECK(check_text(bad[i], &err) == PW_E_SETTINGS);
    CHECK(lines_in(&err) == 1);
    pwbuf_free(&err);
  }
}

static void test_secret_file(void) {
  char text[512];
  char path[] = "/tmp/pwkeyXXXXXX";
  close(mkstemp(path));
  pw_buf err = {0};
  snprintf(text, sizeof text, GOOD "operators_file = \"%s\"\n", path);
  CHECK(check_text(text, &err) == PW_OK);
  chmod(path, 0644);
  CHECK(check_text(text, &err) == PW_E_SETTINGS);
  CHECK(contains(&err, "others can read"));
  pwbuf_free(&err);
  unlink(path);
}

static void test_counters(void) {
  pw_counters *c = pwcount_new();
  pw_buf b = {0};
  pwcount_add(c, PWC_REQUESTS, 3);
  pwcount_add(c, PWC_REQUESTS, 4);
  pwcount_observe(c, PWH_FIRST, 600);
  pwcount_observe(c, PWH_FIRST, 99999999);
  CHECK(pwcount_get(c, PWC_REQUESTS) == 7);
  pwcount_render(c, &b);
  CHECK(strstr(b.data, "\npeatwell_requests_total 7\n") != NULL);
  CHECK(strstr(b.data, "first_byte_seconds_bucket{le=\"0.001\"} 1\n") != NULL);
  CHECK(strstr(b.data, "first_byte_seconds_bucket{le=\"+Inf\"} 2\n") != NULL);
  CHECK(strstr(b.data, "first_byte_seconds_count 2\n") != NULL);
  pwbuf_free(&b);
  pwcount_free(c);
}

static void test_events(void) {
  pw_hlc h;
  pwhlc_init(&h);
  pw_events *r = pwevent_new(&h, 4);
  for (int i = 0; i < 6; i++)
    pwevent_add(r, PWE_PLACED, 0, "r", NULL, "t", "n=%d", i);
  json_t *list = pwevent_json(r, 0, "me");
  CHECK(json_array_size(list) ==
        4); /* the ring is full: the oldest two are overwritten */
  const json_t *first = json_array_get(list, 0);
  CHECK(!strcmp(json_string_value(json_object_get(first, "detail")), "n=2"));
  json_int_t third =
      json_integer_value(json_object_get(json_array_get(list, 2), "hlc"));
  json_t *later = pwevent_json(r, (uint64_t)third, "me");
  CHECK(json_array_size(later) == 1);
  json_decref(later);
  json_decref(list);
  pwevent_free(r);
}

static void test_hlc(void) {
  pw_hlc h;
  pwhlc_init(&h);
  uint64_t a = pwhlc_tick(&h, 1000);
  pwhlc_update(&h, a + 5000000); /* a peer's clock is ahead */
  uint64_t b = pwhlc_tick(&h, 1000);
  CHECK(b > a + 5000000); /* the effect is stamped after its cause */
}

int main(void) {
  TESTS_BEGIN("core");
  TEST(test_codes_page);
  TEST(test_settings_page);
  TEST(test_settings);
  TEST(test_bad_toml);
  TEST(test_secret_file);
  TEST(test_counters);
  TEST(test_events);
  TEST(test_hlc);
  TESTS_END();
}
