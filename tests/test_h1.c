/* test_h1.c: the HTTP/1 parser, and the platform's headers and calls. */
#include "platform.h"
#include "pwtest.h"

#include <stdlib.h>
#include <string.h>

static void append_body(void *arg, const char *data, size_t n) {
  pwbuf_add(arg, data, n);
}

/* Feeds text in pieces of `step` bytes; returns the bytes used. */
static size_t feed(pw_h1 *m, const char *text, size_t step) {
  size_t at = 0, n = strlen(text);
  while (at < n && m->state != PWH1_DONE && m->state != PWH1_BAD &&
         m->state != PWH1_TOO_LARGE) {
    size_t piece = n - at < step ? n - at : step;
    size_t used = pwh1_feed(m, text + at, piece);
    if (used == 0)
      break;
    at += used;
  }
  return at;
}

static void test_h1(void) {
  static const char two[] =
      "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3"
      "\r\nConnection: x-own, keep-alive\r\nX-Own: 1\r\n"
      "\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  for (size_t step = 1; step < sizeof two; step++) {
    pw_h1 m;
    pw_buf body = {0};
    pwh1_init(&m, HTTP_REQUEST, 1000);
    m.arg = &body;
    m.on_body = append_body;
    size_t used = feed(&m, two, step);
    CHECK(m.state == PWH1_DONE && m.nurl == 2 && !memcmp(m.url, "/a", 2));
    CHECK(body.len == 3 && !memcmp(body.data, "abc", 3));
    CHECK(pwh1_is_hop_by_hop(&m, pwh1_find(&m, "x-own")));
    CHECK(!pwh1_is_hop_by_hop(&m, pwh1_find(&m, "host")));
    pwh1_reset(&m);
    feed(&m, two + used, step);
    CHECK(m.state == PWH1_DONE && !memcmp(m.url, "/b", 2));
    pwh1_free(&m);
    pwbuf_free(&body);
  }
}

static pw_h1_state state_of(const char *text, enum http_parser_type type) {
  pw_h1 m;
  pwh1_init(&m, type, 200);
  feed(&m, text, 7);
  pw_h1_state s = m.state;
  pwh1_free(&m);
  return s;
}

/* Refuses messages that could hide one request in another (request smuggling). */
static void test_smuggling(void) {
  static const char *const bad[] = {
      ("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
       "\r\n0\r\n\r\n"),
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
      "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "POST / HTTP/1.1\r\nBad Name: 1\r\n\r\n",
      "nonsense\r\n\r\n"};
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CHECK(state_of(bad[i], HTTP_REQUEST) == PWH1_BAD);
  char large[400];
  memset(large, 'x', sizeof large);
  memcpy(large, "GET /", 5);
  large[sizeof large - 1] = 0;
  CHECK(state_of(large, HTTP_REQUEST) == PWH1_TOO_LARGE);
}

/* Guards against headers of one connection that are forwarded: only the first Connection line was read, and a tab did not
** separate its options. */
static void test_connection_options(void) {
  pw_h1 m;
  pwh1_init(&m, HTTP_REQUEST, 1000);
  feed(&m,
       "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-B: 1\r\nX-C: 1\r\nX-D: 1\r\n"
       "X-DD: 1\r\nConnection: keep-alive,\tX-A\r\nConnection:\r\n"
       "Connection: x-b\t,X-C,,  X-D\r\n\r\n",
       1000);
  CHECK(m.state == PWH1_DONE);
  static const char *const hop[] = {"X-A", "X-B", "X-C", "X-D", "Connection"};
  static const char *const other[] = {"Host", "X-DD"};
  for (size_t i = 0; i < sizeof hop / sizeof hop[0]; i++)
    CHECK(pwh1_is_hop_by_hop(&m, pwh1_find(&m, hop[i])));
  for (size_t i = 0; i < sizeof other / sizeof other[0]; i++)
    CHECK(!pwh1_is_hop_by_hop(&m, pwh1_find(&m, other[i])));
  pwh1_free(&m);
}

/* Whether all names and values lie in the head of the present message. */
static int headers_lie_in_head(const pw_h1 *m) {
  const char *end = m->head.data + m->head.len;
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (h->name < m->head.data || h->name + h->nname > end ||
        h->value < m->head.data || h->value + h->nvalue > end)
      return 0;
  }
  return 1;
}

/* Guards against trailer fields that are taken for headers: they lie in memory that is used again, so a request that was
** sent again carried bytes of another caller's request, and a field could pass for one of the head. */
static void test_trailers_are_dropped(void) {
  static const char text[] =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Trailer: Content-Digest\r\n\r\n"
      "3\r\nabc\r\n0\r\nContent-Digest: x\r\nX-Tenant: other\r\n\r\n";
  for (size_t step = 1; step < sizeof text; step++) {
    pw_h1 m;
    pw_buf body = {0};
    pwh1_init(&m, HTTP_REQUEST, 1000);
    m.arg = &body;
    m.on_body = append_body;
    CHECK(feed(&m, text, step) == strlen(text));
    CHECK(m.state == PWH1_DONE && body.len == 3);
    CHECK(m.nheaders == 3);
    CHECK(!pwh1_find(&m, "Content-Digest") && !pwh1_find(&m, "X-Tenant"));
    CHECK(headers_lie_in_head(&m));
    pwh1_free(&m);
    pwbuf_free(&body);
  }
}

/* Feeds a message to a parser that may have read others before; its bytes do not outlive the call. */
static pw_h1_state feed_copy(pw_h1 *m, const char *text, size_t step) {
  char *copy = pw_dup(text);
  feed(m, copy, step);
  memset(copy, '#', strlen(text));
  free(copy);
  return m->state;
}

/* Checks that a message with these header lines is malformed, fed whole and byte by byte, when it follows a sound one with
** the lines of `earlier` ("": when it is the first). */
static void check_is_refused(enum http_parser_type type, const char *line,
                             const char *earlier, const char *lines) {
  for (size_t step = 1; step < 1000; step += 998) {
    pw_h1 m;
    char text[400];
    pwh1_init(&m, type, 1000);
    if (earlier[0]) {
      snprintf(text, sizeof text, "%s\r\n%s", line, earlier);
      CHECK(feed_copy(&m, text, step) != PWH1_BAD);
      pwh1_reset(&m);
    }
    snprintf(text, sizeof text, "%s\r\n%s\r\n", line, lines);
    CHECK(feed_copy(&m, text, step) == PWH1_BAD);
    CHECK(headers_lie_in_head(&m));
    pwh1_free(&m);
  }
}

/* Guards against folded header lines (obs-fold): the parser takes one for a value without a name, and the name was left
** over from an earlier message of the connection, so that it pointed into other bytes or into memory that was freed. */
static void test_folded_lines(void) {
  static const char *const folded[] = {
      " two\r\nHost: h\r\n",
      " X-A: 1\r\nHost: h\r\n",
      "Host: h\r\n two\r\n",
      "Host: h\r\n\ttwo\r\nX-B: 2\r\n",
      "X-A: 1\r\nHost: h\r\n  two\r\nX-B: 2\r\n",
      "X-A: 1\r\nX-B: 2\r\n two\r\n three\r\n",
      "X-A: \r\n two\r\nX-B: 2\r\n",
      "X-A: 1\r\n X-Tenant: other\r\n",
      "X-A: 1\r\n \r\nX-B: 2\r\n",
      "X-A: 1\r\n : \r\n"};
  static const char *const earlier[] = {
      "", "X-Long-Name-Of-The-First: 1\r\nX-Second: 2\r\nX-Third: 3\r\n\r\n",
      "Transfer-Encoding: chunked\r\nX-Second: 2\r\nX-Third: 3\r\n\r\n"
      "3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n"};
  for (size_t e = 0; e < sizeof earlier / sizeof earlier[0]; e++)
    for (size_t i = 0; i < sizeof folded / sizeof folded[0]; i++) {
      check_is_refused(HTTP_REQUEST, "POST /a HTTP/1.1", earlier[e], folded[i]);
      check_is_refused(HTTP_RESPONSE, "HTTP/1.1 200 OK", earlier[e], folded[i]);
    }
}

/* Guards against a head whose lines end with LF alone: nothing was answered until the time-out for heads, since the end
** of the head was never found. It is malformed as soon as the first such line has come. */
static void test_bare_line_feeds(void) {
  static const char *const heads[] = {
      "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nHost: h\n",
      "GET / HTTP/1.1\r\nHost: h\nX-A: 1\r\n\r\n", "nonsense\n"};
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    for (size_t step = 1; step < 100; step++) {
      pw_h1 m;
      pwh1_init(&m, HTTP_REQUEST, 1000);
      feed(&m, heads[i], step);
      CHECK(m.state == PWH1_BAD);
      pwh1_free(&m);
    }
  CHECK(state_of("\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", HTTP_REQUEST) ==
        PWH1_DONE);
  CHECK(state_of("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /\n", HTTP_REQUEST) ==
        PWH1_DONE);
}

/* Guards against a body whose transfer coding is lost: the chunks were taken off and the other coding was forwarded as if it
** were the body itself. */
static void test_transfer_codings(void) {
  static const struct {
    const char *lines;
    pw_h1_fault fault[2]; /* of a request and of an answer */
  } cases[] = {
      {"Transfer-Encoding: chunked\r\n", {PWH1_NO_FAULT, PWH1_NO_FAULT}},
      {"transfer-encoding:  Chunked \r\n", {PWH1_NO_FAULT, PWH1_NO_FAULT}},
      {"Transfer-Encoding: gzip, chunked\r\n",
       {PWH1_TRANSFER_CODING, PWH1_TRANSFER_CODING}},
      {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
       {PWH1_TRANSFER_CODING, PWH1_TRANSFER_CODING}},
      {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
       {PWH1_TRANSFER_CODING, PWH1_TRANSFER_CODING}},
      /* The length of such a request is unknown; an answer ends with its connection. */
      {"Transfer-Encoding: gzip\r\n", {PWH1_SYNTAX, PWH1_TRANSFER_CODING}},
      {"Transfer-Encoding: chunked, gzip\r\n",
       {PWH1_SYNTAX, PWH1_TRANSFER_CODING}}};
  static const char *const first_lines[] = {"POST / HTTP/1.1",
                                            "HTTP/1.1 200 OK"};
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (int type = HTTP_REQUEST; type <= HTTP_RESPONSE; type++) {
      pw_h1 m;
      char text[200];
      snprintf(text, sizeof text, "%s\r\n%s\r\n1\r\na\r\n0\r\n\r\n",
               first_lines[type], cases[i].lines);
      pwh1_init(&m, (enum http_parser_type)type, 1000);
      feed(&m, text, 1000);
      CHECK(m.fault == cases[i].fault[type]);
      CHECK(m.state == (m.fault ? PWH1_BAD : PWH1_DONE));
      pwh1_free(&m);
    }
}

/* Feeds an answer with this first line, so many bytes at a time; returns its fault. */
static pw_h1_fault fault_of_status_line(const char *line, size_t step) {
  char text[100];
  snprintf(text, sizeof text, "%s\r\nContent-Length: 0\r\n\r\n", line);
  pw_h1 m;
  pwh1_init(&m, HTTP_RESPONSE, sizeof text);
  feed(&m, text, step);
  CHECK(m.state == (m.fault ? PWH1_BAD : PWH1_DONE));
  pw_h1_fault fault = m.fault;
  pwh1_free(&m);
  return fault;
}

/* It guards against this failure: a target in trouble answers with status 000, which its caller gets as an answer. */
static void test_status_lines(void) {
  static const char *const good[] = {
      "HTTP/1.1 200 OK",         "HTTP/1.0 200 OK",
      "HTTP/1.1 200 ",           "HTTP/1.1 200",
      "HTTP/1.1 599 X",          "HTTP/1.1 100 X",
      "HTTP/1.1 299 a (b) \"c\""};
  static const char *const bad[] = {
      "HTTP/1.1 000 X",  "HTTP/1.1 000",    "HTTP/1.1 020 X",
      "HTTP/1.1 099 X",  "HTTP/1.1 600 X",  "HTTP/1.1 999 X",
      "HTTP/1.1 0200 X", "HTTP/1.1 2000 X", "HTTP/1.1 20 X",
      "HTTP/1.1 20",     "HTTP/1.1 200X",   "HTTP/0.9 200 X",
      "HTTP/2.0 200 X",  "HTTP/1.2 200 X",  "HTTP/1.10 200 X",
      "HTTP/01.1 200 X", "HTTP/1.1  200 X", "HTTP/1.1 +20 X",
      "HTTP/1.1 -20 X",  "HTTP/1.1 2.0 X",  "ICY 200 X",
      "HTTP/1.1\t200 X", "HTTP/1.1",        "H"};
  for (size_t step = 1; step <= 100; step += 99) {
    for (size_t i = 0; i < sizeof good / sizeof good[0]; i++)
      CHECK(fault_of_status_line(good[i], step) == PWH1_NO_FAULT);
    for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
      CHECK(fault_of_status_line(bad[i], step) == PWH1_STATUS_LINE);
  }
}

static void test_h1_answers(void) {
  pw_h1 m;
  pw_buf body = {0};
  pwh1_init(&m, HTTP_RESPONSE, 1000);
  m.arg = &body;
  m.on_body = append_body;
  feed(&m, "HTTP/1.1 200 OK\r\n\r\nabc", 5);
  CHECK(m.state == PWH1_BODY && m.to_eof);
  pwh1_eof(&m);
  CHECK(m.state == PWH1_DONE && body.len == 3);
  pwh1_reset(&m);
  feed(&m, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 5);
  pwh1_eof(&m);
  CHECK(m.state == PWH1_BAD);
  pwh1_reset(&m);
  feed(&m, "HTTP/1.1 204 No Content\r\n\r\n", 5);
  CHECK(m.state == PWH1_DONE);
  pwh1_free(&m);
  pwbuf_free(&body);
}

static void test_platform_headers(void) {
  pw_h1 m;
  pw_request_info request;
  pw_answer_info info;
  pwh1_init(&m, HTTP_REQUEST, 1000);
  feed(
      &m,
      "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c\r\nX-Deadline-Ms: 1500"
      "\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd:410\r\n"
      "Api-Key: k\r\nX-Tenant: forged\r\nX-Hold: 1\r\nX-Pin-Ms: 9\r\n"
      "X-Kv-Backup: 10.0.0.1:1\r\nKv-From: 10.0.0.1:1/a\r\n"
      "Kv-Fetch: 10.0.0.1:1\r\nX-Urgency-Class: 0\r\n\r\n",
      1000);
  plat_read_request(&m, &request);
  CHECK(!request.repeated.p);
  CHECK(request.id.n == 2 && request.deadline_ms == 1500 && request.key.n == 1);
  CHECK(request.prompt_tokens == 1460 && request.output_tokens == 80);
  CHECK(request.nparts == 2 && request.part[0].id == 0x5c1e07a2);
  CHECK(request.part[1].tokens == 410);
  static const char *const ours[] = {"X-Tenant",       "X-Hold",  "X-Pin-Ms",
                                     "X-Kv-Backup",    "Kv-From", "Kv-Fetch",
                                     "X-Urgency-Class"};
  for (size_t i = 0; i < sizeof ours / sizeof ours[0]; i++)
    CHECK(!plat_forwards_header(pwh1_find(&m, ours[i])));
  CHECK(plat_forwards_header(pwh1_find(&m, "X-Token-Count")));
  pw_h1 a;
  pwh1_init(&a, HTTP_RESPONSE, 1000);
  feed(&a,
       "HTTP/1.1 503 X\r\nX-Request-Id: 9c\r\nX-Not-Executed: full\r\n"
       "X-Replica-Load: 3,1,8\r\nContent-Length: 0\r\n\r\n",
       1000);
  plat_read_answer(&a, &request, &info);
  CHECK(info.id_matches && info.not_run && !info.is_signed &&
        info.running == 3);
  pwh1_reset(&a);
  feed(&a, "HTTP/1.1 200 X\r\nX-Request-Id: 9d\r\nContent-Length: 0\r\n\r\n",
       1000);
  plat_read_answer(&a, &request, &info);
  CHECK(!info.id_matches);
  pwh1_reset(&a);
  feed(&a,
       "HTTP/1.1 200 X\r\nX-Request-Id: 9d\r\nX-Request-Id: 9c\r\n"
       "Content-Length: 0\r\n\r\n",
       1000);
  plat_read_answer(&a, &request, &info);
  CHECK(!info.id_matches);
  pwh1_free(&a);
  pwh1_free(&m);
}

/* Guards against an idle time that overflows or is read from other bytes. */
static void test_keep_alive(void) {
  static const struct {
    const char *line;
    int64_t ms;
  } cases[] = {
      {"", -1},
      {"Keep-Alive: timeout=4\r\n", 4000},
      {"Keep-Alive: max=9, timeout=12, x\r\n", 12000},
      {"Keep-Alive: timeout=0\r\n", 0},
      {"Keep-Alive: timeout=\r\n5: 1\r\n", -1},
      {"Keep-Alive: timeout=-3\r\n", -1},
      {"Keep-Alive: timeout=9999999\r\n", 9999999000},
      {"Keep-Alive: timeout=99999999999999999999\r\n", 1000000000000000}};
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    pw_h1 m;
    char text[200];
    snprintf(text, sizeof text, "HTTP/1.1 204 X\r\n%s\r\n", cases[i].line);
    pwh1_init(&m, HTTP_RESPONSE, 1000);
    feed(&m, text, 1000);
    CHECK(pwh1_keep_alive_ms(&m) == cases[i].ms);
    pwh1_free(&m);
  }
}

/* Guards against numbers that are read past the end of their header, from the name of the next one. */
static void test_prompt_parts_end_with_their_header(void) {
  static const struct {
    const char *value;
    int nparts;
    uint32_t tokens; /* of the last part */
  } cases[] = {{"a1:5", 1, 5},       {"a1:", 0, 0},   {"a1:5,", 1, 5},
               {"a1:5,b2:", 1, 5},   {"a1: 5", 0, 0}, {"", 0, 0},
               {"a1:5, b2:6", 2, 6}, {"-1:5", 0, 0},  {"a1:-5", 0, 0},
               {"a1:5,b", 1, 5}};
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    pw_h1 m;
    pw_request_info r;
    char text[200];
    snprintf(text, sizeof text,
             "GET / HTTP/1.1\r\nX-Prompt-Prefix: %s\r\n77: 8\r\n\r\n",
             cases[i].value);
    pwh1_init(&m, HTTP_REQUEST, 1000);
    feed(&m, text, 1000);
    plat_read_request(&m, &r);
    CHECK(r.nparts == cases[i].nparts);
    CHECK(!r.nparts || r.part[r.nparts - 1].tokens == cases[i].tokens);
    pwh1_free(&m);
  }
}

/* Guards against Connection options that take away what a request or an answer consists of: a target got no id, ran the
** request, and its answer was not recognized. */
static void test_end_to_end_headers(void) {
  static const char *const own[] = {
      "Host",          "Content-Type",    "X-Request-Id", "X-Model",
      "X-Token-Count", "X-Prompt-Prefix", "Retry-After",  "X-Replica-Seal"};
  static const char *const other[] = {"Connection", "Content-Length", "X-Own",
                                      "Transfer-Encoding", "Keep-Alive"};
  for (size_t i = 0; i < sizeof own / sizeof own[0]; i++)
    CHECK(plat_is_end_to_end(
        &(pw_h1_header){.name = own[i], .nname = strlen(own[i])}));
  for (size_t i = 0; i < sizeof other / sizeof other[0]; i++)
    CHECK(!plat_is_end_to_end(
        &(pw_h1_header){.name = other[i], .nname = strlen(other[i])}));
}

/* Retry-After of a target: anything but a plain number of seconds counts as absent; of two lines
** the longer time counts. */
static void test_hold_off(void) {
  static const struct {
    const char *lines;
    int64_t ms;
  } cases[] = {{"", 0},
               {"Retry-After: 3\r\n", 3000},
               {"Retry-After: 0.0015\r\n", 2},
               {"retry-after: 0\r\n", 0},
               {"Retry-After: -3\r\n", 0},
               {"Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", 0},
               {"Retry-After: 3 seconds\r\n", 0},
               {"Retry-After: 0x10\r\n", 0},
               {"Retry-After: inf\r\n", 0},
               {"Retry-After: 1e3\r\n", 0},
               {"Retry-After: 1.2.3\r\n", 0},
               {"Retry-After: .\r\n", 0},
               {"Retry-After:\r\n", 0},
               {"Retry-After: 1\r\nRetry-After: 4\r\n", 4000},
               {"Retry-After: 4\r\nRetry-After: 1\r\n", 4000},
               {"Retry-After: 4\r\nRetry-After: soon\r\n", 4000},
               {"Retry-After: 1000000000000\r\n", 1000000000000000},
               {"Retry-After: 99999999999999999999999\r\n", 1000000000000000},
               {"Retry-After: 999999999999999999999999999999\r\n", 0}};
  const pw_request_info request = {.deadline_ms = -1};
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    pw_h1 a;
    pw_answer_info info;
    pw_buf text = {0};
    pwbuf_fmt(&text, "HTTP/1.1 503 X\r\n%sContent-Length: 0\r\n\r\n",
              cases[i].lines);
    pwh1_init(&a, HTTP_RESPONSE, 1000);
    feed(&a, text.data, 1000);
    plat_read_answer(&a, &request, &info);
    CHECK(info.hold_off_ms == cases[i].ms);
    pwh1_free(&a);
    pwbuf_free(&text);
  }
}

/* A target that is leaving says so in its answers. */
static void test_leaving(void) {
  static const char *const lines[] = {"", "Server-Leaving: 0\r\n",
                                      "Server-Leaving: 1\r\n",
                                      "server-leaving:  1 \r\n"};
  const pw_request_info request = {.deadline_ms = -1};
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++) {
    pw_h1 a;
    pw_answer_info info;
    pw_buf text = {0};
    pwbuf_fmt(&text, "HTTP/1.1 200 X\r\n%sContent-Length: 0\r\n\r\n", lines[i]);
    pwh1_init(&a, HTTP_RESPONSE, 1000);
    feed(&a, text.data, 1000);
    plat_read_answer(&a, &request, &info);
    CHECK(info.is_leaving == (i >= 2));
    pwh1_free(&a);
    pwbuf_free(&text);
  }
}

static void test_calls(void) {
  char id[PW_NAME_MAX];
  CHECK(plat_read_call("GET", "/config", id) == PWCALL_SITE_READ);
  CHECK(plat_read_call("PUT", "/replicas/i-1", id) == PWCALL_HEARTBEAT);
  CHECK(!strcmp(id, "i-1"));
  CHECK(plat_read_call("DELETE", "/replicas/i-1", id) == PWCALL_LEAVE);
  CHECK(plat_read_call("POST", "/config", id) == PWCALL_BAD_METHOD);
  CHECK(plat_read_call("POST", "/evacuate/az-1", id) == PWCALL_EVACUATE);
  CHECK(!strcmp(id, "az-1"));
  CHECK(plat_read_call("DELETE", "/evacuate/az-2", id) == PWCALL_EVACUATE_END);
  CHECK(!strcmp(id, "az-2"));
  CHECK(plat_read_call("PUT", "/evacuate/az-1", id) == PWCALL_BAD_METHOD);
  CHECK(plat_read_call("POST", "/evacuate/", id) == PWCALL_OTHER);
  CHECK(plat_read_call("POST", "/evacuate/a/b", id) == PWCALL_OTHER);
  CHECK(plat_read_call("POST", "/replicas/i-1", id) == PWCALL_BAD_METHOD);
  CHECK(plat_read_call("PUT", "/replicas/", id) == PWCALL_OTHER);
  CHECK(plat_read_call("GET", "/v1/status", id) == PWCALL_OTHER);
}

int main(void) {
  TESTS_BEGIN("h1");
  TEST(test_h1);
  TEST(test_smuggling);
  TEST(test_connection_options);
  TEST(test_trailers_are_dropped);
  TEST(test_status_lines);
  TEST(test_folded_lines);
  TEST(test_bare_line_feeds);
  TEST(test_transfer_codings);
  TEST(test_h1_answers);
  TEST(test_platform_headers);
  TEST(test_keep_alive);
  TEST(test_prompt_parts_end_with_their_header);
  TEST(test_end_to_end_headers);
  TEST(test_hold_off);
  TEST(test_leaving);
  TEST(test_calls);
  TESTS_END();
}
