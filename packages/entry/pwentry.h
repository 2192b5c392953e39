/* pwentry.h: the entry role: callers' requests in, answers out. */
#ifndef PWENTRY_H
#define PWENTRY_H

#include "pwproc.h"

/* Runs until p->stopping and nothing is in progress. Reasons go to err. */
pw_code pwentry_run(pw_proc *p, pw_buf *err);

#endif
