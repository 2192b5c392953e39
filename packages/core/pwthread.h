/* pwthread.h: a thread that works in rounds, rests between them, and is ended
** from outside even when it hangs in a call. */
#ifndef PWTHREAD_H
#define PWTHREAD_H

#include <pthread.h>
#include <stdint.h>

typedef struct pw_thread {
  pthread_t id;
  pthread_mutex_t lock; /* the owner may keep what both sides use under it */
  pthread_cond_t more;
  int64_t (*round)(void *arg); /* gives how long to rest, ms */
  void *arg;
  int64_t first; /* ms before the first round */
  int ending, ended;
} pw_thread;

/* Starts it: round(arg) again and again, `first` ms from now for the first
 * time.
 */
void pwthread_start(pw_thread *t, int64_t (*round)(void *arg), void *arg,
                    int64_t first);

/* Ends its rest; the lock is held. */
void pwthread_wake(pw_thread *t);

/* Ends it. -1 when its round is not over after limit_ms: its memory must stay.
 */
int pwthread_stop(pw_thread *t, int64_t limit_ms);

#endif
