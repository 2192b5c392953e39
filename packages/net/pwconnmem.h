/* pwconnmem.h: which bytes of a request a connection may keep. The connections of a loop share the account of its
** pw_tcp_loop, and ask it before they keep bytes. */
#ifndef PWCONNMEM_H
#define PWCONNMEM_H

#include "pwconn.h"

/* Whether the head being received may grow by n bytes. */
int pwconnmem_takes_head(const pw_conn *c, size_t n);

/* Makes room for n more bytes of the body, if memory allows it; returns whether it did. One body gets a part of what is
** left, so that a smaller one still finds room beside those that were there first. */
int pwconnmem_reserve_body(pw_conn *c, size_t n);

/* Whether n more bytes may be read ahead of the request in progress. */
int pwconnmem_takes_ahead(const pw_conn *c, size_t n);

/* Whether a request that is being received must be evicted: memory is short, it holds much of it, and hardly any byte of it has
** arrived lately. To be asked at each sweep; `now`: a time of pwtcp_clock. */
int pwconnmem_must_evict(pw_conn *c, int64_t now);

/* When a caller that was refused for want of memory or of connections may come back, ms. */
int64_t pwconnmem_retry_ms(const pw_conns *s);

#endif
