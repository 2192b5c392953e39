/* pwgroupint.h: state of a control instance's membership of the group, for
** pwgroup.c and pwjoin.c alone. */
#ifndef PWGROUPINT_H
#define PWGROUPINT_H

#include "pwgroup.h"
#include "pwstore.h"

/* Another control instance, reached by its address from the settings or from
** a configuration of the group. */
typedef struct contact {
  char addr[PWCONS_ADDR];
  pw_peer peer;
  uint32_t slot; /* its number in the settings; 0: it is not in the settings */
  /* disk id from its Join message, while this instance is in no group */
  uint64_t id;
  int is_empty; /* it reported that it is in no group */
  char http[PWCONS_ADDR];
  struct contact *next;
} contact;

struct pw_group {
  pw_proc *p;
  pw_sock *sock;
  pw_group_callbacks callbacks;
  pw_store *store;
  pw_state *state;
  pw_cons *cons; /* NULL while not in a group */
  uint64_t id;
  uint32_t slot;
  contact *contacts;
  int nlisted; /* number of contacts in the settings, without this instance */
  int may_found;
  int uses_seeds;       /* the settings have control.seeds, not control.peers */
  int64_t join_sent_at; /* ms */
  int was_leader;
  int disk_full;
  /* while the disk is full: earliest time of the next attempt to write, ms */
  int64_t disk_retry_at;
  pw_cons_member joining; /* learner to be added; id 0: none */
  /* members of the group as one of them reported, if this is not a member */
  pw_cons_config known_members;
  /* the leader's HTTP address from that report; "": not known */
  char known_leader[PWCONS_ADDR];
  uint64_t applied;
};

/* --- pwjoin.c: membership of the group --- */

/* Sends a message to an address, which becomes a contact. */
void pwgi_send(pw_group *g, const char *addr, Pw__Envelope *e);

/* Reads control.peers, or control.seeds, into contacts; -1 with a reason in
** err. */
int pwgi_read_peers(pw_group *g, pw_buf *err);
int pwgi_read_seeds(pw_group *g, pw_buf *err);

/* This instance as a voter of a configuration. */
pw_cons_member pwgi_self(const pw_group *g);

/* The id of a group that these members found. */
uint64_t pwgi_number(const pw_cons_config *config);

/* The term with which a new group begins. */
uint64_t pwgi_first_term(void);

/* Starts consensus from the state that is stored on the disk. */
pw_code pwgi_begin(pw_group *g, const pw_store_state *st, int64_t now);

/* Starts this instance as a member of a group with this configuration and
** id; term 0: the group exists already. */
pw_code pwgi_found(pw_group *g, const pw_cons_config *config, uint64_t number,
                   uint64_t term, int64_t now);

/* Founds the group if all instances in the settings have reported that they
** are in none. */
pw_code pwgi_try_found(pw_group *g, int64_t now);

/* Whether this instance must ask to be let into the group, or to be let in
** again. */
int pwgi_must_join(const pw_group *g);

/* Sends a Join message with the identity and membership of this instance;
** `reply`: it answers one. */
void pwgi_send_join(pw_group *g, const char *addr, int reply);

/* Handles a Join message. */
void pwgi_on_join(pw_group *g, const Pw__Join *j, int64_t now);

/* As leader: proposes the next change of the membership, one at a time. */
void pwgi_manage_members(pw_group *g);

#endif
