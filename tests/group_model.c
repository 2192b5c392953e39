/* group_model.c: randomized simulation of a control group. */
#include "group_model.h"

#include "pwbuf.h"
#include "pwmember.h"
#include "pwstate.h"
#include "pwtest.h"

#include <string.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_SAME_IDENTITY = 13, /* a node with an emptied disk keeps its id */
  MUT_SKIP_SYNC = 14,     /* nothing is stored before messages are sent */
  MUT_STEADY_CLOCK = 30   /* a node's clock stops while it is suspended */
};

#define FLIGHT_MAX 4000
#define LOG_MAX 20000
#define NAMES 4
#define VERSIONS_MAX 2000
#define KEYS 12
#define SETTLE_MS 60000

/* Steps of one simulation in which faults are injected. */
#define STEPS 3000

typedef struct node {
  uint32_t slot;
  model_disk d;
  pw_cons *cons;
  pw_state *state;
  int up, frozen, cut; /* process runs; is stalled; its link is down */
  int64_t wakes_at;    /* suspended until then; 0: not suspended */
  int64_t lost;        /* suspended time that its clock did not count, ms */
  int64_t join_at;
  uint64_t applied;
} node;

typedef struct flight {
  Pw__Cons *m;
  int64_t at;
} flight;

/* A read at a member that does not lead: it asks the leader, which answers with
** its commit index and states that the entry there is committed. */
typedef struct question {
  uint64_t asker;          /* disk id; 0: this place is free */
  uint64_t asked;          /* disk id of the member that is asked */
  uint64_t acked_revision; /* acknowledged when the read began */
  uint64_t index;          /* to be applied first; 0: no confirmation yet */
  Pw__Cons stated;         /* the statement on its way */
  int is_answered;         /* the answer is on its way */
  int leads;               /* the answer confirms the read */
  int64_t at;              /* the question or the answer arrives then */
} question;

enum { QUESTIONS = 8, QUESTION_STEPS = 4, LATE_ANSWERS = 20, LATE_MS = 3000 };

typedef struct model {
  pw_random rnd;
  int64_t now;
  node n[NODES];
  int count;
  flight f[FLIGHT_MAX];
  int nf;
  uint64_t applied_hash[LOG_MAX]; /* hash of the entry applied at each index */
  uint64_t leader_of[LOG_MAX];    /* by term */
  uint64_t acked_revision;        /* newest revision acknowledged to a caller */
  uint64_t owner[KEYS]; /* hash of the id that was granted each claim */
  uint64_t resend_revision[KEYS];    /* result of each change that was resent */
  uint64_t won[NAMES][VERSIONS_MAX]; /* revision of the change accepted against
                                     ** each version */
  uint64_t next_id, proposals, elections;
  int size;           /* fixed size of the group, whose members are named by
                      ** address; 0: named by number */
  uint32_t next_slot; /* slot of the next replacement */
  node *flapping;     /* its link goes up and down until cut_at; or NULL */
  int64_t cut_at;
  int faults_off;   /* no faults are injected */
  pw_random pauses; /* separate from rnd, so that other random draws of a seed
                    ** do not depend on suspensions */
  int suspends;     /* suspends nodes, and loses disks at the end */
  int nsuspended;
  int has_reads; /* members that do not lead answer reads, see question */
  pw_random asks;
  question q[QUESTIONS];
  uint64_t nconfirmed, nstated; /* reads answered; statements that committed */
  const char *broken;           /* the first violation, or NULL */
} model;

static void violate(model *m, const char *what) {
  if (!m->broken)
    m->broken = what;
}

/* --- disks --- */

void model_disk_clear(model_disk *d) {
  for (size_t i = 0; i < d->n; i++)
    pw__entry__free_unpacked(d->entry[i], NULL);
  free(d->entry);
  if (d->snapshot)
    pw__snapshot__free_unpacked(d->snapshot, NULL);
  *d = (model_disk){0};
}

void model_disk_append(model_disk *d, const Pw__Entry *e) {
  size_t pos = (size_t)(e->index - d->snapshot->index - 1);
  while (d->n > pos)
    pw__entry__free_unpacked(d->entry[--d->n], NULL);
  d->entry = realloc(d->entry, sizeof *d->entry * (d->n + 1));
  d->entry[d->n++] = pwcons_copy_entry(e);
}

static void disk_snapshot(model_disk *d, const Pw__Snapshot *s, int keep) {
  uint64_t drop = keep ? s->index - d->snapshot->index : d->n;
  for (size_t i = 0; i < drop; i++)
    pw__entry__free_unpacked(d->entry[i], NULL);
  if (d->n > drop)
    memmove(d->entry, d->entry + drop, sizeof *d->entry * (d->n - drop));
  d->n -= drop;
  Pw__Snapshot *copy = pwcons_copy_snapshot(s);
  pw__snapshot__free_unpacked(d->snapshot, NULL);
  d->snapshot = copy;
}

void model_disk_init(model_disk *d, const pw_cons_config *c) {
  d->snapshot = pw_alloc(sizeof *d->snapshot);
  pw__snapshot__init(d->snapshot);
  pwcons_config_pack(c, &d->snapshot->config);
}

/* --- nodes --- */

/* The time on a node's clock, as pwclock_ms gives it. */
static int64_t now_of(const model *m, const node *x) {
  return m->now - x->lost;
}

static void start(model *m, node *x) {
  pw_cons_setup s = {.id = x->d.id,
                     .seed = pwrand(&m->rnd),
                     .now = now_of(m, x),
                     .heartbeat = 100,
                     .retry = 200,
                     .lease = LEASE,
                     .batch = 1 + pwrand_below(&m->rnd, 4),
                     .term = x->d.term,
                     .vote = x->d.vote,
                     .snapshot = x->d.snapshot,
                     .entries = x->d.entry,
                     .nentries = x->d.n};
  x->state = pwstate_new();
  if (x->d.snapshot->state.len)
    pwstate_load(x->state, x->d.snapshot->state.data, x->d.snapshot->state.len);
  x->applied = x->d.snapshot->index;
  x->cons = pwcons_new(&s);
  x->up = 1;
  x->frozen = 0;
}

static void crash(node *x) {
  if (!x->up)
    return;
  pwcons_free(x->cons);
  pwstate_free(x->state);
  x->cons = NULL;
  x->state = NULL;
  x->up = 0;
}

static node *find_node(model *m, uint64_t id) {
  for (int i = 0; i < m->count; i++)
    if (m->n[i].d.id == id)
      return &m->n[i];
  return NULL;
}

static void send_message(model *m, const node *from, const Pw__Cons *msg) {
  const node *to = find_node(m, msg->to);
  if (!to || from->cut || to->cut || m->nf + 2 >= FLIGHT_MAX)
    return;
  int bad = !m->faults_off;
  if (bad && pwrand_below(&m->rnd, 100) < 5)
    return;
  int copies = bad && pwrand_below(&m->rnd, 100) < 5 ? 2 : 1;
  while (copies--) {
    size_t n = pw__cons__get_packed_size(msg);
    uint8_t *bytes = pw_alloc(n);
    pw__cons__pack(msg, bytes);
    int64_t late = bad && pwrand_below(&m->rnd, 50) == 0 ? 3000 : 20;
    m->f[m->nf++] =
        (flight){pw__cons__unpack(NULL, n, bytes),
                 m->now + 1 + (int64_t)pwrand_below(&m->rnd, (uint64_t)late)};
    free(bytes);
  }
}

/* --- checks --- */

static uint64_t hash_entry(const Pw__Entry *e) {
  uint64_t seed = e->term * 31 + e->kind;
  return XXH3_64bits_withSeed(e->data.data, e->data.len, seed) | 1;
}

static void check_applied(model *m, const Pw__Entry *e) {
  uint64_t h = hash_entry(e);
  if (e->index >= LOG_MAX)
    return;
  if (m->applied_hash[e->index] && m->applied_hash[e->index] != h)
    violate(m, "two entries were applied at one index");
  m->applied_hash[e->index] = h;
}

static void check_claim(model *m, const Pw__Claim *cl, const Pw__Claimed *got) {
  int k = atoi(cl->key);
  uint64_t h = XXH3_64bits(cl->id, strlen(cl->id));
  if (got->code != PW_OK || got->answered)
    return;
  if (m->owner[k] && m->owner[k] != h)
    violate(m, "one claim was granted to two");
  m->owner[k] = h;
}

static void check_resend(model *m, const Pw__Change *ch, const Pw__Outcome *o) {
  if (!ch->resend[0] || o->code != PW_OK)
    return;
  int k = atoi(ch->resend);
  if (m->resend_revision[k] && m->resend_revision[k] != o->revision)
    violate(m, "a resend was given another result");
  m->resend_revision[k] = o->revision;
}

/* Of the changes made against one version, only one is accepted. */
static void check_version(model *m, const Pw__Change *ch,
                          const Pw__Outcome *o) {
  const Pw__Put *p = ch->puts[0];
  if (o->code != PW_OK || ch->resend[0] || p->version >= VERSIONS_MAX)
    return;
  uint64_t *won = &m->won[atoi(p->name + 1)][p->version];
  if (*won && *won != o->revision)
    violate(m, "two changes won against one version");
  *won = o->revision;
}

/* --- suspensions --- */

enum { SUSPEND_STEPS = 150, SUSPEND_ACKS = 20, SUSPEND_LEASES = 3 };

/* Suspends a node for up to SUSPEND_LEASES leases. Its clock counts that time. */
static void suspend(model *m, node *x) {
  if (!x->up || x->frozen)
    return;
  int64_t ms = 1 + (int64_t)pwrand_below(&m->pauses, SUSPEND_LEASES * LEASE);
  x->frozen = 1;
  x->wakes_at = m->now + ms;
  m->nsuspended++;
  if (PW_MUTATION == MUT_STEADY_CLOCK)
    x->lost += ms;
}

static void wake(const model *m, node *x) {
  if (!x->wakes_at || (m->now < x->wakes_at && !m->faults_off))
    return;
  x->wakes_at = 0;
  x->frozen = 0;
}

static node *leader(model *m);

/* Suspends the leader or another node at a random step. */
static void suspend_some(model *m) {
  if (m->faults_off || pwrand_below(&m->pauses, SUSPEND_STEPS))
    return;
  node *x = &m->n[pwrand_below(&m->pauses, (uint64_t)m->count)];
  if (pwrand_below(&m->pauses, 2) && leader(m))
    x = leader(m);
  suspend(m, x);
}

/* Suspends a leader just as it acknowledges a change. */
static void suspend_at_ack(model *m, node *x) {
  if (!m->faults_off && pwrand_below(&m->pauses, SUSPEND_ACKS) == 0)
    suspend(m, x);
}

static void apply(model *m, node *x, const Pw__Entry *e) {
  Pw__Outcome *o = NULL;
  Pw__Claimed *cl = NULL;
  check_applied(m, e);
  x->applied = e->index;
  if (e->kind != PWCONS_COMMAND)
    return;
  Pw__Command *cmd = pw__command__unpack(NULL, e->data.len, e->data.data);
  pwstate_apply(x->state, cmd, &o, &cl);
  if (cl)
    check_claim(m, cmd->claim, cl);
  if (o) {
    check_resend(m, cmd->change, o);
    check_version(m, cmd->change, o);
  }
  /* The leader acknowledges the change to its caller: it must never be lost from here on. */
  int leads =
      pwcons_role(x->cons) == PWCONS_LEADER && e->term == pwcons_term(x->cons);
  if (o && o->code == PW_OK && leads && o->revision > m->acked_revision) {
    m->acked_revision = o->revision;
    if (m->suspends)
      suspend_at_ack(m, x);
  }
  if (o)
    pw__outcome__free_unpacked(o, NULL);
  if (cl)
    pw__claimed__free_unpacked(cl, NULL);
  pw__command__free_unpacked(cmd, NULL);
}

static void check_leader(model *m, const node *x) {
  uint64_t term = pwcons_term(x->cons);
  if (pwcons_role(x->cons) != PWCONS_LEADER || term >= LOG_MAX)
    return;
  m->elections += m->leader_of[term] == 0;
  if (m->leader_of[term] && m->leader_of[term] != x->d.id)
    violate(m, "two leaders in one term");
  m->leader_of[term] = x->d.id;
}

/* A read under the lease must see every acknowledged change. */
static void read_under_lease(model *m, const node *x) {
  if (pwcons_holds_lease(x->cons, now_of(m, x)) &&
      pwres_revision(pwstate_resources(x->state)) < m->acked_revision)
    violate(m, "a read under the lease missed an accepted change");
}

/* --- reads at members that do not lead --- */

static node *running(model *m, uint64_t id) {
  node *x = id ? find_node(m, id) : NULL;
  return x && x->up && !x->frozen && !x->cut ? x : NULL;
}

static int64_t travel(model *m) {
  int is_late = pwrand_below(&m->asks, LATE_ANSWERS) == 0;
  return m->now + 1 + (int64_t)pwrand_below(&m->asks, is_late ? LATE_MS : 20);
}

/* Asks the supposed leader, or any member: one that was deposed may still be
** taken for the leader. */
static void ask(model *m, question *q) {
  node *x = &m->n[pwrand_below(&m->asks, (uint64_t)m->count)];
  node *other = &m->n[pwrand_below(&m->asks, (uint64_t)m->count)];
  if (!x->up || x->frozen)
    return;
  uint64_t to =
      pwrand_below(&m->asks, 2) ? pwcons_leader(x->cons) : other->d.id;
  *q = (question){.asker = x->d.id,
                  .asked = to,
                  .acked_revision = m->acked_revision,
                  .at = travel(m)};
}

/* States what is committed there in any case: it stays true without a lease. */
static void answer(model *m, question *q) {
  const node *l = running(m, q->asked);
  if (!l || l->applied == 0) {
    q->asker = 0;
    return;
  }
  pwcons_state_committed(l->cons, l->applied, &q->stated);
  q->leads = pwcons_holds_lease(l->cons, now_of(m, l)) &&
             l->applied >= pwcons_commit(l->cons);
  q->is_answered = 1;
  q->at = travel(m);
}

static void work(model *m, node *x);

static void receive_answer(model *m, question *q, node *x) {
  uint64_t commit = pwcons_commit(x->cons);
  pwcons_step(x->cons, now_of(m, x), &q->stated);
  m->nstated += pwcons_commit(x->cons) > commit;
  if (!q->leads) {
    q->asker = 0;
    return;
  }
  q->index = q->stated.index;
  work(m, x);
}

/* A confirmed read must see every change that was acknowledged before it. */
static void answer_read(model *m, question *q, const node *x) {
  if (!q->index || x->applied < q->index)
    return;
  if (pwres_revision(pwstate_resources(x->state)) < q->acked_revision)
    violate(m, "a confirmed read missed an accepted change");
  m->nconfirmed++;
  q->asker = 0;
}

static void step_question(model *m, question *q) {
  node *x = running(m, q->asker);
  if (!q->asker && pwrand_below(&m->asks, QUESTION_STEPS) == 0)
    ask(m, q);
  else if (q->asker && !find_node(m, q->asker))
    q->asker = 0; /* its disk was replaced */
  else if (q->asker && !q->is_answered && m->now >= q->at)
    answer(m, q);
  else if (x && q->is_answered && !q->index && m->now >= q->at)
    receive_answer(m, q, x);
  if (q->asker && (x = running(m, q->asker)) != NULL)
    answer_read(m, q, x);
}

/* --- work --- */

static void store(node *x, const pw_cons_ready *r) {
  if (PW_MUTATION == MUT_SKIP_SYNC)
    return;
  x->d.term = r->term;
  x->d.vote = r->vote;
  if (r->install) {
    int keep = 0;
    disk_snapshot(&x->d, r->install, keep);
    pwstate_load(x->state, r->install->state.data, r->install->state.len);
    x->applied = r->install->index;
  }
  for (size_t i = 0; i < r->nentries; i++)
    model_disk_append(&x->d, r->entries[i]);
}

static void snapshot(model *m, node *x) {
  if (x->applied - x->d.snapshot->index < 40 || pwrand_below(&m->rnd, 4))
    return;
  size_t n;
  pwcons_free_snapshot_state(x->cons);
  uint8_t *bytes = pwstate_save(x->state, &n);
  pwcons_compact(x->cons, x->applied, bytes, n);
  disk_snapshot(&x->d, pwcons_snapshot(x->cons), 1);
}

static void work(model *m, node *x) {
  pw_cons_ready r;
  while (pwcons_ready(x->cons, &r)) {
    for (size_t i = 0; i < r.n_early; i++)
      send_message(m, x, r.early[i]);
    if (!m->faults_off && pwrand_below(&m->rnd, 2000) == 0) {
      crash(x); /* before the sync, which loses unsynced writes */
      return;
    }
    store(x, &r);
    for (size_t i = 0; i < r.n_late; i++)
      send_message(m, x, r.late[i]);
    pwcons_advance(x->cons);
    check_leader(m, x);
  }
  const Pw__Entry *e;
  while ((e = pwcons_next_committed(x->cons)) != NULL)
    apply(m, x, e);
  read_under_lease(m, x);
  snapshot(m, x);
}

static void propose(model *m, node *x, Pw__Command *cmd) {
  uint64_t index, term;
  size_t n = pw__command__get_packed_size(cmd);
  uint8_t *bytes = pw_alloc(n);
  pw__command__pack(cmd, bytes);
  m->proposals += pwcons_propose(x->cons, bytes, n, &index, &term) == PW_OK;
  free(bytes);
}

static void propose_change(model *m, node *x) {
  char name[16], resend[16] = "", spec[64];
  Pw__Put put = PW__PUT__INIT;
  Pw__Put *puts[1] = {&put};
  Pw__Change ch = PW__CHANGE__INIT;
  Pw__Command cmd = PW__COMMAND__INIT;
  snprintf(name, sizeof name, "m%d", (int)pwrand_below(&m->rnd, NAMES));
  snprintf(spec, sizeof spec, "{\"context_tokens\":%d}",
           (int)pwrand_below(&m->rnd, 1000) + 1);
  if (pwrand_below(&m->rnd, 3) == 0)
    snprintf(resend, sizeof resend, "%d", (int)pwrand_below(&m->rnd, KEYS));
  put.kind = "model";
  put.name = name;
  put.spec = spec;
  const pw_resource *old =
      pwres_get(pwstate_resources(x->state), "model", name);
  put.version = old ? old->version : 0;
  ch.puts = puts;
  ch.n_puts = 1;
  ch.resend = resend;
  cmd.body_case = PW__COMMAND__BODY_CHANGE;
  cmd.change = &ch;
  propose(m, x, &cmd);
}

static void propose_claim(model *m, node *x) {
  char id[24], key[16];
  Pw__Claim cl = PW__CLAIM__INIT;
  Pw__Command cmd = PW__COMMAND__INIT;
  snprintf(id, sizeof id, "r%llu", (unsigned long long)++m->next_id);
  snprintf(key, sizeof key, "%d", (int)pwrand_below(&m->rnd, KEYS));
  cl.id = id;
  cl.workspace = "w";
  cl.key = key;
  cmd.body_case = PW__COMMAND__BODY_CLAIM;
  cmd.claim = &cl;
  propose(m, x, &cmd);
}

static void deliver(model *m) {
  for (int i = 0; i < m->nf;) {
    if (m->f[i].at > m->now) {
      i++;
      continue;
    }
    Pw__Cons *msg = m->f[i].m;
    node *to = find_node(m, msg->to);
    if (to && to->up && to->frozen) {
      i++; /* the message waits in the socket */
      continue;
    }
    m->f[i] = m->f[--m->nf];
    if (to && to->up && !to->cut)
      pwcons_step(to->cons, now_of(m, to), msg);
    pw__cons__free_unpacked(msg, NULL);
    if (to && to->up)
      work(m, to);
  }
}

/* --- membership changes, as the daemon makes them --- */

static node *leader(model *m) {
  for (int i = 0; i < m->count; i++) {
    node *x = &m->n[i];
    if (x->up && !x->frozen && !x->cut && pwcons_role(x->cons) == PWCONS_LEADER)
      return x;
  }
  return NULL;
}

static void join(model *m, node *x) {
  node *l = leader(m);
  if (!l || x->cut)
    return;
  pw_cons_config next;
  pw_cons_member me = {.id = x->d.id, .slot = x->slot};
  const pw_cons_config *now = pwcons_config(l->cons);
  if (!pwmember_has(now, x->d.id)) {
    if (pwmember_next(l->cons, &me, LEASE, m->size, &next))
      pwcons_propose_config(l->cons, &next);
  } else if (!x->d.snapshot) {
    model_disk_init(&x->d, now);
    start(m, x);
  }
}

/* Whether a node is a voter in the leader's configuration, or any member in a
** group without a fixed size. */
static int is_settled(const model *m, const node *l, const node *x) {
  const pw_cons_config *c = pwcons_config(l->cons);
  for (int i = 0; i < c->n; i++)
    if (c->m[i].id == x->d.id)
      return c->m[i].voter || !m->size;
  return 0;
}

static int voters_of(const pw_cons_config *c) {
  int n = 0;
  for (int i = 0; i < c->n; i++)
    n += c->m[i].voter;
  return n;
}

static void manage(model *m) {
  pw_cons_config next;
  pw_cons_member nobody = {0};
  node *l = leader(m);
  if (l && m->size && voters_of(pwcons_config(l->cons)) > m->size + 1)
    violate(m, "more voters than the group's size");
  if (l && pwmember_next(l->cons, &nobody, LEASE, m->size, &next))
    pwcons_propose_config(l->cons, &next);
}

/* Replaces a node's disk by an empty one: the node returns under a new id. */
static void replace_disk(model *m, node *x) {
  uint64_t id =
      PW_MUTATION == MUT_SAME_IDENTITY ? x->d.id : pwrand(&m->rnd) | 1;
  crash(x);
  model_disk_clear(&x->d);
  x->d.id = id;
  if (m->size && pwrand_below(&m->rnd, 2)) /* a replacement at a new address */
    x->slot = m->next_slot++;
  if (PW_MUTATION == MUT_SAME_IDENTITY) {
    node *l = leader(m);
    if (l) {
      model_disk_init(&x->d, pwcons_config(l->cons));
      start(m, x);
    }
  }
}

/* Whether enough voters besides `x` have their disk, so that the loss of x's
** disk loses no accepted change. */
static int may_lose(model *m, const node *x) {
  node *l = leader(m);
  if (!l || l == x)
    return 0;
  const pw_cons_config *c = pwcons_config(l->cons);
  int with_disk = 0, voters = 0;
  for (int i = 0; i < c->n; i++) {
    if (!c->m[i].voter)
      continue;
    const node *y = find_node(m, c->m[i].id);
    voters++;
    with_disk += y && y != x && y->d.snapshot != NULL;
  }
  return with_disk >= voters - (voters - 1) / 2;
}

/* Restarts all nodes but `spared` (NULL: all) at once, as after a power failure. */
static void restart_all(model *m, const node *spared) {
  for (int i = 0; i < m->count; i++) {
    node *x = &m->n[i];
    if (x == spared)
      continue;
    crash(x);
    x->cut = 0;
    if (x->d.snapshot)
      start(m, x);
  }
}

static void inject_fault(model *m) {
  node *x = &m->n[pwrand_below(&m->rnd, (uint64_t)m->count)];
  switch (pwrand_below(&m->rnd, 16)) {
  case 0:
  case 1:
    crash(x);
    break;
  case 2:
  case 3:
  case 4:
    if (!x->up && x->d.snapshot)
      start(m, x);
    break;
  case 5:
    x->cut = 1;
    break;
  case 6:
  case 7:
    x->cut = 0;
    break;
  case 8:
    x->frozen = x->up;
    break;
  case 9:
  case 10:
    x->frozen = 0;
    break;
  case 11:
    if (may_lose(m, x))
      replace_disk(m, x);
    break;
  case 12:
    if (x->up && !x->frozen)
      pwcons_transfer_leadership(x->cons, now_of(m, x));
    break;
  case 13:
    restart_all(m, NULL);
    break;
  case 14: /* All nodes but the leader restart. The leader may hold a lease that
           ** the others have forgotten; its link flaps during their election
           ** and is cut afterwards. */
    m->flapping = leader(m);
    m->cut_at = m->now + LEASE / 5;
    restart_all(m, m->flapping);
    break;
  default: /* cuts off the leader */
    if (leader(m))
      leader(m)->cut = 1;
    break;
  }
}

static void step(model *m) {
  m->now += 1 + (int64_t)pwrand_below(&m->rnd, 15);
  if (!m->faults_off && pwrand_below(&m->rnd, 60) == 0)
    inject_fault(m);
  if (m->suspends)
    suspend_some(m);
  if (m->flapping && !m->faults_off)
    m->flapping->cut = m->now >= m->cut_at || pwrand_below(&m->rnd, 4) > 0;
  if (m->now >= m->cut_at)
    m->flapping = NULL;
  for (int i = 0; i < m->count; i++) {
    node *x = &m->n[i];
    if (!x->d.snapshot) {
      join(m, x);
      continue;
    }
    wake(m, x);
    if (!x->up || x->frozen)
      continue;
    read_under_lease(m, x); /* the first action after a stall may be a read */
    pwcons_tick(x->cons, now_of(m, x));
    int lost = m->size && pwcons_silence(x->cons) > 3 * LEASE;
    if (lost || pwmember_must_join(x->cons, x->d.id, LEASE))
      join(m, x);
    uint64_t draw = pwrand_below(&m->rnd, 20);
    if (draw == 0)
      propose_change(m, x);
    else if (draw == 1)
      propose_claim(m, x);
    work(m, x);
  }
  manage(m);
  deliver(m);
  for (int i = 0; m->has_reads && i < QUESTIONS; i++)
    step_question(m, &m->q[i]);
}

/* Loses as many disks as may be lost, while all other nodes lose power. */
static void lose_disks(model *m) {
  for (int i = 0; i < m->count; i++)
    if (may_lose(m, &m->n[i]))
      replace_disk(m, &m->n[i]);
  restart_all(m, NULL);
}

/* Ends all faults. The group must reach one leader and one state. */
static void settle(model *m) {
  m->faults_off = 1;
  m->flapping = NULL;
  for (int i = 0; i < m->count; i++) {
    m->n[i].cut = 0;
    m->n[i].frozen = 0;
    if (!m->n[i].up && m->n[i].d.snapshot)
      start(m, &m->n[i]);
  }
  int64_t until = m->now + SETTLE_MS;
  int done = 0;
  while (m->now < until && !m->broken && !done) {
    step(m);
    node *l = leader(m);
    done = l && pwcons_holds_lease(l->cons, now_of(m, l));
    for (int i = 0; done && i < m->count; i++)
      done = m->n[i].up && m->n[i].applied + 20 > l->applied &&
             is_settled(m, l, &m->n[i]);
  }
  node *l = leader(m);
  if (!done)
    violate(m, "the group did not recover after all faults ended");
  else if (pwres_revision(pwstate_resources(l->state)) < m->acked_revision)
    violate(m, "an accepted change was lost");
}

/* Prints the state of each node, to analyse a failing seed. */
static void print_nodes(const model *m) {
  for (int i = 0; i < m->count; i++) {
    const node *x = &m->n[i];
    printf("  slot %u id %016llx up %d snapshot %d", x->slot,
           (unsigned long long)x->d.id, x->up, x->d.snapshot != NULL);
    if (x->up) {
      const pw_cons_config *c = pwcons_config(x->cons);
      printf(" role %d term %llu last %llu commit %llu applied %llu members",
             (int)pwcons_role(x->cons),
             (unsigned long long)pwcons_term(x->cons),
             (unsigned long long)pwcons_last(x->cons),
             (unsigned long long)pwcons_commit(x->cons),
             (unsigned long long)x->applied);
      for (int k = 0; k < c->n; k++)
        printf(" %u:%04llx%s", c->m[k].slot,
               (unsigned long long)c->m[k].id >> 48, c->m[k].voter ? "" : "l");
    }
    printf("\n");
  }
}

/* Creates a group with initialised disks and no running nodes. */
static void create_group(model *m, uint64_t seed, int count) {
  *m = (model){.rnd = {.seed = seed}, .now = 1000000};
  m->count = count ? count : (pwrand_below(&m->rnd, 3) ? 3 : 5);
  m->size = seed % 2 ? m->count : 0;
  m->next_slot = NODES + 1;
  pw_cons_config c = {.n = m->count};
  for (int i = 0; i < m->count; i++) {
    m->n[i].slot = (uint32_t)i + 1;
    m->n[i].d.id = pwrand(&m->rnd) | 1;
    c.m[i] =
        (pw_cons_member){.id = m->n[i].d.id, .slot = m->n[i].slot, .voter = 1};
  }
  for (int i = 0; i < m->count; i++)
    model_disk_init(&m->n[i].d, &c);
}

static void free_group(model *m) {
  for (int i = 0; i < m->count; i++) {
    crash(&m->n[i]);
    model_disk_clear(&m->n[i].d);
  }
  while (m->nf)
    pw__cons__free_unpacked(m->f[--m->nf].m, NULL);
}

static const char *run_seed(uint64_t seed, int with, uint64_t *proposals) {
  static model m; /* large */
  create_group(&m, seed, 0);
  int suspends = (with & MODEL_SUSPENDS) != 0;
  m.suspends = suspends;
  m.pauses = (pw_random){.seed = ~seed};
  m.has_reads = (with & MODEL_READS) != 0;
  m.asks = (pw_random){.seed = seed ^ UINT64_MAX / 3};
  for (int i = 0; i < m.count; i++)
    start(&m, &m.n[i]);
  for (int i = 0; i < STEPS && !m.broken; i++)
    step(&m);
  if (!m.broken && suspends)
    lose_disks(&m);
  if (!m.broken)
    settle(&m);
  if (m.broken)
    print_nodes(&m);
  free_group(&m);
  CHECK(!suspends || m.broken || m.nsuspended > 0);
  CHECK(!m.has_reads || m.broken || (m.nconfirmed > 0 && m.nstated > 0));
  *proposals += m.proposals;
  return m.broken;
}

int64_t model_cold_start(uint64_t seed, int nodes, int64_t spread, int absent) {
  static model m; /* large */
  create_group(&m, seed, nodes);
  m.faults_off = 1;
  int64_t at[NODES], sorted[NODES];
  int last = 0;
  for (int i = 0; i < nodes; i++) {
    at[i] = m.now + (int64_t)pwrand_below(&m.rnd, (uint64_t)spread);
    if (at[i] > at[last])
      last = i;
    int k = i;
    for (; k > 0 && sorted[k - 1] > at[i]; k--)
      sorted[k] = sorted[k - 1];
    sorted[k] = at[i];
  }
  int64_t may_vote = absent ? sorted[nodes / 2] + LEASE : sorted[nodes - 1];
  while (!leader(&m) && m.now < may_vote + SETTLE_MS) {
    for (int i = 0; i < nodes; i++)
      if (!m.n[i].up && m.now >= at[i] && !(absent && i == last))
        start(&m, &m.n[i]);
    step(&m);
  }
  int64_t took = m.now - may_vote;
  free_group(&m);
  return took;
}

static int is_run(model_seeds which, uint64_t seed) {
  if (which == MODEL_ALL_SEEDS)
    return 1;
  return (seed % 2 == 1) == (which == MODEL_ODD_SEEDS);
}

void model_run_seeds(int with, model_seeds which, int last) {
  const char *one = getenv("PW_SEED");
  uint64_t first = test_seed(1);
  uint64_t end = one ? first + 1 : (uint64_t)last + 1;
  uint64_t proposals = 0;
  int n = 0;
  for (uint64_t seed = first; seed < end; seed++) {
    if (!one && !is_run(which, seed))
      continue;
    const char *broken = run_seed(seed, with, &proposals);
    if (broken) {
      printf("PW_SEED=%llu: %s\n", (unsigned long long)seed, broken);
      CHECK(0);
      return;
    }
    n++;
  }
  printf("%d models, %llu proposals\n", n, (unsigned long long)proposals);
  CHECK(proposals > 0);
}
