/* pwbackup.c: `peatwell backup` and `restore`: write all resources to a
** file, and back. */
#include "pwcmd.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwfile.h"
#include "pwjson.h"
#include "pwlimits.h"
#include "pwres.h"
#include "pwstate.h"

#include <errno.h>
#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FORMAT 1
#define MESSAGE_BYTES 256
#define ROOT "/v1/resources"

static int usage(const char *text) {
  pwcmd_error(PW_E_USAGE, text);
  return PWEXIT_USAGE;
}

static int write_file(const char *path, const json_t *doc) {
  char *text = json_dumps(doc, JSON_INDENT(1) | JSON_SORT_KEYS);
  char *copy = pw_dup(path);
  int rc =
      pwfile_replace(pwfile_posix(), dirname(copy), path, text, strlen(text));
  if (rc != 0)
    fprintf(stderr, "peatwell: %s: %s\n", path, strerror(errno));
  free(copy);
  free(text);
  return rc == 0 ? PWEXIT_OK : PWEXIT_FAILED;
}

/* Removes the resources that only the leader writes: it derives them again
** from the others. */
static void drop_leader_only(json_t *list) {
  for (size_t i = json_array_size(list); i-- > 0;) {
    const json_t *r = json_array_get(list, i);
    if (pwres_is_leader_only(json_string_value(json_object_get(r, "kind"))))
      json_array_remove(list, i);
  }
}

/* Reads the control group's id into *group, to be freed; "" when the status
** lacks it. */
static pw_code read_group(pw_options *o, char **group, char *message) {
  json_t *status = NULL;
  pw_code rc = pwclient_call(&o->client, "GET", "/v1/status", NULL, &status,
                             message, MESSAGE_BYTES);
  *group = pw_dup(rc == PW_OK ? pwjson_text(status, "group") : "");
  json_decref(status);
  return rc;
}

int pwcmd_backup(pw_options *o) {
  char message[MESSAGE_BYTES] = "";
  json_t *backup = NULL;
  char *group;
  if (o->nargs != 1)
    return usage("backup FILE");
  pw_code rc = read_group(o, &group, message);
  if (rc == PW_OK)
    rc = pwclient_call(&o->client, "GET", ROOT, NULL, &backup, message,
                       sizeof message);
  int code;
  if (rc != PW_OK) {
    code = pwcmd_error(rc, message);
  } else {
    json_object_set_new(backup, "peatwell_backup", json_integer(FORMAT));
    json_object_set_new(backup, "group", json_string(group));
    drop_leader_only(json_object_get(backup, "resources"));
    code = write_file(o->args[0], backup);
    if (code == PWEXIT_OK)
      printf("%zu resources of revision %lld written to %s\n",
             json_array_size(json_object_get(backup, "resources")),
             (long long)json_integer_value(json_object_get(backup, "revision")),
             o->args[0]);
  }
  json_decref(backup);
  free(group);
  return code;
}

static json_t *read_backup(const char *path) {
  json_error_t e;
  json_t *doc = json_load_file(path, JSON_REJECT_DUPLICATES, &e);
  json_int_t format =
      json_integer_value(json_object_get(doc, "peatwell_backup"));
  if (!doc)
    fprintf(stderr, "%s:%d:%d: %s\n", path, e.line, e.column, e.text);
  else if (format < 1 || format > FORMAT)
    fprintf(stderr, "%s: not a backup of this version or an older one\n", path);
  else
    return doc;
  json_decref(doc);
  return NULL;
}

/* Index of a policy in the list, or the list's size when it is missing. */
static size_t find_policy(const json_t *list, const char *name) {
  size_t i;
  const json_t *r;
  json_array_foreach(list, i, r) {
    if (!strcmp(pwjson_text(r, "kind"), "policy") &&
        !strcmp(pwjson_text(r, "name"), name))
      break;
  }
  return i;
}

/* Seconds for which the group of the backup remembers the keys of requests
** that may run once. */
static double keys_kept_s(const json_t *list) {
  const json_t *r = json_array_get(list, find_policy(list, "default"));
  return pwjson_number(json_object_get(r, "spec"), "once_keep_s",
                       (double)PW_ONCE_KEEP_MS / 1000);
}

/* Makes a group other than that of the backup refuse all keys until those
** that may have run have expired: it has no record of them and could run one
** twice. */
static void refuse_keys(json_t *list) {
  double keep = keys_kept_s(list);
  double until = (double)pwclock_wall_ms() / 1000 + keep;
  json_array_remove(list, find_policy(list, PWSTATE_ONCE_HOLD));
  json_array_append_new(list, json_pack("{s:s,s:s,s:{s:f}}", "kind", "policy",
                                        "name", PWSTATE_ONCE_HOLD, "spec",
                                        "once_from_s", until));
  printf("a backup has no once-ledger: requests that may run only once are "
         "refused (%d) for %.0f s, unless policy/%s is deleted\n",
         PW_E_LEDGER_LOST, keep, PWSTATE_ONCE_HOLD);
}

/* Writes the resources of the backup over any present version, all or none.
** Resources that the backup does not name stay. */
int pwcmd_restore(pw_options *o) {
  char message[MESSAGE_BYTES] = "";
  json_t *answer = NULL;
  char *group;
  size_t i;
  json_t *r;
  if (o->nargs != 1)
    return usage("restore FILE");
  json_t *doc = read_backup(o->args[0]);
  if (!doc)
    return PWEXIT_INPUT;
  json_t *list = json_object_get(doc, "resources");
  json_array_foreach(list, i, r) {
    json_object_del(r, "version");
  }
  if (o->dry_run) {
    printf("%zu resources would be written\n", json_array_size(list));
    json_decref(doc);
    return PWEXIT_OK;
  }
  pw_code rc = read_group(o, &group, message);
  if (rc == PW_OK && strcmp(group, pwjson_text(doc, "group")) != 0)
    refuse_keys(list);
  free(group);
  json_t *body = json_pack("{s:O}", "resources", list);
  if (rc == PW_OK)
    rc = pwclient_call(&o->client, "POST", ROOT, body, &answer, message,
                       sizeof message);
  json_int_t revision = json_integer_value(json_object_get(answer, "revision"));
  int code = rc == PW_OK ? PWEXIT_OK : pwcmd_error(rc, message);
  if (rc == PW_OK)
    printf("%zu resources restored at revision %lld\n", json_array_size(list),
           (long long)revision);
  if (rc == PW_OK && o->wait)
    code = pwcmd_wait_in_force(o, revision);
  json_decref(body);
  json_decref(answer);
  json_decref(doc);
  return code;
}
