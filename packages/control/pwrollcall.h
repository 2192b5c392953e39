/* pwrollcall.h: calls that order a service's roll-out, or ask where it stands. */
#ifndef PWROLLCALL_H
#define PWROLLCALL_H

#include "pwctl.h"

/* A call to the leader, under its lease: answers it, or gives the change that it waits for. */
Pw__Change *pwrollcall_order(pw_control *c, pw_api_call *call);
void pwrollcall_read(pw_control *c, pw_api_call *call);

/* The change was decided well. */
void pwrollcall_taken(pw_api_call *call);

#endif
