/* pwfleetprompt.c: what targets have cached of a prompt, and what they have to do before the first chunk of its
** answer. */
#include "pwfleetint.h"

/* A target that lacks fewer tokens than this computes them: a copy takes some milliseconds in any case. */
#define REPEAT_TOKENS 500

/* Leading tokens of the prompt that a target is expected to have cached. */
static double cached_at(const pw_fleet_prompt *p, const pw_target *t) {
  double most = 0;
  for (int i = 0; i < p->ncached; i++)
    if (p->cached[i].target == t->short_hash && p->cached[i].tokens > most)
      most = p->cached[i].tokens;
  return most;
}

static double copies_at(const pw_target *t) {
  return t->copies + t->others_copies;
}

/* Index of the live target with a short hash; -1: none. */
static int find_row(pw_target *const *targets, const pw_pick *row, int n,
                    uint32_t short_hash) {
  for (int i = 0; short_hash && i < n; i++)
    if (targets[i]->short_hash == short_hash && row[i].is_alive)
      return i;
  return -1;
}

/* The live target, except one, that has the most of the prompt cached; of several the one with the fewest
** copies to make. NULL: none is known. */
static pw_target *find_holder(const pw_fleet_prompt *p, const pw_pick *row,
                              pw_target *const *targets, int n, int except) {
  pw_target *best = NULL;
  double most = 0;
  for (int i = 0; i < p->ncached; i++) {
    int at = find_row(targets, row, n, p->cached[i].target);
    double tokens = p->cached[i].tokens;
    if (at < 0 || at == except || tokens < most ||
        (best && tokens == most && copies_at(targets[at]) >= copies_at(best)))
      continue;
    best = targets[at];
    most = tokens;
  }
  return best;
}

/* Whether a target has all that the prompt shares with others cached. */
static int has_shared(const pw_fleet_prompt *p, const pw_target *t) {
  return p->shared_tokens > 0 && cached_at(p, t) >= p->shared_tokens;
}

pw_prefill_work pwflt_prefill_work(const pw_target *t, const pw_fleet_prompt *p,
                                   const pw_target *holder) {
  double cached = cached_at(p, t);
  pw_prefill_work work = {.ahead = t->prefill + t->others_prefill,
                          .own = p->tokens - cached};
  double more = holder && p->can_copy ? cached_at(p, holder) - cached : 0;
  double copies_ahead = holder ? copies_at(t) + copies_at(holder) : 0;
  if (more <= 0 || !pwprefill_should_copy(&p->prefill, more, copies_ahead))
    return work;
  work.copied = more;
  work.copies_ahead = copies_ahead;
  work.own -= more;
  return work;
}

/* A gateway that has just restarted knows no prefixes. If it took all prompts for uncached, it would expect prefill
** of all of them, refuse requests, and send others to targets that have to compute them again. */
void pwflt_assume_home(pw_fleet_prompt *p, uint64_t key, const pw_pick *row,
                       pw_target *const *targets, int n) {
  int home = pwpick_holder(row, n, key);
  const pw_target *holder = find_holder(p, row, targets, n, -1);
  if ((holder && has_shared(p, holder)) || home < 0 ||
      targets[home]->joined_at >= p->known_since ||
      p->ncached == PWFLEET_CACHED_MAX)
    return;
  p->cached[p->ncached++] =
      (pw_fleet_cached){targets[home]->short_hash, p->shared_tokens};
}

void pwflt_fill_prompt(const pw_fleet_prompt *p, pw_pick *row,
                       pw_target *const *targets, int n) {
  const pw_target *holder = find_holder(p, row, targets, n, -1);
  double held = holder && has_shared(p, holder) ? cached_at(p, holder) : 0;
  for (int i = 0; i < n; i++) {
    pw_prefill_work work = pwflt_prefill_work(targets[i], p, holder);
    row[i].first_ms = pwprefill_first_ms(&p->prefill, &work);
    row[i].queue_ms = pwprefill_queue_ms(&p->prefill, &work);
    row[i].is_holder = has_shared(p, targets[i]);
    row[i].repeats_prefill = p->is_first_attempt && p->can_copy &&
                             work.copied == 0 &&
                             held - cached_at(p, targets[i]) > REPEAT_TOKENS;
  }
}

/* The home is named where nothing better is known: other gateways may have sent the prompt there. Naming a
** target that has nothing more than the picked one does no harm. */
pw_target *pwflt_copy_source(const pw_fleet_prompt *p, uint64_t key,
                             const pw_pick *row, pw_target *const *targets,
                             int n, int best) {
  pw_target *known = find_holder(p, row, targets, n, best);
  int home = pwpick_holder(row, n, key);
  if (!(known && has_shared(p, known)) && home >= 0 && home != best &&
      !has_shared(p, targets[best]))
    return targets[home];
  if (!known)
    return NULL;
  pw_prefill_work work = pwflt_prefill_work(targets[best], p, known);
  int has_no_more = cached_at(p, known) <= cached_at(p, targets[best]);
  return work.copied > 0 || has_no_more ? known : NULL;
}
