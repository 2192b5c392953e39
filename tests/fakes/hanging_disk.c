/* hanging_disk.c: a disk that hangs: what is synced waits until that is over. It hangs for HANG_MS from each
** SIGUSR2 on, and from PW_DISK_HANGS="AFTER_MS,FOR_MS" after the process's start. It stands in for
** fdatasync in peatwelld-hanging. */
#define _GNU_SOURCE
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define HANG_MS 6500
#define STEP_US 10000

static _Atomic long hangs_from, hangs_until; /* ms */

static long now_ms(void) {
  struct timespec ts;
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void on_signal(int sig) {
  (void)sig;
  atomic_store(&hangs_from, now_ms());
  atomic_store(&hangs_until, now_ms() + HANG_MS);
}

__attribute__((constructor)) static void read_plan(void) {
  const char *text = getenv("PW_DISK_HANGS");
  long after_ms, for_ms;
  signal(SIGUSR2, on_signal);
  if (!text || sscanf(text, "%ld,%ld", &after_ms, &for_ms) != 2)
    return;
  atomic_store(&hangs_from, now_ms() + after_ms);
  atomic_store(&hangs_until, now_ms() + after_ms + for_ms);
}

static int hangs(void) {
  long now = now_ms();
  return now >= atomic_load(&hangs_from) && now < atomic_load(&hangs_until);
}

int sync_when_back(int fd) __asm__("fdatasync");

int sync_when_back(int fd) {
  while (hangs())
    usleep(STEP_US);
  return (int)syscall(SYS_fdatasync, fd);
}
