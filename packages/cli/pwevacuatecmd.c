/* pwevacuatecmd.c: `peatwell evacuate`: starts or ends the evacuation of an
** availability zone, whose targets get no new requests meanwhile. */
#include "pwcmd.h"

#include "pwlimits.h"

#include <stdio.h>

#define MESSAGE_BYTES 256
#define PATH_BYTES (PW_NAME_MAX + 64)

/* Ending an evacuation that does not exist (any more) counts as success. */
static int is_done(const pw_options *o, pw_code rc) {
  return rc == PW_OK || (o->end && rc == PW_E_NOT_FOUND);
}

int pwcmd_evacuate(pw_options *o) {
  char path[PATH_BYTES], message[MESSAGE_BYTES] = "";
  json_t *answer;
  if (o->nargs != 1) {
    pwcmd_error(PW_E_USAGE, "evacuate ZONE [--end]");
    return PWEXIT_USAGE;
  }
  snprintf(path, sizeof path, "/v1/resources/evacuation/%s", o->args[0]);
  json_t *body = o->end ? NULL : json_pack("{s:{}}", "spec");
  pw_code rc = pwclient_call(&o->client, o->end ? "DELETE" : "PUT", path, body,
                             &answer, message, sizeof message);
  json_decref(body);
  if (!is_done(o, rc)) {
    json_decref(answer);
    return pwcmd_error(rc, message);
  }
  if (!pwcmd_print_json(o, answer))
    printf("%s: %s\n", o->args[0], o->end ? "evacuation ended" : "evacuated");
  json_decref(answer);
  return PWEXIT_OK;
}
