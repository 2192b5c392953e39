/* pwduration.h: parses durations in headers of other systems (Retry-After). */
#ifndef PWDURATION_H
#define PWDURATION_H

#include <stddef.h>
#include <stdint.h>

/* Longest duration returned, ms; a longer one is cut to it. */
#define PWDURATION_MAX_MS 1000000000000000LL

/* Parses decimal seconds, with fractions, to ms rounded up; 0 for anything but a plain number above
** 0. A date gives 0, too, because the clocks of instances differ. */
int64_t pwduration_read(const char *text, size_t n);

#endif
