/* pwjsonwalk.h: iterates over the items of a JSON object or array, each as a range of bytes. The
** content of an item is not checked; the caller parses it with jansson. For documents that are too
** long to be parsed in one step. */
#ifndef PWJSONWALK_H
#define PWJSONWALK_H

#include "pwbuf.h"

typedef struct pw_jsonwalk {
  const char *p, *end;
  char close;   /* closing bracket */
  int is_first; /* no item has been returned yet */
} pw_jsonwalk;

/* Starts after the bracket `open`, '{' or '[', which blanks may precede; 0, or -1 when it is
** missing. */
int pwjsonwalk_open(pw_jsonwalk *w, pw_span text, char open);

/* Returns 1 and the next item (of an object with its key, quotes included), 0 at the end, -1 when
** the text is not JSON. */
int pwjsonwalk_next(pw_jsonwalk *w, pw_span *key, pw_span *value);

/* Whether only blanks follow the closing bracket. */
int pwjsonwalk_is_over(const pw_jsonwalk *w);

#endif
