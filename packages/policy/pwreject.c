/* pwreject.c: targets that refuse requests though they have free slots, or that
** cannot be reached. */
#include "pwreject.h"

/* Other targets are preferred for this time, ms. A target that takes requests
** again is used that much later. */
#define RECENT_MS 1500

/* A target with more than this part of its slots in use may have been full,
** since its load is known late. */
#define ROOM_PART 0.75

void pwreject_note(pw_reject *r, int64_t now) {
  r->at = now;
}

int pwreject_is_recent(const pw_reject *r, int64_t now) {
  return r->at && now - r->at < RECENT_MS;
}

int pwreject_had_room(double load, double slots) {
  return load <= ROOM_PART * slots;
}
