/* peatwelld.c: main program of the daemon: reads the settings, runs a thread
** for each role, and handles signals. */
#define _GNU_SOURCE
#include "platform.h"
#include "pwagent.h"
#include "pwbuf.h"
#include "pwcontrol.h"
#include "pwentry.h"
#include "pwgateway.h"
#include "pwlimits.h"
#include "pwlog.h"
#include "pwmemory.h"
#include "pwproc.h"
#include "pwversion.h"

#include <argtable2.h>
#include <malloc.h>
#include <ne_socket.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Exit codes, documented in peatwelld(8). */
enum {
  EXIT_DONE = 0,
  EXIT_FAILED = 1,
  EXIT_BAD_USAGE = 2,
  EXIT_BAD_SETTINGS = 3
};

typedef pw_code (*role_run)(pw_proc *p, pw_buf *err);

/* A role of the process and the thread that runs it. */
typedef struct role {
  const char *name;
  role_run run;
  pthread_t thread;
  int started;
  pw_proc proc;
  pw_code code;
  atomic_int ended;
} role;

static void *run_role(void *arg) {
  role *r = arg;
  pw_buf err = {0};
  r->code = pwproc_init(&r->proc, r->proc.set, r->name, &err);
  if (r->code == PW_OK)
    r->code = r->run(&r->proc, &err);
  if (r->code != PW_OK)
    pwlog(LOG_CRIT, "failed", "role=%s code=%d reason=\"%s\"", r->name,
          (int)r->code, err.data ? err.data : "");
  pwbuf_free(&err);
  atomic_store(&r->ended, 1);
  kill(getpid(), SIGUSR1);
  return NULL;
}

/* Waits until all roles have ended. The first SIGTERM or SIGINT stops the
** roles, which finish requests in flight; the second one stops them without
** waiting. SIGHUP reloads the certificates. run_role sends SIGUSR1 when a
** role has ended, and then the other roles are stopped too. */
static void wait_for_roles(role *roles, int n, const sigset_t *signals) {
  int level = 0;
  for (;;) {
    int running = 0;
    for (int i = 0; i < n; i++) {
      int ended = atomic_load(&roles[i].ended);
      running += roles[i].started && !ended;
      if (ended && !level)
        level = 1;
    }
    for (int i = 0; i < n; i++)
      if (level > atomic_load(&roles[i].proc.stopping))
        atomic_store(&roles[i].proc.stopping, level);
    if (!running)
      return;
    int sig = 0;
    sigwait(signals, &sig);
    if (sig == SIGTERM || sig == SIGINT)
      level++;
    for (int i = 0; i < n && sig == SIGHUP; i++)
      atomic_store(&roles[i].proc.renew, 1);
  }
}

static void block_signals(sigset_t *signals) {
  sigemptyset(signals);
  sigaddset(signals, SIGTERM);
  sigaddset(signals, SIGINT);
  sigaddset(signals, SIGUSR1);
  sigaddset(signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, signals, NULL);
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);
}

#define BYTES_PER_MB (1024.0 * 1024)

/* Memory that the connections of the process may hold, bytes. */
static size_t connection_memory(const pw_settings *set) {
  int64_t mb =
      pwset_has_role(set, "gateway") ? set->gateway_memory : set->memory;
  return (size_t)(PW_MEMORY_SHARE * (double)mb * BYTES_PER_MB);
}

/* A block of at least this many bytes is mapped by itself: it grows without a copy, and goes back to the system when it
** is freed. Without a fixed value the C library raises it up to 32 MB, and freed bodies stay with the process. */
#define MAPPED_BLOCK (128 * 1024)

static int run(const pw_settings *set, const char *role_names) {
  role roles[] = {{.name = "control", .run = pwcontrol_run},
                  {.name = "entry", .run = pwentry_run},
                  {.name = "agent", .run = pwagent_run},
                  {.name = "gateway", .run = pwgateway_run}};
  enum { N = sizeof roles / sizeof roles[0] };
  sigset_t signals;
  pw_memory memory;
  pwmemory_init(&memory, connection_memory(set));
  mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK);
  block_signals(&signals);
  pwlog_init(set->name, role_names);
  for (int i = 0; i < N; i++) {
    roles[i].proc.set = set;
    roles[i].proc.dialect = &platform_dialect;
    roles[i].proc.memory = &memory;
    if (!pwset_has_role(set, roles[i].name))
      continue;
    roles[i].started =
        pthread_create(&roles[i].thread, NULL, run_role, &roles[i]) == 0;
  }
  pwlog(LOG_NOTICE, "start", "version=%s", PW_VERSION);
  wait_for_roles(roles, N, &signals);
  int code = EXIT_DONE;
  for (int i = 0; i < N; i++) {
    if (!roles[i].started)
      continue;
    pthread_join(roles[i].thread, NULL);
    if (roles[i].code != PW_OK)
      code = EXIT_FAILED;
    pwproc_free(&roles[i].proc);
  }
  pwlog(LOG_NOTICE, "stop", "code=%d", code);
  return code;
}

static void join_roles(const pw_settings *set, pw_buf *out) {
  for (int i = 0; i < set->roles.n; i++)
    pwbuf_fmt(out, "%s%s", i ? "," : "", set->roles.item[i]);
}

static int run_with_settings(const char *path, int check) {
  pw_settings set;
  pw_buf err = {0};
  pw_buf role_list = {0};
  int code = EXIT_BAD_SETTINGS;
  if (pwset_read(&set, path, &err) != PW_OK) {
    fputs(err.data, stderr);
  } else if (check) {
    printf("%s: ok\n", path);
    code = EXIT_DONE;
  } else {
    join_roles(&set, &role_list);
    code = run(&set, role_list.data);
  }
  pwbuf_free(&role_list);
  pwbuf_free(&err);
  pwset_free(&set);
  return code;
}

static int print_settings(void) {
  pw_buf out = {0};
  pwset_document(&out);
  fputs(out.data, stdout);
  pwbuf_free(&out);
  return EXIT_DONE;
}

int main(int argc, char **argv) {
  struct arg_file *config =
      arg_file0("c", "config", "FILE", "settings file (TOML)");
  struct arg_lit *check =
      arg_lit0(NULL, "check", "check the settings file and exit");
  struct arg_lit *settings = arg_lit0(
      NULL, "settings", "print the reference of all settings as Markdown");
  struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(8);
  void *table[] = {config, check, settings, version, help, end};
  int code = EXIT_BAD_USAGE;
  if (sodium_init() < 0 || ne_sock_init() != 0)
    return EXIT_FAILED;
  int errors = arg_parse(argc, argv, table);
  if (help->count) {
    printf("Usage: peatwelld");
    arg_print_syntax(stdout, table, "\n");
    arg_print_glossary(stdout, table, "  %-20s %s\n");
    code = EXIT_DONE;
  } else if (version->count) {
    printf("peatwelld %s\n", PW_VERSION);
    code = EXIT_DONE;
  } else if (settings->count) {
    code = print_settings();
  } else if (errors || !config->count) {
    arg_print_errors(stderr, end, "peatwelld");
    fputs("peatwelld: --config FILE is needed; see --help\n", stderr);
  } else {
    code = run_with_settings(config->filename[0], check->count);
  }
  arg_freetable(table, sizeof table / sizeof table[0]);
  return code;
}
