/* pwlinkstreams.c: which software version began a stream, as a gateway tells control instances and queries it from
** them. */
#include "pwlinkstreams.h"

#include "pwlinkint.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Control instances that hold the record of a stream: one of them may be lost together with the gateways. */
#define HOLDERS 2

/* Most bundles of announcements that a control instance gets from all gateways together, per second. */
#define BUNDLES_PER_S 500
#define MS_PER_S 1000

/* Most announcements, and most queries, that wait to be sent; further ones are dropped. */
#define WAITING_MAX 16384

static uint64_t hash_of(const contact *c) {
  return XXH3_64bits(c->addr, strlen(c->addr));
}

static void append(uint64_t **list, size_t *n, size_t *cap, uint64_t one) {
  if (*n == *cap) {
    *cap = *cap ? 2 * *cap : 64;
    *list = realloc(*list, sizeof **list * *cap);
    if (!*list)
      abort();
  }
  (*list)[(*n)++] = one;
}

int pwlink_query_stream(pw_link *l, uint64_t stream, int64_t now,
                        uint64_t queried[PWLINK_STREAM_QUERIED]) {
  pw_stream_outbox *o = &l->streams;
  int n = 0;
  if (o->nqueried == WAITING_MAX)
    return 0;
  for (const contact *c = l->contacts; c && n < PWLINK_STREAM_QUERIED;
       c = c->next)
    if (pwcontacts_is_fresh(c, now))
      queried[n++] = hash_of(c);
  if (n)
    append(&o->queried, &o->nqueried, &o->queried_cap, stream);
  return n;
}

uint64_t pwlink_query_served(pw_link *l) {
  pw_stream_outbox *o = &l->streams;
  o->served_query += !o->is_served_due;
  o->is_served_due = 1;
  return o->served_query;
}

uint64_t pwlink_served_query(const pw_link *l) {
  return l->streams.served_query;
}

/* --- outgoing messages --- */

/* Groups the announcements by version. Versions are few, so a scan for each is cheap. */
static size_t group_by_version(const pw_stream_outbox *o,
                               Pw__StreamsBegun ***list) {
  Pw__StreamsBegun **groups = pw_alloc(sizeof *groups * (o->nbegun + 1));
  size_t n = 0;
  for (size_t i = 0; i < o->nbegun; i++) {
    size_t k = 0;
    while (k < n && groups[k]->version != o->versions[i])
      k++;
    if (k == n) {
      groups[n] = pw_alloc(sizeof *groups[n]);
      pw__streams_begun__init(groups[n]);
      groups[n]->version = o->versions[i];
      groups[n]->streams = pw_alloc(sizeof(uint64_t) * o->nbegun);
      n++;
    }
    groups[k]->streams[groups[k]->n_streams++] = o->begun[i];
  }
  *list = groups;
  return n;
}

static void send_report(pw_link *l, const contact *to, Pw__StreamReport *m) {
  Pw__Envelope e = PW_ENVELOPE(STREAM_REPORT, stream_report, m);
  pwwire_send(l->sock, &to->peer, &e);
}

/* The reachable control instance that this gateway prefers most, `other` left out; NULL: there is none. */
static const contact *preferred(const pw_link *l, const contact *other,
                                int64_t now) {
  const contact *best = NULL;
  for (const contact *c = l->contacts; c; c = c->next)
    if (c != other && pwcontacts_is_fresh(c, now) &&
        (!best || pwcontacts_rank(l, c) > pwcontacts_rank(l, best)))
      best = c;
  return best;
}

/* Sends the announcements to the HOLDERS preferred instances. While none is reachable they wait. */
static void send_begun(pw_link *l, int64_t now) {
  pw_stream_outbox *o = &l->streams;
  Pw__StreamReport m = PW__STREAM_REPORT__INIT;
  const contact *first = preferred(l, NULL, now);
  const contact *second = preferred(l, first, now);
  if (!first)
    return;
  m.n_begun = group_by_version(o, &m.begun);
  send_report(l, first, &m);
  if (second)
    send_report(l, second, &m);
  for (size_t i = 0; i < m.n_begun; i++)
    pw__streams_begun__free_unpacked(m.begun[i], NULL);
  free(m.begun);
  o->nbegun = 0;
  o->sent_at = now;
}

static void send_queries(pw_link *l, int64_t now) {
  pw_stream_outbox *o = &l->streams;
  Pw__StreamReport m = PW__STREAM_REPORT__INIT;
  m.queried = o->queried;
  m.served_query = o->is_served_due ? o->served_query : 0;
  for (const contact *c = l->contacts; c; c = c->next) {
    m.n_queried = pwcontacts_is_fresh(c, now) ? o->nqueried : 0;
    if (c->dialled_at && (m.n_queried || m.served_query))
      send_report(l, c, &m);
  }
  o->nqueried = 0;
  o->is_served_due = 0;
}

/* Interval at which this gateway may send announcements, ms. */
static int64_t bundle_interval_ms(const pw_link *l, int64_t now) {
  int64_t instances = 0;
  for (const contact *c = l->contacts; c; c = c->next)
    instances += pwcontacts_is_fresh(c, now);
  int64_t per_s = BUNDLES_PER_S * (instances > 0 ? instances : 1);
  return HOLDERS * MS_PER_S * pwlink_gateway_count(l) / per_s;
}

static void send_begun_if_due(pw_link *l, int64_t now) {
  if (l->streams.nbegun &&
      now - l->streams.sent_at >= bundle_interval_ms(l, now))
    send_begun(l, now);
}

void pwlink_announce_stream(pw_link *l, uint64_t stream, uint64_t version,
                            int64_t now) {
  pw_stream_outbox *o = &l->streams;
  size_t n = o->nbegun, cap = o->begun_cap;
  if (n == WAITING_MAX)
    return;
  append(&o->versions, &n, &cap, version);
  append(&o->begun, &o->nbegun, &o->begun_cap, stream);
  send_begun_if_due(l, now);
}

void pwlink_streams_tick(pw_link *l, int64_t now) {
  send_begun_if_due(l, now);
  if (l->streams.nqueried || l->streams.is_served_due)
    send_queries(l, now);
}

/* --- answers --- */

void pwlink_streams_answered(pw_link *l, const contact *from,
                             const Pw__StreamAnswers *m, int64_t now) {
  if (m->served_query) {
    pwgate_confirm_served(l->g, m, now);
    l->served_confirmed(l->g, m->served_query);
  }
  for (size_t i = 0; i < m->n_answers; i++) {
    const Pw__StreamOrigin *a = m->answers[i];
    pw_origin origin = {a->version, a->age, 0};
    l->origin_answered(l->g, a->stream, hash_of(from),
                       a->known ? &origin : NULL);
  }
}

void pwlink_streams_free(pw_link *l) {
  free(l->streams.begun);
  free(l->streams.versions);
  free(l->streams.queried);
}
