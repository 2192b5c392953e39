/* pwgroupint.h: state of a control instance's part in its group, for pwgroup.c and
** pwjoin.c alone. */
#ifndef PWGROUPINT_H
#define PWGROUPINT_H

#include "pwgroup.h"
#include "pwstore.h"

/* Someone reached by address: listed in the settings or in a configuration. */
typedef struct contact {
  char addr[PWCONS_ADDR];
  pw_peer peer;
  uint32_t slot; /* of the settings' list; 0: not listed */
  uint64_t id;   /* told by Join while it is not in a group */
  int is_empty;  /* it said it is in no group */
  char http[PWCONS_ADDR];
  struct contact *next;
} contact;

struct pw_group {
  pw_proc *p;
  pw_sock *sock;
  pw_group_calls calls;
  pw_store *store;
  pw_state *state;
  pw_cons *cons; /* NULL while not in a group */
  uint64_t id;
  uint32_t slot;
  contact *contacts;
  int listed; /* contacts of the settings besides this one */
  int may_found;
  int by_seeds; /* the settings name seeds, not peers */
  int64_t join_at;
  int was_leader;
  int disk_full;
  int64_t full_until;     /* the disk is not tried again before, ms */
  pw_cons_member joining; /* learner to add; id 0: none */
  pw_cons_config known;   /* the members, as one of them has told ... */
  char known_leader
      [PWCONS_ADDR]; /* ... and where the leader serves; "": not known */
  uint64_t applied;
};

/* --- pwjoin.c: who belongs to the group --- */

/* Sends to an address, which becomes a contact. */
void pwgi_send(pw_group *g, const char *addr, Pw__Envelope *e);

/* Reads control.peers, or control.seeds, into contacts; -1 with a reason. */
int pwgi_read_peers(pw_group *g, pw_buf *err);
int pwgi_read_seeds(pw_group *g, pw_buf *err);

/* This instance as a voter. */
pw_cons_member pwgi_self(const pw_group *g);

/* The number of a group of these members. */
uint64_t pwgi_number(const pw_cons_config *config);

/* The term that a group begins with. */
uint64_t pwgi_first_term(void);

/* Takes part in the group that the disk belongs to. */
pw_code pwgi_begin(pw_group *g, const pw_store_state *st, int64_t now);

/* Founds a group with these members. */
pw_code pwgi_found(pw_group *g, const pw_cons_config *config, uint64_t number,
                   uint64_t term, int64_t now);

/* Founds the group if all that the settings list have said that they are in none. */
pw_code pwgi_try_found(pw_group *g, int64_t now);

/* Whether this instance is in no group, or not in its place. */
int pwgi_seeks(const pw_group *g);

/* Tells an address who this is; `reply` answers another. */
void pwgi_send_join(pw_group *g, const char *addr, int reply);

/* Another instance has told who it is. */
void pwgi_on_join(pw_group *g, const Pw__Join *j, int64_t now);

/* As leader: the next change of the group, one at a time. */
void pwgi_manage_members(pw_group *g);

#endif
