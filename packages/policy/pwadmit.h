/* pwadmit.h: an agent's decision on a request: start, queue or refuse it. */
#ifndef PWADMIT_H
#define PWADMIT_H

#include "pwbound.h"
#include "pwcode.h"
#include "pwholdoff.h"
#include "pwqueue.h"

typedef struct pw_admit {
  pw_queue *queue;
  pw_load load;
  int slots;           /* most requests in progress at a time */
  int running;         /* requests in progress */
  pw_holdoff hold_off; /* until it ends nothing starts */
  pw_bound bound;
  /* Worth of a cached prefix, as a multiple of the time to compute it. */
  double reuse;
  double served;       /* recent tokens a second, for estimates */
  double tokens_since; /* tokens done since served_at */
  int64_t served_at;   /* start of the current averaging window, ms */
  double request_ms;  /* recent mean duration of a request; 0: none has ended */
  double slot_ms;     /* slots in use, integrated over the window in ms */
  int64_t slot_ms_at; /* time up to which slot_ms is counted */
  int ended_since;    /* requests that ended since served_at */
} pw_admit;

/* A request to decide on. */
typedef struct pw_admit_request {
  const char *workspace;
  double weight;
  int priority;
  double cost; /* tokens it will have in progress */
  /* Tokens that another target would have to compute again, or the cost of
  ** importing them, in computed tokens. */
  double recompute;
  int64_t deadline; /* agent's clock, ms */
  int64_t age_ms;   /* since the entry sent it: large after the agent stalled */
  int may_queue;
  void *job;
} pw_admit_request;

typedef enum pw_admit_verdict {
  PW_ADMIT_START,
  PW_ADMIT_QUEUED,
  PW_ADMIT_REFUSED
} pw_admit_verdict;

typedef struct pw_admit_answer {
  pw_admit_verdict verdict;
  pw_code code;      /* when refused */
  uint32_t wait;     /* estimated ms until the request could start */
  uint32_t worth;    /* ms of waiting here that the cached prefix is worth */
  void *evicted_job; /* a queued job to refuse instead of this one, or NULL */
  int by_bound;      /* a slot was free, but the load bound forbade the start */
} pw_admit_answer;

void pwadmit_init(pw_admit *a, int slots, int queue, double rate, int64_t now);
void pwadmit_free(pw_admit *a);

/* Default of `reuse`. */
#define PWADMIT_REUSE 8.0

/* Decides on a request. With PW_ADMIT_START its cost is counted in the load. */
pw_admit_answer pwadmit_decide(pw_admit *a, const pw_admit_request *request,
                               const pw_pool_sum *pool, int64_t now);

/* The next queued job that may start, or NULL. Its cost is counted in the
** load. pool_of returns the load sum of the pool that a job belongs to. */
void *pwadmit_next(pw_admit *a,
                   const pw_pool_sum *(*pool_of)(void *arg, void *job),
                   void *arg, int64_t now);

/* Counts `tokens` of a started request as done. */
void pwadmit_progress(pw_admit *a, double tokens, int64_t now);

/* Ends a started request that has `left` tokens not done. */
void pwadmit_end(pw_admit *a, double left, int64_t now);

/* Estimated wait in ms of a new request of this workspace, weight, priority. */
uint32_t pwadmit_wait(const pw_admit *a, const char *workspace, double weight,
                      int priority);

#endif
