/* pwjson.h: members of JSON objects, with a default for a missing one. */
#ifndef PWJSON_H
#define PWJSON_H

#include <jansson.h>

/* The string under a key; "" when there is none. It belongs to `o`. */
const char *pwjson_text(const json_t *o, const char *key);

/* The number under a key; fallback when there is none. */
double pwjson_number(const json_t *o, const char *key, double fallback);

#endif
