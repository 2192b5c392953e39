/* test_sse.c: unit tests of where events of a stream end. A stream that ends inside an event must not count as
** complete, whatever its line ends are and however it is split into pieces; 76_cut_in_an_event tests the same with
** processes. */
#include "pwsse.h"
#include "pwtest.h"

#include <string.h>

/* Feeds a stream in pieces of `step` bytes; returns the position after the last complete event. */
static size_t feed(pw_sse *s, const char *text, size_t n, size_t step) {
  size_t complete = 0;
  for (size_t at = 0; at < n; at += step) {
    size_t piece = n - at < step ? n - at : step;
    size_t got = pwsse_read(s, text + at, piece);
    if (got)
      complete = at + got;
  }
  return complete;
}

/* Cuts a stream after each of its bytes: only the ends of events may count as complete. */
static void check_all_cuts(const char *text, const size_t *ends, int nends) {
  size_t n = strlen(text);
  for (size_t cut = 1; cut <= n; cut++) {
    for (size_t step = 1; step <= n; step++) {
      pw_sse s = {0};
      size_t complete = feed(&s, text, cut, step), last = 0;
      int events = 0, is_end = 0;
      for (int i = 0; i < nends; i++) {
        last = ends[i] <= cut ? ends[i] : last;
        events += ends[i] <= cut;
        is_end |= ends[i] == cut;
      }
      CHECK(pwsse_is_between(&s) == is_end);
      CHECK(complete == last);
      CHECK(s.events == events);
    }
  }
}

static void test_line_feed(void) {
  static const size_t ends[] = {11, 26};
  check_all_cuts("id:1\ndata\n\nid: 2\ndata: b\n\n", ends, 2);
}

static void test_carriage_return(void) {
  static const size_t ends[] = {11, 26};
  check_all_cuts("id:1\rdata\r\rid: 2\rdata: b\r\r", ends, 2);
}

/* The LF of an empty line may come after its CR has ended the event. */
static void test_both(void) {
  const char *text = "id:1\r\ndata\r\n\r\n";
  size_t n = strlen(text);
  pw_sse s = {0};
  CHECK(pwsse_read(&s, text, n) == n && pwsse_is_between(&s));
  s = (pw_sse){0};
  CHECK(pwsse_read(&s, text, n - 1) == n - 1 && pwsse_is_between(&s));
  CHECK(pwsse_read(&s, text + n - 1, 1) == 1 && pwsse_is_between(&s));
  CHECK(s.events == 1);
  for (size_t cut = 1; cut < n - 1; cut++) {
    s = (pw_sse){0};
    CHECK(pwsse_read(&s, text, cut) == 0 && !pwsse_is_between(&s));
  }
}

/* Comments and empty lines are no events, and a complete comment is no unfinished one. */
static void test_comments(void) {
  pw_sse s = {0};
  CHECK(pwsse_read(&s, ": ping\n", 7) == 7 && pwsse_is_between(&s));
  CHECK(pwsse_read(&s, "\n\n", 2) == 2 && s.events == 0);
  CHECK(pwsse_read(&s, ": pi", 4) == 0 && !pwsse_is_between(&s));
  CHECK(pwsse_read(&s, "ng\n", 3) == 3 && pwsse_is_between(&s));
  CHECK(pwsse_read(&s, "data: a\n: ping\n", 15) == 0 && !pwsse_is_between(&s));
  CHECK(pwsse_read(&s, "\n", 1) == 1 && s.events == 1);
}

static int id_is(const char *text, const char *want) {
  size_t n = 0;
  const char *id = pwsse_last_id(text, strlen(text), &n);
  return id && n == strlen(want) && !memcmp(id, want, n);
}

static void test_ids(void) {
  size_t n;
  CHECK(id_is("id: 1\ndata: x\n\nid: 22\ndata: y\n\n", "22"));
  CHECK(id_is("id:1\rdata: x\r\rdata: y\r\r", "1"));
  CHECK(id_is("data: id: 7\r\nid: 8\r\n\r\n", "8"));
  CHECK(id_is("\xEF\xBB\xBFid: 3\ndata: x\n\n", "3"));
  CHECK(id_is("id:\n\n", ""));
  CHECK(pwsse_last_id("data: id: 7\n\n", 13, &n) == NULL);
  CHECK(pwsse_last_id("", 0, &n) == NULL);
}

static int first_id_is(const char *text, const char *want) {
  size_t n = 0;
  const char *id = pwsse_first_id(text, strlen(text), &n);
  return id && n == strlen(want) && !memcmp(id, want, n);
}

/* A target that repeats events instead of continuing a stream is found by the first id that it sends. */
static void test_first_id(void) {
  size_t n;
  CHECK(first_id_is("data: x\nid: 1\n\nid: 22\ndata: y\n\n", "1"));
  CHECK(first_id_is("\xEF\xBB\xBFid:3\r\n\r\n", "3"));
  CHECK(pwsse_first_id("data: id: 7\n\n", 13, &n) == NULL);
  CHECK(pwsse_goes_back("1", 1, "4", 1) && pwsse_goes_back("4", 1, "4", 1));
  CHECK(pwsse_goes_back("009", 3, "10", 2));
  CHECK(!pwsse_goes_back("5", 1, "4", 1) && !pwsse_goes_back("10", 2, "9", 1));
  CHECK(!pwsse_goes_back("", 0, "4", 1) && !pwsse_goes_back("1", 1, "a4", 2));
  CHECK(!pwsse_goes_back("1", 1, "9999999999999999999", 19));
}

int main(void) {
  TESTS_BEGIN("sse");
  TEST(test_line_feed);
  TEST(test_carriage_return);
  TEST(test_both);
  TEST(test_comments);
  TEST(test_ids);
  TEST(test_first_id);
  TESTS_END();
}
