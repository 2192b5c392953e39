/* pwwhere.h: where prompts were sent last, in a table of fixed size.
**
** A newer note about another prompt may take a place: what is forgotten costs a
** prompt read again, nothing else. */
#ifndef PWWHERE_H
#define PWWHERE_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_where pw_where;

pw_where *pwwhere_new(void);
void pwwhere_free(pw_where *w);

/* The prompt of `key` was sent to the target of this short hash at `now`, ms. */
void pwwhere_note(pw_where *w, uint64_t key, uint32_t target, int64_t now);

/* Where it was sent last, if not longer ago than keep_ms; 0: not known. */
uint32_t pwwhere_find(const pw_where *w, uint64_t key, int64_t now,
                      int64_t keep_ms);

#endif
