/* pwview.h: the read-only picture of the configuration that HTTP threads use.
**
** Built by the wire thread whenever the resources change and published with
** RCU; readers hold rcu_read_lock() while they use it and copy what they keep.
*/
#ifndef PWVIEW_H
#define PWVIEW_H

#include "pwbound.h"
#include "pwlimits.h"
#include "pwres.h"
#include "pwrollout.h"

#include <stddef.h>

#define PWVIEW_HASH 32 /* bytes of a key's hash */

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

/* What the `policy` resource named "default" sets. */
typedef struct pw_policy {
  pw_bound bound;
  double retry_share;
  double min_prefix_tokens;
  double reuse_worth; /* pw_admit.reuse */
} pw_policy;

typedef struct pw_view pw_view;

pw_view *pwview_build(const pw_res *r);
void pwview_free(pw_view *v);

/* The workspace a bearer key opens, or NULL. */
const pw_workspace *pwview_workspace(const pw_view *v, const char *key);

/* The model that a name means, its own or that of an adapter of it; NULL when
** there is none. */
const char *pwview_model(const pw_view *v, const char *name);

/* The two versions that share a model's chats; 0 when it has no versions. */
int pwview_rollout(const pw_view *v, const char *model, pw_rollout *out);

const pw_service *pwview_service(const pw_view *v, const char *name);
const pw_policy *pwview_policy(const pw_view *v);

/* Hash of a bearer key, as workspaces list it: 64 hexadecimal digits. */
void pwview_hash_key(const char *key, char out[2 * PWVIEW_HASH + 1]);

/* Reads the policy from resources; defaults where it says nothing. */
void pwview_read_policy(const pw_res *r, pw_policy *out);

#endif
