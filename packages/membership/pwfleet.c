/* pwfleet.c: known targets, kept up to date by heartbeats. */
#include "pwfleetint.h"

#include "pwbuf.h"
#include "pwtcp.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Missed heartbeats until a target counts as silent, and until it is removed. */
#define SILENT_BEATS 4
#define FORGET_BEATS 40

#define SLOTS_DEFAULT 1

/* Makes connect_failure_hash differ from reject_hash. */
#define CONNECT_FAILURE_SALT 0x9e3779b9U

/* Make prefill_hash, copies_hash and unanswered_hash differ from the other keys. */
#define PREFILL_SALT 0x7f4a7c15U
#define COPIES_SALT 0xf39cc060U
#define UNANSWERED_SALT 0x85ebca6bU

/* A cold phase that differs by more than this from the announced one is reported as a change,
** ms. Smaller differences come from heartbeats that arrive late. */
#define COLD_CHANGE_MS 500

pw_fleet *pwfleet_new(const char *availability_zone, int64_t beat_ms,
                      int64_t keep_ms) {
  pw_fleet *f = pw_alloc(sizeof *f);
  f->availability_zone = pw_dup(availability_zone);
  f->beat_ms = beat_ms;
  f->keep_ms = keep_ms;
  return f;
}

void pwfleet_trust_updates(pw_fleet *f) {
  f->trusts_updates = 1;
}

pw_target *pwfleet_retain(pw_target *t) {
  t->refs++;
  return t;
}

void pwfleet_release(pw_target *t) {
  if (t && --t->refs == 0)
    free(t);
}

static void remove_target(pw_fleet *f, pw_target *t) {
  HASH_DEL(f->by_id, t);
  pwfleet_release(t);
}

/* --- incarnations --- */

/* Moves an earlier incarnation to the retired list until its connections and requests of this
** process have ended. */
static void retire(pw_fleet *f, pw_target *t) {
  t->is_gone = 1;
  HASH_DEL(f->by_id, t);
  t->next_retired = f->retired;
  f->retired = t;
}

static void drop_retired(pw_target **at) {
  pw_target *t = *at;
  *at = t->next_retired;
  pwfleet_release(t);
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

/* The start time that a message refers to: an instance of an older version sends
** PW_BORN_UNKNOWN, which stands for the known incarnation. */
static uint64_t resolve_born(const pw_target *t, uint64_t born) {
  if (born != PW_BORN_UNKNOWN)
    return born;
  return t ? t->born : 0;
}

int pwfleet_knows(pw_fleet *f, const char *id, uint64_t born) {
  const pw_target *t = pwfleet_find(f, id);
  return t && t->born >= resolve_born(t, born);
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
  free(f->targets);
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

/* --- software versions --- */

/* Odd: 0 stands for any version, PWFLEET_SEVERAL_VERSIONS for more than one. */
uint64_t pwfleet_version_hash(const char *service, const char *version) {
  uint64_t seed = XXH3_64bits(service, strlen(service));
  return XXH3_64bits_withSeed(version, strlen(version), seed) | 1;
}

static const pw_target *find_version(const pw_fleet *f, uint64_t version) {
  for (const pw_target *t = f->by_id; t; t = t->hh.next)
    if (t->version_hash == version)
      return t;
  return NULL;
}

const char *pwfleet_service_of(const pw_fleet *f, uint64_t version) {
  const pw_target *t = find_version(f, version);
  return t ? t->service : NULL;
}

const char *pwfleet_version_name(const pw_fleet *f, uint64_t version) {
  const pw_target *t = find_version(f, version);
  return t ? t->version : "-";
}

uint64_t pwfleet_only_version(const pw_fleet *f, const char *service) {
  uint64_t version = 0;
  for (const pw_target *t = f->by_id; t; t = t->hh.next) {
    if (strcmp(t->service, service) != 0)
      continue;
    if (version && version != t->version_hash)
      return PWFLEET_SEVERAL_VERSIONS;
    version = t->version_hash;
  }
  return version;
}

/* --- heartbeats --- */

/* Sets the time of the newest heartbeat or state change. Stalls before it no longer count. */
static void set_heard_at(pw_target *t, int64_t at) {
  t->heard_at = at;
  t->stalled_ms = 0;
}

static pw_target *add(pw_fleet *f, const pw_heartbeat *b, int64_t heard_at) {
  pw_target *t = pw_alloc(sizeof *t);
  t->refs = 1;
  pw_copy(t->id, sizeof t->id, b->id);
  t->born = resolve_born(NULL, b->born);
  t->hash = XXH3_64bits(t->id, strlen(t->id));
  t->start_hash = hash_start(t);
  t->short_hash = (uint32_t)(t->start_hash >> 32);
  t->reject_hash = (uint32_t)t->start_hash;
  t->connect_failure_hash = t->reject_hash ^ CONNECT_FAILURE_SALT;
  t->prefill_hash = t->reject_hash ^ PREFILL_SALT;
  t->copies_hash = t->reject_hash ^ COPIES_SALT;
  t->unanswered_hash = t->reject_hash ^ UNANSWERED_SALT;
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
  int changed = 0;
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
    changed |= was != t->is_evacuated;
    if (was && !t->is_evacuated)
      t->cold.maybe_cold_at = now;
  }
  return changed || before != n;
}

static void store_heartbeat(const pw_fleet *f, pw_target *t,
                            const pw_heartbeat *b, int64_t heard_at) {
  pw_copy(t->service, sizeof t->service, b->service);
  pw_copy(t->availability_zone, sizeof t->availability_zone,
          b->availability_zone);
  pw_copy(t->address, sizeof t->address, b->address);
  pwtcp_address(b->address, &t->addr);
  /* Fixed for an incarnation: another one comes from another writer. Without a start time incarnations are not told
  ** apart. */
  if (b->version[0] && (!t->version[0] || !t->born))
    pw_copy(t->version, sizeof t->version, b->version);
  t->version_hash = pwfleet_version_hash(t->service, t->version);
  t->slots = b->slots > 0 ? b->slots : SLOTS_DEFAULT;
  t->cold.until = b->cold_ms > 0 ? heard_at + b->cold_ms : 0;
  t->is_evacuated = is_evacuated(f, t);
}

static void displace(pw_target *t) {
  t->is_gone = t->is_displaced = 1;
  t->reclaimed_at = 0;
}

/* An address belongs to one target: of two at the same address, the one whose newest heartbeat is
** older has ended. */
static void claim_address(pw_fleet *f, pw_target *owner) {
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    if (t != owner && !t->is_gone && !strcmp(t->address, owner->address))
      displace(t->heard_at <= owner->heard_at ? t : owner);
}

/* Whether a displaced target is still alive, because a late heartbeat of an earlier target at
** its address displaced it. A live target keeps sending heartbeats, while those of a crashed
** target that are still in flight arrive all at once; so heartbeats must span half an interval. */
static int is_still_alive(const pw_fleet *f, pw_target *t, uint64_t seq,
                          int64_t heard_at) {
  if (!t->is_displaced || seq <= t->seq)
    return 0;
  t->seq = seq;
  if (f->trusts_updates)
    return 1;
  if (t->reclaimed_at && heard_at - t->reclaimed_at >= f->beat_ms / 2)
    return 1;
  if (!t->reclaimed_at)
    t->reclaimed_at = heard_at;
  return 0;
}

/* Marks a target as alive after a new heartbeat. Returns whether it counted as silent or
** gone. */
static int note_alive(pw_target *t, uint64_t seq) {
  int was_away = t->is_silent || t->is_gone;
  t->seq = seq;
  t->is_silent = t->is_gone = t->is_displaced = 0;
  return was_away;
}

/* Whether a heartbeat extends the cold phase of a target or ends it early. */
static pw_fleet_change cold_change(const pw_target *t, const pw_heartbeat *b,
                                   int64_t heard_at) {
  int64_t until = heard_at + b->cold_ms;
  if (b->cold_ms > 0 && until > t->cold.until + COLD_CHANGE_MS)
    return PWFLEET_COLD;
  return b->cold_ms == 0 && t->cold.until > heard_at + COLD_CHANGE_MS
             ? PWFLEET_WARM
             : PWFLEET_RENEWED;
}

pw_fleet_change pwfleet_heartbeat(pw_fleet *f, const pw_heartbeat *b, int gone,
                                  int64_t heard_at) {
  pw_target *t = pwfleet_find(f, b->id);
  struct sockaddr_in addr;
  if (!gone && pwtcp_address(b->address, &addr) != 0)
    return PWFLEET_UNCHANGED; /* no usable address */
  uint64_t born = resolve_born(t, b->born);
  if (t && born < t->born && (born || !gone))
    return PWFLEET_UNCHANGED; /* an earlier incarnation */
  int is_restart = t && born > t->born;
  if (is_restart)
    retire(f, t);
  int is_new = !t || is_restart;
  if (is_new)
    t = add(f, b, heard_at);
  if (heard_at > t->heard_at)
    set_heard_at(t, heard_at);
  if (gone) {
    int was_known = t->is_gone && !t->is_displaced;
    t->is_gone = 1;
    t->is_displaced = 0;
    return was_known ? PWFLEET_UNCHANGED : PWFLEET_GONE;
  }
  int is_back = t->is_gone && is_still_alive(f, t, b->seq, heard_at);
  if (t->is_gone && !is_back)
    return PWFLEET_UNCHANGED;
  if (!is_new && !is_back && b->seq <= t->seq)
    return PWFLEET_UNCHANGED;
  int was_away = note_alive(t, b->seq);
  pw_fleet_change cold = cold_change(t, b, heard_at);
  store_heartbeat(f, t, b, heard_at);
  if (is_new || is_back)
    claim_address(f, t);
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

pw_fleet_change pwfleet_renew(pw_fleet *f, const char *id, uint64_t born,
                              uint64_t seq, int64_t heard_at) {
  pw_target *t = pwfleet_find(f, id);
  if (t && t->born != resolve_born(t, born))
    return PWFLEET_UNCHANGED;
  int is_back = t && is_still_alive(f, t, seq, heard_at);
  if (!t || (t->is_gone && !is_back) || (!is_back && seq <= t->seq))
    return PWFLEET_UNCHANGED;
  if (heard_at > t->heard_at)
    set_heard_at(t, heard_at);
  int was_away = note_alive(t, seq);
  if (is_back)
    claim_address(f, t);
  return was_away ? PWFLEET_BACK : PWFLEET_RENEWED;
}

pw_fleet_change pwfleet_set_silent(pw_fleet *f, const char *id, uint64_t born,
                                   int silent, int64_t now) {
  pw_target *t = pwfleet_find(f, id);
  if (!t || t->born != resolve_born(t, born) || t->is_gone ||
      t->is_silent == silent)
    return PWFLEET_UNCHANGED;
  t->is_silent = silent;
  set_heard_at(t, now); /* the time of removal counts from this change */
  return silent ? PWFLEET_SILENT : PWFLEET_BACK;
}

const char *pwfleet_change_name(pw_fleet_change change) {
  static const char *const names[] = {[PWFLEET_JOINED] = "target-joined",
                                      [PWFLEET_RESTARTED] = "target-restarted",
                                      [PWFLEET_BACK] = "target-back",
                                      [PWFLEET_COLD] = "target-cold",
                                      [PWFLEET_WARM] = "target-warm",
                                      [PWFLEET_SILENT] = "target-silent",
                                      [PWFLEET_LEAVING] = "target-leaving",
                                      [PWFLEET_GONE] = "target-gone"};
  return change >= PWFLEET_JOINED ? names[change] : NULL;
}

void pwfleet_to_heartbeat(const pw_target *t, pw_heartbeat *out) {
  int64_t cold_ms = t->cold.until - t->heard_at;
  *out = (pw_heartbeat){.born = t->born,
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

void pwfleet_mark_gone(pw_target *t, int64_t now) {
  t->is_gone = 1;
  set_heard_at(t, now);
}

void pwfleet_tick(pw_fleet *f, int64_t now,
                  void (*judge)(void *arg, pw_target *t, int forgotten),
                  void *arg) {
  pw_target *t, *tmp;
  sweep_retired(f);
  HASH_ITER(hh, f->by_id, t, tmp) {
    int64_t silence = now - t->heard_at - t->stalled_ms;
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

void pwfleet_discount_stall(pw_fleet *f, int64_t ms) {
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    t->received_at += ms;
    t->stalled_ms += ms;
  }
  for (pw_target *t = f->retired; t; t = t->next_retired)
    t->received_at += ms;
}

/* The sum that the other gateways reported under a key. */
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
    t->others_prefill =
        PWFLEET_PREFILL_UNIT * (double)others_of(all, own, t->prefill_hash);
    t->others_copies =
        PWFLEET_PREFILL_UNIT * (double)others_of(all, own, t->copies_hash);
    t->peer_rejects = others_of(all, own, t->reject_hash);
    t->peer_connect_failures = others_of(all, own, t->connect_failure_hash);
  }
}

void pwfleet_note_unanswered(pw_fleet *f, const pw_loads *all,
                             const pw_loads *own, int64_t now) {
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    pwunanswered_receive(&t->unanswered,
                         others_of(all, own, t->unanswered_hash), now);
}
