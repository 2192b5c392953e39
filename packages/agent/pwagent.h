/* pwagent.h: the agent role: the last word on what its target carries. */
#ifndef PWAGENT_H
#define PWAGENT_H

#include "pwproc.h"

/* Runs until p->stopping and nothing is in progress. Reasons go to err. */
pw_code pwagent_run(pw_proc *p, pw_buf *err);

#endif
