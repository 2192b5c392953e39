/* pwjsonwalk.h: the items of a JSON object or array one after another, as the runs of
** bytes that they are. What an item holds is not looked at: it is parsed, and so
** checked, by jansson. For documents that are too long to be parsed in one go. */
#ifndef PWJSONWALK_H
#define PWJSONWALK_H

#include "pwbuf.h"

typedef struct pw_jsonwalk {
  const char *p, *end;
  char close;   /* bracket that ends it */
  int is_first; /* no item has been given yet */
} pw_jsonwalk;

/* Begins at `open`, '{' or '[', after blanks; 0, or -1 when it is not there. */
int pwjsonwalk_open(pw_jsonwalk *w, pw_span text, char open);

/* 1 and the next item, of an object with its key, quotes included; 0 at the end;
** -1 when this is no JSON. */
int pwjsonwalk_next(pw_jsonwalk *w, pw_span *key, pw_span *value);

/* Whether nothing but blanks follows the end. */
int pwjsonwalk_is_over(const pw_jsonwalk *w);

#endif
