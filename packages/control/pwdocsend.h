/* pwdocsend.h: sends the configuration document to the gateways that want it.
** A gateway gets it from this instance, at a limited rate (pwpace), or from
** another gateway that holds it (pwspread). */
#ifndef PWDOCSEND_H
#define PWDOCSEND_H

#include "pwdoc.h"
#include "pwpace.h"
#include "pwwire.h"

typedef struct pw_docsend pw_docsend;

/* Sends `doc` through `listener`. */
pw_docsend *pwdocsend_new(pw_sock *listener, const pw_doc *doc);
void pwdocsend_free(pw_docsend *h);

/* A gateway reported the version that it holds, and whether it wants a newer
** one. */
void pwdocsend_watch(pw_docsend *h, const pw_peer *from, uint64_t incarnation,
                     const Pw__Watch *m, int64_t now);

/* A gateway was dropped. */
void pwdocsend_drop(pw_docsend *h, const pw_peer *from, uint64_t incarnation);

/* Serves the gateways that wait, as far as the link has room. */
void pwdocsend_serve(pw_docsend *h, pw_pace *link, int64_t now);

#endif
