/* pwhand.h: sends the configuration document to the gateways that want it. A
** gateway gets it from this instance, or from another gateway that holds it
** (pwspread); what is sent from here is paced (pwpace). */
#ifndef PWHAND_H
#define PWHAND_H

#include "pwdoc.h"
#include "pwpace.h"
#include "pwwire.h"

typedef struct pw_hand pw_hand;

/* Sends `doc` through `listener`. */
pw_hand *pwhand_new(pw_sock *listener, const pw_doc *doc);
void pwhand_free(pw_hand *h);

/* A gateway reported the version that it holds, and whether it wants a newer
** one. */
void pwhand_watch(pw_hand *h, const pw_peer *from, uint64_t incarnation,
                  const Pw__Watch *m, int64_t now);

/* A gateway was dropped. */
void pwhand_drop(pw_hand *h, const pw_peer *from, uint64_t incarnation);

/* Serves the gateways that wait, as far as the link has room. */
void pwhand_serve(pw_hand *h, pw_pace *link, int64_t now);

#endif
