/* pwsign.h: what a request is, whichever id, instance or connection it comes with. */
#ifndef PWSIGN_H
#define PWSIGN_H

#include "pwbuf.h"

#include <stdint.h>

/* The same for two requests whose caller's workspace, method, path and body are the same, else
** most likely another; never 0. It is no secret and proves nothing: whoever has a workspace's key
** could find two requests that share one, of that workspace alone. */
uint64_t pwsign_of(const char *workspace, const char *method, pw_span path,
                   pw_span body);

#endif
