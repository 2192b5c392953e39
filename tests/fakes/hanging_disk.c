/* hanging_disk.c: replaces fdatasync in peatwelld-hanging by one that waits while the simulated disk hangs.
** The disk hangs for HANG_MS after each SIGUSR2, and for FOR_MS from AFTER_MS after the start of the process
** when PW_DISK_HANGS="AFTER_MS,FOR_MS" is set. */
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

__attribute__((constructor)) static void read_settings(void) {
  const char *text = getenv("PW_DISK_HANGS");
  long after_ms, for_ms;
  signal(SIGUSR2, on_signal);
  if (!text || sscanf(text, "%ld,%ld", &after_ms, &for_ms) != 2)
    return;
  atomic_store(&hangs_from, now_ms() + after_ms);
  atomic_store(&hangs_until, now_ms() + after_ms + for_ms);
}

static int is_hanging(void) {
  long now = now_ms();
  return now >= atomic_load(&hangs_from) && now < atomic_load(&hangs_until);
}

int hanging_fdatasync(int fd) __asm__("fdatasync");

int hanging_fdatasync(int fd) {
  while (is_hanging())
    usleep(STEP_US);
  return (int)syscall(SYS_fdatasync, fd);
}
