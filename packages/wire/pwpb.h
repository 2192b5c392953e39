/* pwpb.h: deep copies of messages, which protobuf-c does not provide. */
#ifndef PWPB_H
#define PWPB_H

#include <protobuf-c/protobuf-c.h>

/* A deep copy of any message, to be freed by the free function of its type. */
void *pwpb_copy(const ProtobufCMessage *m);

/* A deep copy of the message that p points to, of a specific type. */
#define PWPB_COPY(p) pwpb_copy(&(p)->base)

#endif
