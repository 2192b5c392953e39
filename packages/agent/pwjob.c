/* pwjob.c: worker threads that run attempts at the target. */
#include "pwjob.h"

#include "pwbuf.h"
#include "pwduration.h"
#include "pwfetch.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TAIL 64 /* bytes kept of a stream's end, to check its end mark */
#define STACK_BYTES (256 * 1024)
#define HEADERS_MAX 72 /* of a service's request; more are not forwarded */
#define CHAT_HEADERS 7
#define END_MS 1000 /* wait for cancelled jobs to end */
#define CANCEL_TIMEOUT_S 2
#define CANCEL_MAX 4096 /* bytes of the answer to a cancel */
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503

struct pw_workers {
  pw_mail *mail;
  char *url;
  int timeout;
  pthread_mutex_t lock;
  pthread_cond_t more;
  pw_job *first, *last;
  int ending;
  int busy; /* threads that run a job */
  pthread_t *thread;
  int n;
};

/* One answer being read. */
typedef struct reading {
  pw_workers *w;
  pw_job *job;
  int status;
  int refused;         /* a server error, of which nothing is forwarded */
  int not_run;         /* the target states that the request was not run */
  int64_t hold_off_ms; /* hold-off that the target asks for; 0: none */
  uint64_t offset;
  char tail[TAIL + 1]; /* last bytes received */
} reading;

pw_job *pwjob_new(Pw__Run *run, const pw_peer *peer) {
  pw_job *j = pw_alloc(sizeof *j);
  j->run = run;
  if (run) {
    pw_copy(j->origin, sizeof j->origin,
            run->resume_of[0] ? run->resume_of : run->attempt);
    j->sent = run->offset;
    j->acked = run->offset;
  }
  if (peer)
    j->peer = *peer;
  pthread_mutex_init(&j->lock, NULL);
  pthread_cond_init(&j->changed, NULL);
  return j;
}

void pwjob_free(pw_job *j) {
  if (j->run)
    pw__run__free_unpacked(j->run, NULL);
  pthread_mutex_destroy(&j->lock);
  pthread_cond_destroy(&j->changed);
  free(j);
}

void pwjob_note_free(pw_job_note *n) {
  for (size_t i = 0; i < n->nheader; i++)
    pw__header__free_unpacked(n->header[i], NULL);
  free(n->data);
  free(n);
}

static pw_job_note *new_note(pw_job *j, pw_job_event event) {
  pw_job_note *n = pw_alloc(sizeof *n);
  n->event = event;
  n->job = j;
  return n;
}

static void copy_header(pw_job_note *n, const pw_fetch_head *h,
                        const char *name) {
  const char *value = pwfetch_answer_header(h, name);
  if (!value)
    return;
  Pw__Header *p = pw_alloc(sizeof *p);
  pw__header__init(p);
  p->name = pw_dup(name);
  p->value = pw_dup(value);
  n->header[n->nheader++] = p;
}

/* Reads from a rejection whether the request was not run, and the hold-off asked for. */
static void read_refusal(reading *r, const pw_fetch_head *h) {
  const char *after = pwfetch_answer_header(h, "Retry-After");
  r->not_run = pwfetch_answer_header(h, "X-Not-Run") != NULL;
  r->hold_off_ms = after ? pwduration_read(after, strlen(after)) : 0;
}

static int on_head(void *arg, int status, const pw_fetch_head *h) {
  reading *r = arg;
  r->status = status;
  if (status == HTTP_UNAVAILABLE || status == HTTP_TOO_MANY)
    read_refusal(r, h);
  if (r->not_run || (status >= 500 && !r->job->run->service)) {
    r->refused = 1;
    return -1;
  }
  pw_job_note *n = new_note(r->job, PW_JOB_HEAD);
  n->status = status;
  copy_header(n, h, "Content-Type");
  copy_header(n, h, "X-Cached-Tokens");
  copy_header(n, h, "X-Prompt-Tokens");
  pwmail_post(r->w->mail, &n->item);
  return 0;
}

static void keep_tail(reading *r, const char *data, size_t n) {
  size_t have = strlen(r->tail);
  if (n >= TAIL) {
    memcpy(r->tail, data + n - TAIL, TAIL);
    return;
  }
  size_t drop = have + n > TAIL ? have + n - TAIL : 0;
  memmove(r->tail, r->tail + drop, have - drop);
  memcpy(r->tail + have - drop, data, n);
  r->tail[have - drop + n] = 0;
}

/* Waits until the flow control window has room. Returns -1 when cancelled. */
static int wait_for_room(pw_job *j) {
  pthread_mutex_lock(&j->lock);
  while (!j->cancelled && !j->orphan && j->sent - j->acked >= PW_STREAM_WINDOW)
    pthread_cond_wait(&j->changed, &j->lock);
  int rc = j->cancelled ? -1 : 0;
  pthread_mutex_unlock(&j->lock);
  return rc;
}

static int on_data(void *arg, const char *data, size_t n) {
  reading *r = arg;
  pw_job *j = r->job;
  if (wait_for_room(j) != 0)
    return -1;
  keep_tail(r, data, n);
  pw_job_note *note = new_note(j, PW_JOB_DATA);
  note->data = pw_memdup(data, n);
  note->len = n;
  pthread_mutex_lock(&j->lock);
  note->offset = j->sent;
  j->sent += n;
  pthread_mutex_unlock(&j->lock);
  pwmail_post(r->w->mail, &note->item);
  return 0;
}

/* Headers for an engine, as docs/ENGINE.md defines them. */
static int chat_headers(const pw_job *j, pw_fetch_header *h, char *offset,
                        size_t cap, char *priority) {
  int n = 0;
  snprintf(offset, cap, "%llu", (unsigned long long)j->run->offset);
  snprintf(priority, cap, "%d", j->run->priority);
  h[n++] = (pw_fetch_header){"Content-Type", "application/json"};
  h[n++] = (pw_fetch_header){"X-Request-Id", j->origin};
  h[n++] = (pw_fetch_header){"X-Priority", priority};
  if (j->run->chat[0])
    h[n++] = (pw_fetch_header){"X-Cache-Key", j->run->chat};
  if (j->import)
    h[n++] = (pw_fetch_header){"X-KV-From", j->run->kv_url};
  if (j->run->resume_of[0])
    h[n++] = (pw_fetch_header){"X-Resume-Offset", offset};
  return n;
}

static int service_headers(const pw_job *j, pw_fetch_header *h) {
  int n = 0;
  h[n++] = (pw_fetch_header){"X-Request-Id", j->run->request};
  for (size_t i = 0; i < j->run->n_headers && n < HEADERS_MAX; i++)
    h[n++] =
        (pw_fetch_header){j->run->headers[i]->name, j->run->headers[i]->value};
  return n;
}

static pw_code fetch(reading *r, int *sent) {
  const pw_job *j = r->job;
  pw_fetch_header headers[HEADERS_MAX + CHAT_HEADERS];
  char offset[24], priority[24];
  int n = j->run->service
              ? service_headers(j, headers)
              : chat_headers(j, headers, offset, sizeof offset, priority);
  pw_fetch f = {.url = r->w->url,
                .method = j->run->method,
                .path = j->run->path,
                .headers = headers,
                .nheaders = n,
                .body = j->run->body.data,
                .body_len = j->run->body.len,
                .timeout = r->w->timeout,
                .arg = r,
                .on_head = on_head,
                .on_data = on_data};
  return pwfetch(&f, sent);
}

static void run_job(pw_workers *w, pw_job *j) {
  reading r = {.w = w, .job = j};
  int sent = 0;
  pw_code rc = fetch(&r, &sent);
  if (r.refused)
    rc = r.not_run ? PW_E_BUSY : PW_E_UPSTREAM;
  if (rc == PW_OK && j->run->stream && r.status == 200 &&
      !strstr(r.tail, "data: [DONE]"))
    rc = PW_E_CUT;
  pw_job_note *n = new_note(j, PW_JOB_END);
  n->code = rc;
  n->sent = sent;
  n->not_run = r.not_run;
  n->hold_off_ms = r.hold_off_ms;
  pwmail_post(w->mail, &n->item);
}

static void run_cancel(const pw_workers *w, pw_job *j) {
  pw_buf out = {0};
  pw_fetch_header h = {"X-Request-Id", j->origin};
  int status;
  pwfetch_text(w->url, "POST", "/v1/cancel", &h, 1, NULL, CANCEL_TIMEOUT_S,
               CANCEL_MAX, &status, &out);
  pwbuf_free(&out);
  pwjob_free(j);
}

static pw_job *wait_for_job(pw_workers *w) {
  pthread_mutex_lock(&w->lock);
  while (!w->first && !w->ending)
    pthread_cond_wait(&w->more, &w->lock);
  pw_job *j = w->first;
  if (j) {
    w->busy++;
    w->first = j->next;
    if (!w->first)
      w->last = NULL;
  }
  pthread_mutex_unlock(&w->lock);
  return j;
}

static void *work(void *arg) {
  pw_workers *w = arg;
  pw_job *j;
  while ((j = wait_for_job(w)) != NULL) {
    if (j->is_cancel)
      run_cancel(w, j);
    else
      run_job(w, j);
    pthread_mutex_lock(&w->lock);
    w->busy--;
    pthread_mutex_unlock(&w->lock);
  }
  return NULL;
}

pw_workers *pwjob_workers(pw_mail *mail, const char *url, int n,
                          int timeout_s) {
  pw_workers *w = pw_alloc(sizeof *w);
  w->mail = mail;
  w->url = pw_dup(url);
  w->timeout = timeout_s;
  pthread_mutex_init(&w->lock, NULL);
  pthread_cond_init(&w->more, NULL);
  w->thread = pw_alloc(sizeof *w->thread * (size_t)n);
  pthread_attr_t attr;
  pthread_attr_init(&attr);
  pthread_attr_setstacksize(&attr, STACK_BYTES);
  while (w->n < n && pthread_create(&w->thread[w->n], &attr, work, w) == 0)
    w->n++;
  pthread_attr_destroy(&attr);
  return w;
}

static int is_busy(pw_workers *w) {
  pthread_mutex_lock(&w->lock);
  int busy = w->busy;
  pthread_mutex_unlock(&w->lock);
  return busy;
}

int pwjob_workers_free(pw_workers *w) {
  int64_t until = pwclock_ms() + END_MS;
  pthread_mutex_lock(&w->lock);
  w->ending = 1;
  pthread_cond_broadcast(&w->more);
  pthread_mutex_unlock(&w->lock);
  while (is_busy(w)) {
    if (pwclock_ms() >= until)
      return -1;
    poll(NULL, 0, 1);
  }
  for (int i = 0; i < w->n; i++)
    pthread_join(w->thread[i], NULL);
  pthread_mutex_destroy(&w->lock);
  pthread_cond_destroy(&w->more);
  free(w->thread);
  free(w->url);
  free(w);
  return 0;
}

static void enqueue(pw_workers *w, pw_job *j) {
  pthread_mutex_lock(&w->lock);
  j->next = NULL;
  if (w->last)
    w->last->next = j;
  else
    w->first = j;
  w->last = j;
  pthread_cond_signal(&w->more);
  pthread_mutex_unlock(&w->lock);
}

void pwjob_start(pw_workers *w, pw_job *j) {
  j->started = 1;
  enqueue(w, j);
}

void pwjob_cancel_at_target(pw_workers *w, const char *origin) {
  pw_job *j = pwjob_new(NULL, NULL);
  j->is_cancel = 1;
  pw_copy(j->origin, sizeof j->origin, origin);
  enqueue(w, j);
}

void pwjob_credit(pw_job *j, uint64_t offset) {
  pthread_mutex_lock(&j->lock);
  if (offset > j->acked && offset <= j->sent)
    j->acked = offset;
  pthread_cond_signal(&j->changed);
  pthread_mutex_unlock(&j->lock);
}

static void set_flag(pw_job *j, int *flag) {
  pthread_mutex_lock(&j->lock);
  *flag = 1;
  pthread_cond_signal(&j->changed);
  pthread_mutex_unlock(&j->lock);
}

void pwjob_cancel(pw_job *j) {
  set_flag(j, &j->cancelled);
}

void pwjob_orphan(pw_job *j) {
  set_flag(j, &j->orphan);
}

int pwjob_is_blocked(pw_job *j) {
  pthread_mutex_lock(&j->lock);
  int blocked = j->sent - j->acked >= PW_STREAM_WINDOW;
  pthread_mutex_unlock(&j->lock);
  return blocked;
}
