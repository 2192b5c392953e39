/* pwcode.h: numbered result codes, which name every error in answers and logs. */
#ifndef PWCODE_H
#define PWCODE_H

/* X(identifier, number, HTTP status, name, meaning). docs/CODES.md repeats this table;
** tests/test_core.c compares the two. */
#define PW_CODES(X)                                                            \
  X(PW_OK, 0, 200, "ok", "success")                                            \
  X(PW_E_BODY, 1001, 400, "bad-body", "the body is not the JSON expected")     \
  X(PW_E_TOO_LARGE, 1002, 413, "too-large", "body or header over its limit")   \
  X(PW_E_KEY, 1003, 401, "bad-key", "bearer key missing or unknown")           \
  X(PW_E_MODEL, 1004, 404, "unknown-model", "no such model or service")        \
  X(PW_E_PATH, 1005, 404, "unknown-path", "no such path or method")            \
  X(PW_E_HEADER, 1006, 400, "bad-header", "a peatwell header is malformed")    \
  X(PW_E_DENIED, 1007, 403, "denied", "this key may not do that")              \
  X(PW_E_IDEMPOTENCY, 1008, 400, "need-key",                                   \
    "Peatwell-Repeat: never needs an Idempotency-Key")                         \
  X(PW_E_REQUEST, 1009, 400, "bad-request", "not HTTP/1.1 that can be read")   \
  X(PW_E_HEAD_TOO_LARGE, 1010, 431, "head-too-large",                          \
    "the request's headers are over their limit")                              \
  X(PW_E_SLOW, 1011, 408, "too-slow", "the request did not come in time")      \
  X(PW_E_ROUTE, 1012, 404, "no-route", "no route for this host and path")      \
  X(PW_E_CODING, 1013, 501, "transfer-coding",                                 \
    "a transfer coding other than chunked")                                    \
  X(PW_E_BUSY, 2001, 503, "busy", "the pool is full; come back later")         \
  X(PW_E_DEADLINE, 2002, 503, "deadline", "the deadline cannot be met")        \
  X(PW_E_QUOTA, 2003, 429, "quota", "the workspace is over its limit")         \
  X(PW_E_LEAVING, 2004, 503, "leaving", "the target is leaving")               \
  X(PW_E_NO_TARGET, 2005, 503, "no-target", "no target may take this work")    \
  X(PW_E_NOT_READY, 2006, 503, "not-ready",                                    \
    "this process has no configuration in force")                              \
  X(PW_E_MISS, 2007, 503, "no-prefix",                                         \
    "the target holds no cached prefix (between processes only)")              \
  X(PW_E_DUPLICATE, 2008, 409, "duplicate", "this attempt was seen before")    \
  X(PW_E_STALE, 2009, 503, "stale", "order or attempt is out of date")         \
  X(PW_E_BROKEN, 2010, 503, "breaker-open", "the target is set aside")         \
  X(PW_E_ORDER, 2011, 503, "order-failed",                                     \
    "the target refused an order or could not carry it out")                   \
  X(PW_E_QUARANTINED, 2012, 503, "quarantined",                                \
    "targets ended while they ran this request: it is not sent to another")    \
  X(PW_E_HOLD_OFF, 2013, 503, "held-off",                                      \
    "all targets have asked to be left alone for a while")                     \
  X(PW_E_STREAM_UNKNOWN, 2014, 503, "stream-unknown",                          \
    "it is not known which version began this stream")                         \
  X(PW_E_VERSION_GONE, 2015, 503, "version-gone",                              \
    "no target of the version that began this stream serves it")               \
  X(PW_E_STOPPING, 2017, 503, "stopping",                                      \
    "this process is stopping and cannot finish this work")                    \
  X(PW_E_PART_QUARANTINED, 2016, 503, "part-quarantined",                      \
    "targets ended while they answered prompts with a part of this one")       \
  X(PW_E_CUT, 3001, 502, "answer-cut", "the answer broke off")                 \
  X(PW_E_UPSTREAM, 3002, 502, "bad-upstream", "the target's answer is bad")    \
  X(PW_E_TIMEOUT, 3003, 504, "timeout", "no answer within the deadline")       \
  X(PW_E_UNKNOWN, 3004, 502, "unknown", "it may or may not have run")          \
  X(PW_E_GONE, 3005, 499, "caller-gone", "the caller went away")               \
  X(PW_E_CONNECT, 3006, 503, "connect", "the target refused the connection")   \
  X(PW_E_CONFLICT, 4001, 409, "conflict", "the version is not the newest")     \
  X(PW_E_SCHEMA, 4002, 422, "schema", "the resource breaks its schema")        \
  X(PW_E_NOT_FOUND, 4003, 404, "not-found", "no such resource")                \
  X(PW_E_NOT_LEADER, 4004, 503, "not-leader", "no control leader reachable")   \
  X(PW_E_REFERENCE, 4005, 422, "reference", "it names a missing resource")     \
  X(PW_E_REUSED, 4006, 409, "key-reused",                                      \
    "this Idempotency-Key came with another body")                             \
  X(PW_E_RUNNING, 4007, 409, "already-claimed",                                \
    "a request under this key was begun and has no recorded answer")           \
  X(PW_E_COMPACTED, 4008, 410, "compacted", "revision too old; read all")      \
  X(PW_E_NOT_KEPT, 4009, 409, "answer-not-kept",                               \
    "it ran; its answer was too large or is too old to keep")                  \
  X(PW_E_ROLLED_BACK, 4010, 409, "rolled-back",                                \
    "a new version was given up; the old one serves")                          \
  X(PW_E_LEDGER_FULL, 4011, 503, "ledger-full",                                \
    "no room to remember another request that may not be repeated")            \
  X(PW_E_LEDGER_LOST, 4012, 503, "ledger-lost",                                \
    "the once-ledger was lost: what ran before is not known")                  \
  X(PW_E_ZONE, 4013, 422, "unknown-az",                                        \
    "no target is known in this availability zone, and no setting names it")   \
  X(PW_E_ISOLATED, 4014, 503, "unheard",                                       \
    "no other control instance hears this one: turn to another")               \
  X(PW_E_TOO_MANY, 4015, 422, "too-many",                                      \
    "as many of these are kept as may be")                                     \
  X(PW_E_SETTINGS, 5001, 500, "settings", "the settings file is wrong")        \
  X(PW_E_IO, 5002, 500, "io", "a file could not be read or written")           \
  X(PW_E_DISK_FULL, 5003, 507, "disk-full", "no room left on the disk")        \
  X(PW_E_CORRUPT, 5004, 500, "corrupt", "a stored record is damaged")          \
  X(PW_E_VERSION, 5005, 500, "file-version", "a file of a newer version")      \
  X(PW_E_MEMORY, 5006, 500, "memory", "out of memory")                         \
  X(PW_E_INTERNAL, 5007, 500, "internal", "a fault of peatwell itself")        \
  X(PW_E_USAGE, 5008, 400, "usage", "the command line is wrong")               \
  X(PW_E_WAIT, 5009, 504, "wait", "not in force everywhere in time")

typedef enum pw_code {
#define PW_CODE_ENUM(id, num, http, name, text) id = num,
  PW_CODES(PW_CODE_ENUM)
#undef PW_CODE_ENUM
} pw_code;

/* Short name of a code, such as "busy"; "unknown-code" for no such code. */
const char *pwcode_name(pw_code code);

/* One-line meaning of a code. */
const char *pwcode_text(pw_code code);

/* HTTP status that goes with a code; 500 for no such code. */
int pwcode_http(pw_code code);

/* Sets *code and *name from row i (0-based); returns 0 past the last row. */
int pwcode_row(int i, pw_code *code, const char **name);

#endif
