/* pwfleet.c: the targets that are known, by their heartbeats. */
#include "pwfleetint.h"

#include "pwbuf.h"
#include "pwtcp.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A target is silent after so many heartbeats have not come, and is forgotten
** after so many. */
#define SILENT_BEATS 4
#define FORGET_BEATS 40

#define SLOTS_DEFAULT 1

#define MISS_SALT 0x9e3779b9U /* tells two figures of one target apart */

/* A target that is cold for so much longer, or shorter, than was known is told of anew, ms: more
** than heartbeats are usually late by. */
#define COLD_NEWS_MS 500

pw_fleet *pwfleet_new(const char *availability_zone, int64_t beat_ms,
                      int64_t keep_ms) {
  pw_fleet *f = pw_alloc(sizeof *f);
  f->availability_zone = pw_dup(availability_zone);
  f->beat_ms = beat_ms;
  f->keep_ms = keep_ms;
  return f;
}

void pwfleet_believe(pw_fleet *f) {
  f->is_told = 1;
}

pw_target *pwfleet_hold(pw_target *t) {
  t->refs++;
  return t;
}

void pwfleet_drop(pw_target *t) {
  if (t && --t->refs == 0)
    free(t);
}

static void remove_target(pw_fleet *f, pw_target *t) {
  HASH_DEL(f->by_id, t);
  pwfleet_drop(t);
}

/* --- starts --- */

/* An earlier start is kept apart while it has connections or requests of ours. */
static void retire(pw_fleet *f, pw_target *t) {
  t->is_gone = 1;
  HASH_DEL(f->by_id, t);
  t->next_retired = f->retired;
  f->retired = t;
}

static void drop_retired(pw_target **at) {
  pw_target *t = *at;
  *at = t->next_retired;
  pwfleet_drop(t);
}

static void sweep_retired(pw_fleet *f) {
  for (pw_target **at = &f->retired; *at;) {
    if ((*at)->inflight == 0 && (*at)->nconns == 0)
      drop_retired(at);
    else
      at = &(*at)->next_retired;
  }
}

pw_target *pwfleet_retired(const pw_fleet *f) {
  return f->retired;
}

static uint64_t hash_start(const pw_target *t) {
  return t->born ? XXH3_64bits_withSeed(t->id, strlen(t->id), t->born)
                 : t->hash;
}

/* The start that is meant. */
static uint64_t meant(const pw_target *t, uint64_t born) {
  if (born != PW_BORN_UNTOLD)
    return born;
  return t ? t->born : 0;
}

int pwfleet_knows(pw_fleet *f, const char *id, uint64_t born) {
  const pw_target *t = pwfleet_find(f, id);
  return t && t->born >= meant(t, born);
}

static void free_evacuated(pw_fleet *f) {
  for (size_t i = 0; i < f->nevacuated; i++)
    free(f->evacuated[i]);
  free(f->evacuated);
}

void pwfleet_free(pw_fleet *f) {
  pw_target *t, *tmp;
  if (!f)
    return;
  HASH_ITER(hh, f->by_id, t, tmp) {
    remove_target(f, t);
  }
  while (f->retired)
    drop_retired(&f->retired);
  free_evacuated(f);
  free(f->rollouts);
  free(f->row);
  free(f->who);
  free(f->availability_zone);
  free(f);
}

pw_target *pwfleet_find(pw_fleet *f, const char *id) {
  pw_target *t;
  HASH_FIND_STR(f->by_id, id, t);
  return t;
}

pw_target *pwfleet_first(const pw_fleet *f) {
  return f->by_id;
}

int pwfleet_count(const pw_fleet *f) {
  int n = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    n += !t->is_gone;
  return n;
}

/* --- heartbeats --- */

/* Its newest heartbeat, or news of its state: what was excused before says nothing any more. */
static void note_heard(pw_target *t, int64_t at) {
  t->heard_at = at;
  t->excused_ms = 0;
}

static pw_target *add(pw_fleet *f, const pw_beat *b, int64_t heard_at) {
  pw_target *t = pw_alloc(sizeof *t);
  t->refs = 1;
  pw_copy(t->id, sizeof t->id, b->id);
  t->born = meant(NULL, b->born);
  t->hash = XXH3_64bits(t->id, strlen(t->id));
  t->start_hash = hash_start(t);
  t->short_hash = (uint32_t)(t->start_hash >> 32);
  t->reject_hash = (uint32_t)t->start_hash;
  t->miss_hash = t->reject_hash ^ MISS_SALT;
  t->heard_at = heard_at;
  t->joined_at = heard_at - (int64_t)b->seq * f->beat_ms;
  HASH_ADD_STR(f->by_id, id, t);
  return t;
}

static int is_evacuated(const pw_fleet *f, const pw_target *t) {
  for (size_t i = 0; i < f->nevacuated; i++)
    if (!strcmp(f->evacuated[i], t->availability_zone))
      return 1;
  return 0;
}

int pwfleet_evacuated(const pw_fleet *f) {
  return (int)f->nevacuated;
}

int pwfleet_evacuate(pw_fleet *f, uint64_t revision, char *const *names,
                     size_t n, int64_t now) {
  size_t before = f->nevacuated;
  int is_news = 0;
  if (revision <= f->evacuated_at)
    return 0;
  f->evacuated_at = revision;
  free_evacuated(f);
  f->evacuated = pw_alloc(sizeof *f->evacuated * (n + 1));
  for (f->nevacuated = 0; f->nevacuated < n; f->nevacuated++)
    f->evacuated[f->nevacuated] = pw_dup(names[f->nevacuated]);
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    int was = t->is_evacuated;
    t->is_evacuated = is_evacuated(f, t);
    is_news |= was != t->is_evacuated;
    if (was && !t->is_evacuated)
      t->cold.doubt_at = now;
  }
  return is_news || before != n;
}

static void write_down(const pw_fleet *f, pw_target *t, const pw_beat *b,
                       int64_t heard_at) {
  pw_copy(t->service, sizeof t->service, b->service);
  pw_copy(t->availability_zone, sizeof t->availability_zone,
          b->availability_zone);
  pw_copy(t->address, sizeof t->address, b->address);
  pwtcp_address(b->address, &t->addr);
  if (b->version[0]) /* one of a start does not change */
    pw_copy(t->version, sizeof t->version, b->version);
  t->slots = b->slots > 0 ? b->slots : SLOTS_DEFAULT;
  t->cold.until = b->cold_ms > 0 ? heard_at + b->cold_ms : 0;
  t->is_evacuated = is_evacuated(f, t);
}

static void displace(pw_target *t) {
  t->is_gone = t->is_displaced = 1;
  t->claimed_at = 0;
}

/* An address is one target's: who was heard there before has ended. */
static void take_address(pw_fleet *f, pw_target *owner) {
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    if (t != owner && !t->is_gone && !strcmp(t->address, owner->address))
      displace(t->heard_at <= owner->heard_at ? t : owner);
}

/* Whether a displaced target is there all the same: what displaced it was a heartbeat of
** an earlier start at its address that came late. It goes on saying so, while of one that
** has crashed some more may come, all at once. */
static int is_there_yet(const pw_fleet *f, pw_target *t, uint64_t seq,
                        int64_t heard_at) {
  if (!t->is_displaced || seq <= t->seq)
    return 0;
  t->seq = seq;
  if (f->is_told)
    return 1;
  if (t->claimed_at && heard_at - t->claimed_at >= f->beat_ms / 2)
    return 1;
  if (!t->claimed_at)
    t->claimed_at = heard_at;
  return 0;
}

/* It is there, by a heartbeat that tells something new. Gives whether it was not
** thought to be. */
static int note_there(pw_target *t, uint64_t seq) {
  int was_away = t->is_silent || t->is_gone;
  t->seq = seq;
  t->is_silent = t->is_gone = t->is_displaced = 0;
  return was_away;
}

/* Whether it is cold for longer than was known, or no longer at all. */
static pw_fleet_news cold_news(const pw_target *t, const pw_beat *b,
                               int64_t heard_at) {
  int64_t until = heard_at + b->cold_ms;
  if (b->cold_ms > 0 && until > t->cold.until + COLD_NEWS_MS)
    return PWFLEET_COLD;
  return b->cold_ms == 0 && t->cold.until > heard_at + COLD_NEWS_MS
             ? PWFLEET_WARM
             : PWFLEET_RENEWED;
}

pw_fleet_news pwfleet_beat(pw_fleet *f, const pw_beat *b, int gone,
                           int64_t heard_at) {
  pw_target *t = pwfleet_find(f, b->id);
  struct sockaddr_in addr;
  if (!gone && pwtcp_address(b->address, &addr) != 0)
    return PWFLEET_OLD; /* says nothing that can be used */
  uint64_t born = meant(t, b->born);
  if (t && born < t->born && (born || !gone))
    return PWFLEET_OLD; /* of an earlier start */
  int is_restart = t && born > t->born;
  if (is_restart)
    retire(f, t);
  int is_new = !t || is_restart;
  if (is_new)
    t = add(f, b, heard_at);
  if (heard_at > t->heard_at)
    note_heard(t, heard_at);
  if (gone) {
    int was_known = t->is_gone && !t->is_displaced;
    t->is_gone = 1;
    t->is_displaced = 0;
    return was_known ? PWFLEET_OLD : PWFLEET_GONE;
  }
  int is_back = t->is_gone && is_there_yet(f, t, b->seq, heard_at);
  if (t->is_gone && !is_back)
    return PWFLEET_OLD;
  if (!is_new && !is_back && b->seq <= t->seq)
    return PWFLEET_OLD;
  int was_away = note_there(t, b->seq);
  pw_fleet_news cold = cold_news(t, b, heard_at);
  write_down(f, t, b, heard_at);
  if (is_new || is_back)
    take_address(f, t);
  if (is_new && f->nrollouts)
    pwflt_sort(f, t->service);
  int was_leaving = t->is_leaving;
  t->is_leaving = b->leaving;
  if (t->is_leaving && !was_leaving)
    return PWFLEET_LEAVING;
  if (is_restart)
    return PWFLEET_RESTARTED;
  if (was_away)
    return PWFLEET_BACK;
  return is_new ? PWFLEET_JOINED : cold;
}

pw_fleet_news pwfleet_renew(pw_fleet *f, const char *id, uint64_t born,
                            uint64_t seq, int64_t heard_at) {
  pw_target *t = pwfleet_find(f, id);
  if (t && t->born != meant(t, born))
    return PWFLEET_OLD;
  int is_back = t && is_there_yet(f, t, seq, heard_at);
  if (!t || (t->is_gone && !is_back) || (!is_back && seq <= t->seq))
    return PWFLEET_OLD;
  if (heard_at > t->heard_at)
    note_heard(t, heard_at);
  int was_away = note_there(t, seq);
  if (is_back)
    take_address(f, t);
  return was_away ? PWFLEET_BACK : PWFLEET_RENEWED;
}

pw_fleet_news pwfleet_told_silent(pw_fleet *f, const char *id, uint64_t born,
                                  int silent, int64_t now) {
  pw_target *t = pwfleet_find(f, id);
  if (!t || t->born != meant(t, born) || t->is_gone || t->is_silent == silent)
    return PWFLEET_OLD;
  t->is_silent = silent;
  note_heard(t, now); /* when that was last known to be otherwise */
  return silent ? PWFLEET_SILENT : PWFLEET_BACK;
}

const char *pwfleet_news_name(pw_fleet_news news) {
  static const char *const names[] = {[PWFLEET_JOINED] = "target-joined",
                                      [PWFLEET_RESTARTED] = "target-restarted",
                                      [PWFLEET_BACK] = "target-back",
                                      [PWFLEET_COLD] = "target-cold",
                                      [PWFLEET_WARM] = "target-warm",
                                      [PWFLEET_SILENT] = "target-silent",
                                      [PWFLEET_LEAVING] = "target-leaving",
                                      [PWFLEET_GONE] = "target-gone"};
  return news >= PWFLEET_JOINED ? names[news] : NULL;
}

void pwfleet_beat_of(const pw_target *t, pw_beat *out) {
  int64_t cold_ms = t->cold.until - t->heard_at;
  *out = (pw_beat){.born = t->born,
                   .slots = t->slots,
                   .leaving = t->is_leaving,
                   .cold_ms = cold_ms > 0 ? cold_ms : 0,
                   .seq = t->seq};
  pw_copy(out->id, sizeof out->id, t->id);
  pw_copy(out->service, sizeof out->service, t->service);
  pw_copy(out->address, sizeof out->address, t->address);
  pw_copy(out->availability_zone, sizeof out->availability_zone,
          t->availability_zone);
  pw_copy(out->version, sizeof out->version, t->version);
}

void pwfleet_forget(pw_target *t, int64_t now) {
  t->is_gone = 1;
  note_heard(t, now);
}

void pwfleet_tick(pw_fleet *f, int64_t now,
                  void (*judge)(void *arg, pw_target *t, int forgotten),
                  void *arg) {
  pw_target *t, *tmp;
  sweep_retired(f);
  HASH_ITER(hh, f->by_id, t, tmp) {
    int64_t silence = now - t->heard_at - t->excused_ms;
    if (judge && !t->is_gone && !t->is_silent &&
        silence > SILENT_BEATS * f->beat_ms) {
      t->is_silent = 1;
      judge(arg, t, 0);
    }
    if ((t->is_gone || t->is_silent) && silence > FORGET_BEATS * f->beat_ms &&
        t->inflight == 0) {
      if (judge)
        judge(arg, t, 1);
      remove_target(f, t);
    }
  }
}

void pwfleet_excuse(pw_fleet *f, int64_t ms) {
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    t->seen_at += ms;
    t->excused_ms += ms;
  }
  for (pw_target *t = f->retired; t; t = t->next_retired)
    t->seen_at += ms;
}

/* What the others have told under a key. */
static uint32_t others_of(const pw_loads *all, const pw_loads *own,
                          uint32_t key) {
  uint32_t sum = pwloads_get(all, key);
  uint32_t mine = pwloads_get(own, key);
  return sum > mine ? sum - mine : 0;
}

void pwfleet_note_loads(pw_fleet *f, const pw_loads *all, const pw_loads *own,
                        int64_t age_ms) {
  f->others_age_ms = age_ms;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    t->others = (int)others_of(all, own, t->short_hash);
    t->others_rejects = others_of(all, own, t->reject_hash);
    t->others_misses = others_of(all, own, t->miss_hash);
  }
}
