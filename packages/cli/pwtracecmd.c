/* pwtracecmd.c: `peatwell trace`: prints the log lines of one request from
** all processes, with the changes that its instances logged of themselves
** and its targets around that time. */
#include "pwcmd.h"

#include "pwbuf.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 4096
#define NAMES_MAX 32
#define FIELD_BYTES 128

/* Seconds before the request's first line and after its last one within which
** lines about its targets and instances are shown. */
#define BEFORE_S 2.0
#define AFTER_S 1.0

typedef struct line {
  double ts;
  long number; /* position in the input; orders lines of the same time */
  char *text;  /* the line from "ts=" on */
} line;

typedef struct trace {
  line *lines;
  size_t n, cap;
  char target[NAMES_MAX][FIELD_BYTES];
  char instance[NAMES_MAX][FIELD_BYTES];
  int ntargets, ninstances;
  double first, last;
} trace;

/* Copies the value of a field; "" when it is missing. */
static void field(const char *text, const char *name, char *out) {
  size_t n = strlen(name);
  out[0] = 0;
  for (const char *p = text; (p = strstr(p, name)) != NULL; p += n) {
    if ((p != text && p[-1] != ' ') || p[n] != '=')
      continue;
    size_t len = strcspn(p + n + 1, " \n");
    len = len < FIELD_BYTES ? len : FIELD_BYTES - 1;
    memcpy(out, p + n + 1, len);
    out[len] = 0;
    return;
  }
}

static void add_name(char (*list)[FIELD_BYTES], int *n, const char *name) {
  for (int i = 0; i < *n; i++)
    if (!strcmp(list[i], name))
      return;
  if (name[0] && strcmp(name, "-") != 0 && *n < NAMES_MAX)
    pw_copy(list[(*n)++], FIELD_BYTES, name);
}

static int has_name(char (*list)[FIELD_BYTES], int n, const char *name) {
  for (int i = 0; i < n; i++)
    if (!strcmp(list[i], name))
      return 1;
  return 0;
}

static void add_line(trace *s, const char *text) {
  if (s->n == s->cap) {
    s->cap = s->cap ? s->cap * 2 : 1024;
    line *grown = pw_alloc(sizeof *grown * s->cap);
    if (s->n)
      memcpy(grown, s->lines, sizeof *grown * s->n);
    free(s->lines);
    s->lines = grown;
  }
  s->lines[s->n] = (line){atof(text + 3), (long)s->n, pw_dup(text)};
  s->n++;
}

/* Reads log lines; text before "ts=", such as a log collector's own stamp,
** is dropped. */
static void read_file(trace *s, FILE *f) {
  char text[LINE_BYTES];
  while (fgets(text, sizeof text, f)) {
    const char *at = strstr(text, "ts=");
    if (at && strstr(at, " ev="))
      add_line(s, at);
  }
}

static int read_files(trace *s, const pw_options *o) {
  if (o->nargs == 1)
    read_file(s, stdin);
  for (int i = 1; i < o->nargs; i++) {
    FILE *f = fopen(o->args[i], "r");
    if (!f) {
      fprintf(stderr, "peatwell: %s: %s\n", o->args[i], strerror(errno));
      return -1;
    }
    read_file(s, f);
    fclose(f);
  }
  return 0;
}

static int is_of_request(const char *text, const char *id) {
  char value[FIELD_BYTES];
  field(text, "req", value);
  return !strcmp(value, id);
}

/* Collects the time span, targets and instances of the request's own lines;
** gives their number. */
static int find_own(trace *s, const char *id) {
  char value[FIELD_BYTES];
  int found = 0;
  for (size_t i = 0; i < s->n; i++) {
    const line *l = &s->lines[i];
    if (!is_of_request(l->text, id))
      continue;
    if (!found || l->ts < s->first)
      s->first = l->ts;
    if (!found || l->ts > s->last)
      s->last = l->ts;
    found++;
    field(l->text, "target", value);
    add_name(s->target, &s->ntargets, value);
    field(l->text, "inst", value);
    add_name(s->instance, &s->ninstances, value);
  }
  return found;
}

/* Whether a line of no request, close in time, comes from one of the
** request's instances and is about that instance or one of the request's
** targets. */
static int is_around(trace *s, const line *l) {
  char value[FIELD_BYTES];
  if (l->ts < s->first - BEFORE_S || l->ts > s->last + AFTER_S)
    return 0;
  field(l->text, "req", value);
  if (value[0])
    return 0;
  field(l->text, "inst", value);
  if (!has_name(s->instance, s->ninstances, value))
    return 0;
  field(l->text, "target", value);
  return !value[0] || has_name(s->target, s->ntargets, value);
}

static int by_time(const void *a, const void *b) {
  const line *x = a;
  const line *y = b;
  if (x->ts != y->ts)
    return x->ts > y->ts ? 1 : -1;
  return (x->number > y->number) - (x->number < y->number);
}

static void print(trace *s, const char *id) {
  char instance[FIELD_BYTES];
  for (size_t i = 0; i < s->n; i++) {
    const line *l = &s->lines[i];
    int own = is_of_request(l->text, id);
    if (!own && !is_around(s, l))
      continue;
    field(l->text, "inst", instance);
    const char *event = strstr(l->text, " ev=");
    printf("%c %+9.3f s  %-16s %s", own ? '*' : ' ', l->ts - s->first, instance,
           event + 4);
  }
}

int pwcmd_trace(pw_options *o) {
  trace s = {0};
  if (o->nargs < 1) {
    pwcmd_error(PW_E_USAGE, "trace ID [LOG...]");
    return PWEXIT_USAGE;
  }
  int code = read_files(&s, o) == 0 ? PWEXIT_OK : PWEXIT_INPUT;
  if (code == PWEXIT_OK && find_own(&s, o->args[0]) == 0) {
    fprintf(stderr,
            "peatwell: no line of request %s; dropped lines are counted by "
            "ev=left-out\n",
            o->args[0]);
    code = PWEXIT_FAILED;
  }
  if (code == PWEXIT_OK) {
    qsort(s.lines, s.n, sizeof s.lines[0], by_time);
    print(&s, o->args[0]);
  }
  for (size_t i = 0; i < s.n; i++)
    free(s.lines[i].text);
  free(s.lines);
  return code;
}
