/* pwreportcmd.c: `peatwell report`: measures cache hits, load skew and
** control traffic of the fleet for a time; prints a table and draws charts
** in an HTML file. */
#include "pwcmd.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwfetch.h"
#include "pwjson.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define METRICS_MAX (1024 * 1024)
#define TIMEOUT_S 5
#define SECONDS_MAX 3600
#define PANEL_W 640
#define PANEL_H 90
#define WORKSPACES_MAX 64
#define NAME_BYTES 64

/* Figures from one process's /metrics. */
typedef struct sample {
  double cached, prompt, control, requests, not_run, load;
  int ok;
} sample;

typedef struct process {
  const char *http;
  int is_agent;
  sample now, before;
} process;

/* Figures of the whole fleet over one second. */
typedef struct second {
  double hit;      /* % of prompt tokens cached */
  double skew;     /* load of the busiest target over the mean */
  double control;  /* bytes/s of the process with the most control traffic */
  double requests; /* a second */
  double refused;  /* a second */
} second;

typedef struct workspace {
  char name[NAME_BYTES];
  int refused;
} workspace;

typedef struct report {
  process *p;
  int n;
  second *s;
  int ns;
  workspace w[WORKSPACES_MAX];
  int nw;
} report;

static double counter(const char *text, const char *name) {
  char key[96];
  snprintf(key, sizeof key, "\npeatwell_%s ", name);
  const char *at = strstr(text, key);
  return at ? atof(at + strlen(key)) : 0;
}

static void read_process(process *p) {
  pw_buf out = {0};
  char url[128];
  int status = 0;
  snprintf(url, sizeof url, "http://%s", p->http);
  p->before = p->now;
  pw_code rc = pwfetch_text(url, "GET", "/metrics", NULL, 0, NULL, TIMEOUT_S,
                            METRICS_MAX, &status, &out);
  const char *t = out.data ? out.data : "";
  p->now = (sample){.ok = rc == PW_OK && status == 200,
                    .cached = counter(t, "cached_tokens_total"),
                    .prompt = counter(t, "prompt_tokens_total"),
                    .control = counter(t, "control_sent_bytes_total") +
                               counter(t, "control_received_bytes_total"),
                    .requests = counter(t, "requests_total"),
                    .not_run = counter(t, "answers_not_run_total"),
                    .load = counter(t, "load_tokens")};
  pwbuf_free(&out);
}

/* The increase of a counter, which starts again from 0 when its process
** restarts. */
static double increase(double now, double before) {
  return now >= before ? now - before : now;
}

static second sum_up(const report *r, double seconds) {
  second s = {0};
  double cached = 0, prompt = 0, sum = 0, max = 0;
  int agents = 0;
  for (int i = 0; i < r->n; i++) {
    const process *p = &r->p[i];
    if (!p->now.ok || !p->before.ok)
      continue;
    double control = increase(p->now.control, p->before.control) / seconds;
    s.control = control > s.control ? control : s.control;
    cached += increase(p->now.cached, p->before.cached);
    prompt += increase(p->now.prompt, p->before.prompt);
    s.requests += increase(p->now.requests, p->before.requests) / seconds;
    s.refused += increase(p->now.not_run, p->before.not_run) / seconds;
    if (!p->is_agent)
      continue;
    agents++;
    sum += p->now.load;
    max = p->now.load > max ? p->now.load : max;
  }
  s.hit = prompt > 0 ? 100 * cached / prompt : 0;
  s.skew = sum > 0 ? max * agents / sum : 0;
  return s;
}

static void read_all(report *r) {
  for (int i = 0; i < r->n; i++)
    read_process(&r->p[i]);
}

static void measure(report *r, int seconds) {
  int64_t at = pwclock_ms();
  r->s = pw_alloc(sizeof *r->s * (size_t)seconds);
  read_all(r);
  while (r->ns < seconds) {
    int64_t next = at + 1000;
    int64_t wait = next - pwclock_ms();
    struct timespec ts = {0, wait > 0 ? wait % 1000 * 1000000 : 0};
    nanosleep(&ts, NULL);
    int64_t now = pwclock_ms();
    read_all(r);
    r->s[r->ns++] = sum_up(r, (double)(now - at) / 1000);
    at = now;
  }
}

/* --- refusals by workspace, from the event timeline --- */

static void count_refusal(report *r, const char *chat) {
  char name[NAME_BYTES];
  pw_copy(name, sizeof name, chat);
  name[strcspn(name, "/")] = 0;
  if (!name[0])
    pw_copy(name, sizeof name, "(no chat named)");
  for (int i = 0; i < r->nw; i++)
    if (!strcmp(r->w[i].name, name)) {
      r->w[i].refused++;
      return;
    }
  if (r->nw == WORKSPACES_MAX)
    return;
  pw_copy(r->w[r->nw].name, NAME_BYTES, name);
  r->w[r->nw++].refused = 1;
}

static void read_refusals(report *r, int64_t since_ms) {
  char path[64];
  snprintf(path, sizeof path, "/v1/events?since=%lld",
           (long long)since_ms << 16);
  for (int i = 0; i < r->n; i++) {
    json_t *events;
    size_t k;
    json_t *e;
    if (r->p[i].is_agent)
      continue; /* a request that an agent refuses may run at another target */
    pwclient_get(r->p[i].http, path, &events);
    json_array_foreach(events, k, e) {
      if (!strcmp(pwjson_text(e, "event"), "refused"))
        count_refusal(r, pwjson_text(e, "chat"));
    }
    json_decref(events);
  }
}

/* --- output --- */

typedef double (*field)(const second *s);

static double hit_of(const second *s) {
  return s->hit;
}

static double skew_of(const second *s) {
  return s->skew;
}

static double control_of(const second *s) {
  return s->control;
}

static double requests_of(const second *s) {
  return s->requests;
}

static double refused_of(const second *s) {
  return s->refused;
}

static const struct row {
  const char *name;
  field get;
  int skip_idle; /* the mean leaves out seconds without load */
} rows[] = {{"prompt tokens cached, %", hit_of, 1},
            {"skew, busiest target over mean", skew_of, 1},
            {"control bytes/s, busiest process", control_of, 0},
            {"requests/s", requests_of, 0},
            {"refused/s", refused_of, 0}};

#define NROWS (int)(sizeof rows / sizeof rows[0])

static void summarize(const report *r, const struct row *row, double *mean,
                      double *max) {
  int n = 0;
  *mean = 0;
  *max = 0;
  for (int i = 0; i < r->ns; i++) {
    double v = row->get(&r->s[i]);
    *mean += v;
    *max = v > *max ? v : *max;
    n += v > 0 || !row->skip_idle;
  }
  *mean /= n ? n : 1;
}

static void print_table(const report *r) {
  int agents = 0;
  for (int i = 0; i < r->n; i++)
    agents += r->p[i].is_agent;
  printf("%d seconds, %d processes, %d agents\n\n", r->ns, r->n, agents);
  printf("%-34s %10s %10s\n", "MEASURE", "MEAN", "MOST");
  for (int k = 0; k < NROWS; k++) {
    double mean, max;
    summarize(r, &rows[k], &mean, &max);
    printf("%-34s %10.2f %10.2f\n", rows[k].name, mean, max);
  }
  printf("\n%-34s %10s\n", "WORKSPACE", "REFUSED");
  for (int i = 0; i < r->nw; i++)
    printf("%-34s %10d\n", r->w[i].name, r->w[i].refused);
}

static void print_json(const report *r) {
  json_t *list = json_array();
  for (int i = 0; i < r->ns; i++) {
    const second *s = &r->s[i];
    json_array_append_new(
        list,
        json_pack("{s:f,s:f,s:f,s:f,s:f}", "cached_percent", s->hit, "skew",
                  s->skew, "control_bytes_per_s", s->control, "requests_per_s",
                  s->requests, "refused_per_s", s->refused));
  }
  json_t *refused = json_object();
  for (int i = 0; i < r->nw; i++)
    json_object_set_new(refused, r->w[i].name, json_integer(r->w[i].refused));
  json_t *o = json_pack("{s:i,s:o,s:o}", "processes", r->n, "seconds", list,
                        "refused", refused);
  json_dumpf(o, stdout, JSON_INDENT(2));
  putchar('\n');
  json_decref(o);
}

static void draw_panel(const report *r, FILE *f, int k, int y) {
  double mean, max;
  summarize(r, &rows[k], &mean, &max);
  fprintf(f,
          "<text x='10' y='%d'>%s: mean %.4g, most %.4g</text>\n"
          "<rect x='10' y='%d' width='%d' height='%d' fill='#f4f5f7'/>\n"
          "<polyline fill='none' stroke='#2a6f97' stroke-width='1.5' points='",
          y - 6, rows[k].name, mean, max, y, PANEL_W, PANEL_H);
  for (int i = 0; i < r->ns; i++)
    fprintf(f, "%.1f,%.1f ", 10 + (i + 0.5) * PANEL_W / r->ns,
            y + PANEL_H -
                (max > 0 ? rows[k].get(&r->s[i]) / max : 0) * (PANEL_H - 4));
  fprintf(f, "'/>\n");
}

static int write_html(const report *r, const char *path) {
  FILE *f = fopen(path, "w");
  if (!f) {
    perror(path);
    return PWEXIT_INPUT;
  }
  int height = NROWS * (PANEL_H + 30) + 20;
  fprintf(f,
          "<!doctype html>\n<meta charset='utf-8'>\n<title>peatwell</title>\n"
          "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
          "font-family='sans-serif' font-size='12'>\n",
          PANEL_W + 20, height);
  for (int k = 0; k < NROWS; k++)
    draw_panel(r, f, k, 24 + k * (PANEL_H + 30));
  fprintf(f, "</svg>\n<table>\n<tr><th>workspace<th>refused\n");
  for (int i = 0; i < r->nw; i++)
    fprintf(f, "<tr><td>%s<td>%d\n", r->w[i].name, r->w[i].refused);
  fprintf(f, "</table>\n");
  return fclose(f) == 0 ? PWEXIT_OK : PWEXIT_FAILED;
}

static void find_processes(report *r, const json_t *list) {
  size_t i;
  json_t *p;
  r->p = pw_alloc(sizeof *r->p * (json_array_size(list) + 1));
  json_array_foreach(list, i, p) {
    process *at = &r->p[r->n++];
    at->http = pwjson_text(p, "http");
    at->is_agent = !strcmp(pwjson_text(p, "role"), "agent");
  }
}

int pwcmd_report(pw_options *o) {
  report r = {0};
  if (o->seconds < 1 || o->seconds > SECONDS_MAX) {
    pwcmd_error(PW_E_USAGE, "--seconds: 1 to 3600 is allowed");
    return PWEXIT_USAGE;
  }
  json_t *list = pwcmd_processes(o);
  find_processes(&r, list);
  int64_t since = pwclock_wall_ms();
  measure(&r, o->seconds);
  read_refusals(&r, since);
  if (o->json)
    print_json(&r);
  else
    print_table(&r);
  int code = o->nargs ? write_html(&r, o->args[0]) : PWEXIT_OK;
  free(r.p);
  free(r.s);
  json_decref(list);
  return code;
}
