/* test_wire.c: messages between processes, and the timeout of connections that
** were cut without a reset. */
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

/* Receives a message within TRIES * TRY_MS; NULL: none came. */
static Pw__Envelope *receive(pw_sock *s, pw_peer *from) {
  for (int i = 0; i < TRIES; i++) {
    Pw__Envelope *e = pwwire_recv(s, from);
    if (e)
      return e;
    poll(NULL, 0, TRY_MS);
  }
  return NULL;
}

/* Counts the TCP connections of this process, and those whose timeout is
** PW_WIRE_LOST_MS. */
static void count_connections(int *connections, int *bounded) {
  *connections = *bounded = 0;
  for (int fd = 0; fd < FD_MAX; fd++) {
    struct sockaddr_in peer;
    socklen_t len = sizeof peer;
    if (getpeername(fd, (struct sockaddr *)&peer, &len) != 0 ||
        peer.sin_family != AF_INET)
      continue;
    unsigned ms = 0;
    len = sizeof ms;
    getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, &len);
    (*connections)++;
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
  int connections, bounded;
  count_connections(&connections, &bounded);
  CHECK(connections == 2 && bounded == 2);
  pwwire_close(dialler);
  pwwire_close(listener);
  pwwire_free(w);
  pwbuf_free(&err);
  pwcount_free(counters);
}

/* A referral to a process that has a document does not count as a copy of it.
** 37_long_configuration allows 16 copies for 12 gateways and counted 18, 6 of
** which were referrals. */
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
