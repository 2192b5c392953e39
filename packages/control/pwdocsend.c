/* pwdocsend.c: sends the configuration document to gateways that want it. */
#include "pwdocsend.h"

#include "pwbuf.h"
#include "pwspread.h"

#include <stdlib.h>
#include <string.h>

/* A gateway that wants or holds the document. */
typedef struct receiver {
  pw_spread_peer spread; /* must be the first field: all[] points to it */
  pw_peer peer;
  uint64_t incarnation;
  /* address at which it serves documents to other gateways; "": it serves
  ** none */
  char relay[PW_NAME_MAX];
} receiver;

struct pw_docsend {
  pw_sock *listener;
  const pw_doc *doc;
  pw_spread_peer **all; /* each points into a receiver */
  size_t n, cap;
  uint64_t last_id;
};

pw_docsend *pwdocsend_new(pw_sock *listener, const pw_doc *doc) {
  pw_docsend *h = pw_alloc(sizeof *h);
  h->listener = listener;
  h->doc = doc;
  return h;
}

void pwdocsend_free(pw_docsend *h) {
  if (!h)
    return;
  for (size_t i = 0; i < h->n; i++)
    free(h->all[i]);
  free(h->all);
  free(h);
}

static receiver *receiver_at(const pw_docsend *h, size_t i) {
  return (receiver *)h->all[i];
}

static size_t find(const pw_docsend *h, const pw_peer *from,
                   uint64_t incarnation) {
  size_t i = 0;
  while (i < h->n && (receiver_at(h, i)->incarnation != incarnation ||
                      !pwwire_same_peer(&receiver_at(h, i)->peer, from)))
    i++;
  return i;
}

static receiver *add(pw_docsend *h, const pw_peer *from, uint64_t incarnation) {
  receiver *one = pw_alloc(sizeof *one);
  one->peer = *from;
  one->incarnation = incarnation;
  one->spread.id = ++h->last_id;
  if (h->n == h->cap) {
    h->cap = h->cap ? h->cap * 2 : 16;
    pw_spread_peer **larger = pw_alloc(sizeof *larger * h->cap);
    if (h->n)
      memcpy(larger, h->all, sizeof *larger * h->n);
    free(h->all);
    h->all = larger;
  }
  h->all[h->n++] = &one->spread;
  return one;
}

void pwdocsend_watch(pw_docsend *h, const pw_peer *from, uint64_t incarnation,
                     const Pw__Watch *m, int64_t now) {
  size_t i = find(h, from, incarnation);
  receiver *one = i < h->n ? receiver_at(h, i) : add(h, from, incarnation);
  uint64_t newest = pwdoc_version(h->doc);
  pw_copy(one->relay, sizeof one->relay, m->relay);
  one->spread.can_serve = m->relay[0] != 0;
  pwspread_received(&one->spread, m->site, newest, h->all, h->n);
  if (m->want && m->site < newest)
    pwspread_request(&one->spread, now);
}

void pwdocsend_drop(pw_docsend *h, const pw_peer *from, uint64_t incarnation) {
  size_t i = find(h, from, incarnation);
  if (i == h->n)
    return;
  free(h->all[i]);
  h->all[i] = h->all[--h->n];
}

static void send(pw_docsend *h, const receiver *to, Pw__Document *d) {
  Pw__Envelope e = PW_ENVELOPE(DOCUMENT, document, d);
  pwwire_send(h->listener, &to->peer, &e);
}

static void refer_to(pw_docsend *h, const receiver *to,
                     const receiver *holder) {
  Pw__Document d = PW__DOCUMENT__INIT;
  d.version = pwdoc_version(h->doc);
  d.ask = (char *)holder->relay;
  send(h, to, &d);
}

void pwdocsend_serve(pw_docsend *h, pw_pace *link, int64_t now) {
  uint64_t newest = pwdoc_version(h->doc);
  pw_spread_peer *to;
  while ((to = pwspread_next(h->all, h->n, now)) != NULL) {
    Pw__Document d = *pwdoc_packed(h->doc, to->holds);
    int from_here;
    pw_spread_peer *holder =
        pwspread_source(to, h->all, h->n, newest, d.data.len,
                        pwpace_has_room(link, now), now, &from_here);
    if (!holder && !from_here)
      return;
    pwspread_serve(to, holder, now);
    if (holder) {
      refer_to(h, (receiver *)to, (receiver *)holder);
      continue;
    }
    send(h, (receiver *)to, &d);
    pwpace_take(link, d.data.len, now);
  }
}
