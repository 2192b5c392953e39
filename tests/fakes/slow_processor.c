/* slow_processor.c: replaces read in peatwelld-slow by one that, once the process has received SIGUSR2, takes READ_US
** longer for each piece that it reads from a socket, as on a small share of a processor. */
#define _GNU_SOURCE
#include <signal.h>
#include <stdatomic.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#define READ_US 8000

/* Longest read of a counter that wakes up a thread, bytes. */
#define COUNTER_BYTES 8

static _Atomic int is_slow;

static void on_signal(int sig) {
  (void)sig;
  atomic_store(&is_slow, 1);
}

__attribute__((constructor)) static void await_signal(void) {
  signal(SIGUSR2, on_signal);
}

static int is_socket(int fd) {
  struct stat st;
  return fstat(fd, &st) == 0 && S_ISSOCK(st.st_mode);
}

ssize_t slow_read(int fd, void *data, size_t n) __asm__("read");

ssize_t slow_read(int fd, void *data, size_t n) {
  ssize_t got = syscall(SYS_read, fd, data, n);
  if (got > COUNTER_BYTES && atomic_load(&is_slow) && is_socket(fd))
    usleep(READ_US);
  return got;
}
