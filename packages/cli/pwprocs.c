/* pwprocs.c: finds the processes of a fleet. */
#include "pwcmd.h"

#include "pwjson.h"

#include <string.h>

#define PROCESSES_MAX 16384

/* Adds a process unless its HTTP address is already listed. */
static void add(json_t *list, const char *http, const char *role) {
  size_t i;
  json_t *p;
  if (!http[0] || json_array_size(list) >= PROCESSES_MAX)
    return;
  json_array_foreach(list, i, p) {
    if (!strcmp(pwjson_text(p, "http"), http))
      return;
  }
  json_array_append_new(list,
                        json_pack("{s:s,s:s}", "http", http, "role", role));
}

static void add_rows(json_t *list, const json_t *rows, const char *role) {
  size_t i;
  json_t *row;
  json_array_foreach(rows, i, row) {
    add(list, pwjson_text(row, "http"), role ? role : pwjson_text(row, "role"));
  }
}

/* Control instances and entries come from the status, agents from the
** entries' children. */
json_t *pwcmd_processes(pw_options *o) {
  char message[256];
  json_t *list = json_array();
  json_t *st;
  if (pwclient_call(&o->client, "GET", "/v1/status", NULL, &st, message,
                    sizeof message) == PW_OK) {
    add_rows(list, json_object_get(st, "members"), "control");
    add_rows(list, json_object_get(st, "children"), NULL);
  }
  json_decref(st);
  for (int k = 0; k < o->client.nservers; k++)
    add(list, o->client.server[k], "");
  for (size_t i = 0; i < json_array_size(list); i++) {
    json_t *children;
    const json_t *p = json_array_get(list, i);
    if (pwclient_get(pwjson_text(p, "http"), "/v1/children", &children) ==
        PW_OK)
      add_rows(list, children, NULL);
    json_decref(children);
  }
  return list;
}
