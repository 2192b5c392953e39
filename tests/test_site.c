/* test_site.c: configuration documents of gateways: parsing, validation, route lookup. */
#include "platform.h"
#include "pwtest.h"

#include <jansson.h>
#include <string.h>

#define SITE                                                                   \
  "{\"version\":7,\"routes\":["                                                \
  "{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\",\"kind\":"   \
  "\"safe\",\"timeoutMs\":1000,\"goalMs\":100,\"priority\":1,\"backends\":[{"  \
  "\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"     \
  "\"attempts\":2,\"public\":false},"                                          \
  "{\"name\":\"r2\",\"host\":\"a.example\",\"pathPrefix\":\"/x/y/\",\"kind\":" \
  "\"stream\",\"timeoutMs\":2000,\"goalMs\":100,\"priority\":0,\"service\":"   \
  "\"s2\",\"attempts\":2,\"resumable\":true,\"sticky\":true}],"                \
  "\"services\":[{\"name\":\"s1\",\"healthPath\":\"/h\",\"maxConns\":9,"       \
  "\"coldS\":2.5,\"coldPerS\":23.5},"                                          \
  "{\"name\":\"s2\",\"healthPath\":\"/h\",\"maxConns\":9,\"engine\":{"         \
  "\"slots\":64,\"kvTokens\":444000}}],"                                       \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1}," \
  "{\"name\":\"t2\",\"apiKeys\":[\"k3\"]}],"                                   \
  "\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"                   \
  "\"headerTimeoutMs\":300,\"idleTimeoutMs\":400}}"

static pw_code read_site(const char *text, pw_site **out) {
  char why[200];
  *out = NULL;
  return plat_read_site(text, strlen(text), out, why, sizeof why);
}

static const pw_site_route *route(const pw_site *s, const char *host,
                                  const char *path) {
  return pwsite_route(s, host, strlen(host), path, strlen(path));
}

static void test_site(void) {
  pw_site *s;
  CHECK(read_site(SITE, &s) == PW_OK);
  CHECK(pwsite_version(s) == 7);
  CHECK(!strcmp(route(s, "a.example", "/x/1")->name, "r1"));
  CHECK(!strcmp(route(s, "A.EXAMPLE:80", "/x/y/1?/x/y/z/")->name, "r2"));
  CHECK(!strcmp(route(s, "a.example", "/x/?/x/y/")->name, "r1"));
  CHECK(route(s, "a.example", "/x") == NULL);
  CHECK(route(s, "a.example", "") == NULL);
  CHECK(route(s, "b.example", "/x/1") == NULL);
  CHECK(pwsite_route(s, NULL, 0, "/x/1", 4) == NULL); /* no Host header */
  CHECK(route(s, "a.example", "/x/y/")->kind == PWSITE_SAFE);
  CHECK(!strcmp(pwsite_workspace(s, "k2", 2)->name, "t1"));
  CHECK(pwsite_workspace(s, "k", 1) == NULL);
  CHECK(pwsite_workspace(s, "", 0) == NULL);
  const pw_site_route *r = route(s, "a.example", "/x/1");
  CHECK(!strcmp(pwsite_draw_service(s, r, 0.89)->name, "s1"));
  CHECK(!strcmp(pwsite_draw_service(s, r, 0.91)->name, "s2"));
  CHECK(!strcmp(pwsite_draw_service(s, r, 0.9999999)->name, "s2"));
  CHECK(pwsite_draw_service(s, r, 0.91)->is_engine);
  CHECK(pwsite_draw_service(s, r, 0.1)->cold_ms == 2500);
  CHECK(pwsite_draw_service(s, r, 0.1)->cold_per_s == 23.5);
  CHECK(pwsite_draw_service(s, r, 0.91)->cold_ms == 0);
  pwsite_release(s);
}

/* Replaces the first occurrence. */
static char *edited(const char *text, const char *from, const char *to) {
  pw_buf b = {0};
  const char *at = strstr(text, from);
  CHECK(at != NULL);
  if (!at)
    return pw_dup(text);
  pwbuf_add(&b, text, (size_t)(at - text));
  pwbuf_str(&b, to);
  pwbuf_str(&b, at + strlen(from));
  return pwbuf_take(&b);
}

/* Guards against a path that goes by the rules of one route and that a target resolves to a path of another one. */
static void test_dot_segments(void) {
  static const char *const with[] = {
      "/safe/../once/x", "/safe/./x",  "/..", "/safe/..", "/a/%2e%2E/",
      "/a/.%2e",         "/a/%2E?b=c", "..",  "/a/..#b"};
  static const char *const without[] = {
      "/safe/x", "/a/.../b", "/a/..b/c.", "/a/%2e%2e%2e", "/a?b=/../c",
      "/a/b..",  "/",        "",          "/a/%2",        "/a/%2f"};
  for (size_t i = 0; i < sizeof with / sizeof with[0]; i++)
    CHECK(pwsite_has_dot_segment(with[i], strlen(with[i])));
  for (size_t i = 0; i < sizeof without / sizeof without[0]; i++)
    CHECK(!pwsite_has_dot_segment(without[i], strlen(without[i])));
}

static void test_bad_sites(void) {
  static const char *const edits[][2] = {
      {"\"service\":\"s2\",\"attempts\"", "\"service\":\"s9\",\"attempts\""},
      {"/x/y/", "/x/"},
      {"/x/y/", "/x/y"},
      {"\"timeoutMs\":2000", "\"timeoutMs\":0"},
      {"\"weight\":90},{\"service\":\"s2\",\"weight\":10",
       "\"weight\":0},{\"service\":\"s2\",\"weight\":0"},
      {"\"weight\":90", "\"weight\":-1"},
      {"\"k3\"", "\"k1\""},
      {"\"version\":7", "\"version\":\"7\""},
      {"\"version\":7", "\"version\":0"},
      {"\"kind\":\"safe\"", "\"kind\":\"odd\""},
      {"\"name\":\"s2\"", "\"name\":\"s1\""},
      {"\"routes\":[", "\"routes\":7,\"other\":["},
      {"{\"version\"", "[{\"version\""}};
  pw_site *s;
  for (size_t i = 0; i < sizeof edits / sizeof edits[0]; i++) {
    char *text = edited(SITE, edits[i][0], edits[i][1]);
    CHECK(read_site(text, &s) != PW_OK && s == NULL);
    free(text);
  }
  for (size_t n = 0; n < strlen(SITE); n++) { /* truncated at any byte */
    char *text = pw_memdup(SITE, n);
    CHECK(read_site(text, &s) == PW_E_BODY);
    free(text);
  }
}

/* What a document allows when a member is missing, null, empty or of another type: never more than with the member. */
static const struct {
  const char *from, *to;
  pw_code code;
} openings[] = {
    {"\"routes\":[", "\"other\":[", PW_E_SCHEMA},
    {"\"routes\":[", "\"routes\":null,\"other\":[", PW_E_SCHEMA},
    {"\"services\":[", "\"other\":[", PW_E_SCHEMA},
    {"\"services\":[", "\"services\":[],\"other\":[", PW_E_SCHEMA},
    {"\"tenants\":[", "\"tenants\":null,\"other\":[", PW_E_SCHEMA},
    {"\"backends\":[", "\"backends\":[],\"other\":[", PW_E_SCHEMA},
    {"\"backends\":[", "\"backends\":null,\"other\":[", PW_E_SCHEMA},
    {"\"service\":\"s2\",\"attempts\"", "\"attempts\"", PW_E_SCHEMA},
    {"\"service\":\"s2\",\"attempts\"", "\"service\":null,\"attempts\"",
     PW_E_SCHEMA},
    {"\"pathPrefix\":\"/x/\",", "", PW_E_SCHEMA},
    {"\"pathPrefix\":\"/x/\",", "\"pathPrefix\":null,", PW_E_SCHEMA},
    {"\"pathPrefix\":\"/x/\",", "\"pathPrefix\":\"\",", PW_E_SCHEMA},
    {"\"host\":\"a.example\",\"pathPrefix\":\"/x/\"", "\"pathPrefix\":\"/x/\"",
     PW_E_SCHEMA},
    {"\"timeoutMs\":1000,", "", PW_E_SCHEMA},
    {"\"timeoutMs\":1000,", "\"timeoutMs\":null,", PW_E_SCHEMA},
    {"\"kind\":\"safe\",", "\"kind\":null,", PW_E_SCHEMA},
    {"\"kind\":\"safe\",", "\"kind\":7,", PW_E_SCHEMA},
    {"\"apiKeys\":[\"k3\"]", "\"apiKeys\":[null]", PW_E_SCHEMA},
};

static void test_openings_refused(void) {
  pw_site *s;
  for (size_t i = 0; i < sizeof openings / sizeof openings[0]; i++) {
    char *text = edited(SITE, openings[i].from, openings[i].to);
    if (read_site(text, &s) != openings[i].code)
      printf("row %zu: %s\n", i, openings[i].to);
    CHECK(read_site(text, &s) == openings[i].code);
    pwsite_release(s);
    free(text);
  }
}

static const pw_site_route *edited_route(const char *from, const char *to,
                                         pw_site **s) {
  char *text = edited(SITE, from, to);
  CHECK(read_site(text, s) == PW_OK);
  free(text);
  return *s ? route(*s, "a.example", "/x/z") : NULL;
}

static void test_defaults_close(void) {
  static const char *const no_keys[] = {"\"apiKeys\":[]", "\"apiKeys\":null",
                                        "\"apiKeys\":\"k3\"", "\"odd\":[]"};
  static const char *const not_public[] = {
      "\"odd\":1", "\"public\":null", "\"public\":1", "\"public\":\"true\""};
  pw_site *s;
  const pw_site_route *r;
  for (size_t i = 0; i < 4; i++) {
    edited_route("\"apiKeys\":[\"k3\"]", no_keys[i], &s);
    CHECK(!pwsite_workspace(s, "k3", 2) && pwsite_has_workspaces(s));
    pwsite_release(s);
    r = edited_route("\"public\":false", not_public[i], &s);
    CHECK(r && !r->is_public);
    pwsite_release(s);
  }
  edited_route("\"tenants\":[", "\"tenants\":[],\"other\":[", &s);
  CHECK(pwsite_has_workspaces(s) && !pwsite_workspace(s, "k1", 2));
  pwsite_release(s);
  r = edited_route("\"routes\":[", "\"routes\":[],\"other\":[", &s);
  CHECK(!r);
  pwsite_release(s);
  r = edited_route("\"kind\":\"safe\",", "", &s);
  CHECK(r && r->kind == PWSITE_ONCE); /* may not be repeated */
  pwsite_release(s);
  r = edited_route("\"attempts\":2", "\"attempts\":null", &s);
  CHECK(r && r->attempts == 1);
  pwsite_release(s);
}

/* A document of n routes; the middle one has this timeout. */
static char *long_site(int version, int n, int timeout) {
  pw_buf b = {0};
  pwbuf_fmt(&b, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < n; i++)
    pwbuf_fmt(&b,
              "%s{\"name\":\"r%d\",\"host\":\"a.example\",\"pathPrefix\":"
              "\"/p%d/\",\"kind\":\"stream\",\"timeoutMs\":%d,\"service\":"
              "\"s%d\"}",
              i ? ", " : "", i, i, i == n / 2 ? timeout : 1000 + i, 1 + i % 2);
  pwbuf_fmt(&b, "],\"services\":[{\"name\":\"s1\"},{\"name\":\"s2\"}]}");
  return pwbuf_take(&b);
}

/* Parses in steps of so many routes; returns the number of steps. */
static int read_steps(const char *text, int routes, const pw_site *before,
                      pw_site **out) {
  char why[100];
  int steps = 0;
  pw_site_reader *r = plat_begin_site(text, strlen(text), before);
  pw_code rc = PW_OK;
  *out = NULL;
  while (rc == PW_OK && !*out) {
    rc = plat_step_site(r, routes, out, why, sizeof why);
    steps++;
  }
  plat_end_site(r);
  return steps;
}

/* A long document takes many steps, an update with few changes one; the result is the same as when
** it is parsed at once. */
static void test_parse_in_steps(void) {
  enum { ROUTES = 450, A_STEP = 24 };
  char *first = long_site(1, ROUTES, 7), *second = long_site(2, ROUTES + 1, 8);
  pw_site *one, *two, *whole;
  CHECK(read_steps(first, A_STEP, NULL, &one) == ROUTES / A_STEP + 1);
  CHECK(read_steps(second, A_STEP, one, &two) == 1);
  CHECK(read_site(second, &whole) == PW_OK);
  pwsite_release(one); /* routes copied from it stay valid */
  for (int i = 0; i <= ROUTES; i++) {
    char path[16];
    snprintf(path, sizeof path, "/p%d/", i);
    const pw_site_route *a = route(two, "a.example", path);
    const pw_site_route *b = route(whole, "a.example", path);
    CHECK(a && b && !strcmp(a->name, b->name) &&
          !strcmp(a->host_path, b->host_path));
    CHECK(a->timeout_ms == b->timeout_ms && a->nweighted == b->nweighted);
    CHECK(!strcmp(pwsite_draw_service(two, a, 0)->name,
                  pwsite_draw_service(whole, b, 0)->name));
  }
  /* With services in another order no route can be reused. */
  char *moved = edited(second, "{\"name\":\"s1\"},{\"name\":\"s2\"}",
                       "{\"name\":\"s2\"},{\"name\":\"s1\"}");
  CHECK(read_steps(moved, A_STEP, two, &one) > 1);
  const pw_site_route *r = route(one, "a.example", "/p0/");
  CHECK(r && !strcmp(pwsite_draw_service(one, r, 0)->name, "s1"));
  pwsite_release(one);
  pwsite_release(two);
  pwsite_release(whole);
  free(first);
  free(second);
  free(moved);
}

/* Steps are short for a typical document and few for any; a first document takes one step. */
static void test_step_size(void) {
  CHECK(pwsite_routes_per_step(1000, 0) == 24);
  CHECK(pwsite_routes_per_step(132000, 0) == 24);
  CHECK(pwsite_routes_per_step(132000, 1) > 1000000);
  for (size_t routes = 100; routes < 100000; routes *= 3) {
    size_t a_step = (size_t)pwsite_routes_per_step(300 * routes, 0);
    CHECK(routes / a_step <= 26);
  }
}

/* With random edits, the parser accepts as JSON just what jansson accepts when it parses the
** document at once. */
static void test_json_as_jansson(void) {
  pw_random r = {.seed = test_seed(15)};
  size_t n = strlen(SITE);
  int good = 0;
  for (int round = 0; round < 20000; round++) {
    char *text = pw_memdup(SITE, n);
    json_error_t e;
    pw_site *s;
    for (int edits = 1 + (int)(pwrand(&r) % 2); edits > 0; edits--)
      text[pwrand(&r) % n] = "{}[]:,\"\\ 0a\n"[pwrand(&r) % 12];
    json_t *naive = json_loadb(text, n, JSON_REJECT_DUPLICATES, &e);
    int is_json = json_is_object(naive);
    pw_code rc = read_site(text, &s);
    CHECK(is_json || (rc != PW_OK && s == NULL));
    CHECK(!is_json || rc != PW_E_BODY);
    good += rc == PW_OK;
    pwsite_release(s);
    json_decref(naive);
    free(text);
  }
  CHECK(good > 100);
}

/* Reference lookup of the longest prefix: compares every route. */
static int reference_route(char prefix[][24], int n, const char *path) {
  int best = -1;
  for (int i = 0; i < n; i++)
    if (!strncmp(path, prefix[i], strlen(prefix[i])) &&
        (best < 0 || strlen(prefix[i]) > strlen(prefix[best])))
      best = i;
  return best;
}

static void random_path(pw_random *r, char *out, int slash) {
  int n = (int)pwrand_below(r, 5);
  *out++ = '/';
  for (int i = 0; i < n; i++) {
    *out++ = (char)('a' + pwrand_below(r, 2));
    if (pwrand_below(r, 2) || (slash && i == n - 1))
      *out++ = '/';
  }
  *out = 0;
}

static void test_routes_against_reference(void) {
  pw_random r = {.seed = test_seed(11)};
  char prefix[12][24], path[24];
  pw_buf text = {0};
  int n = 0;
  for (int i = 0; i < 12; i++) {
    random_path(&r, prefix[n], 1);
    int is_duplicate = 0;
    for (int k = 0; k < n; k++)
      is_duplicate |= !strcmp(prefix[k], prefix[n]);
    n += !is_duplicate;
  }
  pwbuf_str(&text,
            "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[");
  for (int i = 0; i < n; i++)
    pwbuf_fmt(&text,
              "%s{\"name\":\"%d\",\"host\":\"h\",\"pathPrefix\":\"%s\","
              "\"kind\":\"safe\",\"timeoutMs\":1,\"service\":\"s\"}",
              i ? "," : "", i, prefix[i]);
  pwbuf_str(&text, "]}");
  pw_site *s;
  CHECK(read_site(text.data, &s) == PW_OK);
  for (int i = 0; s && i < 5000; i++) {
    random_path(&r, path, 0);
    int want = reference_route(prefix, n, path);
    const pw_site_route *got = route(s, "h", path);
    CHECK((got ? atoi(got->name) : -1) == want);
  }
  pwsite_release(s);
  pwbuf_free(&text);
}

int main(void) {
  TESTS_BEGIN("site");
  TEST(test_site);
  TEST(test_dot_segments);
  TEST(test_bad_sites);
  TEST(test_openings_refused);
  TEST(test_defaults_close);
  TEST(test_parse_in_steps);
  TEST(test_step_size);
  TEST(test_json_as_jansson);
  TEST(test_routes_against_reference);
  TESTS_END();
}
