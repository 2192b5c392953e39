/* pwtoml.h: reads TOML files: a C interface to toml++. */
#ifndef PWTOML_H
#define PWTOML_H

#include "pwbuf.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum pw_toml_type {
  PWTOML_STRING,
  PWTOML_INT,
  PWTOML_FLOAT,
  PWTOML_BOOL,
  PWTOML_LIST, /* of strings */
  PWTOML_OTHER
} pw_toml_type;

/* One value of a file: [section] key = value. */
typedef struct pw_toml_value {
  const char *section; /* "" at the top level */
  const char *key;
  pw_toml_type type;
  const char *string;
  int64_t integer; /* PWTOML_INT and PWTOML_BOOL */
  double real;     /* PWTOML_FLOAT and PWTOML_INT */
  const char *const *list;
  int nlist;
  int line;
  int column;
} pw_toml_value;

typedef void (*pw_toml_visit)(void *arg, const pw_toml_value *value);

/* Visits every value of a file. Returns 0, or -1 with a message
** "FILE:LINE:COLUMN: reason" appended to err. */
int pwtoml_visit(const char *path, pw_toml_visit visit, void *arg, pw_buf *err);

/* Appends the whole file as JSON text to out. Returns 0, or -1 as above. */
int pwtoml_json(const char *path, pw_buf *out, pw_buf *err);

#ifdef __cplusplus
}
#endif

#endif
