/* pwfleet.h: the targets that a gateway knows, and what it has seen of them. */
#ifndef PWFLEET_H
#define PWFLEET_H

#include "pwcanary.h"
#include "pwcold.h"
#include "pwdialect.h"
#include "pwholdoff.h"
#include "pwloads.h"
#include "pwpick.h"
#include "pwreject.h"

#include <netinet/in.h>
#include <stdint.h>
#include <uthash.h>

typedef struct pw_upconn pw_upconn;

/* Which targets of a service a request may go to, while it is rolled out to another version. */
typedef enum pw_fleet_side {
  PWFLEET_BOTH, /* it is not */
  PWFLEET_FROM,
  PWFLEET_TO /* those of the new version that take part */
} pw_fleet_side;

/* One start of a target. Kept while anything refers to it. */
typedef struct pw_target {
  char id[PW_NAME_MAX];
  uint64_t born; /* with the id it names this start; 0: it does not say */
  char service[PW_NAME_MAX];
  char availability_zone[PW_NAME_MAX];
  char address[PW_NAME_MAX];
  struct sockaddr_in addr;
  uint64_t hash; /* of its id: prompts come home to the next start, too */
  uint64_t
      start_hash; /* of this start: what is known of another is not of this */
  uint32_t short_hash;       /* names this start between gateways ... */
  uint32_t reject_hash;      /* ... what it turned away ... */
  uint32_t miss_hash;        /* ... and that it can't be reached */
  char version[PW_NAME_MAX]; /* of its software */
  int slots;
  int is_leaving;
  int is_outdated; /* its service has been rolled out to another version */
  int is_gone;
  int is_displaced;   /* it is gone only because another named its address */
  int64_t claimed_at; /* when it named the address since then; 0: it has not */
  int is_silent;      /* it has missed its heartbeats */
  uint64_t seq;
  int64_t heard_at;    /* its newest heartbeat, ms */
  int64_t excused_ms;  /* of the time since: this process heard nobody */
  int64_t joined_at;   /* when it started, about, ms */
  pw_cold cold;        /* what it bears after its start */
  int is_evacuated;    /* its availability zone is: nothing new goes there */
  int says_leaving;    /* it has said so in an answer, which this start does not
                     ** take back */
  pw_holdoff hold_off; /* it has asked to be left alone */

  int inflight;      /* requests of this gateway that it has */
  int others;        /* and of the other gateways, as they said last */
  pw_reject rejects; /* when it turned a request of this gateway away ... */
  uint32_t others_rejects; /* ... and at how many others it did so lately */
  pw_reject misses; /* the same of connections to it that did not come up */
  uint32_t others_misses;
  int nconns;
  pw_upconn *idle; /* connections at rest, the newest first */

  int failures;        /* in a row: no answer, or none that is one */
  double errors;       /* share of its answers that were errors, smoothed ... */
  int64_t errors_at;   /* ... as of then, ms; it fades without answers */
  int64_t set_aside;   /* not sent to until then, ms */
  int64_t answered_at; /* its newest answer, ms */
  int64_t seen_at; /* its newest byte, and later by what is excused since; ms */
  double work_ms; /* smoothed time of one request there; 0: none was measured */
  pw_fleet_side side;
  int takes_part; /* of the new version: requests go there already */
  int refs;
  struct pw_target
      *next_retired; /* earlier starts that still have connections */
  UT_hash_handle hh;
} pw_target;

typedef struct pw_fleet pw_fleet;

/* `beat_ms`: how often a target says that it is there; `keep_ms`: how long what
** a prompt has left in a target's memory is worth going back to. */
pw_fleet *pwfleet_new(const char *availability_zone, int64_t beat_ms,
                      int64_t keep_ms);
void pwfleet_free(pw_fleet *f);

/* What comes is told by control instances, which have judged what they hear: it is
** believed at once. */
void pwfleet_believe(pw_fleet *f);

/* What a heartbeat changed. */
typedef enum pw_fleet_news {
  PWFLEET_OLD, /* nothing: known already */
  PWFLEET_RENEWED,
  PWFLEET_JOINED,
  PWFLEET_RESTARTED, /* a new start under an id that is known */
  PWFLEET_BACK,      /* after it was silent */
  PWFLEET_COLD,      /* it has turned cold ... */
  PWFLEET_WARM,      /* ... or is warm sooner than was known */
  PWFLEET_SILENT,
  PWFLEET_LEAVING,
  PWFLEET_GONE
} pw_fleet_news;

/* "target-joined" and so on, for log lines; NULL where nothing has changed. */
const char *pwfleet_news_name(pw_fleet_news news);

/* Takes a heartbeat that was heard at `heard_at`, ms. One of an earlier start than is known
** changes nothing, whatever it says; one of a later start is of a new target. That a target without
** `born` ends is said of the start that is known. */
pw_fleet_news pwfleet_beat(pw_fleet *f, const pw_beat *b, int gone,
                           int64_t heard_at);

/* The id does not answer at its address any more. */
void pwfleet_forget(pw_target *t, int64_t now);

/* The same of a start that is known already; PWFLEET_OLD if it is not. */
pw_fleet_news pwfleet_renew(pw_fleet *f, const char *id, uint64_t born,
                            uint64_t seq, int64_t heard_at);

/* Whether this start of a target, or a later one, is known. */
int pwfleet_knows(pw_fleet *f, const char *id, uint64_t born);

/* A control instance tells that the target has missed its heartbeats, or not. */
pw_fleet_news pwfleet_told_silent(pw_fleet *f, const char *id, uint64_t born,
                                  int silent, int64_t now);

/* Lets time pass: targets long silent are forgotten. With `judge` it also finds
** who has missed its heartbeats, and tells of each, and of those that are about
** to be forgotten. */
void pwfleet_tick(pw_fleet *f, int64_t now,
                  void (*judge)(void *arg, pw_target *t, int forgotten),
                  void *arg);

/* A target as its last heartbeat told, at heard_at. */
void pwfleet_beat_of(const pw_target *t, pw_beat *out);

/* The availability zones that are evacuated as of a revision; an older one changes nothing.
** Targets of one that is taken back may have turned cold unheard. Gives whether one came or
** went. */
int pwfleet_evacuate(pw_fleet *f, uint64_t revision, char *const *names,
                     size_t n, int64_t now);

/* How many availability zones are evacuated, as far as is known. */
int pwfleet_evacuated(const pw_fleet *f);

pw_target *pwfleet_find(pw_fleet *f, const char *id);
pw_target *pwfleet_first(const pw_fleet *f);

/* Earlier starts that still have connections or requests; follow next_retired. */
pw_target *pwfleet_retired(const pw_fleet *f);

/* How many are known that have not ended. */
int pwfleet_count(const pw_fleet *f);

/* What all gateways have at targets and what these did not take, and what of it is this one's own;
** it is `age_ms` old, about, until it is said anew. */
void pwfleet_note_loads(pw_fleet *f, const pw_loads *all, const pw_loads *own,
                        int64_t age_ms);

/* A roll-out of a service, as pwcanary.h has it. */
typedef struct pw_fleet_rollout {
  char service[PW_NAME_MAX];
  char version[PW_NAME_MAX];
  pw_canary canary;
} pw_fleet_rollout;

/* --- pwfleetroll.c --- */

/* All roll-outs that are known, in place of those before. Targets of other versions get
** nothing more once one is complete. */
void pwfleet_rollouts(pw_fleet *f, const pw_fleet_rollout *list, size_t n);

/* Which targets a request of the service goes to; `draw` is uniform in [0, 1). */
pw_fleet_side pwfleet_side(const pw_fleet *f, const char *service, double draw);

/* What the targets of a service that are alive have together. */
typedef struct pw_fleet_sum {
  int targets;
  double slots, inflight, others;
  double others_age_ms; /* of what the other gateways have there */
  double work_ms;       /* mean time of one request there */
} pw_fleet_sum;
pw_fleet_sum pwfleet_sum(pw_fleet *f, const char *service, pw_fleet_side side,
                         int64_t now);

/* Targets of a service that may be sent to, and all of it that are there. */
int pwfleet_usable(pw_fleet *f, const char *service, int64_t now);
int pwfleet_alive(pw_fleet *f, const char *service, int64_t now);

/* Whether a request that has tried these may go to yet another target that is alive. */
int pwfleet_has_other(pw_fleet *f, const char *service, pw_fleet_side side,
                      pw_target *const *tried, int ntried, int64_t now);

/* What a request needs of its target. */
typedef struct pw_fleet_ask {
  const char *service;
  pw_fleet_side side;
  pw_pick_how how;
  int is_sticky; /* `key` is the hash of what its prompt shares */
  uint64_t key;
  int stays;          /* it goes nowhere but where its prompt may lie */
  uint32_t last;      /* short hash of where it was sent last; 0: not known */
  uint32_t beginning; /* the same of another that begins as it does */
  double wait_ms;     /* longest wait for a slot that pays */
  double draw;        /* uniform in [0, 1) */
  pw_pick_bound bound;
  pw_cold_service cold; /* of the service's cold targets this gateway has ... */
  double part;          /* ... this part, above 0 and at most 1 */
  int conns;            /* to one target at most, those in use included */
  int spares_retries;   /* those that turn requests away come last */
  pw_target *const *tried; /* not these again */
  int ntried;
} pw_fleet_ask;

typedef struct pw_fleet_picked {
  pw_target *target; /* held; NULL: there is none */
  pw_target *holder; /* another that likely has what the prompt shares, or NULL;
                     ** not held */
  int is_home;       /* where every gateway would look for the prompt */
} pw_fleet_picked;

pw_fleet_picked pwfleet_pick(pw_fleet *f, const pw_fleet_ask *ask, int64_t now);

/* A request at the target ended: it answered, after work_ms (0: not measured), or failed
** in some way. */
void pwfleet_answered(pw_target *t, double work_ms, int64_t now);
void pwfleet_failed(pw_target *t, int64_t now);

/* It could not be reached: no connection came up. */
void pwfleet_unreached(pw_target *t, int64_t now);

/* It says in an answer that it leaves; gives whether that is news. */
int pwfleet_note_leaving(pw_target *t);

/* It asks in an answer to be left alone for `ms`; gives whether that is longer than was known. */
int pwfleet_note_hold_off(pw_target *t, int64_t ms, int64_t now);

/* It turned a request away with a proof; `had_room`: it was not full. */
void pwfleet_rejected(pw_target *t, int had_room, int64_t now);

/* Whether a request may be sent to it at all, also one that it had before: it has not ended, does not
** leave, is not evacuated and has not asked to be left alone. */
int pwfleet_may_send(const pw_target *t, int64_t now);

/* Ms until the first target of a service may be asked, of which each that could be has asked to be left
** alone; 0: there is another, or none at all. */
int64_t pwfleet_held_off(pw_fleet *f, const char *service, int64_t now);

/* This process could hear nobody for `ms`: that is no target's silence. Called before anything that came
** meanwhile is read. */
void pwfleet_excuse(pw_fleet *f, int64_t ms);

/* Whether it has shown no sign of life for so long that requests which wait for
** it are better off elsewhere. */
int pwfleet_is_dark(const pw_target *t, int64_t now);

/* It answered with an error of its own. */
void pwfleet_erred(pw_target *t, int64_t now);

pw_target *pwfleet_hold(pw_target *t);
void pwfleet_drop(pw_target *t);

#endif
