/* pwrollcall.h: API calls that order a rollout of a service, or read its
** state. */
#ifndef PWROLLCALL_H
#define PWROLLCALL_H

#include "pwctl.h"

/* Handles a call to a leader whose lease is valid: answers the call, or
** returns the change that must be committed first. */
Pw__Change *pwrollcall_order(pw_control *c, pw_api_call *call);
void pwrollcall_read(pw_control *c, pw_api_call *call);

/* Answers an order whose change was committed and applied. */
void pwrollcall_taken(pw_api_call *call);

#endif
