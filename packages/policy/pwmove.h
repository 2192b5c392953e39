/* pwmove.h: what a cached prefix is worth: wait for it, move it, compute it
** anew.
**
** One model for the three ways, from what the target was seen to do: ms a
** token to compute a prompt, and ms a token to take over another target's KV
** cache. Taking over is tried only where it is allowed, and is given up by
** itself where it turns out slower than computing; now and then it is tried
** again. */
#ifndef PWMOVE_H
#define PWMOVE_H

#include <stdint.h>

#define PWMOVE_TOKENS_LEAST 64 /* fewer tell more about latency than rate */
#define PWMOVE_FIRST_SHARE 0.2 /* first guess: import over compute */
#define PWMOVE_TRY_EVERY 64    /* chances after which it is tried again */

typedef struct pw_move {
  int may_import;
  double compute; /* ms a prompt token, average; 0: not seen yet */
  double import;  /* ms a token taken over; 0: not seen yet */
  int passed;     /* chances not taken since the last try */
} pw_move;

void pwmove_init(pw_move *m, int may_import);

/* A prompt's head came after ms: so many tokens were computed. */
void pwmove_computed(pw_move *m, uint32_t tokens, double ms);

/* `asked` tokens were to be taken over, `got` were, within ms. */
void pwmove_imported(pw_move *m, uint32_t asked, uint32_t got, double ms);

/* What taking a token over costs, as a share of computing it; 1 when that is
** not possible or does not pay. */
double pwmove_share(const pw_move *m);

/* Whether to take a prefix of that many tokens over from another target. */
int pwmove_takes(pw_move *m, uint32_t tokens);

#endif
