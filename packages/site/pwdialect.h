/* pwdialect.h: interface to a platform's protocol, as a table of functions.
**
** A dialect translates the platform's header names, formats and calls to and from these types. It
** makes no decisions, keeps no state and does no I/O. */
#ifndef PWDIALECT_H
#define PWDIALECT_H

#include "pwbuf.h"
#include "pwh1.h"
#include "pwlimits.h"
#include "pwsite.h"

#include <stddef.h>
#include <stdint.h>

/* Parts of a prompt that are read; further ones are ignored. */
#define PW_PROMPT_PARTS 32

/* One part of a prompt, as the caller names it. */
typedef struct pw_prompt_part {
  uint64_t id;
  uint32_t tokens;
} pw_prompt_part;

/* Information in the headers of a caller's request. Spans point into the request's head. */
typedef struct pw_request_info {
  pw_span id;
  pw_span host;
  pw_span key;
  pw_span last_event; /* last event received of a stream that is resumed */
  pw_span
      resumes; /* id of the attempt that brought that stream's first event */
  int64_t deadline_ms; /* how long the caller waits; -1: not given */
  uint32_t prompt_tokens;
  uint32_t output_tokens; /* most tokens it may generate */
  uint32_t output_guess;  /* tokens that the caller expects; 0: not given */
  pw_prompt_part part[PW_PROMPT_PARTS];
  int nparts;
  pw_span repeated; /* name of a header that may stand once and stands twice */
} pw_request_info;

/* Information that a gateway adds to a request that it forwards. */
typedef struct pw_forward {
  const char *target; /* id of the target; any other must refuse the request */
  const char *workspace; /* name, or NULL */
  int64_t deadline_ms;   /* time left */
  int urgency;        /* urgency class, 0 (most urgent) to 9; -1: not given */
  pw_span last_event; /* the stream resumes after this event */
  /* Address of a target that has the prompt cached, or NULL. */
  const char *fetch_from;
} pw_forward;

/* Information in the headers of a target's answer. */
typedef struct pw_answer_info {
  int id_matches;      /* it carries the id of the request */
  int not_run;         /* the request has not run there and will not */
  int is_signed;       /* it carries the target's signature */
  int is_leaving;      /* the target is leaving */
  int64_t hold_off_ms; /* the target asks this instance for no requests for so
                       ** long; 0: not given */
  int has_load;
  int running, waiting, slots;
} pw_answer_info;

/* Start time in a heartbeat that an instance of an older version forwarded, which does not know the
** field: it stands for the incarnation that is already known. */
#define PW_BORN_UNKNOWN UINT64_MAX

/* A target's heartbeat. Id and start time name one incarnation of the target: after a restart under
** the same id it has lost its requests and its cache. */
typedef struct pw_heartbeat {
  char id[PW_NAME_MAX];
  uint64_t born; /* start time, Unix ms; 0: not given, which counts as older
                 ** than any given time */
  char service[PW_NAME_MAX];
  char address[PW_NAME_MAX]; /* IP:PORT */
  char availability_zone[PW_NAME_MAX];
  char version[PW_NAME_MAX]; /* of its software */
  int slots;                 /* requests that it runs at once */
  int leaving;
  int64_t cold_ms; /* time left in which it is slow after its start */
  uint64_t seq;    /* rises with each heartbeat of one incarnation */
} pw_heartbeat;

/* Calls to a control instance. */
typedef enum pw_call_kind {
  PWCALL_OTHER,
  PWCALL_SITE_READ,
  PWCALL_SITE_WRITE,
  PWCALL_HEARTBEAT,
  PWCALL_LEAVE,        /* a target deregisters */
  PWCALL_EVACUATE,     /* evacuate an availability zone */
  PWCALL_EVACUATE_END, /* end the evacuation of an availability zone */
  PWCALL_ROLLOUT,      /* roll a service out to another version */
  PWCALL_ROLLOUT_READ, /* read the state of a rollout */
  PWCALL_BAD_METHOD
} pw_call_kind;

/* An order to roll a service out to another version. */
typedef struct pw_rollout_order {
  char service[PW_NAME_MAX];
  char version[PW_NAME_MAX];
  int64_t over_ms; /* time limit of the rollout */
} pw_rollout_order;

/* State of a rollout. */
typedef enum pw_rollout_stage {
  PWROLLOUT_RUNNING,
  PWROLLOUT_COMPLETE,
  PWROLLOUT_REVERTED
} pw_rollout_stage;

/* A configuration document that is being parsed in steps. */
typedef struct pw_site_reader pw_site_reader;

typedef struct pw_dialect {
  void (*read_request)(const pw_h1 *m, pw_request_info *out);

  /* Whether a caller's header is forwarded unchanged to the target. */
  int (*forwards_header)(const pw_h1_header *h);

  /* Whether a header belongs to the request or answer itself: an option of Connection cannot take it away. */
  int (*is_end_to_end)(const pw_h1_header *h);

  /* Appends the header lines of *f. */
  void (*write_forward)(pw_buf *out, const pw_forward *f);

  void (*read_answer)(const pw_h1 *m, const pw_request_info *request,
                      pw_answer_info *out);

  /* Kind of a call; id[PW_NAME_MAX] receives the target or availability zone that it names. */
  pw_call_kind (*read_call)(const char *method, const char *path, char *id);

  /* Parses a configuration document; PW_E_BODY or PW_E_SCHEMA with a reason in `why`. */
  pw_code (*read_site)(const char *text, size_t n, pw_site **out, char *why,
                       size_t cap);

  /* Begins to parse a document in steps, so that the event loop can serve requests in between. Routes unchanged
  ** since `before` (or NULL) are copied from it and not parsed again; it must stay valid. `text` is
  ** copied. */
  pw_site_reader *(*begin_site)(const char *text, size_t n,
                                const pw_site *before);

  /* Parses at most `routes` more routes. PW_OK with *out NULL: there is more to do. */
  pw_code (*step_site)(pw_site_reader *r, int routes, pw_site **out, char *why,
                       size_t cap);
  void (*end_site)(pw_site_reader *r);

  /* Parses a heartbeat. Errors, with a reason in `why`: PW_E_BODY, it is not JSON; PW_E_SCHEMA, a
  ** required field is missing, or a field has the wrong type or is out of range. */
  pw_code (*read_heartbeat)(const char *id, const char *text, size_t n,
                            pw_heartbeat *out, char *why, size_t cap);

  /* Parses the body of a target's deregistration, which may be empty; errors as with read_heartbeat. */
  pw_code (*read_leave)(const char *id, const char *text, size_t n,
                        pw_heartbeat *out, char *why, size_t cap);

  /* Parses a rollout order; errors as with read_heartbeat. */
  pw_code (*read_rollout)(const char *text, size_t n, pw_rollout_order *out,
                          char *why, size_t cap);
  void (*write_rollout)(pw_buf *out, const char *version,
                        pw_rollout_stage stage);

  /* Path of the platform's readiness probe. */
  const char *ready_path;
} pw_dialect;

#endif
