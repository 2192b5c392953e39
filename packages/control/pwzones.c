/* pwzones.c: the availability zones that are evacuated, read from the
** resources. */
#include "pwzones.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

void pwzones_free(pw_zones *z) {
  for (size_t i = 0; i < z->n; i++)
    free(z->name[i]);
  free(z->name);
  *z = (pw_zones){0};
}

int pwzones_has(const pw_zones *z, const char *name) {
  for (size_t i = 0; i < z->n; i++)
    if (!strcmp(z->name[i], name))
      return 1;
  return 0;
}

static void add(pw_zones *z, const char *name) {
  if (z->n == z->cap) {
    z->cap = z->cap ? 2 * z->cap : 8;
    z->name = realloc(z->name, sizeof *z->name * z->cap);
    if (!z->name)
      abort();
  }
  z->name[z->n++] = pw_dup(name);
}

static void log_added(const pw_zones *now, const pw_zones *before,
                      const char *event) {
  for (size_t i = 0; i < now->n; i++)
    if (!pwzones_has(before, now->name[i]))
      pwlog(LOG_NOTICE, event, "availability_zone=%s revision=%llu",
            now->name[i], (unsigned long long)now->revision);
}

void pwzones_read(pw_zones *z, const pw_res *resources) {
  uint64_t revision = pwres_revision(resources);
  pw_zones now = {.revision = revision};
  if (z->revision == revision)
    return;
  for (const pw_resource *one = pwres_first(resources); one; one = one->next)
    if (pwres_is_live(one, PW_KIND_EVACUATION))
      add(&now, one->name);
  log_added(&now, z, "evacuation");
  z->revision = revision;
  log_added(z, &now, "evacuation-ended");
  pwzones_free(z);
  *z = now;
}
