/* pwcanaries.h: rollouts of services to targets of another version: takes
** the orders, and carries them out on the leader.
**
** All decisions go through the replicated log, as `service-rollout`
** resources: a leader that was cut off cannot commit, so none of its
** decisions reaches a gateway. Gateways report their answers as sums since
** the rollout began, so a new leader has all of them after the next message
** of each gateway. */
#ifndef PWCANARIES_H
#define PWCANARIES_H

#include "pwcanary.h"
#include "pwdialect.h"
#include "pwres.h"
#include "pwwatch.h"

typedef struct pw_canaries pw_canaries;

/* `expose_share`: the largest share of the requests of a service that a bad
** version may receive. */
pw_canaries *pwcanaries_new(const pw_res *res, const pw_watch *watch,
                            double expose_share);
void pwcanaries_free(pw_canaries *c);

/* Called when this instance begins to lead. */
void pwcanaries_start_leading(pw_canaries *c, int64_t now);

/* Takes the sums of answers that a gateway reports. */
void pwcanaries_report(pw_canaries *c, const Pw__Envelope *e);

/* Gives the change that an order asks for; NULL with PW_OK: this rollout is
** running or complete already, or the order is a repetition. PW_E_CONFLICT
** with a reason: another rollout of the service is running. PW_E_TOO_MANY:
** rollouts of PW_ROLLOUTS_MAX services are stored already. */
pw_code pwcanaries_order(pw_canaries *c, const pw_rollout_order *o,
                         Pw__Change **out, char *why, size_t cap);

/* The next change to propose, or NULL; freed with the pb functions. The
** caller calls pwcanaries_done when it was decided. */
Pw__Change *pwcanaries_next(pw_canaries *c, int64_t now);
void pwcanaries_done(pw_canaries *c);

/* The version and the state of the rollout of a service; PW_E_NOT_FOUND:
** there is none. */
pw_code pwcanaries_read(const pw_res *res, const char *service, char *version,
                        pw_canary *out);

/* All rollouts with the sums of their answers, as JSON; new reference. */
json_t *pwcanaries_json(pw_canaries *c, int64_t now);

#endif
