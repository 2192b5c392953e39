/* pwclient.c: calls to the resource API from the command line. */
#include "pwclient.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwfetch.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#define ANSWER_MAX (256 * 1024 * 1024)
#define CALL_TIMEOUT_S 40
#define PAUSE_MS 150
#define KEY_BYTES 16

static void pause_ms(int ms) {
  struct timespec ts = {ms / 1000, (ms % 1000) * 1000000L};
  nanosleep(&ts, NULL);
}

static void random_key(char out[2 * KEY_BYTES + 1]) {
  unsigned char bytes[KEY_BYTES];
  randombytes_buf(bytes, sizeof bytes);
  sodium_bin2hex(out, 2 * KEY_BYTES + 1, bytes, sizeof bytes);
}

static pw_code read_answer(int status, const pw_buf *out, json_t **answer,
                           char *message, size_t cap) {
  *answer = json_loadb(out->data ? out->data : "", out->len, 0, NULL);
  if (status == 200)
    return *answer ? PW_OK : PW_E_UPSTREAM;
  const json_t *error = json_object_get(*answer, "error");
  const char *text = json_string_value(json_object_get(error, "message"));
  json_int_t code = json_integer_value(json_object_get(error, "code"));
  snprintf(message, cap, "%s", text ? text : "error answer without a message");
  return code ? (pw_code)code : PW_E_UPSTREAM;
}

static pw_code call_one(const pw_client *c, const char *server,
                        const char *method, const char *path, const char *body,
                        const char *idempotency_key, json_t **answer,
                        char *message, size_t cap) {
  char url[128], bearer[512];
  pw_fetch_header h[3];
  int n = 0;
  snprintf(url, sizeof url, "http://%s", server);
  h[n++] = (pw_fetch_header){"Content-Type", "application/json"};
  if (c->key) {
    snprintf(bearer, sizeof bearer, "Bearer %s", c->key);
    h[n++] = (pw_fetch_header){"Authorization", bearer};
  }
  if (idempotency_key)
    h[n++] = (pw_fetch_header){"Idempotency-Key", idempotency_key};
  pw_buf out = {0};
  int status = 0;
  pw_code rc = pwfetch_text(url, method, path, h, n, body, CALL_TIMEOUT_S,
                            ANSWER_MAX, &status, &out);
  if (rc == PW_OK)
    rc = read_answer(status, &out, answer, message, cap);
  else
    snprintf(message, cap, "%s: %s", server, pwcode_text(rc));
  pwbuf_free(&out);
  return rc;
}

/* Errors after which the same call may be repeated at another server: with
** the same Idempotency-Key, a change that was already made gives its first
** result. */
static int is_retryable(pw_code rc) {
  return rc == PW_E_NOT_LEADER || rc == PW_E_CONNECT || rc == PW_E_CUT ||
         rc == PW_E_TIMEOUT || rc == PW_E_UNKNOWN || rc == PW_E_UPSTREAM;
}

pw_code pwclient_call(pw_client *c, const char *method, const char *path,
                      const json_t *body, json_t **answer, char *message,
                      size_t cap) {
  char idempotency_key[2 * KEY_BYTES + 1];
  int is_change = strcmp(method, "GET") != 0;
  char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
  int64_t until = pwclock_ms() + c->timeout_ms;
  pw_code rc;
  random_key(idempotency_key);
  for (;;) {
    *answer = NULL;
    rc = call_one(c, c->server[c->current], method, path, text,
                  is_change ? idempotency_key : NULL, answer, message, cap);
    if (!is_retryable(rc) || pwclock_ms() >= until)
      break;
    json_decref(*answer);
    c->current = (c->current + 1) % c->nservers;
    pause_ms(PAUSE_MS);
  }
  free(text);
  return rc;
}

pw_code pwclient_get(const char *server, const char *path, json_t **answer) {
  pw_client anonymous = {0};
  char message[128];
  *answer = NULL;
  return call_one(&anonymous, server, "GET", path, NULL, NULL, answer, message,
                  sizeof message);
}

int pwclient_read_key(pw_client *c, const char *path, char *message,
                      size_t cap) {
  struct stat st;
  if (stat(path, &st) != 0 || (st.st_mode & 077) != 0) {
    snprintf(message, cap,
             "%s: key file is missing or open to others; mode 0600 is needed",
             path);
    return -1;
  }
  FILE *f = fopen(path, "re");
  char key[256] = "";
  int n = f ? fscanf(f, "%255s", key) : 0;
  if (f)
    fclose(f);
  if (n != 1) {
    snprintf(message, cap, "%s: contains no key", path);
    return -1;
  }
  c->key = pw_dup(key);
  return 0;
}
