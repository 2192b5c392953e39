/* pwcmd.c: subcommands for resources and status. */
#include "pwcmd.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwjson.h"
#include "pwset.h"
#include "pwtoml.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MESSAGE_BYTES 256
#define POLL_NS 100000000L
#define ROOT "/v1/resources"

static json_int_t number(const json_t *o, const char *key) {
  return json_integer_value(json_object_get(o, key));
}

int pwcmd_error(pw_code code, const char *message) {
  fprintf(stderr, "peatwell: error %d (%s): %s\n", (int)code, pwcode_name(code),
          message[0] ? message : pwcode_text(code));
  if (code == PW_E_CONFLICT)
    return PWEXIT_CONFLICT;
  return code == PW_E_WAIT ? PWEXIT_WAIT : PWEXIT_FAILED;
}

static void print_json(const json_t *v) {
  json_dumpf(v, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
  putchar('\n');
}

/* --- files --- */

static int is_resource(const json_t *r) {
  return pwjson_text(r, "kind")[0] && pwjson_text(r, "name")[0];
}

static int add_file(json_t *list, const char *path) {
  pw_buf out = {0};
  pw_buf err = {0};
  json_t *doc = NULL;
  int rc = -1;
  if (pwtoml_json(path, &out, &err) != 0) {
    fputs(err.data, stderr);
    goto done;
  }
  doc = json_loadb(out.data, out.len, 0, NULL);
  const json_t *found = json_object_get(doc, "resource");
  size_t i;
  json_t *r;
  if (!json_is_array(found)) {
    fprintf(stderr, "%s: contains no [[resource]]\n", path);
    goto done;
  }
  json_array_foreach(found, i, r) {
    if (!is_resource(r)) {
      fprintf(stderr, "%s: resource %zu: kind and name are needed\n", path,
              i + 1);
      goto done;
    }
    if (!json_object_get(r, "spec"))
      json_object_set_new(r, "spec", json_object());
    json_array_append(list, r);
  }
  rc = 0;
done:
  json_decref(doc);
  pwbuf_free(&out);
  pwbuf_free(&err);
  return rc;
}

json_t *pwcmd_read_files(const char *const *files, int n) {
  json_t *list = json_array();
  int bad = 0;
  for (int i = 0; i < n; i++)
    bad |= add_file(list, files[i]);
  if (!bad)
    return list;
  json_decref(list);
  return NULL;
}

/* --- apply --- */

static const json_t *find(const json_t *list, const char *kind,
                          const char *name) {
  size_t i;
  json_t *r;
  json_array_foreach(list, i, r) {
    if (!strcmp(pwjson_text(r, "kind"), kind) &&
        !strcmp(pwjson_text(r, "name"), name))
      return r;
  }
  return NULL;
}

static void print_value(const char *sign, const char *field, const json_t *v) {
  char *s = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
  printf("    %s %s = %s\n", sign, field, s ? s : "");
  free(s);
}

static void print_difference(const json_t *old, const json_t *wanted) {
  const char *field;
  json_t *v;
  json_object_foreach((json_t *)old, field, v) {
    if (!json_equal(v, json_object_get(wanted, field)))
      print_value("-", field, v);
  }
  json_object_foreach((json_t *)wanted, field, v) {
    if (!json_equal(v, json_object_get(old, field)))
      print_value("+", field, v);
  }
}

/* Adds the wanted resources that differ from the current ones to `changes`;
** prints a line for each wanted resource. */
static void compare(const pw_options *o, const json_t *wanted,
                    const json_t *current, json_t *changes) {
  size_t i;
  json_t *r;
  json_array_foreach(wanted, i, r) {
    const json_t *old =
        find(current, pwjson_text(r, "kind"), pwjson_text(r, "name"));
    const json_t *old_spec = json_object_get(old, "spec");
    const json_t *spec = json_object_get(r, "spec");
    int same = old && json_equal(old_spec, spec);
    if (!o->json)
      printf("%s/%s: %s\n", pwjson_text(r, "kind"), pwjson_text(r, "name"),
             same  ? "unchanged"
             : old ? "changed"
                   : "created");
    if (same)
      continue;
    if (o->dry_run && !o->json)
      print_difference(old_spec, spec);
    json_t *put = json_copy(r);
    json_object_set_new(put, "version", json_integer(number(old, "version")));
    json_array_append_new(changes, put);
  }
}

static int send_changes(pw_options *o, const json_t *changes,
                        json_int_t *revision) {
  char message[MESSAGE_BYTES] = "";
  json_t *answer;
  json_t *body = json_pack("{s:O}", "resources", changes);
  pw_code rc = pwclient_call(&o->client, "POST", ROOT, body, &answer, message,
                             sizeof message);
  json_decref(body);
  *revision = number(answer, "revision");
  int code = PWEXIT_OK;
  if (rc != PW_OK) {
    code = pwcmd_error(rc, message);
    if (rc == PW_E_CONFLICT)
      print_json(json_object_get(answer, "resources"));
  } else if (o->json) {
    print_json(answer);
  } else {
    printf("accepted at revision %lld\n", (long long)*revision);
  }
  json_decref(answer);
  return code;
}

int pwcmd_apply(pw_options *o) {
  char message[MESSAGE_BYTES] = "";
  json_t *current = NULL;
  json_t *changes = json_array();
  int code = PWEXIT_INPUT;
  json_t *wanted = pwcmd_read_files(o->args, o->nargs);
  if (!wanted)
    goto done;
  pw_code rc = pwclient_call(&o->client, "GET", ROOT, NULL, &current, message,
                             sizeof message);
  if (rc != PW_OK) {
    code = pwcmd_error(rc, message);
    goto done;
  }
  compare(o, wanted, json_object_get(current, "resources"), changes);
  json_int_t revision = number(current, "revision");
  code = PWEXIT_OK;
  if (json_array_size(changes) == 0) {
    if (!o->json)
      puts("no change");
  } else if (!o->dry_run) {
    code = send_changes(o, changes, &revision);
  }
  if (code == PWEXIT_OK && o->wait && !o->dry_run)
    code = pwcmd_wait_in_force(o, revision);
done:
  json_decref(wanted);
  json_decref(current);
  json_decref(changes);
  return code;
}

/* --- waiting --- */

static int is_everywhere(const json_t *in_force, json_int_t revision) {
  return number(in_force, "revision") >= revision &&
         json_is_true(json_object_get(in_force, "settled"));
}

static void show_progress(const json_t *in_force, json_int_t revision,
                          json_int_t *shown) {
  json_int_t now = number(in_force, "revision");
  if (now == *shown)
    return;
  *shown = now;
  fprintf(stderr, "in force: revision %lld of %lld in %lld processes%s%s\n",
          (long long)now, (long long)revision,
          (long long)number(in_force, "processes"),
          now < revision ? ", behind: " : "",
          now < revision ? pwjson_text(in_force, "behind") : "");
}

int pwcmd_wait_in_force(pw_options *o, json_int_t revision) {
  char message[MESSAGE_BYTES] = "";
  char why[MESSAGE_BYTES] = "no control leader answered";
  int64_t until = pwclock_ms() + o->client.timeout_ms;
  json_int_t shown = -1;
  do {
    json_t *st;
    if (pwclient_call(&o->client, "GET", "/v1/status", NULL, &st, message,
                      sizeof message) == PW_OK) {
      const json_t *in_force = json_object_get(st, "in_force");
      show_progress(in_force, revision, &shown);
      int done = is_everywhere(in_force, revision);
      snprintf(why, sizeof why, "%s still has revision %lld",
               pwjson_text(in_force, "behind"),
               (long long)number(in_force, "revision"));
      if (!json_is_true(json_object_get(in_force, "settled")))
        snprintf(why, sizeof why,
                 "the new leader has not received all revisions yet");
      json_decref(st);
      if (done) {
        fprintf(stderr, "in force everywhere\n");
        return PWEXIT_OK;
      }
    } else {
      json_decref(st);
    }
    struct timespec ts = {0, POLL_NS};
    nanosleep(&ts, NULL);
  } while (pwclock_ms() < until);
  return pwcmd_error(PW_E_WAIT, why);
}

/* --- get, delete, watch --- */

static void print_resource_line(const json_t *r) {
  char *spec = json_dumps(json_object_get(r, "spec"), JSON_COMPACT);
  printf("%-10s %-24s %7lld %9lld %s\n", pwjson_text(r, "kind"),
         pwjson_text(r, "name"), (long long)number(r, "version"),
         (long long)number(r, "revision"),
         json_is_true(json_object_get(r, "deleted")) ? "deleted" : spec);
  free(spec);
}

static void print_resources(const json_t *list, const char *kind) {
  size_t i;
  json_t *r;
  json_array_foreach(list, i, r) {
    if (!kind || !strcmp(kind, pwjson_text(r, "kind")))
      print_resource_line(r);
  }
}

int pwcmd_get(pw_options *o) {
  char path[256], message[MESSAGE_BYTES] = "";
  int one = o->nargs >= 2;
  json_t *answer;
  snprintf(path, sizeof path, one ? ROOT "/%s/%s" : ROOT, one ? o->args[0] : "",
           one ? o->args[1] : "");
  pw_code rc = pwclient_call(&o->client, "GET", path, NULL, &answer, message,
                             sizeof message);
  int code = PWEXIT_OK;
  if (rc != PW_OK) {
    code = pwcmd_error(rc, message);
  } else if (o->json) {
    print_json(answer);
  } else {
    printf("%-10s %-24s %7s %9s %s\n", "KIND", "NAME", "VERSION", "REVISION",
           "SPEC");
    if (one)
      print_resource_line(answer);
    else
      print_resources(json_object_get(answer, "resources"),
                      o->nargs ? o->args[0] : NULL);
  }
  json_decref(answer);
  return code;
}

/* Makes one change; with --wait, waits until it is in force. */
static int change_one(pw_options *o, const char *method, const char *path,
                      const json_t *body, const char *done) {
  char message[MESSAGE_BYTES] = "";
  json_t *answer;
  pw_code rc = pwclient_call(&o->client, method, path, body, &answer, message,
                             sizeof message);
  int code = PWEXIT_OK;
  if (rc != PW_OK)
    code = pwcmd_error(rc, message);
  else if (o->json)
    print_json(answer);
  else
    printf("%s at revision %lld\n", done,
           (long long)number(answer, "revision"));
  json_int_t revision = number(answer, "revision");
  json_decref(answer);
  if (code == PWEXIT_OK && o->wait)
    code = pwcmd_wait_in_force(o, revision);
  return code;
}

int pwcmd_delete(pw_options *o) {
  char path[256];
  if (o->nargs != 2)
    return pwcmd_error(PW_E_USAGE, "delete KIND NAME") ? PWEXIT_USAGE : 0;
  snprintf(path, sizeof path, ROOT "/%s/%s", o->args[0], o->args[1]);
  return change_one(o, "DELETE", path, NULL, "deleted");
}

int pwcmd_watch(pw_options *o) {
  json_int_t since = o->since ? atoll(o->since) : 0;
  char path[128], message[MESSAGE_BYTES] = "";
  do {
    json_t *answer;
    snprintf(path, sizeof path, ROOT "?since=%lld", (long long)since);
    pw_code rc = pwclient_call(&o->client, "GET", path, NULL, &answer, message,
                               sizeof message);
    if (rc != PW_OK) {
      json_decref(answer);
      return pwcmd_error(rc, message);
    }
    if (o->json)
      print_json(answer);
    else
      print_resources(json_object_get(answer, "resources"), NULL);
    fflush(stdout);
    since = number(answer, "revision");
    json_decref(answer);
  } while (o->follow);
  return PWEXIT_OK;
}

/* --- status, drain --- */

static void print_rows(const json_t *list) {
  size_t i;
  json_t *r;
  json_array_foreach(list, i, r) {
    printf("%-16s %-8s %-10s %9lld %9lld %6lld %8lld ms%s\n",
           pwjson_text(r, "name"), pwjson_text(r, "role"),
           pwjson_text(r, "availability_zone"),
           (long long)number(r, "revision"),
           (long long)number(r, "below_revision"),
           (long long)number(r, "below"), (long long)number(r, "silent_ms"),
           json_is_true(json_object_get(r, "stopping")) ? " stopping" : "");
  }
}

static void print_rollout(const json_t *r) {
  printf("%-16s %-12s %-12s %5.1f%% %-12s %3lld/%lld serving, %lld loading, "
         "%lld failed, %lld unheard %s\n",
         pwjson_text(r, "model"), pwjson_text(r, "from"), pwjson_text(r, "to"),
         json_number_value(json_object_get(r, "share")),
         pwjson_text(r, "state"), (long long)number(r, "serving_to"),
         (long long)number(r, "targets"), (long long)number(r, "loading"),
         (long long)number(r, "failed"), (long long)number(r, "unheard"),
         pwjson_text(r, "why"));
}

static void print_rollouts(const json_t *list) {
  size_t i;
  const json_t *r;
  if (json_array_size(list))
    printf("%-16s %-12s %-12s %6s %-12s %s\n", "MODEL", "FROM", "TO", "SHARE",
           "STATE", "TARGETS");
  json_array_foreach(list, i, r) {
    print_rollout(r);
  }
}

int pwcmd_print_json(const pw_options *o, const json_t *answer) {
  if (!o->json)
    return 0;
  json_dumpf(answer, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
  putchar('\n');
  return 1;
}

static void print_service_rollouts(const json_t *list) {
  size_t i;
  const json_t *r;
  if (json_array_size(list))
    printf("%-16s %-12s %-12s %6s %9s %9s\n", "SERVICE", "TO", "STATE", "SHARE",
           "GOOD", "BAD");
  json_array_foreach(list, i, r) {
    printf("%-16s %-12s %-12s %5.1f%% %9.0f %9.0f\n", pwjson_text(r, "service"),
           pwjson_text(r, "version"), pwjson_text(r, "state"),
           pwjson_number(r, "share", 0) / 10, pwjson_number(r, "good", 0),
           pwjson_number(r, "bad", 0));
  }
}

static void print_names(const char *title, const json_t *list) {
  size_t i;
  const json_t *name;
  if (json_array_size(list) == 0)
    return;
  printf("%s:", title);
  json_array_foreach(list, i, name) {
    printf(" %s", json_string_value(name));
  }
  putchar('\n');
}

static void print_status(const json_t *st) {
  const json_t *in_force = json_object_get(st, "in_force");
  size_t i;
  json_t *m;
  printf("leader %s  term %lld  revision %lld\n", pwjson_text(st, "leader"),
         (long long)number(st, "term"), (long long)number(st, "revision"));
  printf("in force: revision %lld in %lld processes%s\n",
         (long long)number(in_force, "revision"),
         (long long)number(in_force, "processes"),
         json_is_true(json_object_get(in_force, "settled"))
             ? ""
             : " (a new leader is still collecting revisions)");
  json_array_foreach(json_object_get(st, "members"), i, m) {
    printf("control %lld  %-9s %s\n", (long long)number(m, "id"),
           pwjson_text(m, "role"), pwjson_text(m, "wire"));
  }
  print_names("availability zones of targets",
              json_object_get(st, "availability_zones"));
  print_names("evacuated", json_object_get(st, "evacuated"));
  print_rollouts(json_object_get(st, "rollouts"));
  print_service_rollouts(json_object_get(st, "service_rollouts"));
  print_names("control instances outside of the group",
              json_object_get(st, "observers"));
  printf("%-16s %-8s %-10s %9s %9s %6s %11s\n", "CHILD", "ROLE", "ZONE",
         "REVISION", "BELOW-REV", "BELOW", "SILENT");
  print_rows(json_object_get(st, "children"));
}

/* Prints a line for each rollout that changed. Gives 0 until all are settled,
** then -1 if one was rolled back, else 1. */
static int follow_rollouts(const json_t *list, json_t *shown) {
  size_t i;
  const json_t *r;
  int settled = 1;
  int rolled_back = 0;
  json_array_foreach(list, i, r) {
    if (!json_equal(r, json_object_get(shown, pwjson_text(r, "model")))) {
      fprintf(
          stderr, "%s: %s to %s, %s, %.1f%% of chats, %lld of %lld targets\n",
          pwjson_text(r, "model"), pwjson_text(r, "from"), pwjson_text(r, "to"),
          pwjson_text(r, "state"),
          json_number_value(json_object_get(r, "share")),
          (long long)number(r, "serving_to"), (long long)number(r, "targets"));
      json_object_set(shown, pwjson_text(r, "model"), (json_t *)r);
    }
    settled &= json_is_true(json_object_get(r, "settled"));
    rolled_back |= !strcmp(pwjson_text(r, "state"), "rolled-back");
  }
  return !settled ? 0 : rolled_back ? -1 : 1;
}

static int wait_for_rollouts(pw_options *o) {
  char message[MESSAGE_BYTES] = "";
  int64_t until = pwclock_ms() + o->client.timeout_ms;
  json_t *shown = json_object();
  json_int_t revision = 0;
  int settled = 0;
  while (!settled && pwclock_ms() < until) {
    json_t *st;
    if (pwclient_call(&o->client, "GET", "/v1/status", NULL, &st, message,
                      sizeof message) == PW_OK)
      settled = follow_rollouts(json_object_get(st, "rollouts"), shown);
    revision = number(st, "revision");
    json_decref(st);
    struct timespec ts = {0, POLL_NS};
    nanosleep(&ts, NULL);
  }
  json_decref(shown);
  if (settled > 0) /* the last step must be in force, too */
    return pwcmd_wait_in_force(o, revision);
  return pwcmd_error(settled ? PW_E_ROLLED_BACK : PW_E_WAIT,
                     settled ? "" : "a rollout is still in progress");
}

int pwcmd_status(pw_options *o) {
  char message[MESSAGE_BYTES] = "";
  json_t *st;
  pw_code rc = pwclient_call(&o->client, "GET", "/v1/status", NULL, &st,
                             message, sizeof message);
  if (rc != PW_OK) {
    json_decref(st);
    return pwcmd_error(rc, message);
  }
  if (o->json)
    print_json(st);
  else
    print_status(st);
  json_int_t revision = number(st, "revision");
  json_decref(st);
  if (!o->wait)
    return PWEXIT_OK;
  int code = pwcmd_wait_in_force(o, revision);
  return code == PWEXIT_OK ? wait_for_rollouts(o) : code;
}

int pwcmd_drain(pw_options *o) {
  char path[256], message[MESSAGE_BYTES] = "";
  json_t *current;
  if (o->nargs < 1)
    return pwcmd_error(PW_E_USAGE, "drain TARGET [off]") ? PWEXIT_USAGE : 0;
  int on = o->nargs < 2 || strcmp(o->args[1], "off") != 0;
  snprintf(path, sizeof path, ROOT "/target/%s", o->args[0]);
  pw_code rc = pwclient_call(&o->client, "GET", path, NULL, &current, message,
                             sizeof message);
  if (rc != PW_OK) {
    json_decref(current);
    return pwcmd_error(rc, message);
  }
  json_object_set_new(json_object_get(current, "spec"), "drain",
                      json_boolean(on));
  json_t *body =
      json_pack("{s:O,s:O}", "spec", json_object_get(current, "spec"),
                "version", json_object_get(current, "version"));
  int code =
      change_one(o, "PUT", path, body, on ? "draining" : "taking work again");
  json_decref(body);
  json_decref(current);
  return code;
}

int pwcmd_check(pw_options *o) {
  int code = PWEXIT_OK;
  for (int i = 0; i < o->nargs; i++) {
    pw_settings set;
    pw_buf err = {0};
    if (pwset_read(&set, o->args[i], &err) != PW_OK) {
      fputs(err.data, stderr);
      code = PWEXIT_INPUT;
    } else {
      printf("%s: ok\n", o->args[i]);
    }
    pwbuf_free(&err);
    pwset_free(&set);
  }
  return code;
}
