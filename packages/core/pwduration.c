/* pwduration.c: parses durations in headers of other systems. */
#include "pwduration.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0
/* Bytes of the longest number, with its zero; a longer text is no duration. */
#define TEXT_MAX 24
#define DIGITS "0123456789."

int64_t pwduration_read(const char *text, size_t n) {
  char copy[TEXT_MAX];
  if (n == 0 || n >= sizeof copy)
    return 0;
  memcpy(copy, text, n);
  copy[n] = 0;
  if (copy[strspn(copy, DIGITS)])
    return 0;
  char *end;
  double ms = ceil(strtod(copy, &end) * MS_PER_S);
  return *end ? 0 : (int64_t)fmin(ms, (double)PWDURATION_MAX_MS);
}
