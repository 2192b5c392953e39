/* pwjson.h: reads JSON texts of callers, and members of objects, with a default for a missing one. */
#ifndef PWJSON_H
#define PWJSON_H

#include <jansson.h>
#include <stddef.h>

/* Memory that the values of one text may take once it is read, bytes: room for 200,000 members of objects. */
#define PWJSON_VALUES_MAX (32UL * 1024 * 1024)

/* Reads a text in which no object has a member twice; `flags` are further ones of json_loadb. Returns NULL, with the reason
** in `e`, if it is no JSON or if its values would take more than PWJSON_VALUES_MAX: a short text can hold values that take
** eighty times its bytes. */
json_t *pwjson_read(const char *text, size_t n, size_t flags, json_error_t *e);

/* The string under a key; "" when there is none. It belongs to `o`. */
const char *pwjson_text(const json_t *o, const char *key);

/* The number under a key; fallback when there is none. */
double pwjson_number(const json_t *o, const char *key, double fallback);

#endif
