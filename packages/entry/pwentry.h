/* pwentry.h: the entry role: takes callers' requests and returns the answers. */
#ifndef PWENTRY_H
#define PWENTRY_H

#include "pwproc.h"

/* Runs until p->stopping is set and no request is in progress. Returns PW_OK or
** a code with its reason in err. */
pw_code pwentry_run(pw_proc *p, pw_buf *err);

#endif
