/* pwjson.c: members of JSON objects, with a default for a missing one. */
#include "pwjson.h"

const char *pwjson_text(const json_t *o, const char *key) {
  const char *s = json_string_value(json_object_get(o, key));
  return s ? s : "";
}

double pwjson_number(const json_t *o, const char *key, double fallback) {
  const json_t *v = json_object_get(o, key);
  return json_is_number(v) ? json_number_value(v) : fallback;
}
