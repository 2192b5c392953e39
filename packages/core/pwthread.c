/* pwthread.c: a thread that calls a function periodically. */
#include "pwthread.h"

#include "pwclock.h"

#include <stdlib.h>
#include <time.h>

#define STACK_BYTES (256 * 1024) /* stack size of such a thread */
#define NS_PER_MS 1000000LL
#define NS_PER_S 1000000000LL

static struct timespec in_ms(int64_t ms) {
  struct timespec ts;
  clock_gettime(CLOCK_MONOTONIC, &ts);
  int64_t ns = ts.tv_nsec + ms * NS_PER_MS;
  ts.tv_sec += (time_t)(ns / NS_PER_S);
  ts.tv_nsec = (long)(ns % NS_PER_S);
  return ts;
}

/* Sleeps until the time is over or the thread is woken; returns 0 when it is to stop. */
static int sleep_ms(pw_thread *t, int64_t ms) {
  struct timespec until = in_ms(ms);
  pthread_mutex_lock(&t->lock);
  if (!t->is_stopping)
    pthread_cond_timedwait(&t->wake, &t->lock, &until);
  int is_stopping = t->is_stopping;
  pthread_mutex_unlock(&t->lock);
  return !is_stopping;
}

static void *run(void *arg) {
  pw_thread *t = arg;
  int64_t ms = t->first;
  while (sleep_ms(t, ms))
    ms = t->round(t->arg);
  pthread_mutex_lock(&t->lock);
  t->has_stopped = 1;
  pthread_mutex_unlock(&t->lock);
  return NULL;
}

void pwthread_start(pw_thread *t, int64_t (*round)(void *arg), void *arg,
                    int64_t first) {
  pthread_condattr_t clock;
  pthread_attr_t attr;
  *t = (pw_thread){.round = round, .arg = arg, .first = first};
  pthread_mutex_init(&t->lock, NULL);
  pthread_condattr_init(&clock);
  pthread_condattr_setclock(&clock, CLOCK_MONOTONIC);
  pthread_cond_init(&t->wake, &clock);
  pthread_condattr_destroy(&clock);
  pthread_attr_init(&attr);
  pthread_attr_setstacksize(&attr, STACK_BYTES);
  if (pthread_create(&t->id, &attr, run, t) != 0)
    abort();
  pthread_attr_destroy(&attr);
}

void pwthread_wake(pw_thread *t) {
  pthread_cond_signal(&t->wake);
}

static int has_stopped_yet(pw_thread *t) {
  pthread_mutex_lock(&t->lock);
  int has_stopped = t->has_stopped;
  pthread_mutex_unlock(&t->lock);
  return has_stopped;
}

int pwthread_stop(pw_thread *t, int64_t limit_ms) {
  int64_t until = pwclock_ms() + limit_ms;
  pthread_mutex_lock(&t->lock);
  t->is_stopping = 1;
  pthread_cond_signal(&t->wake);
  pthread_mutex_unlock(&t->lock);
  while (!has_stopped_yet(t)) {
    if (pwclock_ms() >= until)
      return -1;
    struct timespec ts = {0, NS_PER_MS};
    nanosleep(&ts, NULL);
  }
  pthread_join(t->id, NULL);
  pthread_mutex_destroy(&t->lock);
  pthread_cond_destroy(&t->wake);
  return 0;
}
