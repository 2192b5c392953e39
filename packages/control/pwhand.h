/* pwhand.h: the configuration's way from a control instance to the gateways that want it:
** sent from here, or by another gateway that holds it (pwspread), paced (pwpace). */
#ifndef PWHAND_H
#define PWHAND_H

#include "pwdoc.h"
#include "pwpace.h"
#include "pwwire.h"

typedef struct pw_hand pw_hand;

/* Hands on `doc` through `listener`. */
pw_hand *pwhand_new(pw_sock *listener, const pw_doc *doc);
void pwhand_free(pw_hand *h);

/* A gateway has said what it holds, and whether it wants a newer one. */
void pwhand_watch(pw_hand *h, const pw_peer *from, uint64_t incarnation,
                  const Pw__Watch *m, int64_t now);

/* A gateway has gone. */
void pwhand_drop(pw_hand *h, const pw_peer *from, uint64_t incarnation);

/* Serves those who wait, as far as the link has room. */
void pwhand_serve(pw_hand *h, pw_pace *link, int64_t now);

#endif
