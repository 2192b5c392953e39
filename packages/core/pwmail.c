/* pwmail.c: a mailbox: liburcu's wait-free queue, with an eventfd to wake the owner. */
#include "pwmail.h"

#include "pwbuf.h"

#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu/wfcqueue.h>

struct pw_mail {
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  int fd;
};

_Static_assert(sizeof(struct cds_wfcq_node) <= sizeof(pw_mail_item),
               "the queue's link fits an item");

pw_mail *pwmail_new(void) {
  pw_mail *m = pw_alloc(sizeof *m);
  cds_wfcq_init(&m->head, &m->tail);
  m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  return m;
}

void pwmail_free(pw_mail *m) {
  if (!m)
    return;
  cds_wfcq_destroy(&m->head, &m->tail);
  close(m->fd);
  free(m);
}

void pwmail_post_nowake(pw_mail *m, pw_mail_item *item) {
  struct cds_wfcq_node *node = (struct cds_wfcq_node *)item;
  cds_wfcq_node_init(node);
  cds_wfcq_enqueue(&m->head, &m->tail, node);
}

void pwmail_post(pw_mail *m, pw_mail_item *item) {
  pwmail_post_nowake(m, item);
  uint64_t one = 1;
  ssize_t done = write(m->fd, &one, sizeof one);
  (void)done;
}

pw_mail_item *pwmail_take(pw_mail *m) {
  struct cds_wfcq_node *node = __cds_wfcq_dequeue_blocking(&m->head, &m->tail);
  return (pw_mail_item *)node;
}

int pwmail_fd(const pw_mail *m) {
  return m->fd;
}

void pwmail_clear(pw_mail *m) {
  uint64_t n;
  ssize_t done = read(m->fd, &n, sizeof n);
  (void)done;
}
