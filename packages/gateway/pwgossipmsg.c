/* pwgossipmsg.c: packs and unpacks the messages between gateways. */
#include "pwgossipmsg.h"

#include "pwbuf.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

void pwgossipmsg_add_prompt(pw_gossip_prompts *p, uint64_t key, uint32_t to) {
  if (p->n == PWGOSSIPMSG_PROMPTS_ALL)
    return;
  p->key[p->n] = key;
  p->to[p->n++] = to;
}

static void clear_parts(pw_gossip_loads *t) {
  for (int i = 0; i < PWGOSSIPMSG_PARTS; i++) {
    free(t->part[i].row);
    t->part[i].row = NULL;
    t->part[i].n = 0;
  }
}

void pwgossipmsg_free(pw_gossip_loads *t) {
  clear_parts(t);
  *t = (pw_gossip_loads){0};
}

int pwgossipmsg_take(pw_gossip_loads *t, const Pw__Gossip *m, int64_t now) {
  uint32_t parts = m->parts ? m->parts : 1;
  if (m->n_targets != m->n_loads || parts > PWGOSSIPMSG_PARTS ||
      m->part >= parts)
    return 0;
  if (t->incarnation != m->incarnation) {
    pwgossipmsg_free(t);
    t->incarnation = m->incarnation;
  }
  if (m->seq <= t->part[m->part].seq)
    return 0;
  if (t->parts != parts) /* targets are distributed over the parts anew */
    clear_parts(t);
  t->parts = parts;
  t->at = now;
  t->part[m->part].seq = m->seq;
  free(t->part[m->part].row);
  pw_load_row *row = pw_alloc(sizeof *row * (m->n_targets + 1));
  for (size_t i = 0; i < m->n_targets; i++)
    row[i] = (pw_load_row){m->targets[i], m->loads[i]};
  t->part[m->part].row = row;
  t->part[m->part].n = m->n_targets;
  return 1;
}

void pwgossipmsg_sum(const pw_gossip_loads *t, pw_loads *sum) {
  for (int i = 0; i < PWGOSSIPMSG_PARTS; i++)
    for (size_t k = 0; k < t->part[i].n; k++)
      pwloads_add(sum, t->part[i].row[k].key, t->part[i].row[k].load);
}

/* Number of datagrams that loads and prompts need. */
static uint32_t parts_of(const pw_loads *loads,
                         const pw_gossip_prompts *moved) {
  size_t parts = (loads->n + PWGOSSIPMSG_LOADS - 1) / PWGOSSIPMSG_LOADS;
  size_t more = (moved->n + PWGOSSIPMSG_PROMPTS - 1) / PWGOSSIPMSG_PROMPTS;
  parts = parts > more ? parts : more;
  if (parts > PWGOSSIPMSG_PARTS)
    parts = PWGOSSIPMSG_PARTS;
  return parts ? (uint32_t)parts : 1;
}

/* Fills one part. Hashes do not spread evenly over the parts; rows that do not fit are left out. */
static void fill_loads(Pw__Gossip *m, const pw_loads *loads) {
  size_t at = 0;
  const pw_load_row *row;
  while ((row = pwloads_next(loads, &at)) != NULL) {
    if (row->key % m->parts != m->part || m->n_targets == 2 * PWGOSSIPMSG_LOADS)
      continue;
    m->targets[m->n_targets++] = row->key;
    m->loads[m->n_loads++] = row->load;
  }
}

/* Drops prompts, and then loads, until the part fits into a datagram. If it were not sent at all, the
** receivers would keep outdated loads of its targets. */
static void trim_to_size(Pw__Gossip *m) {
  while (pw__gossip__get_packed_size(m) > PWGOSSIPMSG_BYTES) {
    if (m->n_keys > 0)
      m->n_keys = m->n_places = m->n_keys - 1;
    else
      m->n_targets = m->n_loads = m->n_targets - 1;
  }
}

void pwgossipmsg_pack(pw_gossip_kind kind, uint64_t incarnation, uint64_t *seq,
                      const pw_loads *loads, const pw_gossip_prompts *moved,
                      void (*send)(void *arg, const uint8_t *data, size_t n),
                      void *arg) {
  uint32_t target[2 * PWGOSSIPMSG_LOADS], load[2 * PWGOSSIPMSG_LOADS];
  uint8_t data[PWGOSSIPMSG_BYTES];
  uint32_t parts = parts_of(loads, moved);
  size_t packed = 0;
  for (uint32_t part = 0; part < parts; part++) {
    Pw__Gossip m = PW__GOSSIP__INIT;
    m.incarnation = incarnation;
    m.seq = ++*seq;
    m.kind = (uint32_t)kind;
    m.part = part;
    m.parts = parts;
    m.targets = target;
    m.loads = load;
    fill_loads(&m, loads);
    m.keys = (uint64_t *)moved->key + packed;
    m.places = (uint32_t *)moved->to + packed;
    m.n_keys = moved->n - packed;
    if (m.n_keys > PWGOSSIPMSG_PROMPTS)
      m.n_keys = PWGOSSIPMSG_PROMPTS;
    m.n_places = m.n_keys;
    trim_to_size(&m);
    packed += m.n_keys;
    send(arg, data, pw__gossip__pack(&m, data));
  }
}

/* These messages have no sequence number, so an instance of a version that knows loads alone drops them as
** outdated. */
static void pack_without_loads(Pw__Gossip *m,
                               void (*send)(void *arg, const uint8_t *data,
                                            size_t n),
                               void *arg) {
  uint8_t data[PWGOSSIPMSG_BYTES];
  assert(pw__gossip__get_packed_size(m) <= sizeof data);
  send(arg, data, pw__gossip__pack(m, data));
}

void pwgossipmsg_pack_suspects(
    uint64_t incarnation, Pw__Suspect **list, size_t n,
    void (*send)(void *arg, const uint8_t *data, size_t n), void *arg) {
  Pw__Gossip m = PW__GOSSIP__INIT;
  m.incarnation = incarnation;
  m.kind = PWGOSSIPMSG_SUSPECTS;
  m.suspects = list;
  m.n_suspects = n;
  pack_without_loads(&m, send, arg);
}

void pwgossipmsg_pack_parts(
    uint64_t incarnation, Pw__CrashingPart **list, size_t n,
    void (*send)(void *arg, const uint8_t *data, size_t n), void *arg) {
  Pw__Gossip m = PW__GOSSIP__INIT;
  m.incarnation = incarnation;
  m.kind = PWGOSSIPMSG_CRASHING_PARTS;
  m.crashing_parts = list;
  m.n_crashing_parts = n;
  pack_without_loads(&m, send, arg);
}

void pwgossipmsg_pack_stream(
    pw_gossip_kind kind, uint64_t incarnation, Pw__StreamOrigin *stream,
    void (*send)(void *arg, const uint8_t *data, size_t n), void *arg) {
  Pw__Gossip m = PW__GOSSIP__INIT;
  m.incarnation = incarnation;
  m.kind = (uint32_t)kind;
  m.streams = &stream;
  m.n_streams = 1;
  pack_without_loads(&m, send, arg);
}
