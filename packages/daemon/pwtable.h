/* pwtable.h: target updates of control instances: single heartbeats, and
** compressed tables of many. */
#ifndef PWTABLE_H
#define PWTABLE_H

#include "peatwell.pb-c.h"
#include "pwdialect.h"
#include "pwfleet.h"

/* Converts a heartbeat to its message, whose strings belong to `b`, and back.
** `age` is the heartbeat's age in ms. */
void pwtable_pack(Pw__Beat *out, const pw_heartbeat *b, int gone, int silent,
                  int64_t age);
void pwtable_unpack(const Pw__Beat *in, pw_heartbeat *out);

/* Packs a heartbeat that only renews the target's last one: the message has
** only id, sequence number, start time and age. */
void pwtable_pack_renewal(Pw__Beat *out, const pw_heartbeat *b, int64_t age);

/* Whether a message is a renewal. */
int pwtable_is_renewal(const Pw__Beat *in);

/* Adds heartbeats to a notice, as a compressed table when there are many. The
** caller frees out->table.data. */
void pwtable_put(Pw__Beat **beats, size_t n, Pw__Notice *out);

/* Adds a table of all targets of a fleet to a notice. The caller frees
** out->table.data. */
void pwtable_write(const pw_fleet *f, int64_t now, Pw__Notice *out);

/* Calls `f` for each heartbeat of a notice and of its table. */
void pwtable_read(const Pw__Notice *n,
                  void (*f)(void *arg, const Pw__Beat *beat), void *arg);

#endif
