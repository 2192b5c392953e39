/* bench_ledger.c: fills the once-ledger to its limit; prints the time of a claim,
** the memory used, and the size and time of a snapshot. */
#include "pwbuf.h"
#include "pwclock.h"
#include "pwcons.h"
#include "pwlimits.h"
#include "pwstate.h"
#include "pwstore.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define ANSWER_BYTES 200
#define WALL_MS 1000000ULL
#define MB (1024.0 * 1024.0)

static double resident_mb(void) {
  long pages = 0;
  FILE *f = fopen("/proc/self/statm", "r");
  if (!f || fscanf(f, "%*d %ld", &pages) != 1)
    pages = 0;
  if (f)
    fclose(f);
  return (double)pages * (double)sysconf(_SC_PAGESIZE) / MB;
}

static double peak_mb(void) {
  struct rusage r;
  getrusage(RUSAGE_SELF, &r);
  return (double)r.ru_maxrss / 1024.0;
}

/* Applies the claim and the record of one request. */
static void apply_request(pw_state *s, unsigned i) {
  char id[32];
  char key[32];
  uint8_t digest[32] = {(uint8_t)i, (uint8_t)(i >> 8)};
  char answer[ANSWER_BYTES] = {0};
  snprintf(id, sizeof id, "request-%u", i);
  snprintf(key, sizeof key, "charge-%u", i);
  Pw__Claim c = PW__CLAIM__INIT;
  c.id = id;
  c.workspace = "exams";
  c.key = key;
  c.digest = (ProtobufCBinaryData){sizeof digest, digest};
  Pw__Command cmd = PW__COMMAND__INIT;
  cmd.wall = WALL_MS + i;
  cmd.body_case = PW__COMMAND__BODY_CLAIM;
  cmd.claim = &c;
  Pw__Outcome *outcome;
  Pw__Claimed *claimed;
  pwstate_apply(s, &cmd, &outcome, &claimed);
  pw__claimed__free_unpacked(claimed, NULL);
  Pw__Record r = PW__RECORD__INIT;
  r.id = id;
  r.workspace = "exams";
  r.key = key;
  r.status = 200;
  r.content_type = "application/json";
  r.body = (ProtobufCBinaryData){sizeof answer, (uint8_t *)answer};
  cmd.body_case = PW__COMMAND__BODY_RECORD;
  cmd.record = &r;
  pwstate_apply(s, &cmd, &outcome, &claimed);
}

static double ms_since(int64_t ns) {
  return (double)(pwclock_ns() - ns) / 1e6;
}

/* Saves a snapshot of the whole ledger in a new store, as the leader does, and loads it. */
static void snapshot(const pw_state *s) {
  char dir[] = "/tmp/peatwell-ledger-XXXXXX";
  pw_store *store = NULL;
  pw_store_state st;
  pw_buf err = {0};
  if (!mkdtemp(dir) ||
      pwstore_open(dir, 1, pwfile_posix(), &store, &st, &err) != PW_OK)
    return;
  Pw__Snapshot snap = PW__SNAPSHOT__INIT;
  pw_cons_config config = {.n = 0};
  pwcons_config_pack(&config, &snap.config);
  snap.index = 1;
  int64_t at = pwclock_ns();
  snap.state.data = pwstate_save(s, &snap.state.len);
  double save = ms_since(at);
  at = pwclock_ns();
  pw_code rc = pwstore_snapshot(store, &snap, 1, 0, NULL, 0);
  printf("| snapshot | %.1f MB, packed in %.0f ms, written and synced in %.0f "
         "ms (%s) |\n",
         (double)snap.state.len / MB, save, ms_since(at), pwcode_name(rc));
  printf("| memory with it / most | %.0f / %.0f MB |\n", resident_mb(),
         peak_mb());
  pw_state *copy = pwstate_new();
  at = pwclock_ns();
  rc = pwstate_load(copy, snap.state.data, snap.state.len);
  printf("| loaded | %.0f ms (%s) |\n", ms_since(at), pwcode_name(rc));
  pwstate_free(copy);
  pwstore_close(store);
  pwstore_state_free(&st);
  char path[64];
  snprintf(path, sizeof path, "%s/snapshot", dir);
  unlink(path);
  snprintf(path, sizeof path, "%s/identity", dir);
  unlink(path);
  snprintf(path, sizeof path, "%s/log-%016x", dir, 1);
  unlink(path);
  rmdir(dir);
  free(snap.state.data);
}

int main(void) {
  pw_state *s = pwstate_new();
  double before = resident_mb();
  int64_t at = pwclock_ns();
  for (unsigned i = 0; i < PW_ONCE_MAX; i++)
    apply_request(s, i);
  double ms = ms_since(at);
  printf("| once-ledger | figure |\n| --- | --- |\n");
  printf("| claims, of them with their answer | %zu, %zu |\n",
         pwonce_count(pwstate_once(s)),
         pwonce_count(pwstate_once(s)) - pwonce_past_count(pwstate_once(s)));
  printf("| a claim and its record applied | %.1f us |\n",
         ms * 1000 / PW_ONCE_MAX);
  printf("| memory of the ledger | %.0f MB |\n", resident_mb() - before);
  snapshot(s);
  pwstate_free(s);
  return 0;
}
