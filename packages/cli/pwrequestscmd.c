/* pwrequestscmd.c: `peatwell requests`: the requests in flight at gateways,
** the oldest first, and the targets that they are at. */
#include "pwcmd.h"

#include "pwjson.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_MAX 40 /* rows of each table */

typedef struct row {
  json_t *request; /* borrowed */
  const char *gateway;
} row;

typedef struct target {
  const char *id, *address; /* borrowed */
  json_int_t count, oldest_ms, quiet_ms;
} target;

static json_int_t number(const json_t *o, const char *name) {
  return json_integer_value(json_object_get(o, name));
}

static int is_wanted(const pw_options *o, const json_t *request) {
  return (!o->request || !strcmp(o->request, pwjson_text(request, "id"))) &&
         (!o->target || !strcmp(o->target, pwjson_text(request, "target")));
}

/* Fetches each gateway's requests and adds its address; reports gateways
** that do not answer on stderr and counts them. */
static json_t *fetch_all(const pw_options *o, int *missing) {
  json_t *all = json_array();
  for (int i = 0; i < o->nargs; i++) {
    json_t *answer;
    if (pwclient_get(o->args[i], "/v1/requests", &answer) != PW_OK) {
      fprintf(stderr, "peatwell: %s: no answer\n", o->args[i]);
      json_decref(answer);
      ++*missing;
      continue;
    }
    json_object_set_new(answer, "gateway", json_string(o->args[i]));
    json_array_append_new(all, answer);
  }
  return all;
}

static int by_age(const void *a, const void *b) {
  json_int_t x = number(((const row *)a)->request, "age_ms");
  json_int_t y = number(((const row *)b)->request, "age_ms");
  return (x < y) - (x > y);
}

static size_t fill_rows(const pw_options *o, const json_t *all, row **out) {
  size_t n = 0, i, k;
  json_t *answer, *request;
  json_array_foreach(all, i, answer) {
    n += json_array_size(json_object_get(answer, "requests"));
  }
  *out = calloc(n + 1, sizeof **out);
  n = 0;
  json_array_foreach(all, i, answer) {
    json_array_foreach(json_object_get(answer, "requests"), k, request) {
      if (is_wanted(o, request))
        (*out)[n++] = (row){request, pwjson_text(answer, "gateway")};
    }
  }
  qsort(*out, n, sizeof **out, by_age);
  return n;
}

static void print_requests(const row *rows, size_t n) {
  printf("%8s %8s %8s %8s  %-24s %-24s %-22s %-21s %s\n", "AGE_MS", "LEFT_MS",
         "TARGET_MS", "QUIET_MS", "PHASE", "REQUEST", "TARGET", "ADDRESS",
         "GATEWAY");
  for (size_t i = 0; i < n && i < SHOWN_MAX; i++) {
    const json_t *r = rows[i].request;
    printf("%8lld %8lld %9lld %8lld  %-24s %-24s %-22s %-21s %s\n",
           (long long)number(r, "age_ms"), (long long)number(r, "left_ms"),
           (long long)number(r, "at_target_ms"),
           (long long)number(r, "quiet_ms"), pwjson_text(r, "phase"),
           pwjson_text(r, "id"), pwjson_text(r, "target"),
           pwjson_text(r, "address"), rows[i].gateway);
  }
}

static void count_target(target *list, size_t *n, const json_t *r) {
  const char *id = pwjson_text(r, "target");
  size_t i = 0;
  if (!id[0])
    return;
  while (i < *n && strcmp(list[i].id, id) != 0)
    i++;
  if (i == *n)
    list[(*n)++] = (target){.id = id, .address = pwjson_text(r, "address")};
  json_int_t at = number(r, "at_target_ms"), quiet_ms = number(r, "quiet_ms");
  list[i].count++;
  list[i].oldest_ms = at > list[i].oldest_ms ? at : list[i].oldest_ms;
  list[i].quiet_ms = quiet_ms > list[i].quiet_ms ? quiet_ms : list[i].quiet_ms;
}

static int by_quiet(const void *a, const void *b) {
  const target *x = a, *y = b;
  return (x->quiet_ms < y->quiet_ms) - (x->quiet_ms > y->quiet_ms);
}

static void print_targets(const row *rows, size_t n) {
  target *list = calloc(n + 1, sizeof *list);
  size_t count = 0;
  for (size_t i = 0; i < n; i++)
    count_target(list, &count, rows[i].request);
  qsort(list, count, sizeof *list, by_quiet);
  printf("\n%-22s %-21s %9s %10s %9s\n", "TARGET", "ADDRESS", "REQUESTS",
         "OLDEST_MS", "QUIET_MS");
  for (size_t i = 0; i < count && i < SHOWN_MAX; i++)
    printf("%-22s %-21s %9lld %10lld %9lld\n", list[i].id, list[i].address,
           (long long)list[i].count, (long long)list[i].oldest_ms,
           (long long)list[i].quiet_ms);
  free(list);
}

int pwcmd_requests(pw_options *o) {
  int missing = 0;
  row *rows;
  if (o->nargs == 0) {
    pwcmd_error(PW_E_USAGE, "IP:PORT of a gateway's metrics is needed");
    return PWEXIT_USAGE;
  }
  json_t *all = fetch_all(o, &missing);
  size_t n = fill_rows(o, all, &rows);
  if (o->json) {
    json_dumpf(all, stdout, JSON_INDENT(2));
    puts("");
  } else {
    print_requests(rows, n);
    print_targets(rows, n);
  }
  free(rows);
  json_decref(all);
  if (missing == o->nargs)
    return PWEXIT_FAILED;
  return o->request && n == 0 ? PWEXIT_FAILED : PWEXIT_OK;
}
