/* pwrequest.h: parses a caller's HTTP request into a call. */
#ifndef PWREQUEST_H
#define PWREQUEST_H

#include "pwcall.h"

/* Parses the request and checks it against the configuration. Returns PW_OK, or
** an error code with its message. */
pw_code pwrequest_read(pw_http *h, const pw_view *view, pw_call *c,
                       char *message, size_t cap);

#endif
