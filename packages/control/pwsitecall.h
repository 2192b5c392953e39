/* pwsitecall.h: calls of the platform to a control instance: configuration,
** heartbeats, rollouts and evacuations. The platform's dialect parses them. */
#ifndef PWSITECALL_H
#define PWSITECALL_H

#include "pwapi.h"
#include "pwleave.h"
#include "pwpublish.h"
#include "pwreads.h"
#include "pwwatch.h"

/* HTTP thread: parses a call. PW_E_PATH: it is not a call of the platform,
** or there is no dialect; else PW_OK or the code to refuse the call with.
** *is_heartbeat: the call is a heartbeat, or the report of a target that it
** leaves. */
pw_code pwsitecall_read(pw_http *h, const pw_dialect *d, pw_api_call **out,
                        int *is_heartbeat, char *message, size_t cap);

/* Control thread: carries out the call and answers it. */
void pwsitecall_handle(pw_api_call *call, pw_group *g, pw_publish *p,
                       pw_reads *r, pw_watch *w, pw_leave *l, int64_t now);

/* Control thread: answers a read with the configuration applied here;
** redirects a caller to the leader, or fails the call when no leader is
** known. */
void pwsitecall_answer_site(pw_api_call *call, const pw_group *g);
void pwsitecall_redirect_to_leader(pw_api_call *call, const pw_group *g);

#endif
