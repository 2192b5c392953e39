/* pwapi.h: API calls of a control instance, passed from the HTTP threads to
** the control thread and answered there. */
#ifndef PWAPI_H
#define PWAPI_H

#include "pwmail.h"
#include "pwproc.h"
#include "pwres.h"

#include <pthread.h>

typedef enum pw_api_op {
  PW_API_GET,
  PW_API_LIST,   /* all resources, or those after a revision */
  PW_API_CHANGE, /* one or many resources are written */
  PW_API_STATUS,

  /* calls of the platform, see pwsitecall.h */
  PW_API_SITE_READ,
  PW_API_SITE_WRITE,
  PW_API_EVACUATE, /* an evacuation of an availability zone begins or ends */
  PW_API_BEAT,
  PW_API_LEAVE,

  /* calls of the platform or of operators, see pwrolloutapi.h */
  PW_API_ROLLOUT,
  PW_API_ROLLOUT_READ
} pw_api_op;

/* One call. The HTTP thread fills it in and waits; the control thread
** answers it once, and does not touch it afterwards. */
typedef struct pw_api_call {
  pw_mail_item item;
  pw_api_op op;
  char kind[PW_NAME_MAX];
  char name[PW_NAME_MAX];
  int has_since;
  uint64_t since;
  Pw__Change *change; /* PW_API_CHANGE, PW_API_EVACUATE */
  pw_buf document;    /* PW_API_SITE_WRITE: a valid configuration document */
  uint64_t document_version;
  pw_heartbeat beat; /* PW_API_BEAT; for PW_API_LEAVE only the id */
  /* PW_API_ROLLOUT; for PW_API_ROLLOUT_READ only the service */
  pw_rollout_order order;
  /* dialect of a call of the platform; NULL: a call of an operator */
  const pw_dialect *dialect;
  int64_t started; /* ns */

  pthread_mutex_t lock;
  pw_http *h; /* NULL once the HTTP request is over */
  int answered;
  int refs;
  int status;
  json_t *answer;
  pw_buf text;        /* the answer, if it is JSON text already */
  char location[160]; /* URL to which the caller is redirected */
  pw_code code;
  char message[256];
  char outcome[16];
  char leader[96]; /* address of the leader, for PW_E_NOT_LEADER */
} pw_api_call;

/* HTTP thread: reads a request for /v1/resources, /v1/rollouts or
** /v1/status. PW_OK, or the code to refuse the request with. `operators` has
** the hashes of the operator keys, one a line; NULL: everyone may call. */
pw_code pwapi_read(pw_http *h, const char *operators, pw_api_call **out,
                   char *message, size_t cap);

/* HTTP thread: posts the call and waits; pwapi_respond sends the answer when
** the request is woken. */
void pwapi_begin(pw_api_call *c, pw_http *h, pw_mail *mail);
void pwapi_respond(pw_api_call *c);

/* HTTP thread: passes a call that was answered already to the control
** thread. */
void pwapi_post_detached(pw_api_call *c, pw_mail *mail);

/* HTTP thread: the HTTP request is over, answered or not; releases the call. */
void pwapi_request_done(pw_api_call *c);

/* Control thread: answers with JSON (whose reference it takes) or with a
** code, and releases the call. */
void pwapi_answer(pw_api_call *c, int status, json_t *value);
void pwapi_fail(pw_api_call *c, pw_code code, const char *message,
                const char *outcome, json_t *more);

/* The same with JSON text, which is copied; and with a redirection to
** another address. */
void pwapi_answer_text(pw_api_call *c, const char *text, size_t n);
void pwapi_redirect(pw_api_call *c, const char *http, const char *path);

/* Makes a call that the caller fills in itself. */
pw_api_call *pwapi_new(pw_api_op op);
void pwapi_free(pw_api_call *c); /* only a call that was not posted */

/* Makes a change of one resource, whatever its version: `spec` is written;
** NULL: the resource is deleted. */
Pw__Change *pwapi_single_put(const char *kind, const char *name,
                             const char *spec);

/* A resource as JSON; new reference. */
json_t *pwapi_resource_json(const pw_resource *one);
json_t *pwapi_packed_json(const Pw__Resource *one);

#endif
