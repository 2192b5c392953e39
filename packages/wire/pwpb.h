/* pwpb.h: what protobuf-c leaves out: copies of messages. */
#ifndef PWPB_H
#define PWPB_H

#include <protobuf-c/protobuf-c.h>

/* A deep copy of any message, freed by its own free function. */
void *pwpb_copy(const ProtobufCMessage *m);

/* The same, of the message that p points to. */
#define PWPB_COPY(p) pwpb_copy(&(p)->base)

#endif
