/* pwmail.h: a mailbox: a queue to which many threads post and from which one thread takes. */
#ifndef PWMAIL_H
#define PWMAIL_H

/* First member of every item. */
typedef struct pw_mail_item {
  void *next[2]; /* space for the queue's link */
} pw_mail_item;

typedef struct pw_mail pw_mail;

pw_mail *pwmail_new(void);
void pwmail_free(pw_mail *m);

/* Posts an item; never blocks. */
void pwmail_post(pw_mail *m, pw_mail_item *item);

/* Posts an item without waking the owner, which finds it when it next takes items; for work that is
** not urgent. */
void pwmail_post_nowake(pw_mail *m, pw_mail_item *item);

/* Takes the oldest item; NULL: empty. Only one thread may take items. */
pw_mail_item *pwmail_take(pw_mail *m);

/* Descriptor that is readable when items may wait. */
int pwmail_fd(const pw_mail *m);

/* Makes the descriptor unreadable again; to be called before taking items, so that none is
** missed. */
void pwmail_clear(pw_mail *m);

#endif
