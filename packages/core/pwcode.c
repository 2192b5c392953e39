/* pwcode.c: the table of result codes. */
#include "pwcode.h"

#include <stddef.h>

typedef struct code_row {
  pw_code code;
  int http;
  const char *name;
  const char *text;
} code_row;

static const code_row rows[] = {
#define PW_CODE_ROW(id, num, http, name, text) {id, http, name, text},
    PW_CODES(PW_CODE_ROW)
#undef PW_CODE_ROW
};

#define NROWS ((int)(sizeof rows / sizeof rows[0]))

static const code_row *find(pw_code code) {
  for (int i = 0; i < NROWS; i++)
    if (rows[i].code == code)
      return &rows[i];
  return NULL;
}

const char *pwcode_name(pw_code code) {
  const code_row *r = find(code);
  return r ? r->name : "unknown-code";
}

const char *pwcode_text(pw_code code) {
  const code_row *r = find(code);
  return r ? r->text : "no such code";
}

int pwcode_http(pw_code code) {
  const code_row *r = find(code);
  return r ? r->http : 500;
}

int pwcode_row(int i, pw_code *code, const char **name) {
  if (i < 0 || i >= NROWS)
    return 0;
  *code = rows[i].code;
  *name = rows[i].name;
  return 1;
}
