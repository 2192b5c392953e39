/* pwset.c: the table of settings; reads, checks and documents them by it. */
#include "pwset.h"

#include "pwtoml.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

typedef enum set_type {
  T_STRING,
  T_INT,
  T_REAL,
  T_BOOL,
  T_LIST,
  T_SECRET_FILE
} set_type;

typedef struct set_row {
  const char *section;
  const char *key;
  set_type type;
  size_t offset;
  int64_t min, max, fallback; /* T_INT, T_REAL, T_BOOL; fallback: the default */
  const char *text;           /* default of a string, or NULL: none */
  const char *choices;        /* "a|b", or NULL: any string */
  const char *need;           /* role that requires it, "any", or NULL */
  const char *unit;
  const char *help;
} set_row;

#define AT(field) offsetof(pw_settings, field)
#define STR(sec, key, field, def, choices, need, help)                         \
  { sec, key, T_STRING, AT(field), 0, 0, 0, def, choices, need, "text", help }
#define FILEKEY(sec, key, field, help)                                         \
  { sec, key, T_SECRET_FILE, AT(field), 0, 0, 0, "", NULL, NULL, "path", help }
#define LIST(sec, key, field, need, help)                                      \
  {                                                                            \
    sec, key, T_LIST, AT(field), 0, PW_LIST_MAX, 0, NULL, NULL, need, "list",  \
        help                                                                   \
  }
#define INT(sec, key, field, min, max, def, unit, help)                        \
  { sec, key, T_INT, AT(field), min, max, def, NULL, NULL, NULL, unit, help }

#define REAL(sec, key, field, min, max, def, unit, help)                       \
  { sec, key, T_REAL, AT(field), min, max, def, NULL, NULL, NULL, unit, help }
#define BOOL(sec, key, field, help)                                            \
  { sec, key, T_BOOL, AT(field), 0, 1, 0, NULL, NULL, NULL, "truth", help }

static const set_row rows[] = {
    STR("instance", "name", name, NULL, NULL, "any",
        "name of this instance, unique in the fleet"),
    LIST("instance", "roles", roles, "any",
         "what this process does: entry, agent, gateway, control"),
    STR("instance", "availability_zone", availability_zone, "", NULL, NULL,
        "availability zone it runs in"),
    STR("instance", "region", region, "", NULL, NULL, "region it runs in"),
    STR("instance", "metrics", metrics, "", NULL, NULL,
        "IP:PORT where gateways and control instances tell /metrics and "
        "/v1/events besides; unset: only where they serve"),
    FILEKEY("instance", "keys_file", keys_file,
            "CURVE key pair from `peatwell keygen`; unset: no encryption"),
    STR("instance", "trust_file", trust_file, "", NULL, NULL,
        "public keys of the processes that may connect, one a line"),
    INT("instance", "stop_limit_ms", stop_limit, 100, 3600000, 60000, "ms",
        "longest a planned stop waits for requests in progress"),
    INT("instance", "memory_mb", memory, 8, 1000000, 256, "MB",
        "that the process may have; half of it for its connections, a tenth "
        "for one request body; gateways have gateway.memory_mb in its place"),
    STR("entry", "http", entry_http, NULL, NULL, "entry",
        "IP:PORT where callers are served"),
    STR("entry", "wire", entry_wire, NULL, NULL, "entry",
        "tcp://IP:PORT where agents and other entries reach it"),
    LIST("entry", "control", entry_control, "entry",
         "tcp://IP:PORT of the control instances"),
    LIST("entry", "parents", entry_parents, NULL,
         "tcp://IP:PORT of entries to take configuration from instead of "
         "control: a further level of the tree"),
    LIST("entry", "peers", entry_peers, NULL,
         "tcp://IP:PORT of the other entries of the region"),
    INT("entry", "threads", entry_threads, 1, 64, 4, "threads", "HTTP threads"),
    INT("entry", "max_body_bytes", entry_max_body, 1024, 64 * 1024 * 1024,
        PW_BODY_MAX, "bytes", "largest request body"),
    INT("entry", "max_connections", entry_max_connections, 1, 100000, 4096,
        "connections", "open caller connections"),
    INT("entry", "idle_timeout_s", entry_idle_timeout, 1, 3600, 30, "s",
        "a caller that neither sends nor takes a byte is cut off after it"),
    STR("entry", "tls_cert", entry_tls_cert, "", NULL, NULL,
        "PEM certificate; unset: plain HTTP"),
    FILEKEY("entry", "tls_key", entry_tls_key, "PEM key of tls_cert"),
    INT("entry", "stale_ms", entry_stale, 500, 600000, 10000, "ms",
        "after this long without a control leader the entry is cut off"),
    STR("entry", "when_cut_off", entry_when_cut_off, "refuse", "refuse|serve",
        NULL, "what it does then: see docs/design/distribution.md"),
    INT("entry", "report_ms", entry_report, 50, 60000, 500, "ms",
        "interval of load reports to the other entries"),
    STR("agent", "http", agent_http, "", NULL, NULL,
        "IP:PORT of its /metrics and /health; unset: none"),
    STR("agent", "wire", agent_wire, NULL, NULL, "agent",
        "tcp://IP:PORT where entries reach it"),
    LIST("agent", "upstream", agent_upstream, "agent",
         "tcp://IP:PORT of entries it takes configuration from"),
    STR("agent", "target", agent_target, NULL, NULL, "agent",
        "name of the target resource it stands before"),
    STR("agent", "kind", agent_kind, "engine", "engine|service", NULL,
        "what the target is"),
    STR("agent", "url", agent_url, NULL, NULL, "agent",
        "http://IP:PORT of the target"),
    INT("agent", "slots", agent_slots, 1, 1024, 64, "requests",
        "requests in progress at the target at once"),
    INT("agent", "queue", agent_queue, 0, 100000, 256, "requests",
        "requests that may wait"),
    INT("agent", "report_ms", agent_report, 50, 60000, 250, "ms",
        "interval of its reports to its upstream entry"),
    INT("agent", "stale_ms", agent_stale, 500, 600000, 10000, "ms",
        "after this long without an entry in touch it is cut off"),
    STR("agent", "when_cut_off", agent_when_cut_off, "refuse", "refuse|serve",
        NULL, "what it does then"),
    INT("agent", "engine_timeout_s", agent_engine_timeout, 1, 3600, 30, "s",
        "an engine that sends nothing for this long has failed"),
    STR("agent", "kv_cache", agent_kv_cache, "stays", "stays|moves", NULL,
        "whether engines take over each other's KV cache of a chat"),
    INT("agent", "cache_events_ms", agent_cache_events, 0, 60000, 500, "ms",
        "how often the target is asked for its cache events; 0: never"),
    INT("agent", "decode_tokens_per_s", agent_decode_rate, 1, 10000000, 2000,
        "tokens/s",
        "most tokens the target can finish in a second; the load "
        "counts down no faster"),
    STR("gateway", "http", gateway_http, NULL, NULL, "gateway",
        "IP:PORT where callers are served"),
    STR("gateway", "ready", gateway_ready, NULL, NULL, "gateway",
        "IP:PORT where it says whether it is ready, and of /metrics"),
    STR("gateway", "gossip", gateway_gossip, NULL, NULL, "gateway",
        "IP:PORT (UDP) where gateways tell each other their loads"),
    STR("gateway", "relay", gateway_relay, "", NULL, NULL,
        "tcp://IP:PORT where other gateways take configurations from this one; "
        "unset: control alone sends them"),
    LIST("gateway", "control", gateway_control, "gateway",
         "IP:PORT of the HTTP of control instances to begin with"),
    INT("gateway", "control_port", gateway_control_port, 1, 65535, 7340, "port",
        "port of `control.wire` at all of these"),
    INT("gateway", "beat_ms", gateway_beat, 50, 60000, 1200, "ms",
        "how often a target says that it is there"),
    REAL("gateway", "retry_ratio", gateway_retry_ratio, 0, 10, 0, "share",
         "retries of all gateways in a window, as a share of the requests"),
    REAL("gateway", "retry_slack", gateway_retry_slack, 0, 1000000, 10,
         "retries", "and so many more"),
    REAL("gateway", "retry_window_s", gateway_retry_window, 1, 3600, 10, "s",
         "that window"),
    REAL("gateway", "grace_s", gateway_grace, 1, 3600, 8, "s",
         "a planned stop ends within this time"),
    REAL("gateway", "load_times", gateway_load_times, 1, 100, 2, "times",
         "most load of a target, as a multiple of the mean of its service"),
    REAL("gateway", "keep_s", gateway_keep, 0, 86400, 10, "s",
         "how long what a prompt left in a target's memory is worth going back "
         "to"),
    INT("gateway", "memory_mb", gateway_memory, 8, 1000000, 512, "MB",
        "that the process may have; half of it for connections and what "
        "callers and targets have not taken yet, a tenth for one request "
        "body"),
    INT("gateway", "await_ms", gateway_await, 0, 60000, 1500, "ms",
        "a request that comes before a configuration waits so long at most"),
    STR("gateway", "place", gateway_place, "prefill",
        "prefill|home|load|turn|hash", NULL,
        "how a target is picked; all but prefill are baselines to measure "
        "against"),
    INT("gateway", "log_bytes_per_s", gateway_log_bytes, 0, 10000000, 16384,
        "bytes/s", "budget of its log lines"),
    STR("control", "http", control_http, NULL, NULL, "control",
        "IP:PORT of the resource API"),
    STR("control", "wire", control_wire, NULL, NULL, "control",
        "tcp://IP:PORT where entries and control instances reach it"),
    INT("control", "id", control_id, 1, 1000000, 1, "number",
        "number of this control instance; never given to another disk"),
    LIST("control", "peers", control_peers, NULL,
         "ID=tcp://IP:PORT of the first control instances, this one too; "
         "unset: a single instance"),
    STR("control", "data_dir", control_data_dir, NULL, NULL, "control",
        "folder of the log and snapshots"),
    REAL("control", "link_mbps", control_link, 0, 1000000, 0, "Mbit/s",
         "link of the instance; tables of all targets take half of it at most; "
         "0: they take what they need"),
    FILEKEY("control", "operators_file", control_operators_file,
            "hashes of operators' bearer keys; unset: no key is asked for"),
    INT("control", "heartbeat_ms", control_heartbeat, 10, 10000, 100, "ms",
        "leader's heartbeat"),
    INT("control", "retry_ms", control_retry, 10, 10000, 200, "ms",
        "longest a heartbeat is retried"),
    INT("control", "lease_ms", control_lease, 50, 60000, 1000, "ms",
        "a follower that hears nothing for this long starts an election"),
    INT("control", "snapshot_every", control_snapshot_every, 10, 10000000,
        10000, "entries", "log entries between snapshots"),
    LIST("control", "seeds", control_seeds, NULL,
         "IP:PORT of the HTTP of control instances that found the group, or "
         "through which it is found; instead of peers and id"),
    INT("control", "seed_port", control_seed_port, 1, 65535, 7340, "port",
        "port of `control.wire` at all of these"),
    BOOL("control", "found", control_found,
         "the group is new: its seeds found it together"),
    INT("control", "losses", control_losses, 0, 3, 2, "instances",
        "lost at once without harm: the group has twice as many and one "
        "voters; with seeds only"),
    REAL("control", "expose_share", control_expose_share, 0, 1, 0, "share",
         "of a service's requests that a version which proves bad may get "
         "while it is rolled out; 0: a tenth"),
    LIST("control", "availability_zones", control_zones, NULL,
         "availability zones that may be evacuated, beside those of targets "
         "that were heard; unset: any"),
    INT("control", "beat_ms", control_beat, 50, 60000, 1200, "ms",
        "how often a target says that it is there"),
};

#define NROWS ((int)(sizeof rows / sizeof rows[0]))

typedef struct reading {
  pw_settings *s;
  const char *path;
  pw_buf *err;
  int mistakes;
  char seen[NROWS];
} reading;

static void *field(pw_settings *s, const set_row *r) {
  return (char *)s + r->offset;
}

static void report_mistake(reading *rd, const pw_toml_value *v,
                           const char *what, const char *allowed) {
  rd->mistakes++;
  pwbuf_fmt(rd->err, "%s:%d:%d: %s%s%s: %s; %s\n", rd->path, v->line, v->column,
            v->section, v->section[0] ? "." : "", v->key, what, allowed);
}

static const set_row *find(const char *section, const char *key) {
  for (int i = 0; i < NROWS; i++)
    if (!strcmp(rows[i].section, section) && !strcmp(rows[i].key, key))
      return &rows[i];
  return NULL;
}

static int is_choice(const char *choices, const char *word) {
  size_t n = strlen(word);
  for (const char *p = choices; p; p = strchr(p, '|') ? strchr(p, '|') + 1 : 0)
    if (!strncmp(p, word, n) && (p[n] == 0 || p[n] == '|'))
      return 1;
  return 0;
}

static int readable_by_others(const char *path) {
  struct stat st;
  return stat(path, &st) == 0 && (st.st_mode & 077) != 0;
}

static void set_string(reading *rd, const set_row *r, const pw_toml_value *v) {
  if (v->type != PWTOML_STRING) {
    report_mistake(rd, v, "wrong type", "a string is allowed");
    return;
  }
  if (r->choices && !is_choice(r->choices, v->string)) {
    report_mistake(rd, v, "unknown choice", r->choices);
    return;
  }
  if (r->type == T_SECRET_FILE && readable_by_others(v->string)) {
    report_mistake(rd, v, "others can read this file", "mode 0600 is allowed");
    return;
  }
  char **at = field(rd->s, r);
  free(*at);
  *at = pw_dup(v->string);
}

static void set_int(reading *rd, const set_row *r, const pw_toml_value *v) {
  char allowed[96];
  pw_buf b = {0};
  pwbuf_fmt(&b, "%lld to %lld %s is allowed", (long long)r->min,
            (long long)r->max, r->unit);
  pw_copy(allowed, sizeof allowed, b.data);
  pwbuf_free(&b);
  if (v->type != PWTOML_INT) {
    report_mistake(rd, v, "wrong type", allowed);
  } else if (v->integer < r->min || v->integer > r->max) {
    report_mistake(rd, v, "out of range", allowed);
  } else {
    *(int64_t *)field(rd->s, r) = v->integer;
  }
}

static void set_real(reading *rd, const set_row *r, const pw_toml_value *v) {
  char allowed[96];
  pw_buf b = {0};
  pwbuf_fmt(&b, "%lld to %lld %s is allowed", (long long)r->min,
            (long long)r->max, r->unit);
  pw_copy(allowed, sizeof allowed, b.data);
  pwbuf_free(&b);
  if (v->type != PWTOML_INT && v->type != PWTOML_FLOAT)
    report_mistake(rd, v, "wrong type", allowed);
  else if (!(v->real >= (double)r->min && v->real <= (double)r->max))
    report_mistake(rd, v, "out of range", allowed);
  else
    *(double *)field(rd->s, r) = v->real;
}

static void set_bool(reading *rd, const set_row *r, const pw_toml_value *v) {
  if (v->type == PWTOML_BOOL)
    *(int64_t *)field(rd->s, r) = v->integer;
  else
    report_mistake(rd, v, "wrong type", "true or false is allowed");
}

static void set_list(reading *rd, const set_row *r, const pw_toml_value *v) {
  if (v->type != PWTOML_LIST || v->nlist > PW_LIST_MAX) {
    report_mistake(rd, v, "wrong type",
                   "a list of up to 64 strings is allowed");
    return;
  }
  pw_list *l = field(rd->s, r);
  for (int i = 0; i < v->nlist; i++)
    l->item[l->n++] = pw_dup(v->list[i]);
}

static void set_value(void *arg, const pw_toml_value *v) {
  reading *rd = arg;
  const set_row *r = find(v->section, v->key);
  if (!r) {
    report_mistake(rd, v, "unknown key", "see docs/SETTINGS.md");
    return;
  }
  rd->seen[r - rows] = 1;
  if (r->type == T_INT)
    set_int(rd, r, v);
  else if (r->type == T_REAL)
    set_real(rd, r, v);
  else if (r->type == T_BOOL)
    set_bool(rd, r, v);
  else if (r->type == T_LIST)
    set_list(rd, r, v);
  else
    set_string(rd, r, v);
}

static void set_defaults(pw_settings *s) {
  *s = (pw_settings){0};
  for (int i = 0; i < NROWS; i++) {
    if (rows[i].type == T_INT || rows[i].type == T_BOOL)
      *(int64_t *)field(s, &rows[i]) = rows[i].fallback;
    else if (rows[i].type == T_REAL)
      *(double *)field(s, &rows[i]) = (double)rows[i].fallback;
    else if (rows[i].type != T_LIST)
      *(char **)field(s, &rows[i]) = pw_dup(rows[i].text ? rows[i].text : "");
  }
}

static void check_required(reading *rd) {
  for (int i = 0; i < NROWS; i++) {
    const set_row *r = &rows[i];
    if (!r->need || rd->seen[i])
      continue;
    if (strcmp(r->need, "any") != 0 && !pwset_has_role(rd->s, r->need))
      continue;
    pw_toml_value v = {
        .section = r->section, .key = r->key, .line = 1, .column = 1};
    report_mistake(rd, &v, "missing", r->help);
  }
}

static void check_roles(reading *rd) {
  pw_toml_value v = {
      .section = "instance", .key = "roles", .line = 1, .column = 1};
  for (int i = 0; i < rd->s->roles.n; i++)
    if (!is_choice("entry|agent|gateway|control", rd->s->roles.item[i]))
      report_mistake(rd, &v, "unknown role",
                     "entry, agent, gateway and control are allowed");
}

/* A leader must have time for a heartbeat and two complete retries to renew its lease before a
** follower may start an election. */
static void check_lease(reading *rd) {
  const pw_settings *s = rd->s;
  if (s->control_heartbeat + 2 * s->control_retry <= s->control_lease)
    return;
  pw_toml_value v = {
      .section = "control", .key = "lease_ms", .line = 1, .column = 1};
  report_mistake(rd, &v, "contradicts heartbeat_ms and retry_ms",
                 "heartbeat_ms + 2 * retry_ms <= lease_ms is allowed");
}

static void check_tls(reading *rd) {
  const pw_settings *s = rd->s;
  if (!s->entry_tls_cert[0] == !s->entry_tls_key[0])
    return;
  pw_toml_value v = {
      .section = "entry", .key = "tls_cert", .line = 1, .column = 1};
  report_mistake(rd, &v, "contradicts tls_key", "both or neither are allowed");
}

pw_code pwset_read(pw_settings *s, const char *path, pw_buf *err) {
  set_defaults(s);
  reading rd = {.s = s, .path = path, .err = err};
  if (pwtoml_visit(path, set_value, &rd, err) != 0)
    return PW_E_SETTINGS;
  check_required(&rd);
  check_roles(&rd);
  check_lease(&rd);
  check_tls(&rd);
  return rd.mistakes ? PW_E_SETTINGS : PW_OK;
}

int pwset_has_role(const pw_settings *s, const char *role) {
  for (int i = 0; i < s->roles.n; i++)
    if (!strcmp(s->roles.item[i], role))
      return 1;
  return 0;
}

/* Formats choices "a|b" as "`a`, `b`". */
static const char *choices_of(const set_row *r) {
  static const char *const known[][2] = {
      {"refuse|serve", "`refuse`, `serve`"},
      {"engine|service", "`engine`, `service`"},
      {"stays|moves", "`stays`, `moves`"},
      {"home|load|turn|hash", "`home`, `load`, `turn`, `hash`"}};
  for (size_t i = 0; i < sizeof known / sizeof known[0]; i++)
    if (!strcmp(known[i][0], r->choices))
      return known[i][1];
  return r->choices;
}

static void document_row(const set_row *r, pw_buf *out) {
  pwbuf_fmt(out, "| `%s` | %s | ", r->key, r->unit);
  if (r->type == T_BOOL)
    pwbuf_str(out, "true, false | false");
  else if (r->type == T_INT || r->type == T_REAL)
    pwbuf_fmt(out, "%lld to %lld | %lld", (long long)r->min, (long long)r->max,
              (long long)r->fallback);
  else if (r->choices)
    pwbuf_fmt(out, "%s | %s", choices_of(r), r->text);
  else
    pwbuf_fmt(out, "any | %s",
              r->need ? "none: needed" : (r->type == T_LIST ? "[]" : "unset"));
  pwbuf_fmt(out, " | %s |\n", r->help);
}

void pwset_document(pw_buf *out) {
  pwbuf_str(out, "# Settings\n\nMade from the table in "
                 "`packages/core/pwset.c` by `peatwelld --settings`.\n");
  const char *section = "";
  for (int i = 0; i < NROWS; i++) {
    if (strcmp(rows[i].section, section) != 0) {
      section = rows[i].section;
      pwbuf_fmt(out,
                "\n## [%s]\n\n| key | unit | allowed | default | meaning "
                "|\n| --- | --- | --- | --- | --- |\n",
                section);
    }
    document_row(&rows[i], out);
  }
}

void pwset_free(pw_settings *s) {
  for (int i = 0; i < NROWS; i++) {
    if (rows[i].type == T_INT || rows[i].type == T_REAL ||
        rows[i].type == T_BOOL)
      continue;
    if (rows[i].type != T_LIST) {
      free(*(char **)field(s, &rows[i]));
      continue;
    }
    pw_list *l = field(s, &rows[i]);
    for (int j = 0; j < l->n; j++)
      free(l->item[j]);
  }
  *s = (pw_settings){0};
}
