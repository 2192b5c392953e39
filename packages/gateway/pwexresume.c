/* pwexresume.c: streams that callers resume, and the software version that began each.
**
** What two versions of a service write does not fit together, and targets do not check it. The gateway that forwards
** the first event of a stream announces to some other gateways which version made it, and to control instances if there
** are several versions; a gateway at which the stream is resumed queries both unless it knows. A stream whose version
** nobody knows is refused: it has not run. */
#include "pwexint.h"

#include <string.h>
#include <utlist.h>
#include <xxhash.h>

/* Longest wait for the answers of other gateways, ms, and as a divisor of the time that the caller has left. */
#define QUERY_MS 800
#define QUERY_DIVISOR 3

/* Interval of repeated queries, ms: a datagram may be lost. */
#define QUERY_AGAIN_MS 60

/* Interval of repeated queries to control instances, ms: their messages are lost only with a connection, but the gateway
** may have reached further instances. */
#define CONTROL_AGAIN_MS 200

/* Time after its start until which a gateway may not know all others yet, ms: it hears first of those that reached the
** same control instance. */
#define SETTLED_MS 5000

/* Interval at which a stream in progress is announced again, ms, so that its record is not dropped. */
#define REANNOUNCE_MS (PWORIGINS_KEEP_MS / 2)

/* --- streams that begin --- */

/* Names a stream by the attempt that brought its first event. Ids of other workspaces give other names. */
static uint64_t stream_of(const pw_exchange *x, pw_span attempt) {
  const char *workspace = x->workspace ? x->workspace->name : "";
  uint64_t seed = XXH3_64bits(workspace, strlen(workspace));
  return XXH3_64bits_withSeed(attempt.p, attempt.n, seed);
}

static void announce(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  x->announced_at = now;
  pworigins_note(g->origins, x->stream, x->version, 1, now);
  pwgossip_announce_stream(g->gossip, x->stream, x->version);
  x->is_told_control = pwgate_tells_control(g, x->service_state, now);
  if (x->is_told_control)
    pwlink_announce_stream(g->link, x->stream, x->version, now);
}

void pwexi_note_begun(pw_exchange *x, int64_t now) {
  if (!x->route->is_resumable || !x->is_event_stream || !x->t)
    return;
  if (!x->version) {
    x->version = x->t->version_hash;
    x->stream = x->request_info.id.n ? stream_of(x, x->request_info.id) : 0;
  }
  if (x->stream)
    announce(x, now);
}

static int is_settled(const pw_gate *g, int64_t now) {
  return now - g->started_at >= SETTLED_MS;
}

void pwexi_reannounce(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  if (!x->has_begun || !x->stream)
    return;
  int are_new_known = !is_settled(g, now) &&
                      pwgossip_peers_changed_at(g->gossip) >= x->announced_at;
  int is_new_to_control =
      !x->is_told_control && pwgate_tells_control(g, x->service_state, now);
  if (are_new_known || is_new_to_control ||
      now - x->announced_at >= REANNOUNCE_MS)
    announce(x, now);
}

/* --- streams that callers resume --- */

static int is_resumption(const pw_exchange *x) {
  return x->route->is_stream &&
         (x->request_info.last_event.p || x->request_info.resumes.p);
}

/* Instances queried that have not answered. */
static int count_unanswered(const pw_exchange *x) {
  int n = 0;
  for (int i = 0; i < x->nqueried; i++)
    n += x->queried[i] != 0;
  return n;
}

static void refuse_unknown(pw_exchange *x, const char *why, int64_t retry_ms) {
  pwexi_log(x, PWTRACE_FAIL, "stream-unknown",
            "of=%.*s last=%.*s queried=%d unanswered=%d served_number=%llu "
            "unconfirmed=%d",
            (int)x->request_info.resumes.n,
            x->request_info.resumes.p ? x->request_info.resumes.p : "",
            (int)x->request_info.last_event.n,
            x->request_info.last_event.p ? x->request_info.last_event.p : "",
            x->nqueried, count_unanswered(x),
            (unsigned long long)x->g->served.number, x->served_query != 0);
  pwcount_add(x->g->p->counters, PWC_GW_STREAM_UNKNOWN, 1);
  pwexi_refuse(x, PW_E_STREAM_UNKNOWN, why, retry_ms);
}

/* Sets the service of the request to the one whose target began the stream. Returns 0 if no target of that version is
** known, or the route does not lead to its service. */
static int choose_service(pw_exchange *x) {
  const char *name = pwfleet_service_of(x->g->fleet, x->version);
  const pw_site_service *service =
      name ? pwsite_route_service(x->site, x->route, name) : NULL;
  if (service)
    x->service = service;
  return service != NULL;
}

/* Continues a stream whose version is known. */
static void continue_stream(pw_exchange *x, const pw_origin *origin,
                            const char *source) {
  pw_gate *g = x->g;
  if (origin->version == PWORIGINS_CONFLICT) {
    refuse_unknown(x, "conflicting records of the version that began it", 0);
    return;
  }
  x->version = origin->version;
  pwcount_add(g->p->counters, PWC_GW_STREAM_RESUMED, 1);
  pwexi_log(x, PWTRACE_ROUTINE, "caller-resumed",
            "of=%.*s last=%.*s version=%s source=%s known_ms=%lld",
            (int)x->request_info.resumes.n,
            x->request_info.resumes.p ? x->request_info.resumes.p : "",
            (int)x->request_info.last_event.n,
            x->request_info.last_event.p ? x->request_info.last_event.p : "",
            pwfleet_version_name(g->fleet, x->version), source,
            (long long)origin->age_ms);
  if (choose_service(x))
    pwexi_start(x);
  else
    pwexi_refuse_version_gone(x);
}

void pwexi_leave_origin_queue(pw_exchange *x) {
  if (!x->awaits_origin)
    return;
  x->awaits_origin = 0;
  DL_DELETE(x->g->origin_waiters, x);
}

void pwexi_end_origin_wait(pw_exchange *x) {
  pwexi_leave_origin_queue(x);
  refuse_unknown(x,
                 x->stream ? "not all instances that may know the version of "
                             "the stream have answered"
                           : "no leader has confirmed which versions served",
                 PWEX_RETRY_NO_TARGET_MS);
}

/* Queries gateways and control instances for the stream; those that had answered are awaited anew. */
static void query(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  x->control_queried_at = now;
  x->nqueried = pwgossip_query_stream(g->gossip, x->stream, x->queried);
  x->nqueried +=
      pwlink_query_stream(g->link, x->stream, now, x->queried + x->nqueried);
}

/* Queries again, since datagrams may be lost and another control instance may lead by now. */
static void repeat_query(pw_exchange *x, int64_t now) {
  uint64_t again[PWRENDEZVOUS_MAX];
  x->queried_at = now;
  if (x->served_query)
    pwlink_query_served(x->g->link);
  if (x->stream && now - x->control_queried_at >= CONTROL_AGAIN_MS)
    query(x, now);
  else if (x->stream)
    pwgossip_query_stream(x->g->gossip, x->stream, again);
}

static int leads_to_one_service(const pw_site_route *r) {
  int n = 0;
  for (int i = 0; i < r->nweighted; i++)
    n += r->weighted[i].weight > 0;
  return n == 1;
}

/* Queries for what tells the version that began a stream: who knows it, if its caller names the attempt, and whether
** there was only one version, if the route leads to one service. The leader confirms the latter after this query, since
** what is known here may be older than the stream. */
static void begin_query(pw_exchange *x, int64_t now) {
  int64_t wait_ms = pwexi_time_left(x) / QUERY_DIVISOR;
  x->awaits_origin = 1;
  DL_APPEND(x->g->origin_waiters, x);
  pwcount_add(x->g->p->counters, PWC_GW_STREAM_QUERIED, 1);
  pwexi_set_timer(x, wait_ms < QUERY_MS ? wait_ms : QUERY_MS);
  x->queried_at = now;
  if (leads_to_one_service(x->route))
    x->served_query = pwlink_query_served(x->g->link);
  if (x->stream)
    query(x, now);
}

/* Refuses a stream whose version cannot be found out, whatever is answered. Returns whether it was refused. */
static int refuse_unresumable(pw_exchange *x) {
  if (!x->route->is_resumable)
    refuse_unknown(x, "streams of the route cannot be resumed", 0);
  else if (!x->stream && !leads_to_one_service(x->route))
    refuse_unknown(
        x, "the request does not name the attempt that began the stream", 0);
  else
    return 0;
  return 1;
}

int pwexi_resume_stream(pw_exchange *x) {
  int64_t now = pwclock_ms();
  pw_origin origin;
  if (!is_resumption(x))
    return 0;
  if (x->request_info.resumes.p && x->request_info.resumes.n)
    x->stream = stream_of(x, x->request_info.resumes);
  if (refuse_unresumable(x))
    return 1;
  if (x->stream && pworigins_find(x->g->origins, x->stream, now, &origin))
    continue_stream(x, &origin, origin.is_own ? "own" : "announced");
  else
    begin_query(x, now);
  return 1;
}

/* --- answers of other gateways and of control instances --- */

/* Refuses a stream if all that were queried for it have answered and none of them knows it. */
static void refuse_if_unknown(pw_exchange *x) {
  if (!x->nqueried || count_unanswered(x) || x->served_query ||
      !is_settled(x->g, pwclock_ms()))
    return;
  pwexi_leave_origin_queue(x);
  refuse_unknown(x, "no instance knows the version that began the stream", 0);
}

/* Goes on with a stream after the leader has confirmed the recorded versions. */
static void use_confirmed(pw_exchange *x) {
  pw_origin origin = {0};
  pw_gate_served served =
      pwgate_served(x->g, x->service->name, &origin.version);
  x->served_query = 0;
  if (served == PWGATE_SERVED_ONE) {
    pwexi_leave_origin_queue(x);
    continue_stream(x, &origin, "only-version");
  } else if (x->stream) {
    refuse_if_unknown(x);
  } else {
    pwexi_leave_origin_queue(x);
    refuse_unknown(
        x, "the request does not name the attempt that began the stream",
        served == PWGATE_SERVED_UNKNOWN ? PWEX_RETRY_NO_TARGET_MS : 0);
  }
}

void pwexchange_served_confirmed(pw_gate *g, uint64_t query) {
  pw_exchange *x, *next;
  DL_FOREACH_SAFE(g->origin_waiters, x, next) {
    if (x->served_query && x->served_query <= query)
      use_confirmed(x);
  }
}

/* An instance has answered that it does not know the stream. */
static void note_unknown(pw_exchange *x, uint64_t from) {
  for (int i = 0; i < x->nqueried; i++)
    if (x->queried[i] == from)
      x->queried[i] = 0;
  refuse_if_unknown(x);
}

void pwexchange_origin_answered(pw_gate *g, uint64_t stream, uint64_t from,
                                const pw_origin *origin) {
  pw_exchange *x, *next;
  DL_FOREACH_SAFE(g->origin_waiters, x, next) {
    if (x->stream != stream)
      continue;
    if (origin) {
      pwexi_leave_origin_queue(x);
      pworigins_note(g->origins, stream, origin->version, 0, pwclock_ms());
      pwcount_add(g->p->counters, PWC_GW_STREAM_FOUND, 1);
      continue_stream(x, origin, "queried");
    } else {
      note_unknown(x, from);
    }
  }
}

/* --- periodic work --- */

void pwexchange_sweep_origins(pw_gate *g, int64_t now) {
  pworigins_tick(g->origins, now);
  pwcount_set(g->p->counters, PWC_GW_STREAM_ORIGINS,
              (int64_t)pworigins_count(g->origins));
}

void pwexchange_check_origins(pw_gate *g, int64_t now) {
  pw_exchange *x, *next;
  DL_FOREACH_SAFE(g->origin_waiters, x, next) {
    if (now - x->queried_at >= QUERY_AGAIN_MS)
      repeat_query(x, now);
  }
}
