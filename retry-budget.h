#pragma once

#include <glib.h>
#include <pthread.h>

/**
 * CfRetryBudget:
 * Limits a process's retries to a share of its requests, so that retries do
 * not multiply the load on failing targets.  A token bucket: each request adds
 * a fraction of a token, and each retry takes one.  In any period of time there
 * are no more retries than the capacity and that share of the period's requests
 * allow.
 */
typedef struct
{
  pthread_mutex_t lock;
  double tokens;
  double per_request; /**< tokens that each request adds */
  double max;         /**< capacity of the bucket */
  double reserved;    /**< part of @tokens that is not spent */
  guint held;         /**< tokens taken for retries that wait to be sent; they
                           take up capacity */
  double peak;        /**< the most of @tokens and @held together so far, and
                           what was granted after that */
} CfRetryBudget;

/**
 * cf_retry_budget_init:
 * @percent: retries per 100 requests
 * @slack: capacity of the bucket, which is full at the start: retries allowed
 *   beyond that share
 */
void cf_retry_budget_init (CfRetryBudget *b, gint64 percent, gint64 slack);

/** cf_retry_budget_init_empty: likewise, but the bucket is empty at the start.
 * The processes that follow one another then do not exceed together what one
 * may use. */
void cf_retry_budget_init_empty (CfRetryBudget *b, gint64 percent,
                                 gint64 slack);

void cf_retry_budget_clear (CfRetryBudget *b);

/** cf_retry_budget_set_slack: changes the capacity; excess tokens are dropped.
 */
void cf_retry_budget_set_slack (CfRetryBudget *b, gint64 slack);

/** cf_retry_budget_add_request: adds the fraction of a token for a request. */
void cf_retry_budget_add_request (CfRetryBudget *b);

/**
 * cf_retry_budget_grant:
 * Adds up to @tokens that no request has earned, so that the most that the
 * bucket has ever held does not exceed @limit by them.  In any period there are
 * then no more retries than if it had held @limit before.
 * Returns: the tokens that were added.
 */
double cf_retry_budget_grant (CfRetryBudget *b, double tokens, double limit);

/** cf_retry_budget_set_reserve: from now on leaves @tokens unspent. */
void cf_retry_budget_set_reserve (CfRetryBudget *b, double tokens);

/** cf_retry_budget_has_token: whether cf_retry_budget_take() would succeed. */
gboolean cf_retry_budget_has_token (CfRetryBudget *b);

/** cf_retry_budget_has_surplus: whether it has a token and is at least half
 * full, so that a request may be sent to a target that may refuse it. */
gboolean cf_retry_budget_has_surplus (CfRetryBudget *b);

/** cf_retry_budget_tokens: the number of tokens in the bucket. */
double cf_retry_budget_tokens (CfRetryBudget *b);

/** cf_retry_budget_take: takes a token for a retry; %FALSE if there is none and
 * the retry may not be sent. */
gboolean cf_retry_budget_take (CfRetryBudget *b);

/** cf_retry_budget_hold: takes a token for a retry that may have to wait until
 * it can be sent.  cf_retry_budget_spend() or cf_retry_budget_release() is
 * called afterwards. */
gboolean cf_retry_budget_hold (CfRetryBudget *b);

/** cf_retry_budget_spend: a retry for which a token is held is sent now. */
void cf_retry_budget_spend (CfRetryBudget *b);

/** cf_retry_budget_release: such a retry is not sent. */
void cf_retry_budget_release (CfRetryBudget *b);
