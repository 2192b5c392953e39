/* pwcall.h: one caller's request, shared by an HTTP thread and the wire thread.
**
** The HTTP thread fills what was asked and waits; the wire thread fills the
** answer. What they share is under the lock. Each holds a reference. */
#ifndef PWCALL_H
#define PWCALL_H

#include "pwassign.h"
#include "pwmail.h"
#include "pwproc.h"
#include "pwview.h"

#include <pthread.h>

typedef struct pw_call {
  atomic_int refs;
  pw_proc *p;
  pw_mail *mail; /* the wire thread's */

  /* What was asked; not changed after it is posted. */
  char request[PW_NAME_MAX];
  char chat[PW_NAME_MAX + PW_KEY_MAX + 2]; /* "WORKSPACE/CHAT", or "" */
  char model[PW_NAME_MAX];                 /* model or service */
  char pool[PWASSIGN_POOL];                /* of those that serve its version */
  char other_pool[PWASSIGN_POOL]; /* of the version it is exchanged with */
  pw_workspace workspace;
  char *method;
  char *path;
  char *body;
  size_t body_len;
  Pw__Header **headers;
  size_t nheaders;
  char once_key[PW_KEY_MAX + 1];
  unsigned char digest[32]; /* of method, path and body */
  uint64_t sign;            /* what it is, whichever id it has */
  int never;
  int repeatable;
  int is_service;
  int stream;
  int returning;
  int priority;
  uint32_t deadline_ms;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  int64_t started; /* ns */

  /* The answer, under the lock. */
  pthread_mutex_t lock;
  pw_http *h; /* NULL once the caller is gone or served */
  int suspended;
  int answered; /* status and headers are there */
  int ended;    /* 1: whole, 2: broken off */
  int status;
  pw_code code; /* an error to be told, or PW_OK */
  char message[160];
  char outcome[16];
  uint32_t retry_after; /* ms */
  char target[PW_NAME_MAX];
  char type[96];
  uint32_t cached_tokens, prompt_seen;
  int has_tokens;
  int headers_sent; /* nothing but the stream can be told any more */
  pw_buf out;
  uint64_t taken; /* bytes the caller has taken */
} pw_call;

typedef enum pw_note_kind {
  PW_NOTE_NEW,   /* a call begins */
  PW_NOTE_TAKEN, /* the caller took bytes */
  PW_NOTE_GONE   /* the caller is gone, or served */
} pw_note_kind;

/* A message from an HTTP thread to the wire thread; holds a reference. */
typedef struct pw_note {
  pw_mail_item item;
  pw_note_kind kind;
  pw_call *call;
} pw_note;

pw_call *pwcall_new(pw_proc *p, pw_mail *mail);
void pwcall_ref(pw_call *c);
void pwcall_unref(pw_call *c);
void pwcall_post(pw_call *c, pw_note_kind kind);

/* Wire thread: the answer's status and type are known. */
void pwcall_head(pw_call *c, int status, const char *type, const char *target);

/* Wire thread: answer bytes. Gives the bytes held that nobody took yet. */
size_t pwcall_data(pw_call *c, const void *data, size_t n);

/* Wire thread: forgets an answer the caller has seen nothing of. */
void pwcall_reset(pw_call *c);

/* Wire thread: the answer ended whole. */
void pwcall_finish(pw_call *c, const char *outcome);

/* Wire thread: the call failed. A stream under way is broken off; otherwise
** the caller is told the code. */
void pwcall_fail(pw_call *c, pw_code code, const char *message,
                 const char *outcome, uint32_t retry_after);

/* HTTP thread: answers if there is something to answer, else waits. */
void pwcall_respond(pw_call *c);

/* HTTP thread: hands the request over and waits. */
void pwcall_begin(pw_call *c, pw_http *h);

/* HTTP thread: the request is over. */
void pwcall_over(pw_call *c);

/* Wire thread: whether the caller has hung up while waiting. */
int pwcall_is_gone(pw_call *c);

#endif
