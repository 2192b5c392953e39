/* pwconslog.c: the in-memory log of one member. */
#include "pwconslog.h"

#include "pwbuf.h"
#include "pwpb.h"

#include <stdlib.h>
#include <string.h>

Pw__Entry *pwcons_copy_entry(const Pw__Entry *e) {
  Pw__Entry *copy = pw_alloc(sizeof *copy);
  pw__entry__init(copy);
  copy->term = e->term;
  copy->index = e->index;
  copy->kind = e->kind;
  copy->data.len = e->data.len;
  copy->data.data = e->data.len ? pw_memdup(e->data.data, e->data.len) : NULL;
  return copy;
}

Pw__Snapshot *pwcons_copy_snapshot(const Pw__Snapshot *s) {
  return PWPB_COPY(s);
}

void pwcons_config_pack(const pw_cons_config *config, Pw__Config **out) {
  Pw__Config *c = pw_alloc(sizeof *c);
  pw__config__init(c);
  c->n_members = (size_t)config->n;
  c->members = pw_alloc(sizeof(Pw__Member *) * (size_t)config->n);
  for (int i = 0; i < config->n; i++) {
    Pw__Member *m = pw_alloc(sizeof *m);
    pw__member__init(m);
    m->id = config->m[i].id;
    m->slot = config->m[i].slot;
    m->voter = config->m[i].voter;
    m->addr = pw_dup(config->m[i].addr);
    m->http = pw_dup(config->m[i].http);
    c->members[i] = m;
  }
  *out = c;
}

void pwcons_config_unpack(const Pw__Config *in, pw_cons_config *config) {
  *config = (pw_cons_config){0};
  for (size_t i = 0; in && i < in->n_members && i < PWCONS_MEMBERS; i++) {
    pw_cons_member *m = &config->m[config->n++];
    m->id = in->members[i]->id;
    m->slot = in->members[i]->slot;
    m->voter = in->members[i]->voter;
    pw_copy(m->addr, sizeof m->addr, in->members[i]->addr);
    pw_copy(m->http, sizeof m->http, in->members[i]->http);
  }
}

void pwconslog_init(pw_cons_log *l, Pw__Snapshot *snapshot, Pw__Entry **entries,
                    size_t n) {
  *l = (pw_cons_log){.snapshot = snapshot};
  for (size_t i = 0; i < n; i++)
    pwconslog_append(l, pwcons_copy_entry(entries[i]));
}

void pwconslog_free(pw_cons_log *l) {
  for (size_t i = 0; i < l->n; i++)
    pw__entry__free_unpacked(l->entry[i], NULL);
  free(l->entry);
  pw__snapshot__free_unpacked(l->snapshot, NULL);
  *l = (pw_cons_log){0};
}

uint64_t pwconslog_last(const pw_cons_log *l) {
  return l->snapshot->index + l->n;
}

Pw__Entry *pwconslog_at(const pw_cons_log *l, uint64_t index) {
  if (index <= l->snapshot->index || index > pwconslog_last(l))
    return NULL;
  return l->entry[index - l->snapshot->index - 1];
}

uint64_t pwconslog_term(const pw_cons_log *l, uint64_t index) {
  if (index == l->snapshot->index)
    return l->snapshot->term;
  const Pw__Entry *e = pwconslog_at(l, index);
  return e ? e->term : 0;
}

void pwconslog_append(pw_cons_log *l, Pw__Entry *e) {
  if (l->n == l->cap) {
    l->cap = l->cap ? l->cap * 2 : 64;
    Pw__Entry **grown = pw_alloc(sizeof(Pw__Entry *) * l->cap);
    if (l->n)
      memcpy(grown, l->entry, sizeof(Pw__Entry *) * l->n);
    free(l->entry);
    l->entry = grown;
  }
  l->entry[l->n++] = e;
}

void pwconslog_truncate(pw_cons_log *l, uint64_t index) {
  while (l->n && pwconslog_last(l) >= index)
    pw__entry__free_unpacked(l->entry[--l->n], NULL);
}

void pwconslog_compact(pw_cons_log *l, Pw__Snapshot *snapshot, int all) {
  uint64_t drop = all ? l->n : snapshot->index - l->snapshot->index;
  if (drop > l->n)
    drop = l->n;
  for (size_t i = 0; i < drop; i++)
    pw__entry__free_unpacked(l->entry[i], NULL);
  if (l->n > drop)
    memmove(l->entry, l->entry + drop, sizeof(Pw__Entry *) * (l->n - drop));
  l->n -= drop;
  pw__snapshot__free_unpacked(l->snapshot, NULL);
  l->snapshot = snapshot;
}

uint64_t pwconslog_config(const pw_cons_log *l, uint64_t index,
                          pw_cons_config *config) {
  if (index > pwconslog_last(l))
    index = pwconslog_last(l);
  for (uint64_t i = index; i > l->snapshot->index; i--) {
    const Pw__Entry *e = pwconslog_at(l, i);
    if (e->kind != PWCONS_CONFIG)
      continue;
    Pw__Config *c = pw__config__unpack(NULL, e->data.len, e->data.data);
    pwcons_config_unpack(c, config);
    pw__config__free_unpacked(c, NULL);
    return i;
  }
  pwcons_config_unpack(l->snapshot->config, config);
  return l->snapshot->index;
}
