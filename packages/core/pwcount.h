/* pwcount.h: counters and latency histograms, rendered for Prometheus. */
#ifndef PWCOUNT_H
#define PWCOUNT_H

#include "pwbuf.h"

#include <stdint.h>

/* X(identifier, exported name, type, help). Exported names include the unit. */
#define PW_COUNTERS(X)                                                         \
  X(PWC_REQUESTS, "requests_total", "counter", "requests taken from callers")  \
  X(PWC_DONE, "answers_done_total", "counter", "whole answers given")          \
  X(PWC_NOT_RUN, "answers_not_run_total", "counter", "answers not-run")        \
  X(PWC_UNKNOWN, "answers_unknown_total", "counter", "answers unknown")        \
  X(PWC_ATTEMPTS, "attempts_total", "counter", "attempts sent to agents")      \
  X(PWC_RETRIES, "retries_total", "counter", "attempts paid from the budget")  \
  X(PWC_RETRY_DENIED, "retries_denied_total", "counter",                       \
    "retries the budget did not allow")                                        \
  X(PWC_REASKS, "reasks_total", "counter",                                     \
    "waits for targets that were not told of a pool yet")                      \
  X(PWC_HOPS, "refused_hops_total", "counter",                                 \
    "attempts an agent refused with proof and that went on elsewhere")         \
  X(PWC_RESUMES, "resumes_total", "counter", "streams resumed at an offset")   \
  X(PWC_LATE, "late_answers_total", "counter",                                 \
    "messages of an abandoned attempt, dropped")                               \
  X(PWC_ADMITTED, "admitted_total", "counter", "attempts an agent started")    \
  X(PWC_QUEUED, "queued_total", "counter", "attempts an agent queued")         \
  X(PWC_REFUSED, "refused_total", "counter", "attempts an agent refused")      \
  X(PWC_BOUND, "bound_waits_total", "counter",                                 \
    "times the load bound held a request back")                                \
  X(PWC_CACHED, "cached_tokens_total", "counter", "prompt tokens cached")      \
  X(PWC_PROMPT, "prompt_tokens_total", "counter", "prompt tokens in all")      \
  X(PWC_KV_MOVED, "kv_moved_tokens_total", "counter",                          \
    "prompt tokens whose KV cache was taken over from another target")         \
  X(PWC_OUTPUT, "output_tokens_total", "counter", "tokens generated")          \
  X(PWC_CANCELS, "cancels_total", "counter", "streams cancelled")              \
  X(PWC_DUPLICATES, "duplicates_total", "counter",                             \
    "second arrivals of one attempt, refused")                                 \
  X(PWC_CACHE_EVENTS, "cache_events_total", "counter",                         \
    "cache events of the target taken")                                        \
  X(PWC_CACHE_GAPS, "cache_gaps_total", "counter",                             \
    "times that cache events were missing, and all were asked for")            \
  X(PWC_CACHE_WRONG, "cache_wrong_total", "counter",                           \
    "prefixes believed cached of which not half was found")                    \
  X(PWC_POINTER_HITS, "pointer_hits_total", "counter",                         \
    "displaced chats found by a pointer")                                      \
  X(PWC_CLAIMS, "once_claims_total", "counter", "once-claims decided")         \
  X(PWC_ONCE_KEPT, "once_kept", "gauge",                                       \
    "keys that the once-ledger holds, at most 1000000")                        \
  X(PWC_REPLAYS, "once_replays_total", "counter", "recorded answers regiven")  \
  X(PWC_CHANGES, "changes_total", "counter", "resource changes accepted")      \
  X(PWC_CONFLICTS, "conflicts_total", "counter", "resource conflicts")         \
  X(PWC_SYNCS, "log_syncs_total", "counter", "syncs of the log")               \
  X(PWC_ELECTIONS, "elections_total", "counter", "elections started")          \
  X(PWC_CTL_OUT, "control_sent_bytes_total", "counter",                        \
    "control bytes sent: feed, reports, claims, pointers, consensus")          \
  X(PWC_CTL_IN, "control_received_bytes_total", "counter",                     \
    "control bytes received")                                                  \
  X(PWC_FEED_OUT, "feed_sent_bytes_total", "counter", "feed bytes sent")       \
  X(PWC_REPORT_OUT, "report_sent_bytes_total", "counter",                      \
    "load report bytes sent")                                                  \
  X(PWC_GROUP_OUT, "group_sent_bytes_total", "counter",                        \
    "bytes of consensus sent to other control instances")                      \
  X(PWC_NOTICE_OUT, "notice_sent_bytes_total", "counter",                      \
    "bytes that tell watchers of targets, gateways and versions")              \
  X(PWC_DOCUMENT_OUT, "document_sent_bytes_total", "counter",                  \
    "bytes of configuration documents sent to gateways")                       \
  X(PWC_CALL_OUT, "call_sent_bytes_total", "counter",                          \
    "bytes of configurations read by operators")                               \
  X(PWC_DATA_OUT, "data_sent_bytes_total", "counter",                          \
    "request and answer bytes sent between processes")                         \
  X(PWC_DATA_IN, "data_received_bytes_total", "counter",                       \
    "request and answer bytes received")                                       \
  X(PWC_ORDERS, "orders_total", "counter", "orders given to targets")          \
  X(PWC_TABLES_SENT, "tables_told_total", "counter",                           \
    "times that a watcher was told all targets")                               \
  X(PWC_TABLES_BYTES, "tables_told_bytes_total", "counter",                    \
    "bytes of these tables")                                                   \
  X(PWC_DOCUMENTS, "documents_sent_total", "counter",                          \
    "configuration documents sent to gateways")                                \
  X(PWC_REFERRED, "documents_referred_total", "counter",                       \
    "gateways that were told of another which has the document")               \
  X(PWC_TABLES, "tables_built_total", "counter", "placement tables built")     \
  X(PWC_LOAD, "load_tokens", "gauge", "tokens in progress at the target")      \
  X(PWC_QUEUE, "queue_requests", "gauge", "requests waiting at the agent")     \
  X(PWC_REVISION, "revision", "gauge", "configuration revision in force")      \
  X(PWC_RESTARTS, "target_restarts_total", "counter",                          \
    "starts of targets under an id that was known")                            \
  X(PWC_BEATS_ASIDE, "heartbeats_set_aside_total", "counter",                  \
    "heartbeats without a field that is needed, or with a wrong one")          \
  X(PWC_BEATS_UNREADABLE, "heartbeats_unreadable_total", "counter",            \
    "heartbeats that are no JSON object")                                      \
  X(PWC_LOST_GATEWAYS, "control_lost_gateways", "gauge",                       \
    "gateways that were heard once and are silent now")                        \
  X(PWC_STREAM_ORIGINS, "control_stream_origins", "gauge",                     \
    "streams whose version gateways have told this control instance")          \
  X(PWC_OBSERVERS, "control_observers", "gauge",                               \
    "control instances outside of the group that are known here")              \
  X(PWC_ISOLATED, "control_unheard", "gauge",                                  \
    "1: outside of the group, and no other control instance hears this one")   \
  X(PWC_LEAVES_ALONE, "leaves_alone_total", "counter",                         \
    "targets that leave and were answered while no other instance had it")     \
  X(PWC_UPDATES_LOST, "tellings_lost_total", "counter",                        \
    "times that news of another control instance were found missing")          \
  X(PWC_CRASHED_UNDER, "ended_under_total", "counter",                         \
    "targets that ended while they had a request, as seen or told")            \
  X(PWC_QUARANTINED, "quarantined", "gauge",                                   \
    "requests in quarantine: targets ended under them")                        \
  X(PWC_QUARANTINE_REFUSED, "quarantine_refused_total", "counter",             \
    "requests refused because they are in quarantine")                         \
  X(PWC_PARTS_QUARANTINED, "quarantined_parts", "gauge",                       \
    "parts of prompts in quarantine: targets ended while they answered them")  \
  X(PWC_PART_REFUSED, "part_quarantine_refused_total", "counter",              \
    "requests refused because of a part of their prompt")                      \
  X(PWC_HOLD_OFFS, "target_hold_offs_total", "counter",                        \
    "times that a target asked to be left alone")                              \
  X(PWC_GW_CLOSED_UNREAD, "gateway_closed_unread_total", "counter",            \
    "new connections closed while this gateway was behind and others were "    \
    "not")                                                                     \
  X(PWC_GW_CONNECTS, "gateway_connects_total", "counter",                      \
    "connections opened to targets")                                           \
  X(PWC_GW_BROKEN, "gateway_broken_total", "counter",                          \
    "answers broken off midway")                                               \
  X(PWC_GW_MALFORMED, "gateway_answers_malformed_total", "counter",            \
    "answers of targets that are not HTTP/1.1")                                \
  X(PWC_GW_ANSWER_CUT, "gateway_answers_cut_total", "counter",                 \
    "answers that looked complete and had been broken off")                    \
  X(PWC_GW_EVENTS_REPEATED, "gateway_events_repeated_total", "counter",        \
    "streams that a target began anew instead of continuing them")             \
  X(PWC_GW_STREAM_RESUMED, "gateway_streams_resumed_total", "counter",         \
    "streams resumed by callers whose version was known")                      \
  X(PWC_GW_STREAM_UNKNOWN, "gateway_streams_unknown_total", "counter",         \
    "streams refused because nobody knows which version began them")           \
  X(PWC_GW_STREAM_VERSION_GONE, "gateway_streams_version_gone_total",          \
    "counter", "streams refused for want of a target of their version")        \
  X(PWC_GW_STREAM_QUERIED, "gateway_stream_queries_total", "counter",          \
    "streams for whose version other gateways were queried")                   \
  X(PWC_GW_STREAM_FOUND, "gateway_stream_answers_total", "counter",            \
    "streams whose version another gateway or a control instance knew")        \
  X(PWC_GW_STREAM_ORIGINS, "gateway_stream_origins", "gauge",                  \
    "streams whose version is known here")                                     \
  X(PWC_GW_TOO_LATE, "gateway_stop_refused_total", "counter",                  \
    "requests refused because a planned stop would have cut them")             \
  X(PWC_GW_GONE, "gateway_callers_gone_total", "counter",                      \
    "callers that left before their answer")                                   \
  X(PWC_GW_SITE, "gateway_configuration", "gauge",                             \
    "version of the configuration in force")                                   \
  X(PWC_GW_KNOWN, "gateway_gateways", "gauge",                                 \
    "gateways by which the retry budget is divided; 0: not known")             \
  X(PWC_GW_CONTROL_KNOWN, "gateway_control_known", "gauge",                    \
    "control instances whose address is known")                                \
  X(PWC_GW_CONTROL_REACHABLE, "gateway_control_reachable", "gauge",            \
    "control instances that were heard just now")                              \
  X(PWC_GW_CONFIRMED_MS, "gateway_configuration_confirmed_ms", "gauge",        \
    "ms since control last confirmed that no newer one exists; -1: never")     \
  X(PWC_GW_TARGETS, "gateway_targets", "gauge", "targets known")               \
  X(PWC_GW_EVACUATED, "gateway_evacuated", "gauge",                            \
    "availability zones evacuated")                                            \
  X(PWC_GW_OTHERS, "gateway_others", "gauge",                                  \
    "requests of other gateways at targets, as far as they told")              \
  X(PWC_GW_UNANSWERED, "unanswered_total", "counter",                          \
    "requests left without a byte for several times the usual time")           \
  X(PWC_GW_SUSPECTED, "gateway_suspected_targets", "gauge",                    \
    "targets suspected of leaving requests unanswered")                        \
  X(PWC_GW_AWAITING, "gateway_awaiting", "gauge",                              \
    "requests that wait for a first configuration")                            \
  X(PWC_GW_FULL, "gateway_full_total", "counter",                              \
    "requests refused because all places were taken")                          \
  X(PWC_GW_PREFILL_FULL, "gateway_prefill_full_total", "counter",              \
    "requests refused because the first chunk would be late everywhere")       \
  X(PWC_GW_PREFIX_WAITS, "gateway_prefix_waits_total", "counter",              \
    "requests that waited for the prefill of a prefix in progress")            \
  X(PWC_GW_SURPLUS, "gateway_surplus_total", "counter",                        \
    "requests beyond what their workspace may send before others")             \
  X(PWC_GW_SURGING, "gateway_workspaces_surging", "gauge",                     \
    "workspaces that send far beyond their share of a service")                \
  X(PWC_GW_RETURNED, "gateway_returned_total", "counter",                      \
    "callers of plain services that came back after a refusal")                \
  X(PWC_GW_RETURNED_FULL, "gateway_returned_full_total", "counter",            \
    "of these, of these, sent to no target again")                             \
  X(PWC_GW_CLIENTS, "gateway_clients", "gauge", "callers' connections open")   \
  X(PWC_GW_BUFFERED, "gateway_held_bytes", "gauge",                            \
    "held for callers and targets that have not taken it")                     \
  X(PWC_GW_STALLED, "gateway_stalled_total", "counter",                        \
    "callers ended since they took nothing")                                   \
  X(PWC_GW_LINES_DROPPED, "gateway_lines_left_out", "gauge",                   \
    "log lines left out for want of budget")                                   \
  X(PWC_ACTIVE, "active_requests", "gauge", "requests in progress")

typedef enum pw_counter {
#define PW_COUNTER_ENUM(id, name, type, help) id,
  PW_COUNTERS(PW_COUNTER_ENUM)
#undef PW_COUNTER_ENUM
      PWC_COUNT
} pw_counter;

/* X(identifier, exported name, help); observations are microseconds. */
#define PW_HISTOGRAMS(X)                                                       \
  X(PWH_FIRST, "first_byte_seconds", "caller's wait for the first byte")       \
  X(PWH_WHOLE, "answer_seconds", "caller's wait for the whole answer")         \
  X(PWH_WAIT, "queue_wait_seconds", "wait in the agent's queue")               \
  X(PWH_LAG, "gateway_lag_seconds", "how late a gateway's loop comes round")   \
  X(PWH_ACCEPT, "accept_seconds", "a change's time to accepted")

typedef enum pw_histogram {
#define PW_HISTOGRAM_ENUM(id, name, help) id,
  PW_HISTOGRAMS(PW_HISTOGRAM_ENUM)
#undef PW_HISTOGRAM_ENUM
      PWH_COUNT
} pw_histogram;

typedef struct pw_counters pw_counters;

pw_counters *pwcount_new(void);
void pwcount_free(pw_counters *c);

/* Adds n; safe from any thread, without a lock. */
void pwcount_add(pw_counters *c, pw_counter id, int64_t n);

/* Sets a gauge. */
void pwcount_set(pw_counters *c, pw_counter id, int64_t v);

/* Value summed over all stripes. */
int64_t pwcount_get(const pw_counters *c, pw_counter id);

/* Records one observation in microseconds. */
void pwcount_observe(pw_counters *c, pw_histogram id, int64_t us);

/* Appends all counters and histograms as Prometheus text. */
void pwcount_render(const pw_counters *c, pw_buf *out);

#endif
