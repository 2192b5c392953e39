/* pwsight.h: how gateways tell each other their loads when there are many of them.
**
** Pure: time comes in as an argument. Answers this load: were each of 103 gateways to tell each
** other one, it could do so 1.2 times a second, and what it knew of the others' requests
** was older than a request takes. In groups, members tell the first of their group what they
** have; it tells the firsts of the other groups the sum of its group, and its members the
** sum of all: a tenth of the messages, eight times as often. */
#ifndef PWSIGHT_H
#define PWSIGHT_H

#include <stdint.h>

/* Gateways up to so many tell each other one directly. */
#define PWSIGHT_DIRECT 12

/* A gateway as another one sees it. */
typedef struct pw_sight_peer {
  uint64_t hash; /* of its address: group and place in it */
  int64_t
      asked_since; /* it was told something, and has not answered since, ms; 0: it has */
  int64_t
      skip_until; /* it did not answer: another one is first until then, ms */
  int is_self;
} pw_sight_peer;

/* In how many groups n gateways are; 1: they tell each other directly. Changes seldom, so that
** all think alike while some come and go. */
uint32_t pwsight_groups(int n);

/* The group of a gateway. */
uint32_t pwsight_group(uint64_t hash, uint32_t groups);

/* The first of a group that answers, or else the first; -1: the group is empty. */
int pwsight_first(const pw_sight_peer *p, int n, uint32_t groups,
                  uint32_t group, int64_t now);

/* It was told something that it answers. */
void pwsight_asked(pw_sight_peer *p, int64_t now);

/* It has answered. */
void pwsight_heard(pw_sight_peer *p);

#endif
