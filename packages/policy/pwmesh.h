/* pwmesh.h: which control instances tell each other of targets, and what of it another one
** surely has.
**
** Pure: time comes in as an argument. Answers this load: any number of control instances are
** called by targets, while the group that orders stays small. Members of the group tell each
** other and gateways; an instance outside of it (an observer) tells all members what it hears,
** and is told who they are. So what is sent grows with observers times members, and an
** observer is nobody's only source. */
#ifndef PWMESH_H
#define PWMESH_H

#include "pwlimits.h"
#include "pwtelling.h"

#include <stdint.h>

/* Another control instance is dropped when nothing has named it for so long, ms. */
#define PWMESH_FORGET_MS 20000

/* Who has not watched for so long does not hear this one, ms. */
#define PWMESH_DEAF_MS 2500

/* How one instance watches another. */
typedef enum pw_mesh_watch {
  PWMESH_NOT,
  PWMESH_FOR_LISTS, /* to be told who the members are */
  PWMESH_FOR_ALL    /* to be told of all targets */
} pw_mesh_watch;

/* Another control instance. */
typedef struct pw_mesh_peer {
  char addr[PW_NAME_MAX];
  int is_member; /* of the group, as far as is known here */
  int64_t named_at;
  int64_t hears_at; /* when it last asked to be told all; 0: never */
  uint64_t holds;   /* it has all that was told here up to this number */
  pw_telling told;  /* what has come of it */
  int64_t asked_at; /* when it was watched last, ms */
} pw_mesh_peer;

typedef struct pw_mesh {
  char self[PW_NAME_MAX];
  int is_member;
  int n;
  pw_mesh_peer *peer[PW_CONTROL_MAX];
} pw_mesh;

void pwmesh_init(pw_mesh *m, const char *self);
void pwmesh_free(pw_mesh *m);

/* The group's members as known here, and whether this instance is one of them. */
void pwmesh_group(pw_mesh *m, char (*addr)[PW_NAME_MAX], int n, int is_member,
                  int64_t now);

/* Another control instance watches this one. NULL: as many as there may be are known. */
pw_mesh_peer *pwmesh_watched(pw_mesh *m, const char *addr, int is_for_all,
                             int64_t now);

/* Drops peers that nothing names any more. */
void pwmesh_tick(pw_mesh *m, int64_t now);

pw_mesh_watch pwmesh_watch_of(const pw_mesh *m, const pw_mesh_peer *p);

/* Up to which number all that was told here is at another instance, too. */
uint64_t pwmesh_held(const pw_mesh *m);

/* Whether another instance hears this one. */
int pwmesh_is_heard(const pw_mesh *m, int64_t now);

/* How many observers are known. */
int pwmesh_observers(const pw_mesh *m);

#endif
