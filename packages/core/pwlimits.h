/* pwlimits.h: limits and defaults of the whole system, in one place. */
#ifndef PWLIMITS_H
#define PWLIMITS_H

/* Longest name of an instance, target, workspace, model or service. */
#define PW_NAME_MAX 64

/* Longest caller-given chat id or Idempotency-Key, in bytes. */
#define PW_KEY_MAX 128

/* Bytes of a request body an entry takes (setting entry.max_body). */
#define PW_BODY_MAX (1024 * 1024)

/* Deepest nesting of JSON taken from outside. */
#define PW_JSON_DEPTH 64

/* Bytes of an answer under way between an agent and its caller that the
** caller has not taken yet; past that the agent stops reading the engine. */
#define PW_WINDOW (64 * 1024)

/* Largest answer kept in the once-ledger to be given again, in bytes. */
#define PW_RECORD_MAX 4096

/* How long a key may not be claimed again, in milliseconds: the default of
** policy's once_keep_s. */
#define PW_ONCE_KEEP_MS (24ULL * 3600 * 1000)

/* The once-ledger: claims at most, past that new ones are refused; open ones of
** them; answers kept to be given again, and their bytes. A claim takes 24 bytes
** and 8 of index once its answer went, about 500 and the answer before. */
#define PW_ONCE_MAX 1000000
#define PW_ONCE_OPEN_MAX 32768
#define PW_ONCE_ANSWERS 32768

/* Claims that were given back, of which late copies are told apart. */
#define PW_ONCE_GIVEN_BACK 8192
#define PW_ONCE_ANSWER_BYTES (8UL * 1024 * 1024)

/* An open claim's answer cannot be recorded any more after this (ms): the
** longest deadline, and as long again for a record that is sent late. */
#define PW_ONCE_OPEN_MS (2ULL * PW_DEADLINE_MAX)

/* Results kept for resends of resource changes. */
#define PW_RESEND_MAX 8192

/* Tombstones kept so that deltas can name deletions. */
#define PW_TOMBSTONE_MAX 8192

/* Default and longest deadline of a request, in milliseconds. */
#define PW_DEADLINE_DEFAULT 120000
#define PW_DEADLINE_MAX 3600000

/* A target's slots of the placement table a pool keeps (power of two), and
** how many candidates each slot ranks. See docs/design/placement.md. */
#define PW_SLOTS 131072
#define PW_RANKS 4

/* Attempts of one request, first included, and hops between targets that
** are refusals with proof. */
#define PW_ATTEMPTS_MAX 3
#define PW_HOPS_MAX 12

/* Control instances that one knows besides itself, those outside of the group included. */
#define PW_CONTROL_MAX 64

/* Services whose roll-outs are kept; an order for one more is refused. */
#define PW_ROLLOUTS_MAX 64

/* A request under which so many targets ended goes to none any more, for so long (ms). One or two
** ends happen to requests that are well (a target in 15 ends at once on a bad day); the third is the
** last that users of a fleet accept. Ten minutes outlast the callers who come again. */
#define PW_QUARANTINE_ENDS 3
#define PW_QUARANTINE_MS (600LL * 1000)

/* A target that asks to be left alone is, for so long at most (ms): past a day it is more likely to be
** another start, or what it said no time at all. */
#define PW_HOLD_OFF_MAX_MS (24LL * 3600 * 1000)

/* Share of the successes that may be spent on retries, and the reserve. */
#define PW_RETRY_SHARE 0.05
#define PW_RETRY_RESERVE 10.0

/* Attempt ids an agent remembers so as to refuse a second arrival. */
#define PW_SEEN_MAX 65536

/* ZeroMQ: messages queued per peer, and idle seconds before TCP's keepalive.
** ZeroMQ's own heartbeats stay off: on thousands of idle links they would cost
** more than the control budget. Hello and Ping do their work. */
#define PW_WIRE_HWM 20000
#define PW_WIRE_KEEPALIVE_S 30

/* A link whose other side acknowledges nothing for so long is given up, and a
** connection that does not come up is tried again after so long, ms. A link that
** was cut for longer is then new, and needs not wait for TCP, which tries again
** after 6 or 12 s. */
#define PW_WIRE_LOST_MS 1500
#define PW_WIRE_CONNECT_MS 600

/* Links between entry and agent (ms): a Run goes out only on a link heard
** within LINK_FRESH, a silent link with work on it is asked after LINK_ASK and
** given up after LINK_LOST; a cold link has LINK_OPEN to answer. */
#define PW_LINK_FRESH 2000
#define PW_LINK_ASK 500
#define PW_LINK_LOST 3000
#define PW_LINK_OPEN 600

/* The distribution tree (ms): a child that said nothing for CHILD_KEEP has cut
** itself off (its stale_ms is less) and no longer counts; a parent that says
** nothing for PARENT_LOST is left for the next. */
#define PW_CHILD_KEEP 15000
#define PW_PARENT_LOST 1500

/* Bytes a second a parent may spend on answering its children's Hellos. */
#define PW_FEED_BYTES_PER_S 6000
#define PW_HELLO_MS 250
#define PW_HELLO_MAX_MS 2000

/* Largest message between processes, in bytes. */
#define PW_WIRE_MAX (64 * 1024 * 1024)

/* Events a process keeps for the time line. */
#define PW_EVENTS 4096

/* Pointers to displaced chats that an agent keeps, and how long (ms). */
#define PW_POINTERS_MAX 4096
#define PW_POINTER_KEEP_MS (2LL * 3600 * 1000)

/* A gateway keeps a target's load to this share of what gateway.load_times
** allows, and some requests more (pwpick_extra): each sees the others' requests
** a little late. */
#define PW_GW_BOUND_SHARE 0.8

/* The same of the mean of all that are alive, those of evacuated availability zones too, which
** have nothing to do. */
#define PW_GW_BOUND_ALL_SHARE 0.95
#define PW_GW_BOUND_ALL_EXTRA 3.0

#endif
