/* pwview.h: a read-only view of the configuration for HTTP threads.
**
** The wire thread builds a new view whenever the resources change and publishes
** it with RCU. Readers hold rcu_read_lock() while they use a view and copy what
** they need longer. */
#ifndef PWVIEW_H
#define PWVIEW_H

#include "pwbound.h"
#include "pwlimits.h"
#include "pwres.h"
#include "pwrollout.h"

#include <stddef.h>

#define PWVIEW_HASH_BYTES 32 /* bytes of a key's hash */

typedef struct pw_workspace {
  char name[PW_NAME_MAX];
  double weight;
  int priority;
  double tokens_per_s; /* 0: no limit */
  int is_operator;
} pw_workspace;

typedef struct pw_service {
  char name[PW_NAME_MAX];
  int repeatable;
  uint32_t timeout; /* ms */
} pw_service;

/* The values of the `policy` resource named "default". */
typedef struct pw_policy {
  pw_bound bound;
  double retry_share;
  double min_prefix_tokens;
  double reuse_worth; /* for pw_admit.reuse */
} pw_policy;

typedef struct pw_view pw_view;

pw_view *pwview_build(const pw_res *r);
void pwview_free(pw_view *v);

/* The workspace of a bearer key, or NULL. */
const pw_workspace *pwview_workspace(const pw_view *v, const char *key);

/* Returns the model for a name, which is that of a model or of an adapter. NULL
** when there is neither. */
const char *pwview_model(const pw_view *v, const char *name);

/* Returns the two versions that share a model's chats. 0 when the model has no
** versions. */
int pwview_rollout(const pw_view *v, const char *model, pw_rollout *out);

/* The settings of a service, or NULL. */
const pw_service *pwview_service(const pw_view *v, const char *name);
const pw_policy *pwview_policy(const pw_view *v);

/* Hashes a bearer key as in a workspace's key_hashes: 64 hexadecimal digits. */
void pwview_hash_key(const char *key, char out[2 * PWVIEW_HASH_BYTES + 1]);

/* Reads the policy from the resources. Fields that it does not set get their
** defaults. */
void pwview_read_policy(const pw_res *r, pw_policy *out);

#endif
