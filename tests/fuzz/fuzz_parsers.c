/* fuzz_parsers.c: feeds fuzzed bytes to the parsers of outside data, for libFuzzer. The first byte selects the
** parser. */
#define _GNU_SOURCE
#include "peatwell.pb-c.h"
#include "platform.h"
#include "pwbuf.h"
#include "pwcons.h"
#include "pwdoc.h"
#include "pwgossipmsg.h"
#include "pwkvfeed.h"
#include "pwpartsmsg.h"
#include "pwschema.h"
#include "pwset.h"
#include "pwstate.h"
#include "pwstore.h"
#include "pwsuspects.h"
#include "pwtoml.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

static void fuzz_message(const uint8_t *data, size_t n) {
  Pw__Envelope *e = pw__envelope__unpack(NULL, n, data);
  if (!e)
    return;
  if (e->body_case == PW__ENVELOPE__BODY_WELCOME) {
    const Pw__Welcome *w = e->welcome;
    pw_res *r = pwres_new();
    pwres_merge(r, w->full, w->since, w->revision, w->resources,
                w->n_resources);
    pwres_free(r);
  }
  if (e->body_case == PW__ENVELOPE__BODY_JOIN) {
    pw_cons_config c;
    pwcons_config_unpack(e->join->config, &c);
  }
  pw__envelope__free_unpacked(e, NULL);
}

static void fuzz_record(const uint8_t *data, size_t n) {
  size_t at = 0, len;
  const uint8_t *payload;
  while (pwstore_read_record(data, n, &at, &payload, &len) == 1) {
    Pw__Batch *b = pw__batch__unpack(NULL, len, payload);
    if (b)
      pw__batch__free_unpacked(b, NULL);
  }
}

static void fuzz_state(const uint8_t *data, size_t n) {
  pw_state *s = pwstate_new();
  pwstate_load(s, data, n);
  pwstate_free(s);
}

static void fuzz_command(const uint8_t *data, size_t n) {
  Pw__Command *cmd = pw__command__unpack(NULL, n, data);
  if (!cmd)
    return;
  pw_state *s = pwstate_new();
  Pw__Outcome *o;
  Pw__Claimed *cl;
  pwstate_apply(s, cmd, &o, &cl);
  if (o)
    pw__outcome__free_unpacked(o, NULL);
  if (cl)
    pw__claimed__free_unpacked(cl, NULL);
  pwstate_free(s);
  pw__command__free_unpacked(cmd, NULL);
}

static void fuzz_schema(const uint8_t *data, size_t n) {
  char why[128];
  char *text = pw_memdup(data, n);
  pwschema_check("target", "t", text, why, sizeof why);
  free(text);
}

/* A consensus message to a member of a group of three. */
static void fuzz_consensus(const uint8_t *data, size_t n) {
  Pw__Cons *m = pw__cons__unpack(NULL, n, data);
  if (!m)
    return;
  pw_cons_config c = {
      .n = 3, .m = {{1, 1, 1, "", ""}, {2, 2, 1, "", ""}, {3, 3, 1, "", ""}}};
  Pw__Snapshot snap = PW__SNAPSHOT__INIT;
  pwcons_config_pack(&c, &snap.config);
  pw_cons_setup s = {.id = 1,
                     .seed = 1,
                     .heartbeat = 1,
                     .retry = 1,
                     .lease = 10,
                     .snapshot = &snap};
  pw_cons *cons = pwcons_new(&s);
  m->to = 1;
  pwcons_step(cons, 100, m);
  pw_cons_ready r;
  if (pwcons_ready(cons, &r))
    pwcons_advance(cons);
  pwcons_free(cons);
  pw__config__free_unpacked(snap.config, NULL);
  pw__cons__free_unpacked(m, NULL);
}

/* A settings file. */
static void fuzz_settings(const uint8_t *data, size_t n) {
  char path[32];
  pw_settings s;
  pw_buf err = {0};
  int fd = memfd_create("settings", 0);
  if (fd < 0 || write(fd, data, n) != (ssize_t)n)
    abort();
  snprintf(path, sizeof path, "/proc/self/fd/%d", fd);
  pwset_read(&s, path, &err);
  pwset_free(&s);
  pwbuf_free(&err);
  close(fd);
}

/* An engine's cache events, applied to an agent's cache estimate. */
static void fuzz_cache_events(const uint8_t *data, size_t n) {
  pw_cache_update update;
  pw_cache c;
  if (pwkvfeed_read((const char *)data, n, 1000, &update) != 0)
    return;
  pwcache_init(&c);
  pwcache_update(&c, &update);
  pwcache_free(&c);
  pwkvfeed_clear(&update);
}

/* Whether a name or a value lies in the head of the message. */
static int lies_in_head(const pw_h1 *m, const char *p, size_t n) {
  return p >= m->head.data && p + n <= m->head.data + m->head.len;
}

/* Reads the headers of a complete message, all of which must lie in its own head. */
static void read_headers(const pw_h1 *m) {
  pw_request_info request;
  pw_answer_info answer;
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (!lies_in_head(m, h->name, h->nname) ||
        !lies_in_head(m, h->value, h->nvalue))
      abort();
    pwh1_is_hop_by_hop(m, h);
  }
  plat_read_request(m, &request);
  plat_read_answer(m, &request, &answer);
}

/* Prepares for the next message. The memory of the last head is overwritten, as the next head does. */
static void next_message(pw_h1 *m) {
  pwh1_reset(m);
  if (m->head.data)
    memset(m->head.data, '#', m->head.cap);
}

/* Bytes of an HTTP connection in pieces of up to 64, with any number of messages on one parser. */
static void fuzz_http(const uint8_t *data, size_t n) {
  pw_h1 m;
  if (n < 2)
    return;
  size_t step = 1 + data[1] % 64;
  pwh1_init(&m, data[0] & 1 ? HTTP_REQUEST : HTTP_RESPONSE, 256);
  for (size_t at = 2; at < n;) {
    size_t piece = n - at < step ? n - at : step;
    size_t used = pwh1_feed(&m, (const char *)data + at, piece);
    at += used;
    if (m.state == PWH1_DONE) {
      read_headers(&m);
      next_message(&m);
    } else if (used == 0) {
      break;
    }
  }
  if (m.state == PWH1_BODY)
    pwh1_eof(&m);
  if (m.state == PWH1_DONE)
    read_headers(&m);
  pwh1_free(&m);
}

/* Configurations, heartbeats and calls of the platform. */
static void fuzz_dialect(const uint8_t *data, size_t n) {
  char why[160];
  pw_site *site;
  pw_heartbeat beat;
  if (plat_read_site((const char *)data, n, &site, why, sizeof why) == PW_OK)
    pwsite_release(site);
  plat_read_heartbeat("id", (const char *)data, n, &beat, why, sizeof why);
  plat_read_leave("id", (const char *)data, n, &beat, why, sizeof why);
  char id[PW_NAME_MAX];
  char *path = pw_alloc(n + 1);
  memcpy(path, data, n);
  plat_read_call("POST", path, id);
  plat_read_call("DELETE", path, id);
  free(path);
}

/* A document message, applied to a configuration document of an earlier version. */
static void fuzz_document(const uint8_t *data, size_t n) {
  Pw__Document *in = pw__document__unpack(NULL, n, data);
  pw_doc *d = pwdoc_new();
  Pw__Document first;
  pwdoc_pack_next(d, 1, "a first document", 16, &first);
  pwdoc_apply(d, &first);
  if (in && in->size < 65536)
    pwdoc_apply(d, in);
  free(first.data.data);
  pwdoc_free(d);
  if (in)
    pw__document__free_unpacked(in, NULL);
}

static void check_suspect(void *arg, uint64_t fingerprint,
                          pw_quar_change change) {
  const pw_quarantine *q = arg;
  if (!fingerprint || change == PWQUAR_UNCHANGED ||
      pwquar_crashes(q, fingerprint) > PW_QUARANTINE_CRASHES)
    abort();
}

/* Gossip of a gateway, one datagram after another: its loads, and the requests and parts that crashed targets. */
static void fuzz_gossip(const uint8_t *data, size_t n) {
  pw_gossip_loads loads = {0};
  pw_loads sum = {0};
  pw_quarantine *q = pwquar_new();
  pw_parts *parts = pwparts_new();
  for (size_t at = 0; at + 1 < n;) {
    size_t len = data[at] < n - at - 1 ? data[at] : n - at - 1;
    Pw__Gossip *m = pw__gossip__unpack(NULL, len, data + at + 1);
    if (m) {
      pwgossipmsg_take(&loads, m, 1);
      pwsuspects_receive(q, m->suspects, m->n_suspects, 1, check_suspect, q);
      pwquar_tick(q, 2);
      pwpartsmsg_receive(parts, m->crashing_parts, m->n_crashing_parts, 1);
      if (pwparts_count(parts, 1) > (int)pwparts_cases(parts))
        abort();
      pwparts_tick(parts, 2);
      pw__gossip__free_unpacked(m, NULL);
    }
    pwloads_clear(&sum);
    pwgossipmsg_sum(&loads, &sum);
    at += len + 1;
  }
  pwquar_free(q);
  pwparts_free(parts);
  pwgossipmsg_free(&loads);
  pwloads_free(&sum);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n) {
  static void (*const parser[])(const uint8_t *, size_t) = {
      fuzz_message, fuzz_record,    fuzz_state,    fuzz_command,
      fuzz_schema,  fuzz_consensus, fuzz_settings, fuzz_cache_events,
      fuzz_http,    fuzz_dialect,   fuzz_document, fuzz_gossip};
  const size_t parsers = sizeof parser / sizeof parser[0];
  if (n)
    parser[data[0] % parsers](data + 1, n - 1);
  return 0;
}
