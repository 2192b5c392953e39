/* pwcontrol.h: the control role: resources, once-ledger, distribution. */
#ifndef PWCONTROL_H
#define PWCONTROL_H

#include "pwproc.h"

/* Runs until p->stopping and leadership is handed over. Reasons go to err. */
pw_code pwcontrol_run(pw_proc *p, pw_buf *err);

#endif
