/* pwsitecall.h: the platform's calls to a control instance: configuration and
** heartbeats. The dialect reads them, this decides. */
#ifndef PWSITECALL_H
#define PWSITECALL_H

#include "pwapi.h"
#include "pwleave.h"
#include "pwpublish.h"
#include "pwreads.h"
#include "pwwatch.h"

/* HTTP thread: reads a call. PW_E_PATH when it is none of the platform's (or
** there is no dialect), else PW_OK or the code to refuse with. *of_target: it is what a target says
** of itself. */
pw_code pwsitecall_read(pw_http *h, const pw_dialect *d, pw_api_call **out,
                        int *of_target, char *message, size_t cap);

/* Control thread: does what it asks, and answers. */
void pwsitecall_take(pw_api_call *call, pw_group *g, pw_publish *p, pw_reads *r,
                     pw_watch *w, pw_leave *l, int64_t now);

/* Control thread: answers a read with the configuration applied here; sends a caller to
** the leader, or fails it when none is known. */
void pwsitecall_read_site(pw_api_call *call, const pw_group *g);
void pwsitecall_to_leader(pw_api_call *call, const pw_group *g);

#endif
