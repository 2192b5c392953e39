/* fake_service.c: a stand-in plain service for tests. It counts how often each request ran, and has faults. */
#define _GNU_SOURCE
#include "pwbuf.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <uthash.h>

#define HEAD_MAX 16384

typedef struct run {
  char body[256];
  int count;
  UT_hash_handle hh;
} run;

static struct {
  pthread_mutex_t lock;
  run *runs;
  int total, most;
  int close_second; /* close instead of answering further requests of a connection */
  int close_next; /* run, then close without an answer, for this many requests */
  int grey; /* answer this many crashing requests with 500 instead of crashing */
  int shed;       /* refuse this many, with the header that they were not run */
  int hold_off_s; /* Retry-After of these refusals, seconds */
  int refused;
  int delay_ms;
  int ends_early; /* answers calls with long bodies before it reads these: part of an unframed answer, FIN, a reset */
  int unframed;   /* answers have neither a length nor chunks */
  int endless; /* answers calls with bytes without end: an index into endless_parts, 0: does not */
  char status_line[64]; /* first line of answers to calls; "" is that of 200 */
  char received
      [512]; /* head of the last request that was run or refused, as far as it fits */
} service = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void count(const char *body) {
  run *r;
  pthread_mutex_lock(&service.lock);
  HASH_FIND_STR(service.runs, body, r);
  if (!r) {
    r = pw_alloc(sizeof *r);
    pw_copy(r->body, sizeof r->body, body);
    HASH_ADD_STR(service.runs, body, r);
  }
  r->count++;
  service.total++;
  if (r->count > service.most)
    service.most = r->count;
  pthread_mutex_unlock(&service.lock);
}

#define LONG_BODY 100000 /* bytes */
#define RESET_S 1        /* time from the FIN to the reset */

/* Sends part of an answer without a length and a FIN; its connection is reset a second later. */
static void end_early(int fd) {
  struct linger hard = {.l_onoff = 1, .l_linger = 0};
  struct timespec ts = {.tv_sec = RESET_S};
  dprintf(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart");
  shutdown(fd, SHUT_WR);
  nanosleep(&ts, NULL);
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

/* Reads one request and sets *body; returns 0 when the connection has ended. */
static int read_request(int fd, char *buf, char **body) {
  size_t n = 0;
  char *end = NULL;
  while (n < HEAD_MAX - 1 && !end) {
    ssize_t k = read(fd, buf + n, HEAD_MAX - 1 - n);
    if (k <= 0)
      return 0;
    n += (size_t)k;
    buf[n] = 0;
    end = strstr(buf, "\r\n\r\n");
  }
  if (!end)
    return 0;
  const char *len = strcasestr(buf, "content-length:");
  size_t want = len ? strtoul(len + 15, NULL, 10) : 0;
  if (want > LONG_BODY && service.ends_early) {
    end_early(fd);
    return 0;
  }
  *body = end + 4;
  size_t have = n - (size_t)(*body - buf);
  while (have < want && n < HEAD_MAX - 1) {
    ssize_t k = read(fd, buf + n, HEAD_MAX - 1 - n);
    if (k <= 0)
      return 0;
    n += (size_t)k;
    have += (size_t)k;
  }
  (*body)[want] = 0;
  return 1;
}

static void answer_line(int fd, const char *first, const char *text) {
  char out[HEAD_MAX + 256];
  char length[40] = "";
  if (!service.unframed)
    snprintf(length, sizeof length, "Content-Length: %zu\r\n", strlen(text));
  int n =
      snprintf(out, sizeof out, "%s\r\nContent-Type: text/plain\r\n%s\r\n%s",
               first, length, text);
  ssize_t done = write(fd, out, (size_t)n);
  (void)done;
}

#define AND_SO_ON                                                              \
  "and so on and so on and so on and so on and so on " /* 50 bytes */

/* What an answer without end begins with, and what is repeated until the connection is closed. */
static const struct {
  const char *begin, *piece;
} endless_parts[] = {
    {NULL, NULL},
    {"HTTP/1.1 200 OK\r\n", "X-Filler: and so on\r\n"},
    {"HTTP/1.1 200 OK\r\nX-Filler: ", "and so on "},
    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "64\r\n" AND_SO_ON AND_SO_ON "\r\n"},
    {"HTTP/1.1 200 OK\r\n\r\n", "and so on "},
};
#define ENDLESS_COUNT (int)(sizeof endless_parts / sizeof endless_parts[0])
#define ENDLESS_BYTES 65536 /* of one write */

static int write_all(int fd, const char *data, size_t n) {
  while (n > 0) {
    ssize_t k = write(fd, data, n);
    if (k <= 0)
      return -1;
    data += k;
    n -= (size_t)k;
  }
  return 0;
}

/* Sends an answer without end, until the caller closes. */
static void answer_endless(int fd, int kind) {
  const char *begin = endless_parts[kind].begin,
             *piece = endless_parts[kind].piece;
  size_t n = strlen(piece), used = ENDLESS_BYTES - ENDLESS_BYTES % n;
  char *bytes = pw_alloc(used);
  for (size_t i = 0; i < used; i++)
    bytes[i] = piece[i % n];
  int rc = write_all(fd, begin, strlen(begin));
  while (rc == 0)
    rc = write_all(fd, bytes, used);
  free(bytes);
}

static void answer(int fd, const char *text) {
  answer_line(fd, "HTTP/1.1 200 OK", text);
}

/* Sets the first line of answers to calls from the URL, in which "+" stands for a blank. */
static void set_status_line(const char *head) {
  const char *from = strchr(head, '?') + 1;
  size_t n = strcspn(from, " ");
  n = n < sizeof service.status_line ? n : sizeof service.status_line - 1;
  memcpy(service.status_line, from, n);
  service.status_line[n] = 0;
  for (char *c = service.status_line; *c; c++)
    *c = *c == '+' ? ' ' : *c;
}

static int number(const char *s, const char *name, int old) {
  const char *p = strstr(s, name);
  return p ? atoi(p + strlen(name)) : old;
}

/* Answers one request; returns 0 when the connection is to be closed. */
static int serve(int fd, const char *head, const char *body, int first) {
  char text[HEAD_MAX];
  if (strstr(head, " /stats ")) {
    snprintf(text, sizeof text, "{\"total\": %d, \"most\": %d, \"shed\": %d}",
             service.total, service.most, service.refused);
    answer(fd, text);
    return 1;
  }
  if (strstr(head, " /fault")) {
    service.close_second = number(head, "close_second=", service.close_second);
    service.close_next = number(head, "close_next=", service.close_next);
    service.grey = number(head, "grey=", service.grey);
    service.shed = number(head, "shed=", service.shed);
    service.hold_off_s = number(head, "hold_off=", service.hold_off_s);
    service.delay_ms = number(head, "delay_ms=", service.delay_ms);
    service.ends_early = number(head, "ends_early=", service.ends_early);
    service.unframed = number(head, "unframed=", service.unframed);
    service.endless = number(head, "endless=", service.endless);
    answer(fd, "{}");
    return 1;
  }
  if (strstr(head, " /status_line?")) {
    set_status_line(head);
    answer(fd, "{}");
    return 1;
  }
  if (strstr(head, " /received ")) {
    answer(fd, service.received);
    return 1;
  }
  pw_copy(service.received, sizeof service.received, head);
  if (!first && service.close_second)
    return 0;
  if (service.shed > 0) {
    service.shed--;
    service.refused++;
    dprintf(fd,
            "HTTP/1.1 503 X\r\nX-Not-Run: shed\r\nRetry-After: %d\r\n"
            "Content-Length: 0\r\n\r\n",
            service.hold_off_s);
    return 1;
  }
  int crashes = !strncmp(body, "crash", 5);
  if (crashes && service.grey > 0) {
    service.grey--;
    dprintf(fd, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
    return 1;
  }
  if (crashes) /* when its run starts */
    _exit(1);
  count(body);
  if (service.delay_ms) {
    struct timespec ts = {service.delay_ms / 1000,
                          service.delay_ms % 1000 * 1000000L};
    nanosleep(&ts, NULL);
  }
  if (service.close_next > 0) {
    service.close_next--;
    return 0;
  }
  if (service.endless > 0 && service.endless < ENDLESS_COUNT) {
    answer_endless(fd, service.endless);
    return 0;
  }
  snprintf(text, sizeof text, "receipt for [%.4000s]", body);
  if (service.status_line[0])
    answer_line(fd, service.status_line, text);
  else
    answer(fd, text);
  return !service.unframed;
}

static void *connection(void *arg) {
  int fd = (int)(intptr_t)arg;
  char *buf = pw_alloc(HEAD_MAX);
  char *body;
  int first = 1;
  while (read_request(fd, buf, &body)) {
    char *head_end = body - 4;
    char head[512];
    *head_end = 0;
    pw_copy(head, sizeof head, buf);
    if (!serve(fd, head, body, first))
      break;
    first = 0;
  }
  free(buf);
  close(fd);
  return NULL;
}

int main(int argc, char **argv) {
  int port = argc > 1 ? atoi(argv[1]) : 0;
  int yes = 1;
  signal(SIGPIPE, SIG_IGN);
  int ls = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(ls, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  struct sockaddr_in at = {.sin_family = AF_INET,
                           .sin_port = htons((uint16_t)port),
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  if (bind(ls, (struct sockaddr *)&at, sizeof at) != 0 || listen(ls, 512) != 0)
    return 1;
  for (;;) {
    int fd = accept(ls, NULL, NULL);
    pthread_t t;
    if (fd < 0)
      continue;
    if (pthread_create(&t, NULL, connection, (void *)(intptr_t)fd) == 0)
      pthread_detach(t);
    else
      close(fd);
  }
}
