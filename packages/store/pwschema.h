/* pwschema.h: checks of a resource's fields and of its references to others. */
#ifndef PWSCHEMA_H
#define PWSCHEMA_H

#include "pwcode.h"
#include "pwres.h"

#include <stddef.h>

/* Checks name and spec (JSON text) of a resource. PW_E_SCHEMA with a reason
** that begins with the field's path, such as "spec.weight: ...". */
pw_code pwschema_check(const char *kind, const char *name, const char *spec,
                       char *reason, size_t cap);

/* Checks that every resource that a spec names exists in `r`. PW_E_REFERENCE
** and a reason otherwise. */
pw_code pwschema_references(const pw_res *r, const char *kind, const char *spec,
                            char *reason, size_t cap);

/* Whether a resource that is not deleted refers to the resource kind/name. The
** reason then says which one. */
int pwschema_is_referenced(const pw_res *r, const char *kind, const char *name,
                           char *reason, size_t cap);

#endif
