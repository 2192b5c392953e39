/* pwquota.h: one entry's share of the workspaces' token rate limits. */
#ifndef PWQUOTA_H
#define PWQUOTA_H

#include "pwview.h"

#include <stdint.h>

typedef struct pw_quotas pw_quotas;

/* Quotas of an entry that started at `now`, ms. */
pw_quotas *pwquota_new(int64_t now);
void pwquota_free(pw_quotas *qs);

/* Charges a request's tokens to its workspace's rate limit. Each of `entries`
** enforces an equal share of the limit, since entries share no counter. Returns
** 0, or the ms until the request fits. */
int64_t pwquota_take(pw_quotas *qs, const pw_workspace *w, uint32_t entries,
                     double tokens, int64_t now);

#endif
