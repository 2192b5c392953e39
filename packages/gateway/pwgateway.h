/* pwgateway.h: the gateway role: forwards callers' requests directly to targets, without agents. */
#ifndef PWGATEWAY_H
#define PWGATEWAY_H

#include "pwproc.h"

/* Runs the gateway until a planned stop has ended. Errors of the settings are written to *err. */
pw_code pwgateway_run(pw_proc *p, pw_buf *err);

#endif
