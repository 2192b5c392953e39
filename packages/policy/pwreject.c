/* pwreject.c: which targets turn requests away though they have room, or can't be reached. */
#include "pwreject.h"

/* Others are preferred for so long, ms: a target that takes work again is back that much later. */
#define RECENT_MS 1500

/* A target that has more than this part of its slots taken may be full: loads are told late. */
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
