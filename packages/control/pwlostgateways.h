/* pwlostgateways.h: gateways that were heard once and are silent now.
**
** A gateway that is back after all control instances that it knew were
** replaced has nobody to ask, so control calls it: the leader connects to the
** relay address of each lost gateway and sends the members of the group. All
** control instances keep the list and send it to each other, so that it
** outlives each of them. */
#ifndef PWLOSTGATEWAYS_H
#define PWLOSTGATEWAYS_H

#include "pwproc.h"

typedef struct pw_lost_gateways pw_lost_gateways;

/* Calls gateways through `dialler`. */
pw_lost_gateways *pwlost_new(pw_proc *p, pw_sock *dialler);
void pwlost_free(pw_lost_gateways *l);

/* The gateway with this relay address was last heard `age_ms` ago. */
void pwlost_add(pw_lost_gateways *l, const char *relay, int64_t age_ms,
                int64_t now);

/* The gateway was heard again. */
void pwlost_remove(pw_lost_gateways *l, const char *relay);

/* Adds the list to a Notice. The caller frees it with pwlost_clear. */
void pwlost_fill(const pw_lost_gateways *l, Pw__Notice *n, int64_t now);
void pwlost_clear(Pw__Notice *n);

/* Forgets gateways that were lost long ago. Sends the wire addresses `control`
** of the members to lost gateways in turn, if this instance leads. */
void pwlost_tick(pw_lost_gateways *l, int leads, char **control,
                 size_t ncontrol, int64_t now);

#endif
