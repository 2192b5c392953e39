/* pwjob.h: attempts that run at the target, each on a worker thread. */
#ifndef PWJOB_H
#define PWJOB_H

#include "pwmail.h"
#include "pwproc.h"

#include <pthread.h>

/* One attempt. The wire thread owns it; a worker uses it from pwjob_start until
** the worker has posted its PW_JOB_END note. */
typedef struct pw_job {
  struct pw_job *next; /* in the workers' queue */
  Pw__Run *run;
  char origin[PW_NAME_MAX]; /* first attempt: the engine's id of the stream */
  pw_peer peer;
  int64_t since;     /* when it was queued or started, ms */
  int64_t deadline;  /* ms of the agent's clock */
  double cost;       /* estimated cost in tokens */
  double left;       /* part of the cost that is still in progress */
  uint32_t expected; /* cached tokens expected when it was admitted */
  uint32_t cached, prompt, output; /* tokens as the engine has counted them */
  int import;    /* the engine is to copy another engine's KV cache */
  int started;   /* queued for a worker */
  int is_cancel; /* runs nothing, asks the target to cancel `origin` */

  pthread_mutex_t lock;
  pthread_cond_t changed; /* acked, cancelled or orphan has changed */
  uint64_t sent;          /* end offset of the answer bytes posted */
  uint64_t acked;         /* offset up to which the caller has read */
  int cancelled;
  int orphan; /* the entry wants no more of the answer: it is read and dropped */
} pw_job;

typedef enum pw_job_event { PW_JOB_HEAD, PW_JOB_DATA, PW_JOB_END } pw_job_event;

/* A note from a worker to the wire thread. */
typedef struct pw_job_note {
  pw_mail_item item;
  pw_job_event event;
  pw_job *job;
  int status;            /* HEAD: HTTP status */
  Pw__Header *header[8]; /* HEAD */
  size_t nheader;
  uint64_t offset; /* DATA: offset of the first byte in the answer */
  char *data;      /* DATA */
  size_t len;
  pw_code code;        /* END */
  int sent;            /* END: the target may have started the request */
  int not_run;         /* END: the target states that it was not run */
  int64_t hold_off_ms; /* END: hold-off that the target asks for; 0: none */
} pw_job_note;

typedef struct pw_workers pw_workers;

/* Starts n threads that call the target at url. */
pw_workers *pwjob_workers(pw_mail *mail, const char *url, int n, int timeout_s);

/* Ends the threads; running jobs must have been cancelled. Returns -1, and frees
** nothing, when a thread still waits for an unresponsive target. That thread ends
** with the process. */
int pwjob_workers_free(pw_workers *w);

/* A new job, which owns the Run. */
pw_job *pwjob_new(Pw__Run *run, const pw_peer *peer);
void pwjob_free(pw_job *j);

/* Queues a job for the workers. */
void pwjob_start(pw_workers *w, pw_job *j);

/* Has a worker send the target a request to cancel a stream. */
void pwjob_cancel_at_target(pw_workers *w, const char *origin);

/* Notes that the caller has read the answer up to offset. */
void pwjob_credit(pw_job *j, uint64_t offset);

/* Makes the worker stop reading the answer. */
void pwjob_cancel(pw_job *j);

/* Makes the worker read the answer to its end without waiting for the caller. */
void pwjob_orphan(pw_job *j);

/* Whether the worker waits for the caller to read. */
int pwjob_is_blocked(pw_job *j);

void pwjob_note_free(pw_job_note *n);

#endif
