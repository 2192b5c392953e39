/* pwpb.c: deep copies of messages, by packing and unpacking. */
#include "pwpb.h"

#include "pwbuf.h"

#include <stdlib.h>

void *pwpb_copy(const ProtobufCMessage *m) {
  size_t n = protobuf_c_message_get_packed_size(m);
  uint8_t *bytes = pw_alloc(n);
  protobuf_c_message_pack(m, bytes);
  void *copy = protobuf_c_message_unpack(m->descriptor, NULL, n, bytes);
  free(bytes);
  return copy;
}
