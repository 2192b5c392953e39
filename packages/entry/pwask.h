/* pwask.h: reads a caller's HTTP request into a call. */
#ifndef PWASK_H
#define PWASK_H

#include "pwcall.h"

/* Reads and checks the request against the configuration. PW_OK, or the code
** to refuse with and a message. */
pw_code pwask_read(pw_http *h, const pw_view *view, pw_call *c, char *message,
                   size_t cap);

#endif
