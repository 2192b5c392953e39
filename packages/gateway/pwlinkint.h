/* pwlinkint.h: state of a gateway's links to control instances, for pwlink.c,
** pwfollow.c and pwrelay.c alone. */
#ifndef PWLINKINT_H
#define PWLINKINT_H

#include "pwgate.h"

#include "pwdoc.h"
#include "pwhear.h"
#include "pwlog.h"
#include "pwsuspects.h"

typedef struct pw_relay pw_relay;

/* A control instance. */
typedef struct contact {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int is_seed;
  uint64_t site; /* version it has told */
  int in_touch;
  int leads;
  int64_t heard_at; /* 0: never */
  int64_t watch_ms; /* how often it wants to hear of us */
  int64_t known_at, asked_at;
  int64_t dialled_at; /* 0: not yet */
  struct contact *next;
} contact;

struct pw_link {
  pw_gate *g;
  size_t suspects_at; /* of those to be told, in the next watch */
  pw_sock *sock;
  pw_doc *doc;
  contact *contacts;
  contact *primary; /* it tells all that is known of targets */
  int has_told_all; /* the primary, since it was chosen */
  int64_t chosen_at;
  int64_t dialled_at;  /* when one was dialled last */
  int64_t apart_at;    /* when it was last in touch, or others were not */
  int64_t second_at;   /* when no better one was known last */
  int64_t patience_ms; /* for the primary to tell all */
  int64_t site_at;     /* when the newest configuration came */
  int64_t behind_at;   /* when a newer one was told of first; 0: none was */
  int64_t wanted_at;   /* when it was asked for last, and of whom */
  contact *wanted_of;
  pw_reading *reading; /* of it, or of one before; NULL: it has been read */
  pw_site *before;     /* what it is read with, held */
  uint64_t read_version;
  size_t read_bytes;
  char helper[PW_NAME_MAX]; /* a gateway that was asked for it; "": none */
  pw_relay *relay;
  int ngateways;
  pw_hear hear;
};

/* Says to a control instance what is held here; `want`: and that a newer one is wanted. */
void pwlink_send_watch(pw_link *l, contact *c, int want, int64_t now);

/* Whether it was heard just now. */
int pwlink_is_fresh(const contact *c, int64_t now);

/* Its place in this gateway's own order, the first has the highest. */
uint64_t pwlink_rank(const pw_link *l, const contact *c);

/* --- pwfollow.c: the configuration, from being told of to being in force --- */

/* Asks for a newer one if one was told of. */
void pwfollow_ask(pw_link *l, int64_t now);

/* A document came, or the address of a gateway that has it. */
void pwfollow_document(pw_link *l, const Pw__Document *d, int64_t now);

/* Reads on in what came. */
void pwfollow_read(pw_link *l);

/* Gives up reading. */
void pwfollow_end(pw_link *l);

/* --- pwrelay.c: the configuration, handed on to other gateways --- */

/* Listens on gateway.relay, if that is set, and hands on `doc`. NULL with a reason. */
pw_relay *pwrelay_new(pw_gate *g, const pw_doc *doc, pw_buf *err);
void pwrelay_free(pw_relay *r);

#endif
