/* pwports.h: free ports for tests. */
#ifndef PWPORTS_H
#define PWPORTS_H

#include "pwtcp.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* A port that is free on the address at the time of the call, or -1. */
static inline int test_free_port(in_addr_t at_addr) {
  struct sockaddr_in at = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl(at_addr)};
  socklen_t len = sizeof at;
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  int rc = bind(fd, (struct sockaddr *)&at, sizeof at);
  getsockname(fd, (struct sockaddr *)&at, &len);
  close(fd);
  return rc == 0 ? ntohs(at.sin_port) : -1;
}

/* Listens on a free loopback port; sets *at and returns the descriptor. */
static inline int test_listen(struct sockaddr_in *at) {
  socklen_t len = sizeof *at;
  pwtcp_address("127.0.0.1:0", at);
  int fd = pwtcp_listen(at);
  getsockname(fd, (struct sockaddr *)at, &len);
  return fd;
}

#endif
