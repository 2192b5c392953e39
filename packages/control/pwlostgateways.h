/* pwlostgateways.h: gateways that this instance does not hear itself, and which
** of them are lost.
**
** A gateway that is back after all control instances that it knew were
** replaced has nobody to ask, so control calls it: the leader connects to the
** relay address of each lost gateway and sends the members of the group.
** Control instances tell each other when they last heard each gateway, so that
** this outlives each of them. */
#ifndef PWLOSTGATEWAYS_H
#define PWLOSTGATEWAYS_H

#include "pwproc.h"

typedef struct pw_lost_gateways pw_lost_gateways;

/* Calls gateways through `dialler`. */
pw_lost_gateways *pwlost_new(pw_proc *p, pw_sock *dialler);
void pwlost_free(pw_lost_gateways *l);

/* Some instance last heard the gateway with this relay address `age_ms` ago. */
void pwlost_add(pw_lost_gateways *l, const char *relay, int64_t age_ms,
                int64_t now);

/* The gateway is heard here. */
void pwlost_remove(pw_lost_gateways *l, const char *relay);

/* Number of gateways in the list. */
int pwlost_count(const pw_lost_gateways *l);

/* Adds a gateway to a Notice whose list has room for it. */
void pwlost_fill_one(Pw__Notice *n, char *relay, int64_t age_ms);

/* Adds the list in the same way. The caller frees all with pwlost_clear. */
void pwlost_fill(const pw_lost_gateways *l, Pw__Notice *n, int64_t now);
void pwlost_clear(Pw__Notice *n);

/* Gateways that nobody has heard for `silent_ms` are lost; forgets them after a
** long time. Sends the wire addresses `control` of the members to lost gateways
** in turn, if this instance leads. */
void pwlost_tick(pw_lost_gateways *l, int leads, char **control,
                 size_t ncontrol, int64_t silent_ms, int64_t now);

#endif
