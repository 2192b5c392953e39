/* pwparts.h: parts of prompts that crash the targets which answer them; no
** prompt with such a part is sent to a target.
**
** Pure: time comes in as an argument. Prevents this failure: one part of a
** prompt crashes each target that begins to answer it, whatever else the
** request holds. No two such requests are alike, so pwquarantine sees each for
** the first time, and each takes down as many targets as its route allows, with
** all that runs there.
**
** Which part is to blame? A crash counts against the parts of all requests that
** ran there. What tells the cause from the rest:
** - An answer of success proves all parts of its prompt harmless, and retracts
**   the crashes before it.
** - Crashes count one by one: each with a request that was sent after the one
**   before it. When half of the targets crash at once, every part has one crash,
**   however many targets had it.
** - A part that was answered lately needs more crashes, and other prompts have
**   to be answered meanwhile. So one that all prompts share is not blamed for a
**   loss of all targets.
** - A crash at the same moment as that of a target which did not have the part
**   proves nothing.
** - A part is not blamed for crashes that a more suspect one explains.
** - Parts whose crashes are the same cannot be told apart: a prompt has to have
**   all of them to be refused. One with only some of them tells which it is.
**
** The last part of a prompt belongs to its request alone and is left out. Every
** instance counts, tells the others, and decides from the same crashes. */
#ifndef PWPARTS_H
#define PWPARTS_H

#include <stddef.h>
#include <stdint.h>

/* Parts of one prompt that are considered; further ones are ignored. */
#define PWPARTS_MAX 31

/* Crashes that are kept of a part. */
#define PWPARTS_CRASHES 24

#define PWPARTS_ROWS 32 /* most in one update, which fits a datagram */

#define PWPARTS_CHANGES 8 /* most that are logged at once */

/* The parts of a prompt that it may share with others, as pwparts_key names
** them. */
typedef struct pw_part_list {
  uint64_t key[PWPARTS_MAX];
  int n;
} pw_part_list;

/* A crash of a target while it had a request. */
typedef struct pw_part_crash {
  uint64_t target;       /* incarnation, the same at every instance */
  int64_t sent, crashed; /* when the request was sent, and the crash, ms */
} pw_part_crash;

/* What is known of one part, as instances tell each other. */
typedef struct pw_part_row {
  uint64_t key;
  pw_part_crash crash[PWPARTS_CRASHES]; /* since its last answer, in order */
  int n;
  int64_t answered;        /* time of its last answer, ms; 0: not known */
  int are_others_answered; /* prompts without it, since its first crash */
} pw_part_row;

/* A part that has begun or ceased to be refused. */
typedef struct pw_part_change {
  uint64_t key;
  int is_refused;
  int crashes; /* that are known */
} pw_part_change;

/* Why a prompt is refused. */
typedef struct pw_part_refusal {
  int part;     /* index in the list */
  int crashes;  /* that are known */
  int64_t left; /* ms until it may be sent again; 0: it is not refused */
} pw_part_refusal;

typedef struct pw_parts pw_parts;

pw_parts *pwparts_new(void);
void pwparts_free(pw_parts *q);

/* Names a part of a workspace's prompts. Ids of other workspaces are other
** parts: none can have another's prompts refused. */
uint64_t pwparts_key(const char *workspace, uint64_t id);

/* A target crashed while it had a request with these parts. */
void pwparts_crashed(pw_parts *q, const pw_part_list *parts,
                     const pw_part_crash *crash);

/* A target answered a request with these parts with success. */
void pwparts_answered(pw_parts *q, const pw_part_list *parts, int64_t now);

/* Whether a prompt with these parts is refused. */
pw_part_refusal pwparts_refusal(pw_parts *q, const pw_part_list *parts,
                                int64_t now);

/* Fills in the rows that are due to be sent to other instances, as many as fit
** a datagram, and returns their number. */
size_t pwparts_updates(pw_parts *q, pw_part_row *row, int64_t now);

/* Lists the parts with enough crashes to be refused, and those that were found
** harmless lately, as many as fit a datagram; the next call continues. *at
** begins at 0. Returns the number of rows. */
size_t pwparts_list(pw_parts *q, size_t *at, pw_part_row *row);

/* Applies a row received from another instance. */
void pwparts_receive(pw_parts *q, const pw_part_row *row, int64_t now);

/* Drops old crashes. */
void pwparts_tick(pw_parts *q, int64_t now);

/* Fills in parts that have begun or ceased to be refused since the last call,
** at most `most`, and returns their number. */
size_t pwparts_changes(pw_parts *q, pw_part_change *out, size_t most,
                       int64_t now);

/* Number of parts that are refused. */
int pwparts_count(pw_parts *q, int64_t now);

/* Number of parts with crashes. */
size_t pwparts_cases(const pw_parts *q);

#endif
