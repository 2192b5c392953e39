/* process.c: child processes, ports, temporary folders and time for scenarios. */
#define _GNU_SOURCE
#include "runner.h"

#include "pwclock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <lauxlib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROCESSES_MAX 1024
#define NAME_MAX_BYTES 64
#define ARGS_MAX 64
#define PORT_FIRST 10000 /* below the kernel's range for outgoing connections */
#define PORT_BLOCKS 20
#define PORTS 1000 /* ports in a block */

/* A spawned process. */
typedef struct child {
  pid_t pid; /* 0: the process has ended */
  char name[NAME_MAX_BYTES];
  int is_stopped; /* suspended by the scenario */
  int is_paused;  /* suspended by runner_suspend */
} child;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static child children[PROCESSES_MAX];
static int nchildren;

void runner_end_all(void) {
  pthread_mutex_lock(
      &lock); /* never unlocked, so that nothing is suspended from now on */
  for (int i = 0; i < nchildren; i++)
    if (children[i].pid > 0) {
      kill(children[i].pid, SIGCONT);
      kill(children[i].pid, SIGKILL);
      waitpid(children[i].pid, NULL, 0);
    }
}

static child *child_of(pid_t pid) {
  for (int i = 0; i < nchildren; i++)
    if (children[i].pid == pid)
      return &children[i];
  return NULL;
}

int runner_count(void) {
  pthread_mutex_lock(&lock);
  int n = nchildren;
  pthread_mutex_unlock(&lock);
  return n;
}

void runner_suspend(int i) {
  pthread_mutex_lock(&lock);
  child *c = &children[i];
  if (c->pid && !c->is_stopped && kill(c->pid, SIGSTOP) == 0) {
    c->is_paused = 1;
    printf("suspended: %s\n", c->name);
    fflush(stdout);
  }
  pthread_mutex_unlock(&lock);
}

void runner_resume(int i) {
  pthread_mutex_lock(&lock);
  child *c = &children[i];
  if (c->pid && c->is_paused && !c->is_stopped)
    kill(c->pid, SIGCONT);
  c->is_paused = 0;
  pthread_mutex_unlock(&lock);
}

/* Adds a process to the list; returns its index. */
static int add_child(pid_t pid, const char *log) {
  pthread_mutex_lock(&lock);
  int i = nchildren++;
  const char *slash = strrchr(log, '/');
  children[i].pid = pid;
  snprintf(children[i].name, sizeof children[i].name, "%s",
           slash ? slash + 1 : log);
  pthread_mutex_unlock(&lock);
  return i;
}

/* In the child: redirects the output to the log file, sets the limits and runs the program. */
static void exec_child(char **argv, const char *log, rlim_t file_limit,
                       rlim_t descriptors) {
  int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (fd >= 0) {
    dup2(fd, 1);
    dup2(fd, 2);
  }
  if (file_limit) {
    struct rlimit r = {file_limit, file_limit};
    setrlimit(RLIMIT_FSIZE, &r);
  }
  if (descriptors) {
    struct rlimit r = {descriptors, descriptors};
    setrlimit(RLIMIT_NOFILE, &r);
  }
  for (int i = 3; i < 1024; i++)
    close(i);
  execv(argv[0], argv);
  dprintf(2, "cannot run %s: %s\n", argv[0], strerror(errno));
  _exit(127);
}

/* spawn{argv..., log=FILE, file_limit=BYTES, descriptors=N} -> pid */
static int spawn(lua_State *L) {
  char *argv[ARGS_MAX + 1] = {0};
  int n = (int)luaL_len(L, 1);
  for (int i = 0; i < n && i < ARGS_MAX; i++) {
    lua_rawgeti(L, 1, i + 1);
    argv[i] = (char *)luaL_checkstring(L, -1);
  }
  lua_getfield(L, 1, "log");
  const char *log = luaL_checkstring(L, -1);
  lua_getfield(L, 1, "file_limit");
  rlim_t limit = (rlim_t)luaL_optinteger(L, -1, 0);
  lua_getfield(L, 1, "descriptors");
  rlim_t descriptors = (rlim_t)luaL_optinteger(L, -1, 0);
  if (nchildren == PROCESSES_MAX)
    return luaL_error(L, "too many processes");
  pid_t pid = fork();
  if (pid == 0)
    exec_child(argv, log, limit, descriptors);
  runner_spawned(add_child(pid, log));
  lua_pushinteger(L, pid);
  return 1;
}

static int send_signal(lua_State *L) {
  static const struct {
    const char *name;
    int sig;
  } signals[] = {{"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP},
                 {"CONT", SIGCONT}, {"HUP", SIGHUP},   {"USR2", SIGUSR2}};
  pid_t pid = (pid_t)luaL_checkinteger(L, 1);
  const char *name = luaL_checkstring(L, 2);
  pthread_mutex_lock(&lock);
  child *c = child_of(pid);
  for (size_t i = 0; i < sizeof signals / sizeof signals[0]; i++) {
    if (strcmp(signals[i].name, name) != 0)
      continue;
    if (c && signals[i].sig == SIGSTOP)
      c->is_stopped = 1;
    if (c && signals[i].sig == SIGCONT)
      c->is_stopped = 0;
    kill(pid, signals[i].sig);
  }
  pthread_mutex_unlock(&lock);
  return 0;
}

/* Whether a process has ended. Its pid is forgotten then, since another process may get it. */
static int has_ended(pid_t pid, int *status) {
  pthread_mutex_lock(&lock);
  int ended = waitpid(pid, status, WNOHANG) == pid;
  child *c = child_of(pid);
  if (ended && c)
    c->pid = 0;
  pthread_mutex_unlock(&lock);
  return ended;
}

/* wait(pid, ms) -> exit code, -signal, or nil when the process still runs */
static int wait_for(lua_State *L) {
  pid_t pid = (pid_t)luaL_checkinteger(L, 1);
  int64_t until = pwclock_ms() + luaL_checkinteger(L, 2);
  int status;
  for (;;) {
    if (has_ended(pid, &status))
      break;
    if (pwclock_ms() >= until)
      return 0;
    struct timespec ts = {0, 5000000};
    nanosleep(&ts, NULL);
  }
  lua_pushinteger(L,
                  WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status));
  return 1;
}

static int can_bind(int port, int type) {
  struct sockaddr_in at = {.sin_family = AF_INET,
                           .sin_port = htons((uint16_t)port),
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  int fd = socket(AF_INET, type, 0);
  int ok = fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof at) == 0;
  if (fd >= 0)
    close(fd);
  return ok;
}

/* Returns the first port of a block that no other runner uses, or 0 when all are in use. The lock of the
** block is held until this process ends. */
static int take_block(void) {
  for (int i = 0; i < PORT_BLOCKS; i++) {
    char path[64];
    snprintf(path, sizeof path, "/tmp/peatwell-ports-%d", i);
    int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0)
      return PORT_FIRST + i * PORTS;
    if (fd >= 0)
      close(fd);
  }
  return 0;
}

/* port() -> a free port of this runner's block. No port is returned twice, since a process may not yet
** listen on one that was returned before. */
static int free_port(lua_State *L) {
  static int first, next;
  if (!first)
    first = take_block();
  while (first && next < PORTS) {
    int port = first + next++;
    if (!can_bind(port, SOCK_STREAM) || !can_bind(port, SOCK_DGRAM))
      continue;
    lua_pushinteger(L, port);
    return 1;
  }
  return luaL_error(L, "no free port");
}

static int now_ms(lua_State *L) {
  lua_pushinteger(L, pwclock_ms());
  return 1;
}

static int pause_ms(lua_State *L) {
  lua_Integer ms = luaL_checkinteger(L, 1);
  struct timespec ts = {ms / 1000, ms % 1000 * 1000000};
  nanosleep(&ts, NULL);
  return 0;
}

static int temp_dir(lua_State *L) {
  char path[] = "/tmp/peatwell-XXXXXX";
  if (!mkdtemp(path))
    return luaL_error(L, "cannot make a temporary folder in /tmp");
  lua_pushstring(L, path);
  return 1;
}

void runner_open_process(lua_State *L) {
  static const luaL_Reg calls[] = {
      {"spawn", spawn},       {"signal", send_signal},
      {"wait", wait_for},     {"port", free_port},
      {"now", now_ms},        {"pause", pause_ms},
      {"temp_dir", temp_dir}, {NULL, NULL}};
  luaL_setfuncs(L, calls, 0);
}
