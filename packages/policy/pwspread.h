/* pwspread.h: who hands a new document to whom, when all want it at once.
**
** Pure: time comes in as an argument. Answers this load: a configuration of 35 KB is
** wanted by a hundred gateways in the same moment, of a sender whose link carries
** twenty copies a second. Whoever holds the document hands it on to one other at a time,
** so those who hold it double with each turn; the sender itself serves who was failed by
** another, and all of them when the document is small. */
#ifndef PWSPREAD_H
#define PWSPREAD_H

#include <stddef.h>
#include <stdint.h>

/* A receiver that is served and then asks again after so long was failed, and a holder that
** was named for one serves it for so long at most, ms: 35 KB take 30 ms of a gateway's
** link of 10 Mbit/s, and a connection to a process that is gone takes for ever. */
#define PW_SPREAD_SERVE_MS 400

/* What nobody is named for: as much as the connection to another holder costs, bytes. */
#define PW_SPREAD_SMALL 2048

/* A receiver of the document, and later one that holds it. */
typedef struct pw_spread_place {
  uint64_t id;    /* not 0, and different from all others' */
  uint64_t holds; /* version */
  int can_hand;   /* it hands documents on */
  int64_t
      wants_at; /* since when it waits for a newer one, ms; 0: it does not */
  int64_t
      served_at; /* when it was sent the document or told of a holder; 0: not yet */
  uint64_t giver;     /* the holder that it was told of; 0: none */
  int64_t busy_until; /* it hands the document to another until then, ms */
  int failed;         /* times that it was served and nothing came */
} pw_spread_place;

/* It asks for something newer than it holds. */
void pwspread_want(pw_spread_place *p, int64_t now);

/* It holds a version now; `newest` is the newest there is. The holder that gave it, if any,
** is found in all[n] and is free again. */
void pwspread_holds(pw_spread_place *p, uint64_t version, uint64_t newest,
                    pw_spread_place *const *all, size_t n);

/* Who is served next: the longest waiting. Of those that were served and asked again one is served at a
** time, until it holds the document or PW_SPREAD_SERVE_MS are over: n receivers get n copies and one
** more each 400 ms, however long answers take. NULL: nobody waits. */
pw_spread_place *pwspread_first(pw_spread_place *const *all, size_t n,
                                int64_t now);

/* Who serves it: a holder of `newest`, or NULL with *own set: the sender itself, or NULL
** without: nobody can now. `has_room`: the sender's link has room; `bytes`: of the
** document as this receiver needs it. */
pw_spread_place *pwspread_giver(const pw_spread_place *to,
                                pw_spread_place *const *all, size_t n,
                                uint64_t newest, size_t bytes, int has_room,
                                int64_t now, int *own);

/* It is served: by that holder, or by the sender (NULL). */
void pwspread_serve(pw_spread_place *to, pw_spread_place *giver, int64_t now);

#endif
