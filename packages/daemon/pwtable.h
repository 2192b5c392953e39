/* pwtable.h: targets as control instances tell of them: single heartbeats, and
** many at once, compressed. */
#ifndef PWTABLE_H
#define PWTABLE_H

#include "peatwell.pb-c.h"
#include "pwdialect.h"
#include "pwfleet.h"

/* One heartbeat; its strings stay those of `b`. */
void pwtable_pack(Pw__Beat *out, const pw_beat *b, int gone, int silent,
                  int64_t age);
void pwtable_unpack(const Pw__Beat *in, pw_beat *out);

/* A target that was heard again, as before. */
void pwtable_pack_renewal(Pw__Beat *out, const pw_beat *b, int64_t age);
int pwtable_is_renewal(const Pw__Beat *in);

/* Puts heartbeats into a notice: as they are, or compressed when they are many;
** out->table.data is the caller's to free. */
void pwtable_put(Pw__Beat **beats, size_t n, Pw__Notice *out);

/* All targets of a fleet into a notice, whose table is the caller's to free. */
void pwtable_write(const pw_fleet *f, int64_t now, Pw__Notice *out);

/* Calls f for each heartbeat of a notice, those of its table included. */
void pwtable_read(const Pw__Notice *n,
                  void (*f)(void *arg, const Pw__Beat *beat), void *arg);

#endif
