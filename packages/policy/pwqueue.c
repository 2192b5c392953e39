/* pwqueue.c: weighted fair queue of waiting requests, with deadlines. */
#include "pwqueue.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* The items of one workspace, sorted by priority, then deadline. */
typedef struct flow {
  char workspace[PW_NAME_MAX];
  double weight;
  double start;  /* virtual time at which its next item may start */
  double tokens; /* sum over its items */
  pw_item *item;
  int n;
  int cap;
  UT_hash_handle hh;
} flow;

struct pw_queue {
  flow *flows;
  int cap;
  int count;
  double tokens;
  double now; /* virtual time: start of the item taken last */
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

/* Removes item i of a flow. An empty flow is kept while it is ahead of the
** virtual time, so that it is not put first again when its workspace
** returns. */
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

/* The flow with the most tokens for its weight. */
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
    if (!f->n)
      continue;
    int above = best ? f->item[0].priority - best->item[0].priority : 1;
    if (above > 0 || (above == 0 && f->start < best->start))
      best = f;
  }
  return best;
}

int pwqueue_peek(pw_queue *q, pw_item *out) {
  const flow *f = next_flow(q);
  if (!f)
    return 0;
  *out = f->item[0];
  return 1;
}

/* Drops empty flows whose virtual time has passed. */
static void sweep(pw_queue *q) {
  flow *f, *tmp;
  HASH_ITER(hh, q->flows, f, tmp) {
    if (f->n == 0 && (f->start <= q->now || q->count == 0))
      drop_flow(q, f);
  }
}

void pwqueue_pop(pw_queue *q) {
  flow *f = next_flow(q);
  if (!f)
    return;
  double cost = f->item[0].cost;
  if (f->start > q->now)
    q->now = f->start;
  else
    f->start = q->now;
  f->start += cost / f->weight;
  take(q, f, 0);
  sweep(q);
}

int pwqueue_remove(pw_queue *q, const void *job) {
  for (flow *f = q->flows; f; f = f->hh.next)
    for (int i = 0; i < f->n; i++)
      if (f->item[i].job == job) {
        take(q, f, i);
        return 1;
      }
  return 0;
}

void *pwqueue_expired(pw_queue *q, int64_t now) {
  for (flow *f = q->flows; f; f = f->hh.next)
    for (int i = 0; i < f->n; i++)
      if (f->item[i].deadline <= now)
        return take(q, f, i);
  return NULL;
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
  /* Other workspaces go first only by their share, while the requests of this
  ** workspace drain. */
  double share = weights > 0 ? weight / weights : 1;
  double fair = own / share - own;
  return own + (others < fair ? others : fair);
}
