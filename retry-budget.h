#pragma once

#include <glib.h>
#include <pthread.h>

/**
 * CfRetryBudget:
 * Limits a process's retries to a share of its requests, so that retries do
 * not multiply the load on failing targets.  A token bucket: each request adds
 * a fraction of a token, and each retry takes one.
 */
typedef struct
{
  pthread_mutex_t lock;
  double tokens;
  double per_request; /**< tokens that each request adds */
  double max;         /**< capacity of the bucket */
} CfRetryBudget;

/**
 * cf_retry_budget_init:
 * @percent: retries per 100 requests
 * @slack: capacity of the bucket, which is full at the start: retries allowed
 *   beyond that share
 */
void cf_retry_budget_init (CfRetryBudget *b, gint64 percent, gint64 slack);
void cf_retry_budget_clear (CfRetryBudget *b);

/** cf_retry_budget_set_slack: changes the capacity; excess tokens are dropped.
 */
void cf_retry_budget_set_slack (CfRetryBudget *b, gint64 slack);

/** cf_retry_budget_add_request: adds the fraction of a token for a request. */
void cf_retry_budget_add_request (CfRetryBudget *b);

/** cf_retry_budget_has_token: whether cf_retry_budget_take() would succeed. */
gboolean cf_retry_budget_has_token (CfRetryBudget *b);

/** cf_retry_budget_has_surplus: whether it has a token and is at least half
 * full, so that a request may be sent to a target that may refuse it. */
gboolean cf_retry_budget_has_surplus (CfRetryBudget *b);

/** cf_retry_budget_tokens: the number of retries that may be sent now. */
double cf_retry_budget_tokens (CfRetryBudget *b);

/** cf_retry_budget_take: takes a token for a retry; %FALSE if there is none and
 * the retry may not be sent. */
gboolean cf_retry_budget_take (CfRetryBudget *b);
