/* pwprefill.c: prefill as a capacity of an engine. */
#include "pwprefill.h"

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_COST_OF_SHORT = 55,    /* short prompts raise the time per token, too */
  MUT_LATE_COUNTS_ONCE = 56, /* late answers weigh no more than others */
  MUT_COPY_ALWAYS = 57       /* copies however much is copied already */
};

/* Less work than this says little of the time per token, since the network and the
** first token take most of it. It still shows that it is not higher, as long as it is at least TOKENS_LEAST. */
#define TOKENS_ENOUGH 2000.0
#define TOKENS_LEAST 200.0

/* Factor by which one measurement moves the time per token. Steps of the same size up and
** down follow the median, so a prompt that was cached unknown to the gateway, or
** waited behind one that it did not know of, does not distort it. */
#define COST_STEP 1.03

/* An answer in time raises goal_part by PART_STEP, a late one lowers it by
** LATE_WEIGHT times as much: it rises while fewer than one in 20 are late. Below
** PART_LEAST engines would be idle between two requests. */
#define PART_STEP 0.002
#define LATE_WEIGHT 19
#define PART_LEAST 0.25

void pwprefill_init(pw_prefill *p) {
  *p = (pw_prefill){.goal_part = 1};
}

void pwprefill_measured(pw_prefill *p, double tokens, double ms) {
  int is_enough = tokens >= TOKENS_ENOUGH || PW_MUTATION == MUT_COST_OF_SHORT;
  if (tokens < TOKENS_LEAST || ms <= 0)
    return;
  double seen = ms / tokens;
  if (p->ms_per_token == 0)
    p->ms_per_token = is_enough ? seen : 0;
  else if (seen < p->ms_per_token)
    p->ms_per_token /= COST_STEP;
  else if (is_enough)
    p->ms_per_token *= COST_STEP;
}

void pwprefill_answered(pw_prefill *p, int is_late) {
  int weight = PW_MUTATION == MUT_LATE_COUNTS_ONCE ? 1 : LATE_WEIGHT;
  double part = p->goal_part + (is_late ? -weight : 1) * PART_STEP;
  p->goal_part = part > 1 ? 1 : part < PART_LEAST ? PART_LEAST : part;
}

double pwprefill_queue_ms(const pw_prefill *p, const pw_prefill_work *work) {
  double copies = work->copied > 0 ? work->copies_ahead : 0;
  return work->ahead * p->ms_per_token + copies * p->ms_per_copy;
}

double pwprefill_first_ms(const pw_prefill *p, const pw_prefill_work *work) {
  return pwprefill_queue_ms(p, work) + work->own * p->ms_per_token +
         work->copied * p->ms_per_copy;
}

int pwprefill_should_copy(const pw_prefill *p, double tokens,
                          double copies_ahead) {
  double copy_ms = (tokens + copies_ahead) * p->ms_per_copy;
  return p->ms_per_token == 0 || copy_ms <= tokens * p->ms_per_token ||
         PW_MUTATION == MUT_COPY_ALWAYS;
}
