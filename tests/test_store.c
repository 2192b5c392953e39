/* test_store.c: the data folder after crashes, damage and on a full disk;
** and the replicated resources, compared with a simple model of them. */
#include "pwbuf.h"
#include "pwcons.h"
#include "pwlimits.h"
#include "pwstate.h"
#include "pwstore.h"
#include "pwtest.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* State of file calls that fail on demand. */
typedef struct faults {
  int fail_sync;
  int full;
  int bytes_left; /* bytes until a write is cut short; -1: no limit */
  int syncs;
} faults;

static ssize_t f_write(void *arg, int fd, const void *data, size_t n) {
  faults *f = arg;
  if (f->bytes_left >= 0 && (int)n > f->bytes_left) {
    ssize_t part = write(fd, data, (size_t)f->bytes_left);
    f->bytes_left = 0;
    if (part > 0)
      return part;
    errno = EIO;
    return -1;
  }
  return write(fd, data, n);
}

static int f_sync(void *arg, int fd) {
  faults *f = arg;
  f->syncs++;
  if (!f->fail_sync)
    return fdatasync(fd);
  errno = EIO;
  return -1;
}

static int f_reserve(void *arg, int fd, int64_t offset, int64_t n) {
  const faults *f = arg;
  (void)fd;
  (void)offset;
  (void)n;
  errno = ENOSPC;
  return f->full ? -1 : 0;
}

static int f_rename(void *arg, const char *from, const char *to) {
  (void)arg;
  return rename(from, to);
}

/* A data folder under test, and what pwstore_open found in it. */
typedef struct folder {
  char dir[64];
  faults f;
  pw_file_ops ops;
  pw_store *s;
  pw_store_state st;
  pw_buf err;
} folder;

static pw_code open_folder(folder *b) {
  b->ops = (pw_file_ops){&b->f, f_write, f_sync, f_reserve, f_rename};
  pwbuf_free(&b->err);
  b->s = NULL;
  return pwstore_open(b->dir, 1, &b->ops, &b->s, &b->st, &b->err);
}

static void close_folder(folder *b) {
  pwstore_close(b->s);
  b->s = NULL;
  pwstore_state_free(&b->st);
}

static void new_folder(folder *b) {
  *b = (folder){.dir = "/tmp/pwstoreXXXXXX", .f = {.bytes_left = -1}};
  CHECK(mkdtemp(b->dir) != NULL);
  CHECK(open_folder(b) == PW_OK);
}

static void remove_folder(folder *b) {
  char cmd[128];
  close_folder(b);
  pwbuf_free(&b->err);
  snprintf(cmd, sizeof cmd, "rm -rf %s", b->dir);
  CHECK(system(cmd) == 0);
}

static void write_first_snapshot(folder *b) {
  Pw__Snapshot s = PW__SNAPSHOT__INIT;
  Pw__Config c = PW__CONFIG__INIT;
  s.config = &c;
  CHECK(pwstore_snapshot(b->s, &s, 0, 0, NULL, 0) == PW_OK);
}

static pw_code add(folder *b, uint64_t term, uint64_t index, const char *text) {
  Pw__Entry e = PW__ENTRY__INIT;
  Pw__Entry *list[1] = {&e};
  e.term = term;
  e.index = index;
  e.kind = PWCONS_COMMAND;
  e.data.data = (uint8_t *)text;
  e.data.len = strlen(text);
  return pwstore_append(b->s, term, 7, list, 1);
}

static void reopen(folder *b) {
  close_folder(b);
  CHECK(open_folder(b) == PW_OK);
}

static void test_log_survives_reopen(void) {
  folder b;
  new_folder(&b);
  uint64_t id = b.st.disk_id;
  CHECK(b.st.snapshot == NULL);
  write_first_snapshot(&b);
  for (uint64_t i = 1; i <= 5; i++)
    CHECK(add(&b, 1, i, "one") == PW_OK);
  CHECK(add(&b, 2, 4, "other") == PW_OK); /* replaces 4 and removes 5 */
  reopen(&b);
  CHECK(b.st.disk_id == id);
  CHECK(b.st.nentries == 4);
  CHECK(b.st.term == 2 && b.st.vote == 7);
  CHECK(b.st.entries[3]->term == 2 && b.st.entries[3]->data.len == 5);
  remove_folder(&b);
}

static void log_path(const folder *b, char *out, size_t cap) {
  snprintf(out, cap, "%s/log-%016llx", b->dir, 0ULL);
}

/* A write that a crash cuts off at any byte loses only that batch. */
static void test_torn_write(void) {
  for (int cut = 0; cut < 40; cut++) {
    folder b;
    new_folder(&b);
    write_first_snapshot(&b);
    CHECK(add(&b, 1, 1, "kept") == PW_OK);
    b.f.bytes_left = cut;
    CHECK(add(&b, 1, 2, "torn by a crash") != PW_OK);
    b.f.bytes_left = -1;
    reopen(&b);
    CHECK(b.st.nentries == 1);
    CHECK(add(&b, 1, 2, "written again") == PW_OK);
    reopen(&b);
    CHECK(b.st.nentries == 2);
    remove_folder(&b);
  }
}

static void flip_byte(const char *path, off_t at) {
  char byte;
  int fd = open(path, O_RDWR);
  CHECK(pread(fd, &byte, 1, at) == 1);
  byte ^= 0x20;
  CHECK(pwrite(fd, &byte, 1, at) == 1);
  close(fd);
}

/* A damaged record with more data after it was acknowledged, so the folder must
** not open. */
static void test_damage_inside_log(void) {
  folder b;
  char path[128];
  new_folder(&b);
  write_first_snapshot(&b);
  for (uint64_t i = 1; i <= 4; i++)
    CHECK(add(&b, 1, i, "acknowledged") == PW_OK);
  close_folder(&b);
  log_path(&b, path, sizeof path);
  flip_byte(path, 80);
  CHECK(open_folder(&b) == PW_E_CORRUPT);
  CHECK(strstr(b.err.data, "damaged at byte") != NULL);
  remove_folder(&b);
}

static void test_newer_version(void) {
  folder b;
  char path[128];
  new_folder(&b);
  write_first_snapshot(&b);
  close_folder(&b);
  log_path(&b, path, sizeof path);
  uint32_t version = 9;
  int fd = open(path, O_RDWR);
  CHECK(pwrite(fd, &version, 4, 4) == 4);
  close(fd);
  CHECK(open_folder(&b) == PW_E_VERSION);
  remove_folder(&b);
}

static void test_missing_log(void) {
  folder b;
  char path[128];
  new_folder(&b);
  write_first_snapshot(&b);
  close_folder(&b);
  log_path(&b, path, sizeof path);
  unlink(path);
  CHECK(open_folder(&b) == PW_E_CORRUPT); /* not treated as an empty disk */
  remove_folder(&b);
}

static void test_disk_of_another_control_id(void) {
  folder b;
  new_folder(&b);
  close_folder(&b);
  CHECK(pwstore_open(b.dir, 2, &b.ops, &b.s, &b.st, &b.err) == PW_E_SETTINGS);
  remove_folder(&b);
}

static void test_failed_sync(void) {
  folder b;
  new_folder(&b);
  write_first_snapshot(&b);
  int before = b.f.syncs;
  CHECK(add(&b, 1, 1, "x") == PW_OK);
  CHECK(b.f.syncs > before); /* acknowledged only after a sync */
  b.f.fail_sync = 1;
  CHECK(add(&b, 1, 2, "x") == PW_E_IO);
  remove_folder(&b);
}

static void test_full_disk(void) {
  folder b;
  new_folder(&b);
  write_first_snapshot(&b);
  CHECK(pwstore_reserve(b.s, 1000) == PW_OK);
  b.f.full = 1;
  CHECK(pwstore_reserve(b.s, 1000) == PW_OK); /* reserved before */
  CHECK(pwstore_reserve(b.s, 10000000) == PW_E_DISK_FULL);
  b.f.full = 0;
  CHECK(pwstore_reserve(b.s, 10000000) == PW_OK);
  remove_folder(&b);
}

/* A crash while a snapshot is written leaves the old state complete. */
static void test_snapshot_crash(void) {
  for (int cut = 0; cut < 400; cut += 13) {
    folder b;
    new_folder(&b);
    write_first_snapshot(&b);
    for (uint64_t i = 1; i <= 6; i++)
      CHECK(add(&b, 1, i, "entry") == PW_OK);
    Pw__Snapshot s = PW__SNAPSHOT__INIT;
    Pw__Config c = PW__CONFIG__INIT;
    char state[100] = "state of index four";
    s.config = &c;
    s.index = 4;
    s.term = 1;
    s.state.data = (uint8_t *)state;
    s.state.len = sizeof state;
    reopen(&b);
    b.f.bytes_left = cut;
    pw_code rc = pwstore_snapshot(b.s, &s, 1, 7, b.st.entries + 4, 2);
    b.f.bytes_left = -1;
    reopen(&b);
    CHECK(b.st.snapshot->index == (rc == PW_OK ? 4 : 0));
    CHECK(b.st.snapshot->index + b.st.nentries == 6);
    remove_folder(&b);
  }
}

/* --- the replicated state against a simple model --- */

#define NAMES 6

/* Model of one resource. */
typedef struct expected {
  uint64_t version; /* 0: never created */
  int live;
  int value;
} expected;

static Pw__Outcome *put(pw_state *s, const char *name, uint64_t version,
                        int value, int remove) {
  char spec[64];
  Pw__Put p = PW__PUT__INIT;
  Pw__Put *list[1] = {&p};
  Pw__Change ch = PW__CHANGE__INIT;
  Pw__Command cmd = PW__COMMAND__INIT;
  Pw__Outcome *o;
  Pw__Claimed *cl;
  snprintf(spec, sizeof spec, "{\"context_tokens\":%d}", value);
  p.kind = "model";
  p.name = (char *)name;
  p.spec = spec;
  p.version = version;
  p.remove = remove;
  ch.puts = list;
  ch.n_puts = 1;
  cmd.body_case = PW__COMMAND__BODY_CHANGE;
  cmd.change = &ch;
  pwstate_apply(s, &cmd, &o, &cl);
  return o;
}

static void check_against_model(const pw_state *s, const expected *model) {
  for (int i = 0; i < NAMES; i++) {
    char name[16], spec[64];
    snprintf(name, sizeof name, "m%d", i);
    snprintf(spec, sizeof spec, "{\"context_tokens\":%d}", model[i].value);
    const pw_resource *r = pwres_get(pwstate_resources(s), "model", name);
    CHECK((r != NULL) == model[i].live);
    CHECK(!r || (r->version == model[i].version && !strcmp(r->spec, spec)));
  }
}

static void save_and_load(pw_state **s) {
  size_t n;
  uint8_t *bytes = pwstate_save(*s, &n);
  pwstate_free(*s);
  *s = pwstate_new();
  CHECK(pwstate_load(*s, bytes, n) == PW_OK);
  free(bytes);
}

/* Updates a copy by a delta from its revision. It must reach the revision of
** the original. */
static void apply_delta(pw_res *copy, const pw_res *r) {
  Pw__Resource *list[1000];
  size_t n = 0;
  int full = pwres_revision(copy) < pwres_floor(r);
  uint64_t since = full ? 0 : pwres_revision(copy);
  for (const pw_resource *one = pwres_after(r, since); one; one = one->next)
    list[n++] = pwres_pack(one);
  CHECK(pwres_merge(copy, full, since, pwres_revision(r), list, n) >= 0);
  for (size_t i = 0; i < n; i++)
    pw__resource__free_unpacked(list[i], NULL);
  CHECK(pwres_revision(copy) == pwres_revision(r));
}

static void test_against_model(void) {
  pw_random rnd = {.seed = test_seed(11)};
  pw_state *s = pwstate_new();
  pw_res *copy = pwres_new();
  expected model[NAMES] = {0};
  for (int i = 0; i < 20000; i++) {
    int k = (int)pwrand_below(&rnd, NAMES);
    int remove = pwrand_below(&rnd, 5) == 0;
    uint64_t have = model[k].live ? model[k].version : 0;
    uint64_t version = pwrand_below(&rnd, 3) ? have : have + 1;
    char name[16];
    snprintf(name, sizeof name, "m%d", k);
    Pw__Outcome *o = put(s, name, version, i + 1, remove);
    pw_code want = remove && !model[k].live ? PW_E_NOT_FOUND
                   : version != have        ? PW_E_CONFLICT
                                            : PW_OK;
    CHECK(o->code == want);
    CHECK(want != PW_E_CONFLICT || !model[k].live ||
          o->resources[0]->version == have); /* the current one is shown */
    pw__outcome__free_unpacked(o, NULL);
    if (want == PW_OK) {
      model[k].version++;
      model[k].live = !remove;
      model[k].value = i + 1;
    }
    if (pwrand_below(&rnd, 50) == 0)
      apply_delta(copy, pwstate_resources(s));
    if (pwrand_below(&rnd, 500) == 0)
      save_and_load(&s);
    if (pwrand_below(&rnd, 100) == 0)
      check_against_model(s, model);
  }
  apply_delta(copy, pwstate_resources(s));
  for (int i = 0; i < NAMES; i++) {
    char name[16];
    snprintf(name, sizeof name, "m%d", i);
    const pw_resource *r = pwres_get(copy, "model", name);
    CHECK((r != NULL) == model[i].live &&
          (!r || r->version == model[i].version));
  }
  pwres_free(copy);
  pwstate_free(s);
}

/* The revision never goes back when deltas arrive late or twice. */
static void test_revision_never_goes_back(void) {
  pw_res *r = pwres_new();
  Pw__Resource a = PW__RESOURCE__INIT, b = PW__RESOURCE__INIT;
  Pw__Resource *one[1] = {&a}, *two[1] = {&b};
  a.kind = b.kind = "model";
  a.name = b.name = "m";
  a.spec = "{\"old\":1}";
  b.spec = "{\"new\":1}";
  a.version = a.revision = 5;
  b.version = b.revision = 9;
  CHECK(pwres_merge(r, 1, 0, 9, two, 1) == 1);
  CHECK(pwres_merge(r, 0, 4, 5, one, 1) == 0);  /* late */
  CHECK(pwres_merge(r, 1, 0, 5, one, 1) == 0);  /* a full set, late */
  CHECK(pwres_merge(r, 0, 9, 9, two, 1) == 0);  /* twice */
  CHECK(pwres_merge(r, 0, 12, 14, one, 1) < 0); /* a gap: changes are missing */
  CHECK(pwres_merge(r, 0, 8, 10, one, 1) ==
        1); /* with a stale resource in it */
  CHECK(pwres_get(r, "model", "m")->version == 9);
  pwres_free(r);
}

static void test_references(void) {
  pw_state *s = pwstate_new();
  Pw__Put model = PW__PUT__INIT, target = PW__PUT__INIT;
  Pw__Put *both[2] = {&target, &model};
  Pw__Change ch = PW__CHANGE__INIT;
  Pw__Command cmd = PW__COMMAND__INIT;
  Pw__Outcome *o;
  Pw__Claimed *cl;
  model.kind = "model";
  model.name = "m";
  model.spec = "{}";
  target.kind = "target";
  target.name = "t";
  target.spec = "{\"agent\":\"tcp://127.0.0.1:1\",\"models\":[\"m\"]}";
  ch.puts = both;
  ch.n_puts = 1;
  cmd.body_case = PW__COMMAND__BODY_CHANGE;
  cmd.change = &ch;
  pwstate_apply(s, &cmd, &o, &cl);
  CHECK(o->code == PW_E_REFERENCE);
  CHECK(!strcmp(o->message, "spec.models: no model named m"));
  CHECK(pwres_get(pwstate_resources(s), "target", "t") == NULL);
  pw__outcome__free_unpacked(o, NULL);
  ch.n_puts = 2; /* both in one change, in any order */
  pwstate_apply(s, &cmd, &o, &cl);
  CHECK(o->code == PW_OK);
  pw__outcome__free_unpacked(o, NULL);
  o = put(s, "m", 1, 0, 1);
  CHECK(o->code == PW_E_REFERENCE); /* the target still refers to it */
  pw__outcome__free_unpacked(o, NULL);
  CHECK(pwres_get(pwstate_resources(s), "model", "m") != NULL);
  pwstate_free(s);
}

static void test_schema(void) {
  char why[200];
  CHECK(pwres_is_kind("model") && !pwres_is_kind("zebra"));
  pw_state *s = pwstate_new();
  Pw__Outcome *o = put(s, "bad name", 0, 1, 0);
  CHECK(o->code == PW_E_SCHEMA && strstr(o->message, "name:"));
  pw__outcome__free_unpacked(o, NULL);
  o = put(s, "m", 0, -4, 0);
  pw_copy(why, sizeof why, o->message);
  CHECK(o->code == PW_E_SCHEMA);
  CHECK(!strncmp(why, "spec.context_tokens: a number from 1", 36));
  pw__outcome__free_unpacked(o, NULL);
  pwstate_free(s);
}

int main(void) {
  TESTS_BEGIN("store");
  TEST(test_log_survives_reopen);
  TEST(test_torn_write);
  TEST(test_damage_inside_log);
  TEST(test_newer_version);
  TEST(test_missing_log);
  TEST(test_disk_of_another_control_id);
  TEST(test_failed_sync);
  TEST(test_full_disk);
  TEST(test_snapshot_crash);
  TEST(test_against_model);
  TEST(test_revision_never_goes_back);
  TEST(test_references);
  TEST(test_schema);
  TESTS_END();
}
