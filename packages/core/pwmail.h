/* pwmail.h: a mailbox: many threads post, one thread takes. */
#ifndef PWMAIL_H
#define PWMAIL_H

/* An item begins with this. */
typedef struct pw_mail_item {
  void *next[2]; /* room for the queue's link */
} pw_mail_item;

typedef struct pw_mail pw_mail;

pw_mail *pwmail_new(void);
void pwmail_free(pw_mail *m);

/* Posts an item; never blocks. */
void pwmail_post(pw_mail *m, pw_mail_item *item);

/* The same for what is in no hurry: the owner is not woken, and finds it when it next
** looks. */
void pwmail_leave(pw_mail *m, pw_mail_item *item);

/* Takes the oldest item, or NULL. Only one thread may take. */
pw_mail_item *pwmail_take(pw_mail *m);

/* Descriptor that polls readable while items may wait. */
int pwmail_fd(const pw_mail *m);

/* Clears the readiness of the descriptor; call it before taking. */
void pwmail_clear(pw_mail *m);

#endif
