/* pwexcrash.c: what a crash of its target, or an answer, says of a request and of the parts of its prompt; requests
** that are in quarantine. */
#include "pwexint.h"

#include <stdio.h>

/* Length of the list of parts in a log line, and most characters that one part takes there. */
#define PARTS_CHARS 120
#define PART_ID_CHARS 18

#define WHY_CHARS 120

/* A target that ended a connection is given this time to show that it runs, ms. Targets that break off answers, and
** run on, end connections as crashes do. */
#define SIGN_OF_LIFE_MS 100

/* What a target sent before it crashed has arrived after this time, ms. */
#define IN_FLIGHT_MS 30

/* The parts that the prompt may share with others: all but the last. */
static pw_part_list shared_parts(const pw_exchange *x) {
  const pw_request_info *info = &x->request_info;
  const char *workspace = x->workspace ? x->workspace->name : "";
  pw_part_list list = {.n = 0};
  for (int i = 0; i + 1 < info->nparts && list.n < PWPARTS_MAX; i++)
    list.key[list.n++] = pwparts_key(workspace, info->part[i].id);
  return list;
}

/* Writes the ids of these parts, separated by commas; as many as fit. */
static void write_shared_parts(const pw_exchange *x, char *out, size_t cap) {
  const pw_request_info *info = &x->request_info;
  size_t n = 0;
  out[0] = 0;
  for (int i = 0; i + 1 < info->nparts && n + PART_ID_CHARS < cap; i++)
    n += (size_t)snprintf(out + n, cap - n, "%s%llx", i ? "," : "",
                          (unsigned long long)info->part[i].id);
}

/* Describes the request at its current target, as of `now`. */
static pw_unresponsive_request describe(const pw_exchange *x, int64_t now) {
  return (pw_unresponsive_request){.fingerprint = x->fingerprint,
                                   .parts = shared_parts(x),
                                   .target = x->t->start_hash,
                                   .sent = x->sent_at,
                                   .at = now};
}

void pwexi_note_crashed(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  char parts[PARTS_CHARS];
  pw_unresponsive_request request = describe(x, now);
  pw_quar_change change =
      pwquar_crashed(g->quarantine, x->fingerprint, x->t->start_hash, now);
  if (request.parts.n > 0)
    pwunresponsive_note(&g->ended, &request);
  write_shared_parts(x, parts, sizeof parts);
  pwexi_log(x, PWTRACE_FAIL, "ended-under",
            "target=%s sign=%016llx began=%d had_ms=%lld parts=%s ends=%d",
            x->t->id, (unsigned long long)x->fingerprint, x->has_begun,
            (long long)(now - x->sent_at), parts,
            pwquar_crashes(g->quarantine, x->fingerprint));
  pwgate_log_suspect(g, x->fingerprint, change, "seen");
}

void pwexi_note_unresponsive(pw_exchange *x, int64_t now) {
  if (x->t->is_silent || x->t->is_gone) { /* control reports the loss, too */
    pwexi_note_crashed(x, now);
    return;
  }
  pw_unresponsive_request request = describe(x, now);
  pwunresponsive_note(&x->g->unresponsive, &request);
  pwexi_log(x, PWTRACE_FAIL, "dark-under", "target=%s sign=%016llx", x->t->id,
            (unsigned long long)x->fingerprint);
}

/* Whether the target has run since `at`: a crash ends all its connections, and a part of an answer that comes some
** time later was not in flight before. */
static int has_run_since(const pw_target *t, int64_t at) {
  return t->idle || t->chunk_at > at + IN_FLIGHT_MS;
}

static const pw_target *find_incarnation(pw_gate *g, uint64_t start_hash) {
  pw_target *t = pwfleet_first(g->fleet);
  while (t && t->start_hash != start_hash)
    t = t->hh.next;
  return t;
}

void pwexchange_count_crashes(pw_gate *g, int64_t now) {
  pw_unresponsive_request r;
  while (pwunresponsive_take_old(&g->ended, SIGN_OF_LIFE_MS, now, &r)) {
    const pw_target *t = find_incarnation(g, r.target);
    pw_part_crash crash = {r.target, r.sent, r.at};
    if (!t || !has_run_since(t, r.at))
      pwparts_crashed(g->parts, &r.parts, &crash);
  }
}

void pwexi_note_answered(pw_exchange *x, int64_t now) {
  pw_part_list shared = shared_parts(x);
  pw_quar_change change =
      pwquar_answered(x->g->quarantine, x->fingerprint, now);
  pwparts_answered(x->g->parts, &shared, now);
  if (change != PWQUAR_UNCHANGED)
    pwgate_log_suspect(x->g, x->fingerprint, change, "seen");
}

static int end_quarantined_request(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  char why[WHY_CHARS];
  int64_t left = pwquar_left(g->quarantine, x->fingerprint, now);
  if (left == 0)
    return 0;
  snprintf(why, sizeof why, "%d targets crashed while running it; sign=%016llx",
           pwquar_crashes(g->quarantine, x->fingerprint),
           (unsigned long long)x->fingerprint);
  pwcount_add(g->p->counters, PWC_QUARANTINE_REFUSED, 1);
  pwexi_fail(x, PW_E_QUARANTINED, why, left);
  return 1;
}

static int end_quarantined_part(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  char why[WHY_CHARS];
  pw_part_list shared = shared_parts(x);
  pw_part_refusal refusal = pwparts_refusal(g->parts, &shared, now);
  if (refusal.left == 0)
    return 0;
  snprintf(why, sizeof why,
           "%d targets crashed while answering prompts with part %llx",
           refusal.crashes,
           (unsigned long long)x->request_info.part[refusal.part].id);
  pwcount_add(g->p->counters, PWC_PART_REFUSED, 1);
  pwexi_fail(x, PW_E_PART_QUARANTINED, why, refusal.left);
  return 1;
}

int pwexi_end_quarantined(pw_exchange *x, int64_t now) {
  return end_quarantined_request(x, now) ||
         (pwparts_count(x->g->parts, now) > 0 && end_quarantined_part(x, now));
}
