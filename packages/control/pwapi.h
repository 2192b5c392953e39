/* pwapi.h: the resource API's requests, as the control thread answers them. */
#ifndef PWAPI_H
#define PWAPI_H

#include "pwmail.h"
#include "pwproc.h"
#include "pwres.h"

#include <pthread.h>

typedef enum pw_api_op {
  PW_API_GET,    /* one resource */
  PW_API_LIST,   /* all, or those after a revision */
  PW_API_CHANGE, /* one or many written */
  PW_API_STATUS,

  /* calls of the platform, see pwsitecall.h */
  PW_API_SITE_READ,
  PW_API_SITE_WRITE,
  PW_API_EVACUATE, /* an availability zone is evacuated or taken back */
  PW_API_BEAT,
  PW_API_LEAVE,

  /* of the platform or of operators, see pwrollcall.h */
  PW_API_ROLLOUT,
  PW_API_ROLLOUT_READ
} pw_api_op;

/* One request. The HTTP thread fills it and waits; the control thread answers
** once and does not touch it afterwards. */
typedef struct pw_api_call {
  pw_mail_item item;
  pw_api_op op;
  char kind[PW_NAME_MAX];
  char name[PW_NAME_MAX];
  int has_since;
  uint64_t since;
  Pw__Change *change; /* PW_API_CHANGE, PW_API_EVACUATE */
  pw_buf document;    /* PW_API_SITE_WRITE: a valid one */
  uint64_t document_version;
  pw_beat beat; /* PW_API_BEAT; of PW_API_LEAVE the id */
  pw_rollout_order
      order; /* PW_API_ROLLOUT; of PW_API_ROLLOUT_READ the service */
  const pw_dialect *dialect; /* of the platform's call; NULL: an operator's */
  int64_t started;           /* ns */

  pthread_mutex_t lock;
  pw_http *h; /* NULL once the caller is gone */
  int answered;
  int refs;
  int status;
  json_t *answer;
  pw_buf text;        /* an answer that is JSON text already */
  char location[160]; /* the caller is sent there */
  pw_code code;
  char message[256];
  char outcome[16];
  char leader[96]; /* told with PW_E_NOT_LEADER */
} pw_api_call;

/* Reads a request for /v1/resources or /v1/status. PW_OK, or the code to
** refuse with. Operators are known by the hashes in `operators` (text, one a
** line; NULL: everyone may). */
pw_code pwapi_read(pw_http *h, const char *operators, pw_api_call **out,
                   char *message, size_t cap);

/* HTTP thread: posts the call and waits; answers when it is called again. */
void pwapi_begin(pw_api_call *c, pw_http *h, pw_mail *mail);
void pwapi_respond(pw_api_call *c);

/* HTTP thread: leaves a call that nobody waits for to the control thread. */
void pwapi_leave(pw_api_call *c, pw_mail *mail);

void pwapi_over(pw_api_call *c);

/* Control thread: answers, with JSON (reference taken over) or a code, and
** lets go of the call. */
void pwapi_answer(pw_api_call *c, int status, json_t *value);
void pwapi_fail(pw_api_call *c, pw_code code, const char *message,
                const char *outcome, json_t *more);

/* The same with JSON text, which is copied; and by sending the caller to
** another address. */
void pwapi_answer_text(pw_api_call *c, const char *text, size_t n);
void pwapi_redirect(pw_api_call *c, const char *http, const char *path);

/* A call that is filled by others than pwapi_read. */
pw_api_call *pwapi_new(pw_api_op op);
void pwapi_free(pw_api_call *c); /* one that was not begun */

/* A change of one resource, whatever its version: `spec` is written, or with NULL it is
** deleted. */
Pw__Change *pwapi_one(const char *kind, const char *name, const char *spec);

/* JSON of a resource; new reference. */
json_t *pwapi_resource(const pw_resource *one);
json_t *pwapi_packed(const Pw__Resource *one);

#endif
