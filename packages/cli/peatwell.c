/* peatwell.c: main program of `peatwell`, the operators' command line. */
#include "pwbuf.h"
#include "pwcmd.h"
#include "pwkeys.h"
#include "pwversion.h"
#include "pwview.h"

#include <argtable2.h>
#include <ne_socket.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 30000
#define ARGS_MAX 256

typedef struct command {
  const char *name;
  int (*run)(pw_options *o);
  const char *args;
  const char *help;
  int needs_server;
} command;

static const command commands[] = {
    {"apply", pwcmd_apply, "FILE...",
     "create or change the resources of TOML files; prints what changes", 1},
    {"get", pwcmd_get, "[KIND [NAME]]", "show resources", 1},
    {"delete", pwcmd_delete, "KIND NAME", "delete a resource", 1},
    {"watch", pwcmd_watch, "",
     "show changes after --since; --follow keeps watching", 1},
    {"status", pwcmd_status, "", "show what is in force where", 1},
    {"drain", pwcmd_drain, "TARGET [off]",
     "give a target no new work, or (off) work again", 1},
    {"evacuate", pwcmd_evacuate, "ZONE",
     "send nothing new to the targets of an availability zone; --end: stop "
     "that",
     1},
    {"rollout", pwcmd_rollout, "SERVICE [VERSION SECONDS]",
     "move a service to targets of another version, or show its rollout", 1},
    {"timeline", pwcmd_timeline, "", "merge the events of all processes", 1},
    {"trace", pwcmd_trace, "ID [LOG...]",
     "show the lines of one request in log files, or standard input", 0},
    {"requests", pwcmd_requests, "GATEWAY...",
     "show requests in flight at gateways (IP:PORT of their metrics), and the "
     "targets that they are at",
     0},
    {"report", pwcmd_report, "[FILE.html]", "measure the fleet for a while", 1},
    {"backup", pwcmd_backup, "FILE", "write all resources to a file", 1},
    {"restore", pwcmd_restore, "FILE",
     "write back the resources of a backup, all or none", 1},
    {"check", pwcmd_check, "SETTINGS...", "check settings files", 0},
    {"keygen", pwcmd_keygen, "FILE",
     "make a CURVE key pair; prints the public key", 0},
    {"keyhash", pwcmd_keyhash, "", "print the hash of a bearer key on stdin",
     0},
};

#define NCOMMANDS ((int)(sizeof commands / sizeof commands[0]))

int pwcmd_keygen(pw_options *o) {
  pw_buf out = {0};
  pw_buf err = {0};
  if (o->nargs != 1)
    return pwcmd_error(PW_E_USAGE, "keygen FILE") ? PWEXIT_USAGE : 0;
  int rc = pwkeys_generate(o->args[0], &out, &err);
  fputs(rc == 0 ? out.data : err.data, rc == 0 ? stdout : stderr);
  pwbuf_free(&out);
  pwbuf_free(&err);
  return rc == 0 ? PWEXIT_OK : PWEXIT_FAILED;
}

int pwcmd_keyhash(pw_options *o) {
  char key[256], hash[2 * PWVIEW_HASH_BYTES + 1];
  (void)o;
  if (scanf("%255s", key) != 1)
    return pwcmd_error(PW_E_USAGE, "a key on standard input is needed")
               ? PWEXIT_USAGE
               : 0;
  pwview_hash_key(key, hash);
  puts(hash);
  return PWEXIT_OK;
}

static void print_help(void) {
  puts("Usage: peatwell COMMAND [OPTION]... [ARGUMENT]...\n");
  for (int i = 0; i < NCOMMANDS; i++)
    printf("  %-9s %-14s %s\n", commands[i].name, commands[i].args,
           commands[i].help);
  puts("\n`peatwell COMMAND --help` shows a command's options.");
}

static const command *find(const char *name) {
  for (int i = 0; i < NCOMMANDS; i++)
    if (!strcmp(commands[i].name, name))
      return &commands[i];
  return NULL;
}

static int add_servers(pw_options *o, const char *list) {
  char *copy = pw_dup(list);
  char *save;
  for (char *s = strtok_r(copy, ",", &save); s; s = strtok_r(NULL, ",", &save))
    if (o->client.nservers < PWCLIENT_SERVERS)
      o->client.server[o->client.nservers++] = pw_dup(s);
  free(copy);
  return o->client.nservers;
}

/* Fills the servers and the key from options or the environment. */
static int find_server(pw_options *o, const char *server, const char *key) {
  char message[256];
  if (!server)
    server = getenv("PEATWELL_SERVER");
  if (!key)
    key = getenv("PEATWELL_KEY_FILE");
  if (!server || add_servers(o, server) == 0) {
    pwcmd_error(PW_E_USAGE, "--server IP:PORT or PEATWELL_SERVER is needed");
    return PWEXIT_USAGE;
  }
  if (key && pwclient_read_key(&o->client, key, message, sizeof message)) {
    pwcmd_error(PW_E_KEY, message);
    return PWEXIT_INPUT;
  }
  return PWEXIT_OK;
}

static const char *value(const struct arg_str *a) {
  return a->count ? a->sval[0] : NULL;
}

static int run(const command *cmd, int argc, char **argv) {
  struct arg_str *server = arg_str0("s", "server", "IP:PORT,...",
                                    "control instances or entries to ask");
  struct arg_str *key =
      arg_str0("k", "key-file", "FILE", "operator's bearer key");
  struct arg_str *output =
      arg_str0("o", "output", "table|json", "how to print (table)");
  struct arg_lit *wait =
      arg_lit0("w", "wait", "wait until it is in force everywhere");
  struct arg_int *timeout =
      arg_int0("t", "timeout", "SECONDS", "longest time to wait (30)");
  struct arg_lit *dry = arg_lit0("n", "dry-run", "only show the difference");
  struct arg_lit *follow =
      arg_lit0("f", "follow", "continue until interrupted");
  struct arg_lit *end_evacuation =
      arg_lit0(NULL, "end", "evacuate: end the evacuation");
  struct arg_str *since =
      arg_str0(NULL, "since", "N", "revision (watch) or ms since 1970");
  struct arg_int *seconds =
      arg_int0(NULL, "seconds", "N", "report: how long to measure (10)");
  struct arg_str *chat = arg_str0(NULL, "chat", "ID", "only this chat");
  struct arg_str *request =
      arg_str0(NULL, "request", "ID", "only this request");
  struct arg_str *target = arg_str0(NULL, "target", "NAME", "only this target");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_str *args = arg_strn(NULL, NULL, cmd->args, 0, ARGS_MAX, "");
  struct arg_end *end = arg_end(8);
  void *table[] = {
      server, key,     output, wait,    timeout, dry,  follow, end_evacuation,
      since,  seconds, chat,   request, target,  help, args,   end};
  int errors = arg_parse(argc, argv, table);
  int code = PWEXIT_USAGE;
  pw_options o = {.wait = wait->count,
                  .dry_run = dry->count,
                  .follow = follow->count,
                  .end = end_evacuation->count,
                  .since = value(since),
                  .seconds = seconds->count ? seconds->ival[0] : 10,
                  .chat = value(chat),
                  .request = value(request),
                  .target = value(target),
                  .args = args->sval,
                  .nargs = args->count};
  o.json = output->count && !strcmp(output->sval[0], "json");
  o.client.timeout_ms = timeout->count ? timeout->ival[0] * 1000 : TIMEOUT_MS;
  if (help->count) {
    printf("Usage: peatwell %s", cmd->name);
    arg_print_syntax(stdout, table, "\n");
    printf("\n%s\n\n", cmd->help);
    arg_print_glossary(stdout, table, "  %-28s %s\n");
    code = PWEXIT_OK;
  } else if (errors || (output->count && !o.json &&
                        strcmp(output->sval[0], "table") != 0)) {
    arg_print_errors(stderr, end, "peatwell");
    fprintf(stderr, "peatwell: see `peatwell %s --help`\n", cmd->name);
  } else {
    code = cmd->needs_server ? find_server(&o, value(server), value(key))
                             : PWEXIT_OK;
    if (code == PWEXIT_OK)
      code = cmd->run(&o);
  }
  for (int i = 0; i < o.client.nservers; i++)
    free((char *)o.client.server[i]);
  free(o.client.key);
  arg_freetable(table, sizeof table / sizeof table[0]);
  return code;
}

int main(int argc, char **argv) {
  signal(SIGPIPE, SIG_IGN);
  if (sodium_init() < 0 || ne_sock_init() != 0)
    return PWEXIT_FAILED;
  if (argc < 2 || !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
    print_help();
    return argc < 2 ? PWEXIT_USAGE : PWEXIT_OK;
  }
  if (!strcmp(argv[1], "--version")) {
    printf("peatwell %s\n", PW_VERSION);
    return PWEXIT_OK;
  }
  const command *cmd = find(argv[1]);
  if (!cmd) {
    fprintf(stderr, "peatwell: no command \"%s\"; see --help\n", argv[1]);
    return PWEXIT_USAGE;
  }
  return run(cmd, argc - 1, argv + 1);
}
