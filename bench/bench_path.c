/* bench_path.c: sends streaming requests to a URL and measures the time to the
** first byte, the time between tokens and requests per second. bench/path.lua runs
** it against a fleet and against an engine, to show what peatwell adds. */
#include "pwbuf.h"
#include "pwclock.h"
#include "pwfetch.h"

#include <ne_socket.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GAPS_MAX 4000000

typedef struct run {
  const char *url, *key;
  int streams, requests, tokens;
  pthread_mutex_t lock;
  int next, failed;
  double *first;
  int nfirst;
  float *gap;
  int ngap;
} run;

typedef struct answer {
  run *r;
  int64_t began, last;
  int seen, done;
} answer;

static int on_data(void *arg, const char *data, size_t n) {
  answer *a = arg;
  int64_t now = pwclock_ns();
  pthread_mutex_lock(&a->r->lock);
  if (!a->seen)
    a->r->first[a->r->nfirst++] = (double)(now - a->began) / 1e6;
  else if (a->r->ngap < GAPS_MAX)
    a->r->gap[a->r->ngap++] = (float)((double)(now - a->last) / 1e6);
  pthread_mutex_unlock(&a->r->lock);
  a->seen = 1;
  a->last = now;
  a->done |= n >= 14 && !memcmp(data + n - 14, "data: [DONE]\n\n", 14);
  return 0;
}

static void run_request(run *r, int id) {
  char body[256], chat[32], bearer[128], request[48];
  snprintf(body, sizeof body,
           "{\"model\": \"register\", \"stream\": true, \"max_tokens\": %d, "
           "\"messages\": [{\"role\": \"user\", \"content\": \"bench %d\"}]}",
           r->tokens, id);
  snprintf(chat, sizeof chat, "bench-%d", id);
  snprintf(bearer, sizeof bearer, "Bearer %s", r->key);
  snprintf(request, sizeof request, "direct-%s-%d", r->key, id);
  pw_fetch_header h[] = {{"Content-Type", "application/json"},
                         {"Authorization", bearer},
                         {"Peatwell-Chat", chat},
                         {"X-Request-Id", request}};
  answer a = {.r = r, .began = pwclock_ns()};
  pw_fetch f = {.url = r->url,
                .method = "POST",
                .path = "/v1/chat/completions",
                .headers = h,
                .nheaders = 4,
                .body = body,
                .body_len = strlen(body),
                .timeout = 60,
                .arg = &a,
                .on_data = on_data};
  int sent;
  pw_code rc = pwfetch(&f, &sent);
  if (rc != PW_OK || !a.done) {
    pthread_mutex_lock(&r->lock);
    r->failed++;
    pthread_mutex_unlock(&r->lock);
  }
}

static void *work(void *arg) {
  run *r = arg;
  for (;;) {
    pthread_mutex_lock(&r->lock);
    int id = r->next < r->requests ? r->next++ : -1;
    pthread_mutex_unlock(&r->lock);
    if (id < 0)
      return NULL;
    run_request(r, id);
  }
}

static int by_double(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

static int by_float(const void *a, const void *b) {
  float x = *(const float *)a, y = *(const float *)b;
  return (x > y) - (x < y);
}

/* Prints "streams requests/s first50 first99 gap50 gap99 failed". */
int main(int argc, char **argv) {
  if (argc < 6) {
    fprintf(stderr, "usage: bench_path URL KEY STREAMS REQUESTS TOKENS\n");
    return 2;
  }
  run r = {.url = argv[1],
           .key = argv[2],
           .streams = atoi(argv[3]),
           .requests = atoi(argv[4]),
           .tokens = atoi(argv[5])};
  pthread_t t[1024];
  ne_sock_init();
  pthread_mutex_init(&r.lock, NULL);
  r.first = pw_alloc(sizeof *r.first * (size_t)r.requests);
  r.gap = pw_alloc(sizeof *r.gap * GAPS_MAX);
  int64_t t0 = pwclock_ns();
  for (int i = 0; i < r.streams; i++)
    pthread_create(&t[i], NULL, work, &r);
  for (int i = 0; i < r.streams; i++)
    pthread_join(t[i], NULL);
  double s = (double)(pwclock_ns() - t0) / 1e9;
  qsort(r.first, (size_t)r.nfirst, sizeof *r.first, by_double);
  qsort(r.gap, (size_t)r.ngap, sizeof *r.gap, by_float);
  printf("%d %.1f %.2f %.2f %.2f %.2f %d\n", r.streams, r.requests / s,
         r.first[r.nfirst / 2], r.first[(int)(r.nfirst * 0.99)],
         (double)r.gap[r.ngap / 2], (double)r.gap[(int)(r.ngap * 0.99)],
         r.failed);
  return r.failed != 0;
}
