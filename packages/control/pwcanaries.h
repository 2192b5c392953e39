/* pwcanaries.h: services that are rolled out to targets of another version: the orders, and the
** leader's part in carrying them out.
**
** All it decides goes through the replicated log, as `service-rollout` resources: a leader
** that was cut off cannot commit, so none of it reaches a gateway. What gateways have seen they
** tell as sums since the roll-out began, so a new leader has all of it with their next
** messages. */
#ifndef PWCANARIES_H
#define PWCANARIES_H

#include "pwcanary.h"
#include "pwdialect.h"
#include "pwres.h"
#include "pwwatch.h"

typedef struct pw_canaries pw_canaries;

/* `expose_share`: most of a service's requests that a bad version may get. */
pw_canaries *pwcanaries_new(const pw_res *res, const pw_watch *watch,
                            double expose_share);
void pwcanaries_free(pw_canaries *c);

/* This instance begins to lead. */
void pwcanaries_lead(pw_canaries *c, int64_t now);

/* A gateway has told what was answered. */
void pwcanaries_heard(pw_canaries *c, const Pw__Envelope *e);

/* The change that an order asks for; NULL with PW_OK: it is under way, or done, already. Or
** PW_E_CONFLICT with a reason: another is under way; PW_E_TOO_MANY: of PW_ROLLOUTS_MAX services
** roll-outs are kept. */
pw_code pwcanaries_order(pw_canaries *c, const pw_rollout_order *o,
                         Pw__Change **out, char *why, size_t cap);

/* The next change to propose, or NULL; freed with the pb functions. The caller tells with
** pwcanaries_done when it was decided. */
Pw__Change *pwcanaries_next(pw_canaries *c, int64_t now);
void pwcanaries_done(pw_canaries *c);

/* Where a service's roll-out stands; PW_E_NOT_FOUND: there is none. */
pw_code pwcanaries_read(const pw_res *res, const char *service, char *version,
                        pw_canary *out);

/* All of them, with what was answered; new reference. */
json_t *pwcanaries_json(pw_canaries *c, int64_t now);

#endif
