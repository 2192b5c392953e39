/* pwexcrash.c: what a crash of its target, or an answer, says of a request and of the parts of its prompt; requests
** that are in quarantine. */
#include "pwexint.h"

#include <stdio.h>

/* Length of the list of parts in a log line, and most characters that one part takes there. */
#define PARTS_CHARS 120
#define PART_ID_CHARS 18

#define WHY_CHARS 120

/* A target that ended a connection and accepts another one has crashed if that one, too, ends within this time, ms. */
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

/* Whether a part of an answer came from the target that was not in flight at `at`. */
static int has_sent_since(const pw_target *t, int64_t at) {
  return t->chunk_at > at + IN_FLIGHT_MS;
}

static void count_crash(pw_gate *g, const pw_unresponsive_request *r) {
  pw_part_crash crash = {r->target, r->sent, r->at};
  pwparts_crashed(g->parts, &r->parts, &crash);
}

/* The target has crashed under the requests whose connections it ended. */
static void count_crashes_of(pw_gate *g, const pw_target *t, int64_t now) {
  pw_unresponsive_request r;
  while (pwunresponsive_take(&g->ended, t->start_hash, now, &r))
    if (!has_sent_since(t, r.at))
      count_crash(g, &r);
}

/* A target that refuses connections has crashed. One that accepts is given SIGN_OF_LIFE_MS to end the new connection
** as well: the kernel may accept for a process that is ending. */
static void on_replaced(pw_gate *g, pw_target *t, int is_up) {
  int64_t now = pwclock_ms();
  pwtrace_line(g->trace, PWTRACE_STATE, now, "target-checked",
               "target=%s accepts=%d", t->id, is_up);
  if (is_up) {
    pwunresponsive_end_check(&g->ended, t->start_hash);
    return;
  }
  t->refused_at = now;
  pwfleet_connect_failed(t, now);
  count_crashes_of(g, t, now);
}

/* Notes that the target ended the connection of a request whose prompt has shared parts, and replaces the connection,
** which shows whether the target runs: targets that break off answers end connections as crashes do. */
static void check_target(pw_exchange *x, pw_unresponsive_request *r) {
  pw_gate *g = x->g;
  pw_target *t = x->t;
  r->is_checked = !t->is_gone;
  pwunresponsive_note(&g->ended, r);
  if (r->at - t->refused_at < SIGN_OF_LIFE_MS)
    count_crashes_of(g, t, r->at);
  else if (r->is_checked && !pwupconn_replace(g, t, on_replaced))
    pwunresponsive_end_check(&g->ended, t->start_hash);
}

void pwexi_note_crashed(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  char parts[PARTS_CHARS];
  pw_unresponsive_request request = describe(x, now);
  pw_quar_change change =
      pwquar_crashed(g->quarantine, x->fingerprint, x->t->start_hash, now);
  if (request.parts.n > 0)
    check_target(x, &request);
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
    if (!t || (!t->replacement && !t->idle && !has_sent_since(t, r.at)))
      count_crash(g, &r);
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
