/* pwagwork.c: an agent's attempts: handles the notes of the workers that run
** them. */
#include "pwag.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

/* Handles an entry that cannot be reached: stops reading, and leaves the stream
** at the engine so that it can be resumed. */
static void detach(pw_agent *a, pw_ag_job *h, int64_t now) {
  pw_job *j = h->job;
  if (j->run->never || j->run->service || h->cancelled) {
    pwag_cancel(a, h, now);
    return;
  }
  h->cancelled = 1;
  pwjob_cancel(j);
  pwdetached_add(a->detached, j->origin, now);
}

void pwag_expire_detached(pw_agent *a, int64_t now) {
  char origin[PW_NAME_MAX];
  while (pwdetached_take_expired(a->detached, now, origin))
    pwjob_cancel_at_target(a->workers, origin);
}

static void send_or_detach(pw_agent *a, pw_ag_job *h, Pw__Envelope *e,
                           int64_t now) {
  if (pwwire_send(a->listener, &h->job->peer, e) != 0)
    detach(a, h, now);
}

/* Updates the estimated costs of computing and moving prefixes from the time that
** the answer's head took. */
static void update_costs(pw_agent *a, const pw_job *j, int64_t now) {
  double ms = (double)(now - j->since);
  uint32_t computed = j->prompt > j->cached ? j->prompt - j->cached : 0;
  if (!j->import) {
    pwmove_computed(&a->move, computed, ms);
    return;
  }
  double rest = computed * a->move.compute;
  pwmove_imported(&a->move, j->run->kv_tokens, j->cached,
                  ms > rest ? ms - rest : 0);
  pwcount_add(a->p->counters, PWC_KV_MOVED, j->cached);
}

static void on_head(pw_agent *a, pw_ag_job *h, pw_job_note *n, int64_t now) {
  pw_job *j = h->job;
  for (size_t i = 0; i < n->nheader; i++) {
    if (!strcmp(n->header[i]->name, "X-Cached-Tokens"))
      j->cached = (uint32_t)strtoul(n->header[i]->value, NULL, 10);
    if (!strcmp(n->header[i]->name, "X-Prompt-Tokens"))
      j->prompt = (uint32_t)strtoul(n->header[i]->value, NULL, 10);
  }
  double prompt = j->cost - j->run->output_tokens;
  if (!j->run->service && prompt > 0) {
    pwadmit_progress(&a->admit, prompt, now);
    j->left -= prompt;
  }
  if (n->status == 200 && !j->run->service && j->run->chat[0]) {
    uint32_t tokens = j->prompt ? j->prompt : j->run->prompt_tokens;
    update_costs(a, j, now);
    if (j->cached < j->expected / 2)
      pwcount_add(a->p->counters, PWC_CACHE_WRONG, 1);
    pwcache_note(&a->cache, j->run->chat, tokens, j->cached, j->expected, now);
    pwchat_forget(a->pointers, j->run->chat);
  }
  Pw__Load load;
  pwag_fill_load(a, &load, now);
  Pw__Head head = PW__HEAD__INIT;
  head.attempt = j->run->attempt;
  head.status = (uint32_t)n->status;
  head.headers = n->header;
  head.n_headers = n->nheader;
  head.load = &load;
  Pw__Envelope e = PW_ENVELOPE(HEAD, head, &head);
  send_or_detach(a, h, &e, now);
}

/* Counts the tokens in a piece of a stream, one for each event. */
static uint32_t count_tokens(const pw_job_note *n) {
  uint32_t count = 0;
  for (size_t i = 0; i + 5 <= n->len; i++)
    count += !memcmp(n->data + i, "data:", 5);
  return count;
}

static void on_data(pw_agent *a, pw_ag_job *h, const pw_job_note *n,
                    int64_t now) {
  pw_job *j = h->job;
  if (j->run->stream) {
    double tokens = count_tokens(n);
    if (tokens > j->left)
      tokens = j->left;
    j->output += (uint32_t)tokens;
    j->left -= tokens;
    pwadmit_progress(&a->admit, tokens, now);
  }
  if (j->orphan || h->cancelled)
    return;
  Pw__Chunk c = PW__CHUNK__INIT;
  c.attempt = j->run->attempt;
  c.offset = n->offset;
  c.data.data = (uint8_t *)n->data;
  c.data.len = n->len;
  Pw__Envelope e = PW_ENVELOPE(CHUNK, chunk, &c);
  send_or_detach(a, h, &e, now);
}

/* Notes that the target has rejected a request although it had room, and starts the hold-off that the
** target asks for. Entries prefer other targets meanwhile. */
static void note_rejection(pw_agent *a, const pw_job_note *n, int64_t now) {
  if (n->not_run && pwreject_had_room(a->admit.running, a->admit.slots))
    pwreject_note(&a->rejects, now);
  if (n->hold_off_ms == 0 ||
      !pwholdoff_asked(&a->admit.hold_off, n->hold_off_ms, now))
    return;
  pwcount_add(a->p->counters, PWC_HOLD_OFFS, 1);
  pwlog(LOG_NOTICE, "target-held-off", "target=%s ms=%lld",
        a->p->set->agent_target, (long long)n->hold_off_ms);
}

/* Whether it is proved that the request did not run. There is no proof for a resuming attempt, since the
** stream that it resumes has run. */
static int has_proof(const pw_job *j, const pw_job_note *n) {
  int is_unreached = n->code == PW_E_CONNECT && !n->sent;
  return (is_unreached || n->not_run) && !j->run->resume_of[0];
}

static void on_end(pw_agent *a, pw_ag_job *h, const pw_job_note *n,
                   int64_t now) {
  pw_job *j = h->job;
  pwadmit_end(&a->admit, j->left, now);
  note_rejection(a, n, now);
  if (has_proof(j, n)) {
    uint32_t wait = (uint32_t)pwholdoff_left(&a->admit.hold_off, now);
    pwag_refuse(a, &j->peer, j->run,
                &(pw_ag_refusal){.code = n->code, .wait = wait}, now);
  } else {
    Pw__Load load;
    pwag_fill_load(a, &load, now);
    Pw__End end = PW__END__INIT;
    end.attempt = j->run->attempt;
    end.length = j->sent;
    end.code = n->code;
    end.cached_tokens = j->cached;
    end.prompt_tokens = j->prompt;
    end.output_tokens = j->output;
    end.started = 1;
    end.load = &load;
    Pw__Envelope e = PW_ENVELOPE(END, end, &end);
    pwwire_send(a->listener, &j->peer, &e);
  }
  if (n->code == PW_E_CONNECT)
    pwcache_restarted(&a->cache); /* the target may have lost its cache */
  pwag_release(a, h);
}

void pwag_on_mail(pw_agent *a, int64_t now) {
  pwmail_clear(a->mail);
  pw_job_note *n;
  while ((n = (pw_job_note *)pwmail_take(a->mail)) != NULL) {
    pw_ag_job *h = pwag_job(a, n->job->run->attempt);
    if (n->event == PW_JOB_HEAD && !h->cancelled)
      on_head(a, h, n, now);
    else if (n->event == PW_JOB_DATA)
      on_data(a, h, n, now);
    else if (n->event == PW_JOB_END)
      on_end(a, h, n, now);
    pwjob_note_free(n);
  }
}
