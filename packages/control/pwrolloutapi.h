/* pwrolloutapi.h: API calls that order a rollout of a service, or read its
** state. */
#ifndef PWROLLOUTAPI_H
#define PWROLLOUTAPI_H

#include "pwctl.h"

/* Handles a call to a leader whose lease is valid: answers the call, or
** returns the change that must be committed first. */
Pw__Change *pwrolloutapi_order(pw_control *c, pw_api_call *call);
void pwrolloutapi_read(pw_control *c, pw_api_call *call);

/* Answers an order whose change was committed and applied. */
void pwrolloutapi_accepted(pw_api_call *call);

#endif
