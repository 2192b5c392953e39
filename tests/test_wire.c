/* test_wire.c: messages between processes, and how soon a link that was silently
** cut is given up. */
#include "pwlimits.h"
#include "pwports.h"
#include "pwtest.h"
#include "pwwire.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FD_MAX 256
#define TRIES 500
#define TRY_MS 10

static pw_counters *counters;
static pw_hlc hlc;

/* Waits for a message; the condition is that it comes. */
static Pw__Envelope *receive(pw_sock *s, pw_peer *from) {
  for (int i = 0; i < TRIES; i++) {
    Pw__Envelope *e = pwwire_recv(s, from);
    if (e)
      return e;
    poll(NULL, 0, TRY_MS);
  }
  return NULL;
}

/* TCP connections of this process, and those with the time-out that gives up a
** silent link. */
static void count_links(int *links, int *bounded) {
  *links = *bounded = 0;
  for (int fd = 0; fd < FD_MAX; fd++) {
    struct sockaddr_in peer;
    socklen_t len = sizeof peer;
    if (getpeername(fd, (struct sockaddr *)&peer, &len) != 0 ||
        peer.sin_family != AF_INET)
      continue;
    unsigned ms = 0;
    len = sizeof ms;
    getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, &len);
    (*links)++;
    *bounded += ms == PW_WIRE_LOST_MS;
  }
}

static void test_links_are_bounded(void) {
  pw_settings set = {.name = "a", .keys_file = "", .trust_file = ""};
  pw_buf err = {0};
  char addr[64];
  snprintf(addr, sizeof addr, "tcp://127.0.0.1:%d",
           test_free_port(INADDR_LOOPBACK));
  pw_wire *w = pwwire_new(&set, counters, &hlc, &err);
  pw_sock *listener = pwwire_listen(w, addr, &err);
  pw_sock *dialler = pwwire_dialler(w);
  pw_peer peer, from;
  CHECK(listener != NULL && pwwire_dial(dialler, addr, &peer) == 0);
  Pw__Ping ping = PW__PING__INIT;
  Pw__Envelope out = PW_ENVELOPE(PING, ping, &ping);
  CHECK(pwwire_send(dialler, &peer, &out) == 0);
  Pw__Envelope *in = receive(listener, &from);
  CHECK(in != NULL && in->body_case == PW__ENVELOPE__BODY_PING);
  if (in)
    pw__envelope__free_unpacked(in, NULL);
  int links, bounded;
  count_links(&links, &bounded);
  CHECK(links == 2 && bounded == 2);
  pwwire_close(dialler);
  pwwire_close(listener);
  pwwire_free(w);
  pwbuf_free(&err);
  pwcount_free(counters);
}

/* A line that tells who has a document is no copy of it. 37_long_configuration saw 18 copies to 12 gateways,
** where 16 are allowed: 12, and 6 such lines, of those who were served by other gateways. */
static void test_documents_are_counted(void) {
  pw_settings set = {.name = "b", .keys_file = "", .trust_file = ""};
  pw_buf err = {0};
  char addr[64];
  snprintf(addr, sizeof addr, "tcp://127.0.0.1:%d",
           test_free_port(INADDR_LOOPBACK));
  pw_counters *own = pwcount_new();
  pw_wire *w = pwwire_new(&set, own, &hlc, &err);
  pw_sock *listener = pwwire_listen(w, addr, &err);
  pw_sock *dialler = pwwire_dialler(w);
  pw_peer peer;
  CHECK(listener != NULL && pwwire_dial(dialler, addr, &peer) == 0);
  Pw__Document d = PW__DOCUMENT__INIT;
  Pw__Envelope out = PW_ENVELOPE(DOCUMENT, document, &d);
  d.version = 2;
  d.ask = "tcp://127.0.0.1:1";
  CHECK(pwwire_send(dialler, &peer, &out) == 0);
  CHECK(pwcount_get(own, PWC_DOCUMENTS) == 0);
  CHECK(pwcount_get(own, PWC_REFERRED) == 1);
  d.ask = "";
  d.data.data = (uint8_t *)"{}";
  d.data.len = 2;
  CHECK(pwwire_send(dialler, &peer, &out) == 0);
  CHECK(pwcount_get(own, PWC_DOCUMENTS) == 1);
  CHECK(pwcount_get(own, PWC_REFERRED) == 1);
  pwwire_close(dialler);
  pwwire_close(listener);
  pwwire_free(w);
  pwbuf_free(&err);
  pwcount_free(own);
}

int main(void) {
  counters = pwcount_new();
  pwhlc_init(&hlc);
  TESTS_BEGIN("wire");
  TEST(test_links_are_bounded);
  TEST(test_documents_are_counted);
  TESTS_END();
}
