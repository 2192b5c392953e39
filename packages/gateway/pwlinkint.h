/* pwlinkint.h: state of a gateway's links to control instances, private to pwlink.c,
** pwconfsync.c and pwrelay.c. */
#ifndef PWLINKINT_H
#define PWLINKINT_H

#include "pwgate.h"

#include "pwdoc.h"
#include "pwlog.h"
#include "pwsuspects.h"
#include "pwzmqev.h"

typedef struct pw_relay pw_relay;

/* A control instance. */
typedef struct contact {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int is_seed;
  uint64_t config_version; /* as it last reported */
  int has_leader;          /* it is the leader or hears from the leader */
  int leads;
  int64_t heard_at; /* 0: never */
  int64_t watch_ms; /* interval at which it wants a watch message */
  int64_t known_at;
  int64_t watched_at; /* when a watch message was last sent to it */
  int64_t dialled_at; /* 0: not dialled yet */
  struct contact *next;
} contact;

struct pw_link {
  pw_gate *g;
  size_t suspects_at; /* next suspect to send in a watch message */
  pw_sock *sock;
  pw_doc *doc;
  contact *contacts;
  contact *primary;  /* the one that sends the full list of targets */
  int has_full_list; /* received from the primary since it was chosen */
  int64_t chosen_at;
  int64_t dialled_at; /* when any control instance was last dialled */
  /* Last time at which the primary had contact with a leader, or no other control
  ** instance had it. */
  int64_t contact_lost_at;
  int64_t best_primary_at; /* last time at which no better primary was known */
  int64_t full_wait_ms;    /* time that a primary has to send its full list */
  int64_t config_at;       /* when the newest configuration was received */
  int64_t behind_at;       /* when a newer one was first reported; 0: none is */
  int64_t requested_at; /* when a newer one was last requested, and from whom */
  contact *requested_from;
  pw_site_reader *reading; /* parser of a received document; NULL: none */
  pw_site *base_site;      /* in force when reading began; reference held */
  uint64_t read_version;
  size_t read_bytes;
  char relay_addr[PW_NAME_MAX]; /* gateway asked for it; "": none */
  pw_relay *relay;
  int ngateways;
  pw_zmqev watcher;
};

/* Tells a control instance the version of the configuration held here; `want`: also requests a newer
** one. */
void pwlink_send_watch(pw_link *l, contact *c, int want, int64_t now);

/* Whether a message of the instance came recently enough that it counts as reachable. */
int pwlink_is_fresh(const contact *c, int64_t now);

/* Rank of a control instance in this gateway's own order of preference; the highest is preferred. */
uint64_t pwlink_rank(const pw_link *l, const contact *c);

/* --- pwconfsync.c: fetching and applying the configuration --- */

/* Requests a newer configuration if a control instance has reported one. */
void pwconfsync_request(pw_link *l, int64_t now);

/* Takes a received document, or asks the gateway that it refers to. */
void pwconfsync_document(pw_link *l, const Pw__Document *d, int64_t now);

/* Reads the next part of the received document. */
void pwconfsync_read(pw_link *l);

/* Ends reading and frees its state. */
void pwconfsync_end(pw_link *l);

/* --- pwrelay.c: forwarding the configuration to other gateways --- */

/* Listens on gateway.relay, if that is set, and sends `doc` to gateways that ask. NULL: an error, with
** the reason in *err. */
pw_relay *pwrelay_new(pw_gate *g, const pw_doc *doc, pw_buf *err);
void pwrelay_free(pw_relay *r);

#endif
