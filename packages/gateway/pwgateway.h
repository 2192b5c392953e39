/* pwgateway.h: the gateway role: callers in, targets out, without an agent. */
#ifndef PWGATEWAY_H
#define PWGATEWAY_H

#include "pwproc.h"

/* Runs until a planned stop ends. */
pw_code pwgateway_run(pw_proc *p, pw_buf *err);

#endif
