/* pwmove.h: cost of moving a cached prefix between targets, compared with
** computing it again.
**
** One model for waiting, moving and computing, from the rates seen at the
** target: ms a token to compute a prompt, and ms a token to import another
** target's KV cache. Imports are tried only where they are allowed. Where they
** are slower than computing they stop, but for one in PWMOVE_TRY_EVERY
** chances. */
#ifndef PWMOVE_H
#define PWMOVE_H

#include <stdint.h>

#define PWMOVE_TOKENS_LEAST 64 /* with fewer, latency hides the rate */
#define PWMOVE_FIRST_SHARE 0.2 /* first estimate of import cost over compute */
#define PWMOVE_TRY_EVERY 64 /* chances after which an import is tried again */

typedef struct pw_move {
  int may_import;
  double compute; /* average ms a computed prompt token; 0: unknown */
  double import;  /* average ms an imported token; 0: unknown */
  int passed;     /* chances not used since the last import */
} pw_move;

void pwmove_init(pw_move *m, int may_import);

/* A prompt's first output came after `ms`, with `tokens` computed. */
void pwmove_computed(pw_move *m, uint32_t tokens, double ms);

/* `asked` tokens were to be imported; `got` of them were, within `ms`. */
void pwmove_imported(pw_move *m, uint32_t asked, uint32_t got, double ms);

/* Cost of importing a token as a share of computing it; 1: importing is not
** possible or not cheaper. */
double pwmove_share(const pw_move *m);

/* Whether to import a prefix of that many tokens from another target. */
int pwmove_should_import(pw_move *m, uint32_t tokens);

#endif
