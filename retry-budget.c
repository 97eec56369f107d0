#include "retry-budget.h"

void
cf_retry_budget_init (CfRetryBudget *b, gint64 percent, gint64 slack)
{
  pthread_mutex_init (&b->lock, NULL);
  b->per_request = (double)percent / 100;
  b->max = (double)slack;
  b->tokens = b->max;
}

void
cf_retry_budget_clear (CfRetryBudget *b)
{
  pthread_mutex_destroy (&b->lock);
}

void
cf_retry_budget_set_slack (CfRetryBudget *b, gint64 slack)
{
  pthread_mutex_lock (&b->lock);
  b->max = (double)slack;
  b->tokens = MIN (b->tokens, b->max);
  pthread_mutex_unlock (&b->lock);
}

void
cf_retry_budget_add_request (CfRetryBudget *b)
{
  pthread_mutex_lock (&b->lock);
  b->tokens = MIN (b->tokens + b->per_request, b->max);
  pthread_mutex_unlock (&b->lock);
}

gboolean
cf_retry_budget_has_token (CfRetryBudget *b)
{
  gboolean has;

  pthread_mutex_lock (&b->lock);
  has = b->tokens >= 1;
  pthread_mutex_unlock (&b->lock);
  return has;
}

gboolean
cf_retry_budget_has_surplus (CfRetryBudget *b)
{
  gboolean has;

  pthread_mutex_lock (&b->lock);
  has = b->tokens >= MAX (b->max / 2, 1);
  pthread_mutex_unlock (&b->lock);
  return has;
}

double
cf_retry_budget_tokens (CfRetryBudget *b)
{
  double tokens;

  pthread_mutex_lock (&b->lock);
  tokens = b->tokens;
  pthread_mutex_unlock (&b->lock);
  return tokens;
}

gboolean
cf_retry_budget_take (CfRetryBudget *b)
{
  gboolean ok;

  pthread_mutex_lock (&b->lock);
  ok = b->tokens >= 1;
  if (ok)
    b->tokens -= 1;
  pthread_mutex_unlock (&b->lock);
  return ok;
}
