/* pwprefill.h: prefill as a capacity of an engine.
**
** Pure. Addresses this load: engines have free slots and answer late, because long
** prompts wait for each other's prefill. While many wait, as after a crash of half
** of the engines, the KV cache is full of prompts in prefill, and prefixes that
** the next requests need are evicted and computed again. */
#ifndef PWPREFILL_H
#define PWPREFILL_H

/* What a gateway has learned of the prefill of one service's engines. */
typedef struct pw_prefill {
  double ms_per_token; /* of a prompt; 0: not measured yet */
  double ms_per_copy;  /* of a token copied from another engine; 0: unknown */
  double goal_part;    /* a first chunk may be expected within this part of the
                       ** goal, at most 1 */
} pw_prefill;

/* What an engine has to do before the first chunk of a request's answer, in
** tokens. */
typedef struct pw_prefill_work {
  double ahead;  /* prefill of other requests that comes first */
  double own;    /* prefill of the request */
  double copied; /* of the prompt, copied from another engine's KV cache */
  double
      copies_ahead; /* copies over the links of both engines that come first */
} pw_prefill_work;

void pwprefill_init(pw_prefill *p);

/* Learns from a first chunk that came after `ms` at an engine that had `tokens`
** in prefill until then, those of the request included. */
void pwprefill_measured(pw_prefill *p, double tokens, double ms);

/* Adapts goal_part to an answer, so that few are late: `is_late` if its first
** chunk or a later one came after the time that the route allows. */
void pwprefill_answered(pw_prefill *p, int is_late);

/* Expected time to the first chunk, ms; 0: the time per token is not known yet. */
double pwprefill_first_ms(const pw_prefill *p, const pw_prefill_work *work);

/* The part of it before the engine begins with the request, ms. */
double pwprefill_queue_ms(const pw_prefill *p, const pw_prefill_work *work);

/* Whether to copy `tokens` from an engine that has them cached instead of
** computing them again: not when so much is copied already over the links of
** both engines that prefill is faster. */
int pwprefill_should_copy(const pw_prefill *p, double tokens,
                          double copies_ahead);

#endif
