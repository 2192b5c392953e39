/* pwserved.c: which software versions of each service's targets serve or served lately. */
#include "pwserved.h"

#include "pwbuf.h"
#include "pwpb.h"

#include <stdlib.h>
#include <string.h>

static size_t find(const pw_served *s, const char *service) {
  size_t i = 0;
  while (i < s->n && strcmp(s->list[i]->service, service) != 0)
    i++;
  return i;
}

static void remove_at(pw_served *s, size_t i) {
  pw__served_versions__free_unpacked(s->list[i], NULL);
  s->list[i] = s->list[--s->n];
}

static void add(pw_served *s, const Pw__ServedVersions *m) {
  if (s->n == PWSERVED_SERVICES_MAX || m->n_versions == 0 ||
      m->n_versions > PWSERVED_VERSIONS_MAX)
    return;
  if (!s->list)
    s->list = pw_alloc(sizeof *s->list * PWSERVED_SERVICES_MAX);
  s->list[s->n++] = PWPB_COPY(m);
}

void pwserved_apply(pw_served *s, const Pw__ServedVersions *m) {
  size_t at = find(s, m->service);
  s->number++;
  if (at < s->n)
    remove_at(s, at);
  add(s, m);
}

const Pw__ServedVersions *pwserved_get(const pw_served *s,
                                       const char *service) {
  size_t at = find(s, service);
  return at < s->n ? s->list[at] : NULL;
}

int pwserved_has(const Pw__ServedVersions *m, const char *version) {
  for (size_t i = 0; m && i < m->n_versions; i++)
    if (!strcmp(m->versions[i], version))
      return 1;
  return 0;
}

void pwserved_replace(pw_served *s, Pw__ServedVersions *const *list, size_t n,
                      uint64_t number) {
  pwserved_free(s);
  for (size_t i = 0; i < n; i++)
    add(s, list[i]);
  s->number = number;
}

void pwserved_free(pw_served *s) {
  while (s->n)
    remove_at(s, s->n - 1);
  free(s->list);
  *s = (pw_served){0};
}
