/* pwdialect.h: how a platform speaks, as a table of functions.
**
** A dialect reads names, formats and calls into these types and writes them
** back. It decides nothing, keeps no state and does no I/O. */
#ifndef PWDIALECT_H
#define PWDIALECT_H

#include "pwbuf.h"
#include "pwh1.h"
#include "pwlimits.h"
#include "pwsite.h"

#include <stddef.h>
#include <stdint.h>

#define PWASK_PARTS 32 /* parts of a prompt that are read */

/* One part of a prompt. */
typedef struct pw_ask_part {
  uint64_t id;
  uint32_t tokens;
} pw_ask_part;

/* What a caller's request says of itself. */
typedef struct pw_ask {
  pw_span id;
  pw_span host;
  pw_span key;
  pw_span last_event;  /* of a stream that is taken up again */
  int64_t deadline_ms; /* how long the caller waits; -1: not said */
  uint32_t prompt_tokens;
  uint32_t output_tokens; /* most it may generate */
  uint32_t output_guess;  /* the caller's guess; 0: none */
  pw_ask_part part[PWASK_PARTS];
  int nparts;
} pw_ask;

/* What a gateway adds to a request that it sends on. */
typedef struct pw_forward {
  const char *target;    /* id that the target must have */
  const char *workspace; /* name, or NULL */
  int64_t deadline_ms;   /* what is left */
  int urgency;           /* class from 0, first, to 9; -1: not said */
  pw_span last_event;    /* events up to this one are not wanted */
  const char
      *fetch_from; /* address of a target that holds the prompt, or NULL */
} pw_forward;

/* What a target's answer says beside its status. */
typedef struct pw_told {
  int is_mine;         /* it carries the id of the request */
  int not_run;         /* the request has not run there and will not */
  int is_whole;        /* it carries the target's signature */
  int is_leaving;      /* the target leaves */
  int64_t hold_off_ms; /* it wants nothing from this instance for so long; 0: it
                       ** does not say */
  int has_load;
  int running, waiting, slots;
} pw_told;

/* A start that an instance of an older version told of, which knows nothing of starts: the one
** that is known. */
#define PW_BORN_UNTOLD UINT64_MAX

/* A target's heartbeat. Id and start name one incarnation of it: one that starts again under its
** id knows nothing of before. */
typedef struct pw_beat {
  char id[PW_NAME_MAX];
  uint64_t born; /* when it started, Unix ms; 0: it did not say, which is before
                 ** all that did */
  char service[PW_NAME_MAX];
  char address[PW_NAME_MAX];           /* IP:PORT */
  char availability_zone[PW_NAME_MAX]; /* availability zone */
  char version[PW_NAME_MAX];           /* of its software */
  int slots;
  int leaving;
  int64_t cold_ms; /* how much longer it is slow from its start */
  uint64_t seq;    /* rises with each of one start */
} pw_beat;

/* Calls to a control instance. */
typedef enum pw_call_kind {
  PWCALL_OTHER,
  PWCALL_SITE_READ,
  PWCALL_SITE_WRITE,
  PWCALL_BEAT,
  PWCALL_LEAVE,        /* a target ends */
  PWCALL_EVACUATE,     /* an availability zone is to be evacuated ... */
  PWCALL_EVACUATE_END, /* ... or is taken back */
  PWCALL_ROLLOUT, /* a service is to be rolled out to another version ... */
  PWCALL_ROLLOUT_READ, /* ... and where that stands */
  PWCALL_BAD_METHOD
} pw_call_kind;

/* An order to roll a service out to targets of another version. */
typedef struct pw_rollout_order {
  char service[PW_NAME_MAX];
  char version[PW_NAME_MAX];
  int64_t over_ms; /* it is to be over by then */
} pw_rollout_order;

/* Where that stands, for those who ask. */
typedef enum pw_rollout_stage {
  PWROLLOUT_RUNNING,
  PWROLLOUT_COMPLETE,
  PWROLLOUT_REVERTED
} pw_rollout_stage;

/* A configuration document that is being read. */
typedef struct pw_reading pw_reading;

typedef struct pw_dialect {
  void (*read_request)(const pw_h1 *m, pw_ask *out);

  /* Whether a caller's header goes on to the target as it is. */
  int (*passes)(const pw_h1_header *h);

  /* Appends header lines. */
  void (*write_forward)(pw_buf *out, const pw_forward *f);

  void (*read_answer)(const pw_h1 *m, const pw_ask *ask, pw_told *out);

  /* Kind of a call; id[PW_NAME_MAX] is the target, or the availability zone, that it is
  ** about. */
  pw_call_kind (*read_call)(const char *method, const char *path, char *id);

  /* Reads a configuration document; PW_E_BODY or PW_E_SCHEMA with a reason. */
  pw_code (*read_site)(const char *text, size_t n, pw_site **out, char *why,
                       size_t cap);

  /* The same in steps, for who has other work meanwhile. What is as it was in
  ** `before` (or NULL), which must stay, is not parsed again; `text` is copied. */
  pw_reading *(*begin_site)(const char *text, size_t n, const pw_site *before);

  /* Parses at most so many routes. With *out NULL and PW_OK there is more to do. */
  pw_code (*step_site)(pw_reading *r, int routes, pw_site **out, char *why,
                       size_t cap);
  void (*end_site)(pw_reading *r);

  /* With a reason, what names no target to use: PW_E_BODY, it cannot be read; PW_E_SCHEMA, a
  ** field that is needed is missing, or one is of another type or out of its range. */
  pw_code (*read_beat)(const char *id, const char *text, size_t n, pw_beat *out,
                       char *why, size_t cap);

  /* The same of what a target says as it ends, which may be nothing. */
  pw_code (*read_leave)(const char *id, const char *text, size_t n,
                        pw_beat *out, char *why, size_t cap);

  /* With a reason, as read_beat. */
  pw_code (*read_rollout)(const char *text, size_t n, pw_rollout_order *out,
                          char *why, size_t cap);
  void (*write_rollout)(pw_buf *out, const char *version,
                        pw_rollout_stage stage);

  /* Path that the platform asks for readiness. */
  const char *ready_path;
} pw_dialect;

#endif
