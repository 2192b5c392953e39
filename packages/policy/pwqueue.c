/* pwqueue.c: weighted fair queue with deadlines. */
#include "pwqueue.h"

#include "pwbuf.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* One workspace's items, kept in order of priority, then deadline. */
typedef struct flow {
  char workspace[PW_NAME_MAX];
  double weight;
  double start; /* virtual time at which its next item may start */
  double tokens;
  pw_item *item;
  int n;
  int cap;
  int at; /* the item that pwqueue_next looks at next */
  UT_hash_handle hh;
} flow;

struct pw_queue {
  flow *flows;
  int cap;
  int count;
  double tokens;
  double now;      /* virtual time: start of the item served last */
  int yield_every; /* 0: never */
  int yields;      /* pwqueue_next gives what yielding calls for first */
  unsigned served;
  unsigned served_at[PWQUEUE_LEVELS]; /* when each priority was served last */
};

pw_queue *pwqueue_new(int cap) {
  pw_queue *q = pw_alloc(sizeof *q);
  q->cap = cap;
  return q;
}

static void drop_flow(pw_queue *q, flow *f) {
  HASH_DEL(q->flows, f);
  free(f->item);
  free(f);
}

void pwqueue_free(pw_queue *q) {
  if (!q)
    return;
  flow *f, *tmp;
  HASH_ITER(hh, q->flows, f, tmp) {
    drop_flow(q, f);
  }
  free(q);
}

void pwqueue_yield(pw_queue *q, int every) {
  q->yield_every = every;
}

int pwqueue_count(const pw_queue *q) {
  return q->count;
}

double pwqueue_tokens(const pw_queue *q) {
  return q->tokens;
}

static flow *flow_of(pw_queue *q, const pw_item *item) {
  flow *f;
  HASH_FIND_STR(q->flows, item->workspace, f);
  if (!f) {
    f = pw_alloc(sizeof *f);
    pw_copy(f->workspace, sizeof f->workspace, item->workspace);
    f->start = q->now;
    HASH_ADD_STR(q->flows, workspace, f);
  }
  f->weight = item->weight < 1 ? 1 : item->weight;
  return f;
}

static int goes_before(const pw_item *a, const pw_item *b) {
  if (a->priority != b->priority)
    return a->priority > b->priority;
  return a->deadline < b->deadline;
}

static void insert(pw_queue *q, flow *f, const pw_item *item) {
  if (f->n == f->cap) {
    f->cap = f->cap ? f->cap * 2 : 8;
    pw_item *grown = realloc(f->item, sizeof *grown * (size_t)f->cap);
    if (!grown)
      abort();
    f->item = grown;
  }
  int at = f->n;
  while (at > 0 && goes_before(item, &f->item[at - 1]))
    at--;
  memmove(f->item + at + 1, f->item + at,
          sizeof *f->item * (size_t)(f->n - at));
  f->item[at] = *item;
  f->n++;
  f->tokens += item->cost;
  q->count++;
  q->tokens += item->cost;
}

/* Takes item i of a flow. An emptied flow is kept while it is ahead of the
** virtual time, so that coming back does not make it first again. */
static void *take(pw_queue *q, flow *f, int i) {
  void *job = f->item[i].job;
  f->tokens -= f->item[i].cost;
  q->tokens -= f->item[i].cost;
  q->count--;
  f->n--;
  memmove(f->item + i, f->item + i + 1, sizeof *f->item * (size_t)(f->n - i));
  if (f->n == 0 && f->start <= q->now)
    drop_flow(q, f);
  return job;
}

/* The flow that holds most tokens for its weight. */
static flow *largest(const pw_queue *q) {
  flow *most = NULL;
  for (flow *f = q->flows; f; f = f->hh.next)
    if (f->n && (!most || f->tokens / f->weight > most->tokens / most->weight))
      most = f;
  return most;
}

void *pwqueue_push(pw_queue *q, const pw_item *item) {
  if (q->cap <= 0)
    return item->job;
  insert(q, flow_of(q, item), item);
  if (q->count <= q->cap)
    return NULL;
  flow *f = largest(q);
  return take(q, f, f->n - 1);
}

/* Highest priority first, then the flow that may start earliest. */
static flow *next_flow(const pw_queue *q) {
  flow *best = NULL;
  for (flow *f = q->flows; f; f = f->hh.next) {
    if (f->at == f->n)
      continue;
    int above =
        best ? f->item[f->at].priority - best->item[best->at].priority : 1;
    if (above > 0 || (above == 0 && f->start < best->start))
      best = f;
  }
  return best;
}

static int level_of(const pw_item *item) {
  assert(item->priority >= 0 && item->priority < PWQUEUE_LEVELS);
  return item->priority;
}

/* The first item of the priority that was not served for longest; 0: none waits. */
static int longest_unserved(const pw_queue *q, pw_item *out) {
  const flow *from = NULL;
  const pw_item *best = NULL;
  for (const flow *f = q->flows; f; f = f->hh.next)
    for (int i = 0; i < f->n; i++) {
      const pw_item *one = &f->item[i];
      unsigned at = q->served_at[level_of(one)];
      unsigned least = best ? q->served_at[level_of(best)] : at + 1;
      if (at < least || (at == least && f != from && f->start < from->start)) {
        best = one;
        from = f;
      }
    }
  if (best)
    *out = *best;
  return best != NULL;
}

void pwqueue_rewind(pw_queue *q) {
  unsigned every = (unsigned)q->yield_every;
  q->yields = every && q->served % every == every - 1;
  for (flow *f = q->flows; f; f = f->hh.next)
    f->at = 0;
}

int pwqueue_yields(const pw_queue *q) {
  return q->yields;
}

int pwqueue_next(pw_queue *q, pw_item *out) {
  if (q->yields) {
    q->yields = 0;
    return longest_unserved(q, out);
  }
  flow *f = next_flow(q);
  if (!f)
    return 0;
  *out = f->item[f->at++];
  return 1;
}

int pwqueue_peek(pw_queue *q, pw_item *out) {
  pwqueue_rewind(q);
  return pwqueue_next(q, out);
}

/* Flows that were kept only for their virtual time go once it has passed. */
static void sweep(pw_queue *q) {
  flow *f, *tmp;
  HASH_ITER(hh, q->flows, f, tmp) {
    if (f->n == 0 && (f->start <= q->now || q->count == 0))
      drop_flow(q, f);
  }
}

/* Finds a job's flow and its place there; NULL when it does not wait. */
static flow *find(const pw_queue *q, const void *job, int *place) {
  for (flow *f = q->flows; f; f = f->hh.next)
    for (int i = 0; i < f->n; i++)
      if (f->item[i].job == job) {
        *place = i;
        return f;
      }
  return NULL;
}

void pwqueue_serve(pw_queue *q, const void *job) {
  int i = 0;
  flow *f = find(q, job, &i);
  if (!f)
    return;
  q->served_at[level_of(&f->item[i])] = ++q->served;
  if (f->start > q->now)
    q->now = f->start;
  else
    f->start = q->now;
  f->start += f->item[i].cost / f->weight;
  take(q, f, i);
  sweep(q);
}

void pwqueue_pop(pw_queue *q) {
  pw_item first;
  if (pwqueue_peek(q, &first))
    pwqueue_serve(q, first.job);
}

int pwqueue_remove(pw_queue *q, const void *job) {
  int i = 0;
  flow *f = find(q, job, &i);
  if (f)
    take(q, f, i);
  return f != NULL;
}

void *pwqueue_expired(pw_queue *q, int64_t now) {
  for (flow *f = q->flows; f; f = f->hh.next)
    for (int i = 0; i < f->n; i++)
      if (f->item[i].deadline <= now)
        return take(q, f, i);
  return NULL;
}

double pwqueue_of(const pw_queue *q, int priority) {
  double sum = 0;
  for (const flow *f = q->flows; f; f = f->hh.next)
    for (int i = 0; i < f->n; i++)
      if (f->item[i].priority == priority)
        sum += f->item[i].cost;
  return sum;
}

double pwqueue_ahead(const pw_queue *q, const char *workspace, double weight,
                     int priority) {
  double own = 0;
  double others = 0;
  double weights = weight;
  for (const flow *f = q->flows; f; f = f->hh.next) {
    double at_least = 0;
    for (int i = 0; i < f->n; i++)
      if (f->item[i].priority >= priority)
        at_least += f->item[i].cost;
    if (!strcmp(f->workspace, workspace)) {
      own = at_least;
    } else if (at_least > 0) {
      others += at_least;
      weights += f->weight;
    }
  }
  /* Others go before it only as far as their share while its own drain. */
  double share = weights > 0 ? weight / weights : 1;
  double fair = own / share - own;
  return own + (others < fair ? others : fair);
}
