/* pwlinkint.h: state of a gateway's links to control instances, private to pwlink.c,
** pwlinkwatch.c, pwcontacts.c, pwconfsync.c and pwrelay.c. */
#ifndef PWLINKINT_H
#define PWLINKINT_H

#include "pwgate.h"

#include "pwdoc.h"
#include "pwgatewaycount.h"
#include "pwlinkstreams.h"
#include "pwlog.h"
#include "pwpartsmsg.h"
#include "pwsuspects.h"
#include "pwzmqev.h"

/* Default interval of watch messages to control instances, ms. */
#define PWLINK_WATCH_MS 500

typedef struct pw_relay pw_relay;

/* A control instance. */
typedef struct contact {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int is_seed;             /* its address is in the settings */
  uint64_t config_version; /* version that it last reported */
  int has_leader;          /* it is the leader or has contact with the leader */
  int leads;               /* it is the leader */
  int64_t received_at;     /* time of its last message; 0: none */
  int64_t watch_ms;        /* interval of watch messages that it asks for */
  int64_t known_at;        /* when its address became known */
  int64_t watched_at;      /* when a watch message was last sent to it */
  int64_t dialled_at;      /* 0: not dialled yet */
  struct contact *next;
} contact;

struct pw_link {
  pw_gate *g;
  size_t suspects_at; /* next suspect to send in a watch message */
  size_t parts_at;    /* next crashing part to send in a watch message */
  pw_sock *sock;
  pw_doc *doc;
  contact *contacts;
  contact *primary;   /* it sends the full list of targets */
  int has_full_list;  /* received from the primary since it was chosen */
  int64_t chosen_at;  /* when the primary was chosen */
  int64_t dialled_at; /* when any control instance was last dialled */
  /* Last time at which the primary had contact with a leader, or no other control
  ** instance had it. */
  int64_t contact_lost_at;
  int64_t best_primary_at; /* last time at which no better primary was known */
  int64_t full_wait_ms;    /* time that a primary has to send its full list */
  int64_t config_at;       /* when the newest configuration was received */
  /* When a newer configuration was first reported; 0: there is none. */
  int64_t behind_at;
  int64_t requested_at;    /* when a newer configuration was last requested */
  contact *requested_from; /* control instance of that request */
  pw_site_reader *reading; /* parser of a received document; NULL: none */
  /* Configuration in force when reading began; a reference is held. */
  pw_site *base_site;
  uint64_t read_version; /* version of the document last read */
  size_t read_bytes;     /* length of that document */
  /* Address of the gateway that the document was requested from; "": none. */
  char relay_addr[PW_NAME_MAX];
  pw_relay *relay;
  pw_stream_outbox streams;
  pw_origin_answered *origin_answered;
  pw_served_confirmed *served_confirmed;
  int ngateways;
  pw_gateway_count budget_count;
  int is_cut_off;          /* no control instance is reachable */
  int64_t heard_at;        /* when one was last reachable */
  int64_t reachable_since; /* since when at least one has been reachable */
  /* When one that has contact with its leader last reported no newer configuration than
  ** this one; 0: never. */
  int64_t confirmed_at;
  pw_zmqev watcher;
};

/* --- pwlinkwatch.c: messages to control instances --- */

/* Sends a control instance the version of this gateway's configuration; `want`: also requests a newer
** one. */
void pwlink_send_watch(pw_link *l, contact *c, int want, int64_t now);

/* --- pwlinkstreams.c: which version began a stream --- */

/* Sends the bundles and queries that are due. */
void pwlink_streams_tick(pw_link *l, int64_t now);

/* Passes on the answers of a control instance. */
void pwlink_streams_answered(pw_link *l, const contact *from,
                             const Pw__StreamAnswers *m, int64_t now);

/* Frees what waits to be sent. */
void pwlink_streams_free(pw_link *l);

/* --- pwcontacts.c: the known control instances --- */

/* Adds a control instance unless it is known. `from`: what named it, for the log. */
contact *pwcontacts_learn(pw_link *l, const char *addr, const char *from,
                          int64_t now);

/* Dials the next control instance that was not dialled yet, if it is time. */
void pwcontacts_dial_next(pw_link *l, int64_t now);

/* Drops control instances that were silent for long while others were heard. */
void pwcontacts_drop_silent(pw_link *l, int64_t now);

/* Records the version of the configuration that a control instance reports. */
void pwcontacts_note_version(pw_link *l, contact *c, uint64_t version,
                             int has_leader, int64_t now);

/* Logs when the last reachable control instance is lost and when one is back, and sets the metrics. */
void pwcontacts_observe(pw_link *l, int64_t now);

/* Whether a message of the instance came recently enough that it counts as reachable. */
int pwcontacts_is_fresh(const contact *c, int64_t now);

/* Rank of a control instance in this gateway's own order of preference; the highest is preferred. */
uint64_t pwcontacts_rank(const pw_link *l, const contact *c);

/* --- pwconfsync.c: fetching and applying the configuration --- */

/* Requests a newer configuration if a control instance has reported one. */
void pwconfsync_request(pw_link *l, int64_t now);

/* Applies a received document, or requests it from the gateway that the message refers to. */
void pwconfsync_document(pw_link *l, const Pw__Document *d, int64_t now);

/* Reads the next part of the received document. */
void pwconfsync_read(pw_link *l);

/* Ends reading and frees its state. */
void pwconfsync_end(pw_link *l);

/* --- pwrelay.c: forwarding the configuration to other gateways --- */

/* Listens on gateway.relay, if that is set, and sends `doc` to gateways that request it. NULL: an
** error, with the reason in *err. */
/* The leader that looks for lost gateways has sent the members of the group. */
typedef void pw_relay_learned(pw_link *l, char **addr, size_t n);

pw_relay *pwrelay_new(pw_gate *g, const pw_doc *doc, pw_relay_learned *learned,
                      pw_buf *err);
void pwrelay_free(pw_relay *r);

#endif
