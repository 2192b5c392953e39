/* pwcmd.h: the subcommands of `peatwell`. */
#ifndef PWCMD_H
#define PWCMD_H

#include "pwclient.h"

/* Exit codes; see peatwell(1). */
enum {
  PWEXIT_OK = 0,
  PWEXIT_FAILED = 1, /* refused by the API, or nothing answered */
  PWEXIT_USAGE = 2,
  PWEXIT_INPUT = 3,    /* an input file is invalid */
  PWEXIT_CONFLICT = 4, /* another change was made first */
  PWEXIT_WAIT = 5 /* changed, but not in force everywhere before the timeout */
};

/* Options that all subcommands share. */
typedef struct pw_options {
  pw_client client;
  int json;
  int wait;
  int dry_run;
  int follow;
  int end;     /* evacuate: end the evacuation */
  int seconds; /* report: how long to measure */
  const char *since;
  const char *chat;
  const char *request;
  const char *target;
  const char **args; /* positional */
  int nargs;
} pw_options;

int pwcmd_apply(pw_options *o);
int pwcmd_get(pw_options *o);
int pwcmd_delete(pw_options *o);
int pwcmd_watch(pw_options *o);
int pwcmd_status(pw_options *o);
int pwcmd_drain(pw_options *o);
int pwcmd_evacuate(pw_options *o);
int pwcmd_rollout(pw_options *o);
int pwcmd_timeline(pw_options *o);
int pwcmd_trace(pw_options *o);
int pwcmd_report(pw_options *o);
int pwcmd_requests(pw_options *o);
int pwcmd_backup(pw_options *o);
int pwcmd_restore(pw_options *o);
int pwcmd_check(pw_options *o);
int pwcmd_keygen(pw_options *o);
int pwcmd_keyhash(pw_options *o);

/* Prints an answer as JSON with `--output json`; gives whether it did. */
int pwcmd_print_json(const pw_options *o, const json_t *answer);

/* Prints an error as one line with its code; gives the exit code. */
int pwcmd_error(pw_code code, const char *message);

/* The processes of the fleet as a JSON list of {http, role}; new reference. */
json_t *pwcmd_processes(pw_options *o);

/* Waits until `revision` is in force everywhere and shows the progress;
** gives the exit code. */
int pwcmd_wait_in_force(pw_options *o, json_int_t revision);

/* Reads the resources of TOML files into a JSON list; NULL after printing
** what is invalid. */
json_t *pwcmd_read_files(const char *const *files, int n);

#endif
