/* pwtimelinecmd.c: `peatwell timeline`: merges the events of all processes
** by their hybrid logical clock. */
#include "pwcmd.h"

#include "pwbuf.h"
#include "pwjson.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FOLLOW_NS 500000000L
#define HLC_BITS 16 /* counter below the milliseconds of a stamp */

static int by_stamp(const void *a, const void *b) {
  const json_t *x = *(json_t *const *)a;
  const json_t *y = *(json_t *const *)b;
  json_int_t i = json_integer_value(json_object_get(x, "hlc"));
  json_int_t j = json_integer_value(json_object_get(y, "hlc"));
  return (i > j) - (i < j);
}

static int is_wanted(const pw_options *o, const json_t *e) {
  if (o->chat && !strstr(pwjson_text(e, "chat"), o->chat))
    return 0;
  if (o->request && strcmp(pwjson_text(e, "request"), o->request) != 0)
    return 0;
  return !o->target || !strcmp(pwjson_text(e, "target"), o->target);
}

static json_t *fetch_events(const pw_options *o, const json_t *servers,
                            json_int_t since) {
  json_t *all = json_array();
  size_t i;
  json_t *s;
  char path[64];
  snprintf(path, sizeof path, "/v1/events?since=%lld", (long long)since);
  json_array_foreach(servers, i, s) {
    json_t *events;
    size_t j;
    json_t *e;
    pwclient_get(pwjson_text(s, "http"), path, &events);
    json_array_foreach(events, j, e) {
      if (is_wanted(o, e))
        json_array_append(all, e);
    }
    json_decref(events);
  }
  return all;
}

static void print_event(const json_t *e) {
  json_int_t hlc = json_integer_value(json_object_get(e, "hlc"));
  int64_t ms = hlc >> HLC_BITS;
  time_t sec = (time_t)(ms / 1000);
  struct tm tm;
  char stamp[32];
  gmtime_r(&sec, &tm);
  strftime(stamp, sizeof stamp, "%H:%M:%S", &tm);
  json_int_t code = json_integer_value(json_object_get(e, "code"));
  printf("%s.%03d %-12s %-10s", stamp, (int)(ms % 1000),
         pwjson_text(e, "instance"), pwjson_text(e, "event"));
  if (code)
    printf(" %s", pwcode_name((pw_code)code));
  if (pwjson_text(e, "request")[0])
    printf(" request=%.8s", pwjson_text(e, "request"));
  if (pwjson_text(e, "chat")[0])
    printf(" chat=%s", pwjson_text(e, "chat"));
  if (pwjson_text(e, "target")[0])
    printf(" target=%s", pwjson_text(e, "target"));
  printf(" %s\n", pwjson_text(e, "detail"));
}

/* Prints events in the order of their stamps; gives the newest stamp. */
static json_int_t print_events(const pw_options *o, json_t *events,
                               json_int_t since) {
  size_t n = json_array_size(events);
  json_t **list = pw_alloc(sizeof *list * (n + 1));
  for (size_t i = 0; i < n; i++)
    list[i] = json_array_get(events, i);
  qsort(list, n, sizeof *list, by_stamp);
  for (size_t i = 0; i < n; i++) {
    if (o->json) {
      json_dumpf(list[i], stdout, JSON_COMPACT | JSON_SORT_KEYS);
      putchar('\n');
    } else {
      print_event(list[i]);
    }
  }
  if (n)
    since = json_integer_value(json_object_get(list[n - 1], "hlc"));
  free(list);
  fflush(stdout);
  return since;
}

int pwcmd_timeline(pw_options *o) {
  json_t *servers = pwcmd_processes(o);
  json_int_t since = o->since ? atoll(o->since) << HLC_BITS : 0;
  for (;;) {
    json_t *events = fetch_events(o, servers, since);
    since = print_events(o, events, since);
    json_decref(events);
    if (!o->follow)
      break;
    struct timespec ts = {0, FOLLOW_NS};
    nanosleep(&ts, NULL);
  }
  json_decref(servers);
  return PWEXIT_OK;
}
