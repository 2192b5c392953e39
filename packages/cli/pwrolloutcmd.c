/* pwrolloutcmd.c: `peatwell rollout`: moves a service to targets of another
** version, or shows the state of its rollout. */
#include "pwcmd.h"

#include "pwjson.h"
#include "pwlimits.h"

#include <stdio.h>
#include <stdlib.h>

#define MESSAGE_BYTES 256
#define PATH_BYTES (PW_NAME_MAX + 64)

/* The body of an order; NULL when only the state is asked for. */
static json_t *order_of(const pw_options *o) {
  if (o->nargs == 1)
    return NULL;
  return json_pack("{s:s,s:f}", "version", o->args[1], "over_s",
                   strtod(o->args[2], NULL));
}

static void print_state(const json_t *r) {
  printf("%s: to %s, %s, %.1f%% of requests\n", pwjson_text(r, "service"),
         pwjson_text(r, "version"), pwjson_text(r, "state"),
         pwjson_number(r, "share", 0) / 10);
}

int pwcmd_rollout(pw_options *o) {
  char path[PATH_BYTES], message[MESSAGE_BYTES] = "";
  json_t *answer;
  if (o->nargs != 1 && o->nargs != 3) {
    pwcmd_error(PW_E_USAGE, "rollout SERVICE [VERSION SECONDS]");
    return PWEXIT_USAGE;
  }
  snprintf(path, sizeof path, "/v1/rollouts/%s", o->args[0]);
  json_t *body = order_of(o);
  pw_code rc = pwclient_call(&o->client, body ? "PUT" : "GET", path, body,
                             &answer, message, sizeof message);
  json_decref(body);
  if (rc != PW_OK) {
    json_decref(answer);
    return pwcmd_error(rc, message);
  }
  if (!pwcmd_print_json(o, answer))
    print_state(answer);
  json_decref(answer);
  return PWEXIT_OK;
}
