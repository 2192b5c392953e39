/* clients-2.c: a stand-in for clients of a front. Some look something up again and again, each over a connection that it
** keeps; others upload bodies, so many at once, all together at the rate of the front's link.
**
** clients-2 IP:PORT LOOKUPS UPLOADS AT_ONCE BYTES
** A line for each request: its kind, its id and the status of its answer, or "closed" when the connection was closed
** before its answer. Lookups end LOOKUP_AFTER_MS after the last upload. */
#include "pwclock.h"
#include "pwtcp.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINK_BYTES_PER_MS 125000 /* 1,000 Mbit/s */
#define LOOKUP_AFTER_MS 3000
#define END_MS 60000
#define CLIENTS_MAX 512
#define HEAD_BYTES 512

typedef struct client {
  int fd; /* -1: it has no connection */
  int is_upload;
  int is_waiting; /* the request is sent, its answer is due */
  int id;
  size_t left; /* bytes of the body that are not sent yet */
  char answer[HEAD_BYTES];
  size_t nanswer;
} client;

static struct sockaddr_in front;
static client clients[CLIENTS_MAX];
static int nclients, last_id, uploads_left, uploads_open;
static size_t upload_bytes;
static char block[LINK_BYTES_PER_MS];

static void report(const client *c, const char *what) {
  printf("%s %d %s\n", c->is_upload ? "upload" : "lookup", c->id, what);
}

static void hang_up(client *c) {
  if (c->fd >= 0)
    close(c->fd);
  c->fd = -1;
  c->is_waiting = 0;
  c->left = 0;
}

static void send_head(client *c) {
  char head[HEAD_BYTES];
  size_t body = c->is_upload ? upload_bytes : 0;
  c->id = ++last_id;
  int n =
      snprintf(head, sizeof head,
               "POST /%s/x HTTP/1.1\r\nHost: ficu95.example\r\n"
               "X-Request-Id: %016x\r\nX-Deadline-Ms: 10000\r\n"
               "Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: %zu\r\n\r\n",
               c->is_upload ? "file" : "look", c->id, body);
  c->left = body;
  c->is_waiting = 1;
  c->nanswer = 0;
  if (send(c->fd, head, (size_t)n, MSG_NOSIGNAL) != n) {
    report(c, "closed");
    hang_up(c);
  }
}

static void begin(client *c) {
  if (c->fd < 0) {
    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(c->fd, (const struct sockaddr *)&front, sizeof front) != 0) {
      hang_up(c);
      return;
    }
  }
  send_head(c);
}

/* Sends at most `room` bytes of the body; returns how many. */
static size_t send_body(client *c, size_t room) {
  size_t n = c->left < room ? c->left : room;
  ssize_t sent = send(c->fd, block, n, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN) {
    report(c, "closed");
    hang_up(c);
  }
  if (sent <= 0)
    return 0;
  c->left -= (size_t)sent;
  return (size_t)sent;
}

/* Handles what has arrived on a connection. Answers of the stand-in replica are short and come in one piece. */
static void receive(client *c) {
  char status[16] = "";
  ssize_t n =
      recv(c->fd, c->answer + c->nanswer, sizeof c->answer - 1 - c->nanswer, 0);
  if (n <= 0) {
    if (c->is_waiting)
      report(c, "closed");
    hang_up(c);
    return;
  }
  c->nanswer += (size_t)n;
  c->answer[c->nanswer] = 0;
  if (!strstr(c->answer, "\r\n\r\n"))
    return;
  sscanf(c->answer, "HTTP/1.1 %15s", status);
  report(c, status);
  c->is_waiting = 0;
  if (c->is_upload || strstr(c->answer, "Connection: close"))
    hang_up(c);
}

static void receive_all(int ms) {
  struct pollfd p[CLIENTS_MAX];
  for (int i = 0; i < nclients; i++)
    p[i] = (struct pollfd){.fd = clients[i].fd, .events = POLLIN};
  if (poll(p, (nfds_t)nclients, ms) <= 0)
    return;
  for (int i = 0; i < nclients; i++)
    if (p[i].revents && clients[i].fd >= 0)
      receive(&clients[i]);
}

/* Begins requests of clients that have none, and counts the open uploads. */
static void begin_all(int may_look_up) {
  uploads_open = 0;
  for (int i = 0; i < nclients; i++) {
    client *c = &clients[i];
    if (c->is_waiting) {
      uploads_open += c->is_upload;
      continue;
    }
    if (c->is_upload ? uploads_left == 0 : !may_look_up)
      continue;
    begin(c);
    uploads_left -= c->is_upload;
    uploads_open += c->is_upload && c->is_waiting;
  }
}

/* Shares what the link carries in `ms` among the uploads. */
static void send_bodies(int64_t ms) {
  static int turn;
  size_t room = (size_t)ms * LINK_BYTES_PER_MS;
  size_t share = uploads_open ? room / (size_t)uploads_open + 1 : 0;
  for (int i = 0; i < nclients && room > 0; i++) {
    client *c = &clients[(turn + i) % nclients];
    size_t most = share < room ? share : room;
    if (c->fd >= 0 && c->left > 0)
      room -= send_body(c, most < sizeof block ? most : sizeof block);
  }
  turn++;
}

static int read_arguments(int argc, char **argv) {
  if (argc != 6 || pwtcp_address(argv[1], &front) != 0)
    return -1;
  int lookups = atoi(argv[2]), at_once = atoi(argv[4]);
  uploads_left = atoi(argv[3]);
  upload_bytes = (size_t)atol(argv[5]);
  nclients = lookups + at_once;
  if (nclients > CLIENTS_MAX)
    return -1;
  for (int i = 0; i < nclients; i++)
    clients[i] = (client){.fd = -1, .is_upload = i >= lookups};
  return 0;
}

int main(int argc, char **argv) {
  if (read_arguments(argc, argv) != 0) {
    fputs("clients-2 IP:PORT LOOKUPS UPLOADS AT_ONCE BYTES\n", stderr);
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  int64_t began = pwclock_ms(), now = began, last_upload = began;
  while (now - began < END_MS) {
    int may_look_up = now - last_upload < LOOKUP_AFTER_MS;
    begin_all(may_look_up);
    if (uploads_left > 0 || uploads_open > 0)
      last_upload = now;
    int is_any_waiting = uploads_open;
    for (int i = 0; i < nclients; i++)
      is_any_waiting |= clients[i].is_waiting;
    if (!may_look_up && !is_any_waiting)
      break;
    receive_all(1);
    int64_t before = now;
    now = pwclock_ms();
    send_bodies(now - before);
  }
  return 0;
}
