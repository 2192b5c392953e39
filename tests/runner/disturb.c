/* disturb.c: disturbances such as a busy machine causes, drawn from a seed: one process of the scenario or
** all of them are suspended once, one is suspended several times in series, or one starts late. */
#include "runner.h"

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FIRST_MS 50  /* earliest start of a pause after the scenario's start */
#define LAST_MS 8000 /* latest start of a pause */
#define PAUSE_LEAST_MS 10
#define GAP_MOST_MS 300 /* longest gap between the pauses of a series */
#define SERIES_MOST 5
#define PROCESSES 24 /* one of these is drawn; few scenarios have more */
/* A late start is drawn among the first of them: scenarios have at least as many, so that one starts late. */
#define LATE_PROCESSES 4

typedef enum kind {
  PAUSE_ONE,
  PAUSE_SERIES,
  PAUSE_ALL,
  START_LATE,
  NKINDS
} kind;

/* The disturbance of this run. */
typedef struct disturbance {
  kind kind;
  int after_ms, pause_ms, gap_ms, times;
  int pick; /* index of the process in the order of starts */
} disturbance;

/* Longest pause of one process, and of all processes at once; shorter than most limits of the product. */
static int pause_most_ms = 2000;
static int pause_all_most_ms = 800;

static disturbance drawn;
static int is_on;

static uint64_t mix(uint64_t *state) {
  uint64_t z = *state += 0x9e3779b97f4a7c15ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

static int between(uint64_t *state, int least, int most) {
  return least + (int)(mix(state) % (uint64_t)(most - least + 1));
}

static void sleep_ms(int ms) {
  struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};
  nanosleep(&ts, NULL);
}

/* Suspends one process, or all that run, for pause_ms. */
static void suspend(int is_all) {
  int n = runner_count();
  if (n == 0)
    return;
  int from = is_all ? 0 : drawn.pick % n;
  int past = is_all ? n : from + 1;
  for (int i = from; i < past; i++)
    runner_suspend(i);
  sleep_ms(drawn.pause_ms);
  for (int i = from; i < past; i++)
    runner_resume(i);
}

static void *run_pauses(void *arg) {
  (void)arg;
  sleep_ms(drawn.after_ms);
  for (int i = 0; i < drawn.times; i++) {
    suspend(drawn.kind == PAUSE_ALL);
    sleep_ms(drawn.gap_ms);
  }
  return NULL;
}

static int late_process(void) {
  return drawn.pick % LATE_PROCESSES;
}

static void *resume_late(void *arg) {
  (void)arg;
  sleep_ms(drawn.pause_ms);
  runner_resume(late_process());
  return NULL;
}

static void start_thread(void *(*f)(void *)) {
  pthread_t thread;
  if (pthread_create(&thread, NULL, f, NULL) == 0)
    pthread_detach(thread);
}

static const char *const names[NKINDS] = {"pause", "pauses", "pause-all",
                                          "start-late"};

static void draw(uint64_t seed) {
  uint64_t state = seed;
  drawn.kind = (kind)between(&state, 0, NKINDS - 1);
  int is_all = drawn.kind == PAUSE_ALL;
  int is_series = drawn.kind == PAUSE_SERIES;
  drawn.after_ms = between(&state, FIRST_MS, LAST_MS);
  drawn.pause_ms = between(&state, PAUSE_LEAST_MS,
                           is_all ? pause_all_most_ms : pause_most_ms);
  drawn.times = is_series ? between(&state, 2, SERIES_MOST) : 1;
  drawn.gap_ms = between(&state, 1, GAP_MOST_MS);
  drawn.pick = mix(&state) % PROCESSES;
}

/* Reads KIND,AFTER_MS,HOLD_MS,TIMES,GAP_MS,PROCESS, the form that runner_disturb prints. Returns 0 or -1. */
static int read_spec(const char *text) {
  char name[16];
  if (sscanf(text, "%15[a-z-],%d,%d,%d,%d,%d", name, &drawn.after_ms,
             &drawn.pause_ms, &drawn.times, &drawn.gap_ms, &drawn.pick) != 6)
    return -1;
  for (int i = 0; i < NKINDS; i++) {
    if (strcmp(names[i], name) != 0)
      continue;
    drawn.kind = (kind)i;
    return 0;
  }
  return -1;
}

int runner_pause_limits(const char *text) {
  return sscanf(text, "%d,%d", &pause_most_ms, &pause_all_most_ms) == 2 &&
                 pause_most_ms >= PAUSE_LEAST_MS &&
                 pause_all_most_ms >= PAUSE_LEAST_MS
             ? 0
             : -1;
}

int runner_disturb(const char *text) {
  if (strchr(text, ',')) {
    if (read_spec(text) != 0)
      return -1;
  } else {
    draw(strtoull(text, NULL, 10));
  }
  is_on = 1;
  printf("disturbed: seed %s: %s,%d,%d,%d,%d,%d\n", text, names[drawn.kind],
         drawn.after_ms, drawn.pause_ms, drawn.times, drawn.gap_ms, drawn.pick);
  fflush(stdout);
  if (drawn.kind != START_LATE)
    start_thread(run_pauses);
  return 0;
}

void runner_spawned(int i) {
  if (!is_on || drawn.kind != START_LATE || i != late_process())
    return;
  runner_suspend(i);
  start_thread(resume_late);
}
