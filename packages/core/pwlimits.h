/* pwlimits.h: limits and defaults of the whole system, in one place. */
#ifndef PWLIMITS_H
#define PWLIMITS_H

/* Bytes of the longest name of an instance, target, workspace, model or service, with its zero. */
#define PW_NAME_MAX 64

/* Longest chat id or Idempotency-Key of a caller, in bytes. */
#define PW_KEY_MAX 128

/* Longest request body that an entry accepts, in bytes (default of entry.max_body_bytes). */
#define PW_BODY_MAX (1024 * 1024)

/* A longer request body, bytes, may not fit into the receive buffer of a target that does not read it. */
#define PW_LONG_BODY (32 * 1024)

/* Share of the memory of a process that its connections may hold; see pwmemory.h. */
#define PW_MEMORY_SHARE 0.5

/* Deepest nesting of JSON accepted from callers. */
#define PW_JSON_DEPTH 64

/* Flow control between an agent and an entry: bytes of an answer that may be sent before the caller
** has read them. Above that the agent stops reading from the engine. */
#define PW_STREAM_WINDOW (64 * 1024)

/* Longest answer recorded in the once-ledger for replay, in bytes. */
#define PW_ONCE_RECORD_MAX 4096

/* How long the once-ledger remembers a key, in ms: the default of the policy's once_keep_s. */
#define PW_ONCE_KEEP_MS (24ULL * 3600 * 1000)

/* Memory limits of the once-ledger. PW_ONCE_MAX: claims; at that number new ones are refused.
** PW_ONCE_OPEN_MAX: claims without an answer. PW_ONCE_ANSWERS: answers kept for replay. A claim
** takes about 500 bytes and its answer; once the answer is dropped, 24 bytes and 8 of index. */
#define PW_ONCE_MAX 1000000
#define PW_ONCE_OPEN_MAX 32768
#define PW_ONCE_ANSWERS 32768

/* Released claims that the once-ledger remembers, so that late copies of them are recognised. */
#define PW_ONCE_GIVEN_BACK 8192

/* Total bytes of the answers that the once-ledger keeps for replay. */
#define PW_ONCE_ANSWER_BYTES (8UL * 1024 * 1024)

/* How long an open claim accepts its answer, in ms: the longest deadline, and as long again for a
** record that arrives late. */
#define PW_ONCE_OPEN_MS (2ULL * PW_DEADLINE_MAX)

/* Results of resource changes that are kept, so that a resent change gets the same result. */
#define PW_RESEND_MAX 8192

/* Tombstones of deleted resources that are kept, so that a delta can include deletions. */
#define PW_TOMBSTONE_MAX 8192

/* Default and longest deadline of a request, in ms. */
#define PW_DEADLINE_DEFAULT 120000
#define PW_DEADLINE_MAX 3600000

/* Hash slots of a pool's placement table (a power of two), and how many candidate targets each slot
** ranks. See docs/design/placement.md. */
#define PW_PLACEMENT_SLOTS 131072
#define PW_PLACEMENT_RANKS 4

/* Limits per request that bound the load of retries: attempts, the first one included, and hops,
** which follow a refusal with proof that the request was not run. */
#define PW_ATTEMPTS_MAX 3
#define PW_HOPS_MAX 12

/* Other control instances that one instance keeps track of, those outside of the group included. */
#define PW_CONTROL_MAX 64

/* Services whose rollout is kept; an order for one more service is refused. */
#define PW_ROLLOUTS_MAX 64

/* Quarantine: a request during which so many targets crashed is not sent to any target for so long
** (ms). One or two crashes also happen during harmless requests (in a large outage one target in
** 15 crashes at once); a third is the most that users of a fleet accept. Ten minutes outlast callers
** that retry. */
#define PW_QUARANTINE_CRASHES 3
#define PW_QUARANTINE_MS (600LL * 1000)

/* Longest hold-off that a target can ask for, in ms. A longer one is cut to a day: after that the
** target is probably another incarnation, or the value was never a duration. */
#define PW_HOLD_OFF_MAX_MS (24LL * 3600 * 1000)

/* Retry budget of an entry: retries that each success earns, and the most that can be saved up,
** which is also what a process starts with. */
#define PW_RETRY_SHARE 0.05
#define PW_RETRY_RESERVE 10.0

/* Attempt ids that an agent remembers, so that it refuses a second arrival of one. */
#define PW_SEEN_MAX 65536

/* ZeroMQ: messages queued per peer, and the idle time before TCP keepalive, in s. ZeroMQ's own
** heartbeats are off: on thousands of idle links they would exceed the budget of control bytes.
** Hello and Ping messages detect lost peers instead. */
#define PW_WIRE_HWM 20000
#define PW_WIRE_KEEPALIVE_S 30

/* A link whose peer acknowledges nothing for PW_WIRE_LOST_MS is closed, and a connection that is
** not established after PW_WIRE_CONNECT_MS is tried again. After a longer network cut the link is
** then a new one and does not wait for TCP, which retransmits only after 6 or 12 s. */
#define PW_WIRE_LOST_MS 1500
#define PW_WIRE_CONNECT_MS 600

/* Links between entry and agent (ms). A Run is sent only on a link with a message received within
** PW_LINK_FRESH. A silent link with requests on it is pinged after PW_LINK_PING and counts as lost after
** PW_LINK_LOST. The peer of a new link must answer within PW_LINK_OPEN. */
#define PW_LINK_FRESH 2000
#define PW_LINK_PING 500
#define PW_LINK_LOST 3000
#define PW_LINK_OPEN 600

/* The distribution tree (ms). A child that sent nothing for PW_CHILD_KEEP is removed: its stale_ms is
** shorter, so the child counts itself as cut off by then. A parent that sends nothing for PW_PARENT_LOST is
** replaced by the next one. */
#define PW_CHILD_KEEP 15000
#define PW_PARENT_LOST 1500

/* Budget of a parent for answers to its children's Hellos, in bytes per second, and the shortest
** and longest interval between Hellos of a child (ms), which follows from it. */
#define PW_FEED_BYTES_PER_S 6000
#define PW_HELLO_MS 250
#define PW_HELLO_MAX_MS 2000

/* Longest message between processes, in bytes. */
#define PW_WIRE_MAX (64 * 1024 * 1024)

/* Events that a process keeps for /v1/events. */
#define PW_EVENTS 4096

/* Pointers that an agent keeps to chats which were served away from their home target, and for how
** long (ms). */
#define PW_POINTERS_MAX 4096
#define PW_POINTER_KEEP_MS (2LL * 3600 * 1000)

/* A gateway keeps a target's load below this share of the bound that gateway.load_times sets, plus
** a few requests (pwpick_extra). The margin is needed because each gateway learns of the requests
** of others a little late. */
#define PW_GW_BOUND_SHARE 0.8

/* The same bound, with the mean load taken over all live targets, including the idle ones of evacuated
** availability zones: share of the bound, and number of additional requests. */
#define PW_GW_BOUND_ALL_SHARE 0.95
#define PW_GW_BOUND_ALL_EXTRA 3.0

#endif
