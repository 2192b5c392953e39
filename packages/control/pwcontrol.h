/* pwcontrol.h: the control role: stores resources and the once-ledger,
** distributes changes. */
#ifndef PWCONTROL_H
#define PWCONTROL_H

#include "pwproc.h"

/* Runs until p->stopping is set and leadership is transferred. Reasons for a
** failure go to err. */
pw_code pwcontrol_run(pw_proc *p, pw_buf *err);

#endif
