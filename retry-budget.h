#pragma once

#include <glib.h>
#include <pthread.h>

/**
 * CfRetryBudget:
 * Limits an entry's retries to a share of its requests, so that retries
 * do not multiply the load on targets that are failing: a token bucket
 * that each request fills a little and each retry takes one from.
 */
typedef struct
{
  pthread_mutex_t lock;
  double tokens;
  double per_request;
  double max;
} CfRetryBudget;

/**
 * cf_retry_budget_init:
 * @percent: retries for 100 requests
 * @slack: retries beyond that share, at start and at most saved up
 */
void cf_retry_budget_init (CfRetryBudget *b, gint64 percent, gint64 slack);
void cf_retry_budget_clear (CfRetryBudget *b);

/** cf_retry_budget_set_slack: from now on; what is saved up is cut to it. */
void cf_retry_budget_set_slack (CfRetryBudget *b, gint64 slack);

/** cf_retry_budget_add_request: a request came in. */
void cf_retry_budget_add_request (CfRetryBudget *b);

/** cf_retry_budget_has_token: whether cf_retry_budget_take() would be %TRUE. */
gboolean cf_retry_budget_has_token (CfRetryBudget *b);

/** cf_retry_budget_take: %TRUE if a retry may be sent now. */
gboolean cf_retry_budget_take (CfRetryBudget *b);
