/* bench_pick.c: time of one request's decisions at a gateway by the number of targets: the sum
** of their slots and the pick of the prompt's home target. Prints microseconds per request. */
#include "pwclock.h"
#include "pwfleet.h"

#include <stdio.h>
#include <stdlib.h>

#define REQUESTS 2000
#define NS_PER_US 1000.0

static pw_fleet *fleet_of(int n) {
  pw_fleet *f = pwfleet_new("az-1", 5000, 10000);
  for (int i = 0; i < n; i++) {
    pw_heartbeat b = {.born = 1, .slots = 12, .seq = 1};
    snprintf(b.id, sizeof b.id, "i-%08x", (unsigned)i * 2654435761U);
    snprintf(b.service, sizeof b.service, "llm");
    snprintf(b.availability_zone, sizeof b.availability_zone, "az-%d", i % 6);
    snprintf(b.address, sizeof b.address, "10.%d.%d.%d:1", i / 62500,
             i / 250 % 250, i % 250);
    pwfleet_heartbeat(f, &b, 0, 0);
  }
  return f;
}

static double us_a_request(int n) {
  pw_fleet *f = fleet_of(n);
  int64_t start_ns = pwclock_ns();
  for (int i = 0; i < REQUESTS; i++) {
    pw_fleet_criteria criteria = {.service = "llm",
                                  .is_sticky = 1,
                                  .key = (uint64_t)i + 1,
                                  .bound = {1.6, 2.6, 1.9, 3}};
    pwfleet_sum(f, criteria.service, PWFLEET_ANY_VERSION, 10);
    pw_fleet_picked p = pwfleet_pick(f, &criteria, 10);
    pwfleet_release(p.target);
  }
  double us = (double)(pwclock_ns() - start_ns) / NS_PER_US / REQUESTS;
  pwfleet_free(f);
  return us;
}

int main(void) {
  static const int sizes[] = {20, 40, 180, 624, 1248, 3000, 12000};
  puts("| targets | us a request |\n| --- | --- |");
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    printf("| %d | %.1f |\n", sizes[i], us_a_request(sizes[i]));
  return 0;
}
