/* pwlinkstreams.h: which software version began a stream, as a gateway tells control instances and queries it from them.
**
** Control instances outlive a loss of all gateways. They are told of streams only while a service has targets of several
** versions, in bundles. */
#ifndef PWLINKSTREAMS_H
#define PWLINKSTREAMS_H

#include "pwgate.h"

#include "pwrendezvous.h"

/* Most control instances that one query goes to. */
#define PWLINK_STREAM_QUERIED 16

/* Most other instances that one query goes to, gateways included. */
#define PWLINK_QUERIED_MAX (PWRENDEZVOUS_MAX + PWLINK_STREAM_QUERIED)

/* Messages that wait to be sent; {0} is empty. */
typedef struct pw_stream_outbox {
  uint64_t *begun, *versions; /* streams, and the version of each */
  size_t nbegun, begun_cap;
  uint64_t *queried;
  size_t nqueried, queried_cap;
  uint64_t
      served_query;  /* number of the last query for the recorded versions */
  int is_served_due; /* it is not sent yet */
  int64_t sent_at;   /* when the last bundle was sent, ms */
} pw_stream_outbox;

/* Announces that this version began a stream, at once or, if the last bundle was sent just before, in the next one. */
void pwlink_announce_stream(pw_link *l, uint64_t stream, uint64_t version,
                            int64_t now);

/* Queues a query for the recorded versions, which the leader answers; it goes to all control instances that were dialled,
** heard or not. Returns its number, to which later answers of higher numbers count as well. */
uint64_t pwlink_query_served(pw_link *l);

/* Number of the last such query; 0: there was none. */
uint64_t pwlink_served_query(const pw_link *l);

/* Queues a query which version began a stream. Sets the hashes of the control instances that it will go to and returns
** their number. */
int pwlink_query_stream(pw_link *l, uint64_t stream, int64_t now,
                        uint64_t queried[PWLINK_STREAM_QUERIED]);

#endif
