/* pwcall.h: one caller's request, shared by an HTTP thread and the wire thread.
**
** The HTTP thread fills in the request and waits; the wire thread fills in the
** answer. The lock protects the answer. Each thread holds a reference. */
#ifndef PWCALL_H
#define PWCALL_H

#include "pwassign.h"
#include "pwmail.h"
#include "pwparts.h"
#include "pwproc.h"
#include "pwview.h"

#include <pthread.h>

typedef struct pw_call {
  atomic_int refs;
  pw_proc *p;
  pw_mail *mail; /* mailbox of the wire thread */

  /* The request: constant after PW_NOTE_NEW is posted. */
  char request[PW_NAME_MAX];
  char chat[PW_NAME_MAX + PW_KEY_MAX + 2]; /* "WORKSPACE/CHAT", or "" */
  char model[PW_NAME_MAX];                 /* model or service */
  char pool[PWASSIGN_POOL_BYTES]; /* targets that serve the chosen version */
  char other_pool[PWASSIGN_POOL_BYTES]; /* other version of a rollout, or "" */
  pw_workspace workspace;
  char *method;
  char *path;
  char *body;
  size_t body_len;
  Pw__Header **headers;
  size_t nheaders;
  char once_key[PW_KEY_MAX + 1]; /* key in the once-ledger, if `never` */
  unsigned char digest[32];      /* of method, path and body */
  uint64_t fingerprint; /* equal for equal requests with different ids */
  pw_part_list parts;   /* messages of the prompt before the last one */
  int never;            /* may run only once: Peatwell-Repeat: never */
  int repeatable;       /* a retry may run it again */
  int is_service;
  int stream;
  int returning; /* the chat has had an answer before */
  int priority;
  uint32_t deadline_ms;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  int64_t started; /* ns */

  /* The answer, protected by the lock. */
  pthread_mutex_t lock;
  pw_http *h;    /* NULL once the caller has hung up or has its answer */
  int suspended; /* the HTTP connection waits for wake() */
  int answered;  /* status and headers are known */
  int ended;     /* 1: complete, 2: failed */
  int status;
  pw_code code; /* error for the caller, or PW_OK */
  char message[160];
  char outcome[16];
  uint32_t retry_after; /* ms */
  char target[PW_NAME_MAX];
  char type[96];
  uint32_t cached_tokens, prompt_seen; /* as the engine has counted them */
  int has_tokens;   /* cached_tokens and prompt_seen are known */
  int headers_sent; /* status and headers cannot change any more */
  pw_buf out;       /* answer bytes that the caller has not read yet */
  uint64_t taken;   /* answer bytes that the caller has read */
} pw_call;

typedef enum pw_note_kind {
  PW_NOTE_NEW,   /* a call begins */
  PW_NOTE_TAKEN, /* the caller has read bytes of the answer */
  PW_NOTE_GONE   /* the caller has hung up, or has its answer */
} pw_note_kind;

/* A message from an HTTP thread to the wire thread; holds a reference to the
** call. */
typedef struct pw_note {
  pw_mail_item item;
  pw_note_kind kind;
  pw_call *call;
} pw_note;

/* A new call with one reference. */
pw_call *pwcall_new(pw_proc *p, pw_mail *mail);
void pwcall_ref(pw_call *c);
void pwcall_unref(pw_call *c);

/* Posts a note to the wire thread. */
void pwcall_post(pw_call *c, pw_note_kind kind);

/* Wire thread: sets the answer's status, content type and target. */
void pwcall_head(pw_call *c, int status, const char *type, const char *target);

/* Wire thread: appends answer bytes. Returns how many the caller has not read. */
size_t pwcall_data(pw_call *c, const void *data, size_t n);

/* Wire thread: discards an answer of which the caller has read nothing, before a
** retry. */
void pwcall_reset(pw_call *c);

/* Wire thread: marks the answer as complete. */
void pwcall_finish(pw_call *c, const char *outcome);

/* Wire thread: fails the call. A stream that has begun is cut off; otherwise the
** caller gets the code. */
void pwcall_fail(pw_call *c, pw_code code, const char *message,
                 const char *outcome, uint32_t retry_after);

/* HTTP thread: sends the answer if there is one, else suspends the connection. */
void pwcall_respond(pw_call *c);

/* HTTP thread: passes the request to the wire thread and suspends the HTTP
** connection. */
void pwcall_begin(pw_call *c, pw_http *h);

/* HTTP thread: ends the request and releases the thread's reference. */
void pwcall_end(pw_call *c);

/* Wire thread: whether the caller has hung up. */
int pwcall_is_gone(pw_call *c);

#endif
