/* pwthread.h: a thread that calls a function periodically. Stopping it takes a bounded time even
** when the function hangs. */
#ifndef PWTHREAD_H
#define PWTHREAD_H

#include <pthread.h>
#include <stdint.h>

typedef struct pw_thread {
  pthread_t id;
  pthread_mutex_t lock;        /* may also guard data shared with the owner */
  pthread_cond_t wake;         /* wakes the thread */
  int64_t (*round)(void *arg); /* returns the ms to sleep until the next call */
  void *arg;
  int64_t first; /* delay of the first call, ms */
  int is_stopping, has_stopped;
} pw_thread;

/* Starts the thread: calls round(arg) `first` ms from now, then again after the time that each call
** returns. */
void pwthread_start(pw_thread *t, int64_t (*round)(void *arg), void *arg,
                    int64_t first);

/* Wakes the thread from its sleep. The caller holds the lock. */
void pwthread_wake(pw_thread *t);

/* Stops the thread. Returns -1 when the current call has not returned within limit_ms: the thread
** still runs then, and *t must stay valid. */
int pwthread_stop(pw_thread *t, int64_t limit_ms);

#endif
