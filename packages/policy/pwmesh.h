/* pwmesh.h: which control instances exchange updates on targets, and which of
** its updates another instance has for certain.
**
** Pure: time comes in as an argument. It lets targets call any number of
** control instances while the consensus group stays small. Members of the
** group send updates to each other and to gateways. An instance outside of the
** group (an observer) sends what its targets report to all members, and is
** sent the list of members. So the traffic grows with observers times members,
** and no receiver depends on an observer alone. */
#ifndef PWMESH_H
#define PWMESH_H

#include "pwlimits.h"
#include "pwsequence.h"

#include <stdint.h>

/* A peer that no message has named for this time is dropped, ms. */
#define PWMESH_FORGET_MS 20000

/* A peer that has not sent a watch for this time does not receive updates from
** this instance, ms. */
#define PWMESH_WATCH_TIMEOUT_MS 2500

/* What one instance watches another for. */
typedef enum pw_mesh_watch {
  PWMESH_NONE,
  PWMESH_MEMBERS, /* the list of the members */
  PWMESH_TARGETS  /* updates on all targets */
} pw_mesh_watch;

/* Another control instance. */
typedef struct pw_mesh_peer {
  char addr[PW_NAME_MAX];
  int is_member;      /* of the consensus group, as far as is known here */
  int64_t named_at;   /* when a message last named it, ms */
  int64_t watched_at; /* when it last watched for all updates, ms; 0: never */
  uint64_t holds; /* it has all updates of this instance up to this number */
  pw_sequence received; /* which of its updates have arrived here */
  int64_t asked_at;     /* when this instance last sent it a watch, ms */
} pw_mesh_peer;

typedef struct pw_mesh {
  char self[PW_NAME_MAX];
  int is_member;
  /* rises with each change of the group's members as known here */
  uint64_t members_revision;
  int n;
  pw_mesh_peer *peer[PW_CONTROL_MAX];
} pw_mesh;

void pwmesh_init(pw_mesh *m, const char *self);
void pwmesh_free(pw_mesh *m);

/* Sets the group's members as known here, and whether this instance is one. */
void pwmesh_group(pw_mesh *m, char (*addr)[PW_NAME_MAX], int n, int is_member,
                  int64_t now);

/* Another control instance watches this one. NULL: it is this instance itself,
** or the table of peers is full. */
pw_mesh_peer *pwmesh_watched(pw_mesh *m, const char *addr, int is_for_all,
                             int64_t now);

/* Drops peers that were not named for PWMESH_FORGET_MS. */
void pwmesh_tick(pw_mesh *m, int64_t now);

/* What this instance is to watch the peer for. */
pw_mesh_watch pwmesh_watch_of(const pw_mesh *m, const pw_mesh_peer *p);

/* The sequence number up to which at least one peer has all updates of this
** instance. */
uint64_t pwmesh_replicated_seq(const pw_mesh *m);

/* Whether at least one peer receives all updates of this instance. */
int pwmesh_is_watched(const pw_mesh *m, int64_t now);

/* Number of known observers, this instance included if it is one. */
int pwmesh_observers(const pw_mesh *m);

#endif
