/* pwkeys.c: CURVE keys, and the handler of ZeroMQ's authentication requests (ZAP, RFC 27). */
#include "pwkeys.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#define KEY_TEXT 41 /* Z85 encoding of 32 bytes, and a zero byte */
#define KEY_BYTES 32
#define ZAP_PARTS 8 /* most parts read of a request */

typedef struct trusted {
  char key[KEY_TEXT];
  char addr[96];
  struct trusted *next;
} trusted;

struct pw_keys {
  char public_key[KEY_TEXT];
  char secret_key[KEY_TEXT];
  trusted *trust;
  void *zap;
  pthread_t thread;
  int started;
};

static int read_pair(pw_keys *k, const char *path, pw_buf *err) {
  FILE *f = fopen(path, "re");
  int n = 0;
  if (f) {
    n = fscanf(f, "%40s %40s", k->public_key, k->secret_key);
    fclose(f);
  }
  if (n == 2 && strlen(k->public_key) == 40 && strlen(k->secret_key) == 40)
    return 0;
  pwbuf_fmt(err,
            "%s: expected a public and a secret key of 40 characters each\n",
            path);
  return -1;
}

static int read_trust(pw_keys *k, const char *path, pw_buf *err) {
  FILE *f = fopen(path, "re");
  if (!f) {
    pwbuf_fmt(err, "%s: %s\n", path, strerror(errno));
    return -1;
  }
  char line[256];
  while (fgets(line, sizeof line, f)) {
    trusted *t = pw_alloc(sizeof *t);
    if (sscanf(line, "%40s %95s", t->key, t->addr) < 1 ||
        strlen(t->key) != 40) {
      free(t);
      continue;
    }
    t->next = k->trust;
    k->trust = t;
  }
  fclose(f);
  return 0;
}

static int is_trusted(const pw_keys *k, const uint8_t *key) {
  char text[KEY_TEXT];
  if (!zmq_z85_encode(text, key, KEY_BYTES))
    return 0;
  for (const trusted *t = k->trust; t; t = t->next)
    if (!strcmp(t->key, text))
      return 1;
  return 0;
}

static void send_reply(void *zap, const zmq_msg_t *version, const zmq_msg_t *id,
                       int is_allowed) {
  zmq_send(zap, zmq_msg_data((zmq_msg_t *)version), zmq_msg_size(version),
           ZMQ_SNDMORE);
  zmq_send(zap, zmq_msg_data((zmq_msg_t *)id), zmq_msg_size(id), ZMQ_SNDMORE);
  zmq_send(zap, is_allowed ? "200" : "400", 3, ZMQ_SNDMORE);
  zmq_send(zap, "", 0, ZMQ_SNDMORE);
  zmq_send(zap, "", 0, ZMQ_SNDMORE);
  zmq_send(zap, "", 0, 0);
}

/* Answers one request. Its parts are version, request id, domain, address, identity, mechanism
** and, for CURVE, the connecting peer's public key. */
static int serve_one(pw_keys *k) {
  zmq_msg_t part[ZAP_PARTS];
  int n = 0;
  int more = 1;
  while (more && n < ZAP_PARTS) {
    zmq_msg_init(&part[n]);
    int rc = zmq_msg_recv(&part[n], k->zap, 0);
    more = rc >= 0 && zmq_msg_more(&part[n]);
    n++;
    if (rc < 0) {
      for (int i = 0; i < n; i++)
        zmq_msg_close(&part[i]);
      return -1;
    }
  }
  int is_allowed = n >= 7 && zmq_msg_size(&part[6]) == KEY_BYTES &&
                   is_trusted(k, zmq_msg_data(&part[6]));
  if (n >= 2)
    send_reply(k->zap, &part[0], &part[1], is_allowed);
  for (int i = 0; i < n; i++)
    zmq_msg_close(&part[i]);
  return 0;
}

/* Answers requests until the context is shut down. */
static void *serve(void *arg) {
  pw_keys *k = arg;
  while (serve_one(k) == 0)
    continue;
  zmq_close(k->zap);
  return NULL;
}

pw_keys *pwkeys_load(const char *keys_file, const char *trust_file,
                     void *context, pw_buf *err) {
  pw_keys *k = pw_alloc(sizeof *k);
  if (read_pair(k, keys_file, err) != 0)
    goto fail;
  if (read_trust(k, trust_file, err) != 0)
    goto fail;
  k->zap = zmq_socket(context, ZMQ_REP);
  if (zmq_bind(k->zap, "inproc://zeromq.zap.01") != 0)
    goto fail;
  if (pthread_create(&k->thread, NULL, serve, k) != 0)
    goto fail;
  k->started = 1;
  return k;
fail:
  if (k->zap)
    zmq_close(k->zap);
  pwkeys_free(k);
  return NULL;
}

void pwkeys_free(pw_keys *k) {
  if (!k)
    return;
  if (k->started)
    pthread_join(k->thread, NULL);
  while (k->trust) {
    trusted *t = k->trust;
    k->trust = t->next;
    free(t);
  }
  memset(k->secret_key, 0, sizeof k->secret_key);
  free(k);
}

void pwkeys_serve(const pw_keys *k, void *socket) {
  int on = 1;
  zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof on);
  zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, k->secret_key, KEY_TEXT);
}

int pwkeys_dial(const pw_keys *k, void *socket, const char *addr) {
  const trusted *t = k->trust;
  while (t && strcmp(t->addr, addr) != 0)
    t = t->next;
  if (!t)
    return -1;
  zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, t->key, KEY_TEXT);
  zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, k->public_key, KEY_TEXT);
  zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, k->secret_key, KEY_TEXT);
  return 0;
}

int pwkeys_generate(const char *path, pw_buf *out, pw_buf *err) {
  char public_key[KEY_TEXT], secret_key[KEY_TEXT];
  if (zmq_curve_keypair(public_key, secret_key) != 0) {
    pwbuf_str(err, "ZeroMQ was built without CURVE\n");
    return -1;
  }
  int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (fd < 0) {
    pwbuf_fmt(err, "%s: %s\n", path, strerror(errno));
    return -1;
  }
  pw_buf text = {0};
  pwbuf_fmt(&text, "%s\n%s\n", public_key, secret_key);
  ssize_t done = write(fd, text.data, text.len);
  int rc = done == (ssize_t)text.len && fsync(fd) == 0 ? 0 : -1;
  close(fd);
  pwbuf_free(&text);
  if (rc != 0)
    pwbuf_fmt(err, "%s: %s\n", path, strerror(errno));
  pwbuf_fmt(out, "%s\n", public_key);
  return rc;
}
