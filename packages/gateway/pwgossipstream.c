/* pwgossipstream.c: gateways tell each other which software version began a stream, and ask each other for it. */
#include "pwgossipint.h"

#include "pworigins.h"
#include "pwrendezvous.h"

/* Fills `to` with the indices of the gateways that hold the record of a stream. Returns their number. */
static int holders_of(const pw_gossip *s, uint64_t stream, int want,
                      int to[PWRENDEZVOUS_MAX]) {
  int n = pwrendezvous_choose(s->other_hash, s->npeers - 1, stream, want, to);
  for (int i = 0; i < n; i++)
    to[i]++; /* peers[0] is this gateway */
  return n;
}

void pwgossip_announce_stream(pw_gossip *s, uint64_t stream, uint64_t version) {
  int to[PWRENDEZVOUS_MAX];
  pw_gossip_receivers l = {s, to,
                           holders_of(s, stream, PWGOSSIP_STREAM_HOLDERS, to)};
  Pw__StreamOrigin m = PW__STREAM_ORIGIN__INIT;
  m.stream = stream;
  m.version = version;
  if (l.n)
    pwgossipmsg_pack_stream(PWGOSSIPMSG_STREAMS_BEGUN,
                            pwwire_incarnation(s->g->p->wire), &m,
                            pwgsp_send_to_peers, &l);
}

int pwgossip_query_stream(pw_gossip *s, uint64_t stream,
                          uint64_t queried[PWRENDEZVOUS_MAX]) {
  int to[PWRENDEZVOUS_MAX];
  pw_gossip_receivers l = {s, to,
                           holders_of(s, stream, PWGOSSIP_STREAM_QUERIED, to)};
  Pw__StreamOrigin m = PW__STREAM_ORIGIN__INIT;
  m.stream = stream;
  for (int i = 0; i < l.n; i++)
    queried[i] = s->topology[to[i]].hash;
  if (l.n)
    pwgossipmsg_pack_stream(PWGOSSIPMSG_STREAMS_QUERIED,
                            pwwire_incarnation(s->g->p->wire), &m,
                            pwgsp_send_to_peers, &l);
  return l.n;
}

typedef struct reply {
  pw_gossip *s;
  const struct sockaddr_in *to;
} reply;

static void send_reply(void *arg, const uint8_t *data, size_t n) {
  const reply *r = arg;
  pwgsp_send_to(r->s, r->to, data, n);
}

static void answer_stream(pw_gossip *s, const struct sockaddr_in *to,
                          uint64_t stream, int64_t now) {
  reply r = {s, to};
  Pw__StreamOrigin m = PW__STREAM_ORIGIN__INIT;
  pw_origin origin = {0};
  m.stream = stream;
  m.known = pworigins_find(s->g->origins, stream, now, &origin);
  m.version = origin.version;
  m.age = (uint32_t)origin.age_ms;
  pwgossipmsg_pack_stream(PWGOSSIPMSG_STREAMS_ANSWERED,
                          pwwire_incarnation(s->g->p->wire), &m, send_reply,
                          &r);
}

static void receive_stream(pw_gossip *s, const struct sockaddr_in *from,
                           uint32_t kind, const Pw__StreamOrigin *m) {
  int64_t now = pwclock_ms();
  if (kind == PWGOSSIPMSG_STREAMS_BEGUN) {
    pworigins_note(s->g->origins, m->stream, m->version, 0, now);
    return;
  }
  if (kind == PWGOSSIPMSG_STREAMS_QUERIED) {
    answer_stream(s, from, m->stream, now);
    return;
  }
  pw_origin origin = {m->version, m->age, 0};
  s->calls->origin_answered(s->g, m->stream, pwgsp_hash_of(from),
                            m->known ? &origin : NULL);
}

int pwgsp_is_about_streams(uint32_t kind) {
  return kind == PWGOSSIPMSG_STREAMS_BEGUN ||
         kind == PWGOSSIPMSG_STREAMS_QUERIED ||
         kind == PWGOSSIPMSG_STREAMS_ANSWERED;
}

void pwgsp_receive_streams(pw_gossip *s, const struct sockaddr_in *from,
                           const Pw__Gossip *m) {
  for (size_t i = 0; i < m->n_streams; i++)
    receive_stream(s, from, m->kind, m->streams[i]);
}
