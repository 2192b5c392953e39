/* pwagent.h: the agent role: admits requests to its target, runs them there, and
** applies the target's desired state. */
#ifndef PWAGENT_H
#define PWAGENT_H

#include "pwproc.h"

/* Runs until p->stopping is set and no job is in progress. Returns PW_OK or a code
** with its reason in err. */
pw_code pwagent_run(pw_proc *p, pw_buf *err);

#endif
