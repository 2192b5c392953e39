/* pwrollwire.c: rollouts of services in the form in which Notices carry them
** to gateways. */
#include "pwrollwire.h"

#include "pwbuf.h"
#include "pwcanary.h"
#include "pwjson.h"

#include <stdlib.h>

void pwrollwire_free(pw_rollwire *t) {
  for (size_t i = 0; i < t->n; i++)
    pw__service_rollout__free_unpacked(t->list[i], NULL);
  free(t->list);
  *t = (pw_rollwire){0};
}

static Pw__ServiceRollout *pack(const pw_resource *one) {
  json_t *o = json_loads(one->spec, 0, NULL);
  Pw__ServiceRollout *r = pw_alloc(sizeof *r);
  pw__service_rollout__init(r);
  r->service = pw_dup(one->name);
  r->version = pw_dup(pwjson_text(o, "version"));
  r->begun = (uint64_t)pwjson_number(o, "begun", 0);
  r->share = (uint32_t)pwjson_number(o, "share", 0);
  r->state = (uint32_t)pwcanary_state_of(pwjson_text(o, "state"));
  json_decref(o);
  return r;
}

void pwrollwire_read(pw_rollwire *t, const pw_res *resources) {
  uint64_t revision = pwres_revision(resources);
  size_t n = 0;
  if (t->revision == revision)
    return;
  pwrollwire_free(t);
  t->revision = revision;
  for (const pw_resource *one = pwres_first(resources); one; one = one->next)
    n += (size_t)pwres_is_live(one, PW_KIND_SERVICE_ROLLOUT);
  t->list = pw_alloc(sizeof(void *) * (n + 1));
  for (const pw_resource *one = pwres_first(resources); one; one = one->next)
    if (pwres_is_live(one, PW_KIND_SERVICE_ROLLOUT))
      t->list[t->n++] = pack(one);
}
