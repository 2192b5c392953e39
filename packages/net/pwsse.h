/* pwsse.h: server-sent events (text/event-stream): where events end, and the id of the last one.
**
** Pure: bytes come in as arguments. A line ends with LF, CR or CR LF; an empty line ends an event. */
#ifndef PWSSE_H
#define PWSSE_H

#include <stddef.h>

/* Position of a reader within a stream. {0}: at its beginning. */
typedef struct pw_sse {
  int in_line;    /* bytes of a line have come, but not its end */
  int in_comment; /* that line is a comment */
  int after_cr;   /* the last byte was a CR, whose line end may go on with LF */
  int in_event;   /* complete lines of an event have come, but not its end */
  long events;    /* events that have ended */
} pw_sse;

/* Reads bytes of a stream. Returns how many of them lie before the last position at which no event is
** unfinished; 0: there is none among them. */
size_t pwsse_read(pw_sse *s, const char *data, size_t n);

/* Whether no event and no line is unfinished. A stream that ends elsewhere has been broken off. */
int pwsse_is_between(const pw_sse *s);

/* Finds the value of the last and of the first id field in complete events, and sets its length. NULL: there is none. */
const char *pwsse_last_id(const char *data, size_t n, size_t *length);
const char *pwsse_first_id(const char *data, size_t n, size_t *length);

/* Whether both ids are numbers and `id` does not come after `last`: events are repeated. */
int pwsse_goes_back(const char *id, size_t length, const char *last,
                    size_t last_length);

#endif
