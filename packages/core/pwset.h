/* pwset.h: settings of peatwelld, read from a TOML file and checked against a table of keys. */
#ifndef PWSET_H
#define PWSET_H

#include "pwbuf.h"
#include "pwcode.h"
#include "pwlimits.h"

#include <stdint.h>

#define PW_LIST_MAX 64 /* strings in one list */

typedef struct pw_list {
  char *item[PW_LIST_MAX];
  int n;
} pw_list;

/* Settings of one process, in the units of their keys. Strings without a value are "". */
typedef struct pw_settings {
  char *name;
  pw_list roles;
  char *availability_zone;
  char *region;
  char *metrics;
  char *keys_file;  /* CURVE key pair of this instance */
  char *trust_file; /* public keys of the processes it talks to */
  int64_t stop_limit;
  int64_t memory;

  char *entry_http;
  char *entry_wire;
  pw_list entry_control;
  pw_list entry_parents;
  pw_list entry_peers;
  int64_t entry_threads;
  int64_t entry_max_body;
  int64_t entry_max_connections;
  int64_t entry_idle_timeout;
  char *entry_tls_cert;
  char *entry_tls_key;
  int64_t entry_stale;
  char *entry_when_cut_off;
  int64_t entry_report;

  char *agent_http;
  char *agent_wire;
  pw_list agent_upstream;
  char *agent_target;
  char *agent_kind;
  char *agent_url;
  int64_t agent_slots;
  int64_t agent_queue;
  int64_t agent_report;
  int64_t agent_stale;
  char *agent_when_cut_off;
  int64_t agent_engine_timeout;
  char *agent_kv_cache;
  int64_t agent_cache_events;
  int64_t agent_decode_rate;

  char *gateway_http;
  char *gateway_ready;
  char *gateway_gossip;
  char *gateway_relay;
  pw_list gateway_control;
  int64_t gateway_control_port;
  int64_t gateway_beat;
  double gateway_retry_ratio;
  double gateway_retry_slack;
  double gateway_retry_window;
  double gateway_grace;
  double gateway_load_times;
  double gateway_keep;
  int64_t gateway_await;
  int64_t gateway_memory;
  char *gateway_place;
  int64_t gateway_log_bytes;

  char *control_http;
  char *control_wire;
  int64_t control_id;
  pw_list control_peers;
  char *control_data_dir;
  double control_link;
  char *control_operators_file;
  int64_t control_heartbeat;
  int64_t control_retry;
  int64_t control_lease;
  int64_t control_snapshot_every;
  pw_list control_zones;
  pw_list control_seeds;
  int64_t control_seed_port;
  int64_t control_found;
  int64_t control_losses;
  double control_expose_share;
  int64_t control_beat;
} pw_settings;

/* Reads and checks a file. Each mistake appends a line
** "FILE:LINE:COLUMN: key: what was wrong; what is allowed" to `err`. Returns PW_OK or
** PW_E_SETTINGS. */
pw_code pwset_read(pw_settings *s, const char *path, pw_buf *err);

/* Whether instance.roles contains the role. */
int pwset_has_role(const pw_settings *s, const char *role);

/* Appends the text of docs/SETTINGS.md, generated from the table. */
void pwset_document(pw_buf *out);

void pwset_free(pw_settings *s);

#endif
