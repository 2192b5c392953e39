/* pwjson.c: reads JSON texts of callers, and members of objects, with a default for a missing one. */
#include "pwjson.h"

#include <stdio.h>

/* Memory of values in jansson with those of the allocator, bytes: an object and an array without content, and one element or
** member of them without the bytes of its strings. */
#define OBJECT_BYTES 256
#define ARRAY_BYTES 144
#define ELEMENT_BYTES 160

/* Memory that a character outside of strings adds. */
static size_t bytes_of(char c) {
  switch (c) {
  case '{':
    return OBJECT_BYTES + ELEMENT_BYTES;
  case '[':
    return ARRAY_BYTES + ELEMENT_BYTES;
  case ',':
    return ELEMENT_BYTES;
  default:
    return 0;
  }
}

/* Estimates the memory that the values of a text take beside the bytes of their strings. */
static size_t bytes_of_values(const char *text, size_t n) {
  size_t sum = 0;
  int is_in_string = 0;
  for (size_t i = 0; i < n; i++) {
    if (is_in_string && text[i] == '\\')
      i++; /* the next character does not end the string */
    else if (text[i] == '"')
      is_in_string = !is_in_string;
    else if (!is_in_string)
      sum += bytes_of(text[i]);
  }
  return sum;
}

json_t *pwjson_read(const char *text, size_t n, size_t flags, json_error_t *e) {
  if (bytes_of_values(text, n) <= PWJSON_VALUES_MAX)
    return json_loadb(text, n, flags | JSON_REJECT_DUPLICATES, e);
  *e = (json_error_t){0};
  snprintf(e->text, sizeof e->text, "too many values");
  return NULL;
}

const char *pwjson_text(const json_t *o, const char *key) {
  const char *s = json_string_value(json_object_get(o, key));
  return s ? s : "";
}

double pwjson_number(const json_t *o, const char *key, double fallback) {
  const json_t *v = json_object_get(o, key);
  return json_is_number(v) ? json_number_value(v) : fallback;
}
