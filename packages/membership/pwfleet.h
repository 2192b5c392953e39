/* pwfleet.h: the targets that a process knows, their state and the choice of one for a
** request. */
#ifndef PWFLEET_H
#define PWFLEET_H

#include "pwcanary.h"
#include "pwcold.h"
#include "pwdialect.h"
#include "pwholdoff.h"
#include "pwloads.h"
#include "pwpick.h"
#include "pwprefill.h"
#include "pwreject.h"
#include "pwslotorder.h"
#include "pwunanswered.h"

#include <netinet/in.h>
#include <stdint.h>
#include <uthash.h>

typedef struct pw_upconn pw_upconn;

/* The side of a rollout that a target belongs to, or that a request may go to. */
typedef enum pw_fleet_side {
  PWFLEET_ANY_VERSION, /* all targets: there is no rollout, or it is complete */
  PWFLEET_OLD_VERSION, /* the targets of other versions than the new one */
  PWFLEET_NEW_VERSION /* the targets of the new version; requests go to those in the canary */
} pw_fleet_side;

/* One incarnation of a target. It is reference-counted (pwfleet_retain, pwfleet_release). */
typedef struct pw_target {
  char id[PW_NAME_MAX];
  uint64_t born; /* start time, which names the incarnation together with the
                 ** id; 0: the target did not report it */
  char service[PW_NAME_MAX];
  char availability_zone[PW_NAME_MAX];
  char address[PW_NAME_MAX];
  struct sockaddr_in addr;
  uint64_t hash;        /* of the id alone, so that prompts keep their target
                        ** across its restarts */
  uint64_t start_hash;  /* of id and start time: evidence against one
                        ** incarnation does not count against the next */
  uint32_t short_hash;  /* identifies the incarnation in messages between
                        ** gateways */
  uint32_t reject_hash; /* key under which gateways report its rejections */
  /* Key under which gateways report failed connects to it. */
  uint32_t connect_failure_hash;
  /* Key under which gateways report requests that it left unanswered. */
  uint32_t unanswered_hash;
  char version[PW_NAME_MAX]; /* software version */
  uint64_t version_hash;     /* of the service and that version; odd */
  int slots;                 /* requests that it runs at once */
  int is_leaving;            /* by its heartbeats */
  int is_outdated;           /* a completed rollout replaced its version */
  int is_gone;          /* it has ended, or no longer answers at its address */
  int is_displaced;     /* it counts as gone only because another target
                        ** claimed its address */
  int64_t reclaimed_at; /* first heartbeat from the address after it was
                        ** displaced, ms; 0: none */
  int is_silent;        /* it has missed its heartbeats */
  uint64_t seq;         /* sequence number of its newest heartbeat */
  int64_t heard_at;     /* time of its newest heartbeat, ms */
  int64_t stalled_ms;   /* time since heard_at in which this process itself
                        ** was stalled and could receive nothing */
  int64_t joined_at;    /* approximate start time on this process's clock, ms */
  pw_cold cold;         /* limits on requests until it has warmed up */
  int is_evacuated;     /* its availability zone is evacuated: it gets no new
                        ** requests */
  int announced_leaving; /* it announced in an answer that it leaves; nothing
                         ** revokes this for this incarnation */
  pw_holdoff hold_off;   /* how long it asked to get no requests */

  /* Prompt tokens that requests without a first chunk have it compute: those of this
  ** gateway's requests, and of the other gateways' as last reported. */
  double prefill, others_prefill;
  uint32_t prefill_hash; /* key under which gateways report them */
  /* The same for tokens that are copied from its KV cache or to it. */
  double copies, others_copies;
  uint32_t copies_hash;
  int inflight;          /* requests of this gateway in flight there */
  int others;            /* requests of the other gateways, as last reported */
  pw_reject rejects;     /* its latest rejection of a request of this gateway */
  uint32_t peer_rejects; /* how many other gateways it rejected recently */
  pw_reject connect_failures; /* the latest failed connect of this gateway */
  uint32_t peer_connect_failures; /* how many other gateways failed to connect
                                  ** recently */
  pw_unanswered unanswered;       /* requests that it left unanswered */
  int nconns;                     /* open connections, idle ones included */
  int64_t
      chunk_at; /* when a part of an answer last came, ms; not moved by stalls */
  pw_upconn *idle; /* idle connections, the newest first */
  /* Connection that was opened when the target last ended one; NULL: closed since. */
  pw_upconn *replacement;
  int64_t refused_at; /* when the target last refused such a connection, ms */

  int failures;          /* consecutive requests without a valid answer */
  double errors;         /* smoothed share of error answers at errors_at */
  int64_t errors_at;     /* ms; the share decays from then on */
  int64_t ejected_until; /* end of its ejection after failures, ms */
  int64_t answered_at;   /* time of its newest answer, ms */
  int64_t received_at; /* time of the newest byte from it, ms, moved forward by
                       ** stalls of this process */
  double work_ms;      /* smoothed duration of a request; 0: not measured */
  int64_t measured_at; /* time of the newest measurement of work_ms, ms */
  int samples_needed;  /* further measurements until work_ms is reliable */
  pw_fleet_side side;
  int is_in_canary; /* PWFLEET_NEW_VERSION only: it gets requests already */
  int refs;
  /* Next earlier incarnation with open connections or requests. */
  struct pw_target *next_retired;
  UT_hash_handle hh;
} pw_target;

typedef struct pw_fleet pw_fleet;

/* `beat_ms`: interval of heartbeats. `keep_ms`: how long a prompt is expected to stay in a
** target's prompt cache. */
pw_fleet *pwfleet_new(const char *availability_zone, int64_t beat_ms,
                      int64_t keep_ms);
void pwfleet_free(pw_fleet *f);

/* Makes the fleet accept each update without a check of its own, since it comes from control
** instances, which have checked it. */
void pwfleet_trust_updates(pw_fleet *f);

/* What a heartbeat or an update changed. */
typedef enum pw_fleet_change {
  PWFLEET_UNCHANGED, /* nothing: what it said was known, or outdated */
  PWFLEET_RENEWED,
  PWFLEET_JOINED,
  PWFLEET_RESTARTED, /* a new incarnation of a known id */
  PWFLEET_BACK,      /* the target was silent or gone before */
  PWFLEET_COLD,      /* the target turned cold, or stays cold for longer */
  PWFLEET_WARM,      /* the target is warm sooner than announced */
  PWFLEET_SILENT,
  PWFLEET_LEAVING,
  PWFLEET_GONE
} pw_fleet_change;

/* Event name for log lines, such as "target-joined"; NULL for PWFLEET_UNCHANGED and
** PWFLEET_RENEWED. */
const char *pwfleet_change_name(pw_fleet_change change);

/* Applies a heartbeat received at `heard_at`, ms; `gone` marks the end of the target. A
** heartbeat of an earlier incarnation changes nothing, and one of a later incarnation adds a
** new target. An end without `born` applies to the known incarnation. */
pw_fleet_change pwfleet_heartbeat(pw_fleet *f, const pw_heartbeat *b, int gone,
                                  int64_t heard_at);

/* Marks a target as gone, since its address no longer answers for its id. */
void pwfleet_mark_gone(pw_target *t, int64_t now);

/* Applies a heartbeat that carries no description. PWFLEET_UNCHANGED if the incarnation is not
** known. */
pw_fleet_change pwfleet_renew(pw_fleet *f, const char *id, uint64_t born,
                              uint64_t seq, int64_t heard_at);

/* Whether this incarnation of a target, or a later one, is known. */
int pwfleet_knows(pw_fleet *f, const char *id, uint64_t born);

/* Applies a control instance's verdict on whether a target has missed its heartbeats. */
pw_fleet_change pwfleet_set_silent(pw_fleet *f, const char *id, uint64_t born,
                                   int silent, int64_t now);

/* Removes targets that have long been silent or gone. With `judge`, also marks targets that
** have missed their heartbeats, and calls judge for each of them and for each target that is
** about to be removed (`forgotten`). */
void pwfleet_tick(pw_fleet *f, int64_t now,
                  void (*judge)(void *arg, pw_target *t, int forgotten),
                  void *arg);

/* Rebuilds the newest heartbeat of a target, as of heard_at. */
void pwfleet_to_heartbeat(const pw_target *t, pw_heartbeat *out);

/* Sets the evacuated availability zones as of a revision; an older revision changes nothing.
** Targets whose evacuation ends are taken as cold, since they may have cooled down without a
** heartbeat that reported it. Returns whether the set changed. */
int pwfleet_evacuate(pw_fleet *f, uint64_t revision, char *const *names,
                     size_t n, int64_t now);

/* The number of evacuated availability zones that are known. */
int pwfleet_evacuated(const pw_fleet *f);

pw_target *pwfleet_find(pw_fleet *f, const char *id);
pw_target *pwfleet_first(const pw_fleet *f);

/* The first earlier incarnation that still has connections or requests; the others follow by
** next_retired. */
pw_target *pwfleet_retired(const pw_fleet *f);

/* The number of known targets that are not gone. */
int pwfleet_count(const pw_fleet *f);

/* Sets the reported loads, rejections and connect failures: `all` is the sum over all
** gateways, `own` this gateway's share of that sum, and `age_ms` the approximate age of the
** report until the next one. */
void pwfleet_note_loads(pw_fleet *f, const pw_loads *all, const pw_loads *own,
                        int64_t age_ms);

/* Sets the reported unanswered requests, as of `now`, from the same sums. */
void pwfleet_note_unanswered(pw_fleet *f, const pw_loads *all,
                             const pw_loads *own, int64_t now);

/* The rollout of a service; see pwcanary.h. */
typedef struct pw_fleet_rollout {
  char service[PW_NAME_MAX];
  char version[PW_NAME_MAX];
  pw_canary canary;
} pw_fleet_rollout;

/* --- pwfleetroll.c --- */

/* Replaces the known rollouts. When one completes, targets of other versions get no more
** requests. */
void pwfleet_rollouts(pw_fleet *f, const pw_fleet_rollout *list, size_t n);

/* Draws which targets are eligible for a request of the service; `draw` is uniform in
** [0, 1). */
pw_fleet_side pwfleet_side(const pw_fleet *f, const char *service, double draw);

/* Tokens that one count in a report of prefill or copies stands for. */
#define PWFLEET_PREFILL_UNIT 64

/* Totals over the live targets of a service that accept requests. */
typedef struct pw_fleet_sum {
  int targets;
  double slots;
  double inflight;      /* requests of this gateway */
  double others;        /* requests of the other gateways */
  double others_age_ms; /* age of `others` */
  double work_ms;       /* mean duration of a request */
} pw_fleet_sum;
pw_fleet_sum pwfleet_sum(pw_fleet *f, const char *service, pw_fleet_side side,
                         int64_t now);

/* The number of targets of a service that requests may be sent to, and the number that are
** alive. */
int pwfleet_usable(pw_fleet *f, const char *service, int64_t now);
int pwfleet_alive(pw_fleet *f, const char *service, int64_t now);

/* Whether one of these incarnations, given by their short hashes, is a live target of the service. */
int pwfleet_has_live(pw_fleet *f, const char *service,
                     const uint32_t *short_hash, int n, int64_t now);

/* Whether a usable target exists besides those that a request has tried; `version`: 0, or the only version_hash that
** fits. */
int pwfleet_has_other(pw_fleet *f, const char *service, pw_fleet_side side,
                      uint64_t version, pw_target *const *tried, int ntried,
                      int64_t now);

/* Whether a live target of the service has this version_hash and accepts requests. */
int pwfleet_has_version(pw_fleet *f, const char *service, uint64_t version,
                        int64_t now);

/* The version_hash of targets of this service and software version. */
uint64_t pwfleet_version_hash(const char *service, const char *version);

/* In place of a version_hash, which is odd. */
#define PWFLEET_SEVERAL_VERSIONS 2

/* The version_hash of all known targets of a service, those gone lately included; PWFLEET_SEVERAL_VERSIONS: they
** differ; 0: there are none. */
uint64_t pwfleet_only_version(const pw_fleet *f, const char *service);

/* The service and the software version that a version_hash stands for; NULL and "-" if no target of it is known. */
const char *pwfleet_service_of(const pw_fleet *f, uint64_t version);
const char *pwfleet_version_name(const pw_fleet *f, uint64_t version);

/* The leading tokens of a prompt that a target has cached. */
typedef struct pw_fleet_cached {
  uint32_t target; /* short hash */
  double tokens;
} pw_fleet_cached;

/* Targets that are considered for what they have of one prompt. */
#define PWFLEET_CACHED_MAX 16

/* The prompt of a request. */
typedef struct pw_fleet_prompt {
  double tokens;        /* in all */
  double shared_tokens; /* the leading ones that other prompts share */
  pw_fleet_cached cached[PWFLEET_CACHED_MAX];
  int ncached;
  /* When this process began to learn which target has which prefix, ms. 0: so long ago that it knows all of
  ** them. */
  int64_t known_since;
  int can_copy; /* targets can copy a prefix from one another's KV cache */
  int is_first_attempt; /* the request may still be refused rather than wait */
  pw_prefill prefill;
  pw_pick_times times;
} pw_fleet_prompt;

/* Software versions of one service, as version_hash. */
#define PWFLEET_VERSIONS_MAX 8
typedef struct pw_fleet_versions {
  uint64_t hash[PWFLEET_VERSIONS_MAX];
  int n;
} pw_fleet_versions;

/* What a request requires of its target. */
typedef struct pw_fleet_criteria {
  const char *service;
  pw_fleet_side side;
  uint64_t version; /* the only version_hash that fits; 0: any */
  const pw_fleet_versions *versions; /* those that fit; NULL: any */
  pw_pick_policy how;
  int is_sticky; /* `key` is set */
  uint64_t key;  /* hash of the prompt prefix that requests share */
  int home_only; /* a sticky request is refused rather than sent by load alone */
  pw_fleet_prompt prompt; /* if is_sticky */
  double wait_ms;         /* longest acceptable wait for a slot */
  double draw;            /* uniform in [0, 1) */
  pw_pick_bound bound;
  /* This gateway's quota of a plain service; NULL: none applies. */
  const pw_slotorder_quota *quota;
  pw_cold_service cold; /* what the service's cold targets accept */
  double part;   /* this gateway's share of `cold`, above 0 and at most 1 */
  int conns;     /* most connections to one target, busy or idle; 0: no limit */
  int may_probe; /* it may run again elsewhere if a suspected target leaves it
                 ** unanswered */
  int save_retries;        /* few retries are left: targets that reject requests
                           ** come last */
  pw_target *const *tried; /* targets that are excluded */
  int ntried;
} pw_fleet_criteria;

typedef struct pw_fleet_picked {
  pw_target *target; /* with a reference for the caller; NULL: none */
  /* A prefix is copied from it if work.copied > 0. No reference; NULL: none. */
  pw_target *holder;
  pw_prefill_work work; /* before the first chunk, if the request is sticky */
  int is_late; /* nothing is picked, although a target has room: its first chunk
                  would be late */
} pw_fleet_picked;

pw_fleet_picked pwfleet_pick(pw_fleet *f, const pw_fleet_criteria *criteria,
                             int64_t now);

/* Records a valid answer of a target, or a request that ended without one. */
void pwfleet_answered(pw_target *t, int64_t now);
void pwfleet_failed(pw_target *t, int64_t now);

/* Records how long a target took for a request. */
void pwfleet_measured(pw_target *t, double ms, int64_t now);

/* Records that no connection to a target came up. */
void pwfleet_connect_failed(pw_target *t, int64_t now);

/* Records that a target announced in an answer that it leaves. Returns whether this was unknown
** before. */
int pwfleet_note_leaving(pw_target *t);

/* Records that a target asked in an answer for a hold-off of `ms`. Returns whether that
** extends the known hold-off. */
int pwfleet_note_hold_off(pw_target *t, int64_t ms, int64_t now);

/* Records that a target rejected a request and proved that it did not run; `had_room`: it had
** free slots. */
void pwfleet_rejected(pw_target *t, int had_room, int64_t now);

/* Whether a target accepts requests at all, including a request that is sent to it again: it is
** not gone, leaving, evacuated, outdated or in a hold-off. */
int pwfleet_may_send(const pw_target *t, int64_t now);

/* Time until the first hold-off ends, ms, if all targets of a service that could be used are
** in a hold-off; 0: at least one of them is not, or there are none. */
int64_t pwfleet_held_off(pw_fleet *f, const char *service, int64_t now);

/* Discounts a stall of this process by `ms`, in which it could receive nothing, from the
** silence of all targets. Must be called before anything that arrived during the stall is
** read. */
void pwfleet_discount_stall(pw_fleet *f, int64_t ms);

/* Whether a target has sent nothing for so long that the requests waiting for it should move
** to another target. */
int pwfleet_is_unresponsive(const pw_target *t, int64_t now);

/* Records an error answer that the target itself caused. */
void pwfleet_error_answered(pw_target *t, int64_t now);

/* Takes and releases a reference to a target. */
pw_target *pwfleet_retain(pw_target *t);
void pwfleet_release(pw_target *t);

#endif
