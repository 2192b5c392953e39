/* pwdesired.c: the desired state of an agent's target. */
#include "pwdesired.h"

#include "pwbuf.h"

#include <string.h>

void pwdesired_init(pw_desired *c, pw_proc *p) {
  *c = (pw_desired){.p = p};
  c->order = pworder_start(p, p->set->agent_url);
}

int pwdesired_stop(pw_desired *c) {
  return pworder_stop(c->order);
}

static pw_desired_pool *find_pool(const pw_desired *c, const char *name) {
  for (int i = 0; i < c->npools; i++)
    if (!strcmp(c->pool[i].name, name))
      return (pw_desired_pool *)&c->pool[i];
  return NULL;
}

const pw_pool_sum *pwdesired_pool(const pw_desired *c, const char *name) {
  const pw_desired_pool *p = find_pool(c, name);
  return p ? &p->sum : NULL;
}

int pwdesired_is_pool_of(const char *pool, const char *model) {
  size_t n = strlen(model);
  return !strncmp(pool, model, n) && (!pool[n] || pool[n] == '@');
}

/* The pools being read, and the earlier ones with their load sums. */
typedef struct reading {
  const pw_desired *before;
  pw_desired *c;
} reading;

static void add_pool(void *arg, const char *name) {
  const reading *rd = arg;
  if (find_pool(rd->c, name) || rd->c->npools == PWDESIRED_POOLS)
    return;
  const pw_desired_pool *old = find_pool(rd->before, name);
  pw_desired_pool *p = &rd->c->pool[rd->c->npools++];
  *p = old ? *old : (pw_desired_pool){.sum = {.targets = 1}};
  pw_copy(p->name, sizeof p->name, name);
}

int pwdesired_update(pw_desired *c, const pw_res *r) {
  const char *target = c->p->set->agent_target;
  const pw_resource *one = pwres_get(r, "target", target);
  const pw_desired before = *c;
  reading rd = {&before, c};
  json_t *spec = one ? json_loads(one->spec, 0, NULL) : NULL;
  c->known = one != NULL;
  c->drain = json_is_true(json_object_get(spec, "drain"));
  if (c->drain != before.drain)
    pwevent_add(c->p->events, PWE_DRAIN, 0, NULL, NULL, target, "drain=%d",
                c->drain);
  pwassign_read(r, target, &c->assignment);
  c->npools = 0;
  pwassign_each_pool(&c->assignment, json_object_get(spec, "models"), add_pool,
                     &rd);
  size_t i;
  const json_t *service;
  json_array_foreach(json_object_get(spec, "services"), i, service) {
    add_pool(&rd, json_string_value(service));
  }
  json_decref(spec);
  if (!before.known)
    return 0; /* read for the first time */
  int changed = c->npools != before.npools;
  for (int k = 0; k < c->npools; k++)
    changed |= !find_pool(&before, c->pool[k].name);
  return changed;
}

/* The load sums are dated back to the Hello that the Welcome answers. */
void pwdesired_set_sums(pw_desired *c, const Pw__Welcome *w) {
  for (size_t i = 0; i < w->n_pools; i++) {
    pw_desired_pool *p = find_pool(c, w->pools[i]->pool);
    if (!p)
      continue;
    p->sum = (pw_pool_sum){.tokens = (double)w->pools[i]->tokens,
                           .rate = (double)w->pools[i]->rate,
                           .targets = (int)w->pools[i]->targets,
                           .at = w->echo,
                           .age = w->pools[i]->age};
  }
}

void pwdesired_apply(pw_desired *c,
                     int (*is_busy)(void *arg, const char *model), void *arg,
                     int64_t until) {
  pw_order_want want;
  const pw_assignment *a = &c->assignment;
  memset(&want, 0, sizeof want);
  want.term = a->term;
  want.sequence = a->sequence;
  pw_copy(want.role, sizeof want.role, a->role);
  for (int i = 0; i < a->nmodels; i++) {
    pw_order_item *it = &want.item[want.n++];
    it->want = a->model[i];
    it->idle = !it->want.has_serve && !is_busy(arg, it->want.model);
  }
  pworder_set_want(c->order, &want, until);
}

int pwdesired_state_changed(pw_desired *c) {
  return pworder_changes(c->order) != c->state_taken;
}

void pwdesired_take_state(pw_desired *c, Pw__TargetState *out) {
  pw__target_state__init(out);
  out->target = c->p->set->agent_target;
  c->state_taken = pworder_changes(c->order);
  pworder_state(c->order, out);
}
