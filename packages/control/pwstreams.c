/* pwstreams.c: which software version began a stream, as gateways tell a
** control instance, and query it; and the leader's confirmation of the
** recorded versions. */
#include "pwstreams.h"

#include "pwbuf.h"
#include "pworigins.h"

#include <stdlib.h>

struct pw_streams {
  pw_proc *p;
  pw_sock *listener;
  const pw_group *group;
  pw_origins *origins;
};

pw_streams *pwstreams_new(pw_proc *p, pw_sock *listener,
                          const pw_group *group) {
  pw_streams *s = pw_alloc(sizeof *s);
  s->p = p;
  s->listener = listener;
  s->group = group;
  s->origins = pworigins_new();
  return s;
}

void pwstreams_free(pw_streams *s) {
  if (!s)
    return;
  pworigins_free(s->origins);
  free(s);
}

static void fill_answer(const pw_streams *s, uint64_t stream, int64_t now,
                        Pw__StreamOrigin *out) {
  pw_origin origin = {0};
  pw__stream_origin__init(out);
  out->stream = stream;
  out->known = pworigins_find(s->origins, stream, now, &origin);
  out->version = origin.version;
  out->age = (uint32_t)origin.age_ms;
}

/* Adds the recorded versions if this instance leads. The lease is compared with
** a clock that is read now: the process may have been suspended since this
** iteration of the event loop began, and another one may lead. */
static void confirm_served(const pw_streams *s, const Pw__StreamReport *m,
                           Pw__StreamAnswers *out) {
  const pw_served *served = pwstate_served(pwgroup_state(s->group));
  if (!m->served_query || !pwgroup_lease(s->group, pwclock_ms()))
    return;
  out->served_query = m->served_query;
  out->served_number = served->number;
  out->served = served->list;
  out->n_served = served->n;
}

static void answer(const pw_streams *s, const pw_peer *to,
                   const Pw__StreamReport *m, int64_t now) {
  Pw__StreamAnswers out = PW__STREAM_ANSWERS__INIT;
  confirm_served(s, m, &out);
  Pw__StreamOrigin *each = pw_alloc(sizeof *each * m->n_queried);
  out.answers = pw_alloc(sizeof *out.answers * m->n_queried);
  for (size_t i = 0; i < m->n_queried; i++) {
    fill_answer(s, m->queried[i], now, &each[i]);
    out.answers[out.n_answers++] = &each[i];
  }
  Pw__Envelope e = PW_ENVELOPE(STREAM_ANSWERS, stream_answers, &out);
  pwwire_send(s->listener, to, &e);
  free(out.answers);
  free(each);
}

void pwstreams_message(pw_streams *s, const pw_peer *from,
                       const Pw__StreamReport *m, int64_t now) {
  for (size_t i = 0; i < m->n_begun; i++)
    for (size_t k = 0; k < m->begun[i]->n_streams; k++)
      pworigins_note(s->origins, m->begun[i]->streams[k], m->begun[i]->version,
                     0, now);
  if (m->n_queried || m->served_query)
    answer(s, from, m, now);
}

void pwstreams_tick(pw_streams *s, int64_t now) {
  pworigins_tick(s->origins, now);
  pwcount_set(s->p->counters, PWC_STREAM_ORIGINS,
              (int64_t)pworigins_count(s->origins));
}
