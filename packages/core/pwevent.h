/* pwevent.h: ring buffer of typed events, which /v1/events serves. */
#ifndef PWEVENT_H
#define PWEVENT_H

#include "pwclock.h"
#include "pwlimits.h"

#include <jansson.h>

/* X(identifier, name): kinds of events. */
#define PW_EVENT_KINDS(X)                                                      \
  X(PWE_START, "start")                                                        \
  X(PWE_STOPPING, "stopping")                                                  \
  X(PWE_REVISION, "revision")                                                  \
  X(PWE_CUT_OFF, "cut-off")                                                    \
  X(PWE_IN_TOUCH, "in-touch")                                                  \
  X(PWE_LINK_UP, "link-up")                                                    \
  X(PWE_LINK_DOWN, "link-down")                                                \
  X(PWE_PLACED, "placed")                                                      \
  X(PWE_MOVED, "moved")                                                        \
  X(PWE_REFUSED, "refused")                                                    \
  X(PWE_RETRY, "retry")                                                        \
  X(PWE_RESUMED, "resumed")                                                    \
  X(PWE_UNKNOWN, "unknown")                                                    \
  X(PWE_DRAIN, "drain")                                                        \
  X(PWE_ORDER, "order")                                                        \
  X(PWE_CLAIM, "claim")                                                        \
  X(PWE_LEADER, "leader")                                                      \
  X(PWE_FOLLOWER, "follower")                                                  \
  X(PWE_MEMBER, "member")                                                      \
  X(PWE_SNAPSHOT, "snapshot")                                                  \
  X(PWE_CHANGE, "change")

typedef enum pw_event_kind {
#define PW_EVENT_ENUM(id, name) id,
  PW_EVENT_KINDS(PW_EVENT_ENUM)
#undef PW_EVENT_ENUM
} pw_event_kind;

typedef struct pw_event {
  uint64_t hlc;
  pw_event_kind kind;
  int code; /* a pw_code, or 0 */
  char request[PW_NAME_MAX];
  char chat[PW_NAME_MAX];
  char target[PW_NAME_MAX];
  char detail[96];
} pw_event;

typedef struct pw_events pw_events;

/* A ring of `cap` events of one process; `hlc` is the clock that also stamps its messages. */
pw_events *pwevent_new(pw_hlc *hlc, int cap);
void pwevent_free(pw_events *r);

/* Adds an event and overwrites the oldest when full; NULL strings become empty. Thread-safe. */
void pwevent_add(pw_events *r, pw_event_kind kind, int code,
                 const char *request, const char *chat, const char *target,
                 const char *fmt, ...) __attribute__((format(printf, 7, 8)));

/* Events after stamp `since`, oldest first, as a JSON array of objects
** {hlc, event, code, request, chat, target, detail}; new reference. */
json_t *pwevent_json(pw_events *r, uint64_t since, const char *instance);

#endif
