/* pwsitecall.h: the platform's calls to a control instance: configuration and
** heartbeats. The dialect reads them, this decides. */
#ifndef PWSITECALL_H
#define PWSITECALL_H

#include "pwapi.h"
#include "pwpublish.h"
#include "pwwatch.h"

/* HTTP thread: reads a call. PW_E_PATH when it is none of the platform's (or
** there is no dialect), else PW_OK or the code to refuse with. */
pw_code pwsitecall_read(pw_http *h, const pw_dialect *d, pw_api_call **out,
                        char *message, size_t cap);

/* Control thread: does what it asks, and answers. */
void pwsitecall_take(pw_api_call *call, pw_group *g, pw_publish *p, pw_watch *w,
                     int64_t now);

#endif
