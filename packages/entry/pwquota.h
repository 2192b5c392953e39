/* pwquota.h: workspaces' token limits at one entry. */
#ifndef PWQUOTA_H
#define PWQUOTA_H

#include "pwview.h"

#include <stdint.h>

typedef struct pw_quotas pw_quotas;

pw_quotas *pwquota_new(void);
void pwquota_free(pw_quotas *qs);

/* Takes a request's tokens from its workspace's limit, of which each of
** `entries` has an equal share: no counter is common to them. Gives 0, or the
** ms until there is room. */
int64_t pwquota_take(pw_quotas *qs, const pw_workspace *w, uint32_t entries,
                     double tokens, int64_t now);

#endif
