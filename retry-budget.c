#include "retry-budget.h"

static void
init (CfRetryBudget *b, gint64 percent, gint64 slack, double tokens)
{
  pthread_mutex_init (&b->lock, NULL);
  b->per_request = (double)percent / 100;
  b->max = (double)slack;
  b->tokens = tokens;
  b->reserved = 0;
  b->held = 0;
  b->peak = tokens;
}

void
cf_retry_budget_init (CfRetryBudget *b, gint64 percent, gint64 slack)
{
  init (b, percent, slack, (double)slack);
}

void
cf_retry_budget_init_empty (CfRetryBudget *b, gint64 percent, gint64 slack)
{
  init (b, percent, slack, 0);
}

void
cf_retry_budget_clear (CfRetryBudget *b)
{
  pthread_mutex_destroy (&b->lock);
}

/* Returns the most tokens that fit beside those that are held. */
static double
get_room (const CfRetryBudget *b)
{
  return MAX (b->max - b->held, 0);
}

/* Adds @tokens as far as they fit; tokens that no longer fit are not dropped.
 */
static void
add_tokens (CfRetryBudget *b, double tokens)
{
  b->tokens = MAX (b->tokens, MIN (b->tokens + tokens, get_room (b)));
  b->peak = MAX (b->peak, b->tokens + b->held);
}

/* Returns the tokens that may be spent now. */
static double
get_usable (const CfRetryBudget *b)
{
  return b->tokens - b->reserved;
}

void
cf_retry_budget_set_slack (CfRetryBudget *b, gint64 slack)
{
  pthread_mutex_lock (&b->lock);
  b->max = (double)slack;
  b->tokens = MIN (b->tokens, get_room (b));
  pthread_mutex_unlock (&b->lock);
}

void
cf_retry_budget_add_request (CfRetryBudget *b)
{
  pthread_mutex_lock (&b->lock);
  add_tokens (b, b->per_request);
  pthread_mutex_unlock (&b->lock);
}

double
cf_retry_budget_grant (CfRetryBudget *b, double tokens, double limit)
{
  double tokens_before;
  double peak_before;
  double granted;

  pthread_mutex_lock (&b->lock);
  tokens_before = b->tokens;
  peak_before = b->peak;
  add_tokens (b, MAX (MIN (tokens, limit - b->peak), 0));
  granted = b->tokens - tokens_before;
  /* A period may have begun when the bucket held the most, and contain this
   * grant as well. */
  b->peak = peak_before + granted;
  pthread_mutex_unlock (&b->lock);
  return granted;
}

void
cf_retry_budget_set_reserve (CfRetryBudget *b, double tokens)
{
  pthread_mutex_lock (&b->lock);
  b->reserved = tokens;
  pthread_mutex_unlock (&b->lock);
}

gboolean
cf_retry_budget_has_token (CfRetryBudget *b)
{
  gboolean has;

  pthread_mutex_lock (&b->lock);
  has = get_usable (b) >= 1;
  pthread_mutex_unlock (&b->lock);
  return has;
}

gboolean
cf_retry_budget_has_surplus (CfRetryBudget *b)
{
  gboolean has;

  pthread_mutex_lock (&b->lock);
  has = get_usable (b) >= 1 && b->tokens >= MAX (b->max / 2, 1);
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

/* Takes a token and adds @n_held to those that are held. */
static gboolean
take (CfRetryBudget *b, guint n_held)
{
  gboolean ok;

  pthread_mutex_lock (&b->lock);
  ok = get_usable (b) >= 1;
  if (ok)
    {
      b->tokens -= 1;
      b->held += n_held;
    }
  pthread_mutex_unlock (&b->lock);
  return ok;
}

gboolean
cf_retry_budget_take (CfRetryBudget *b)
{
  return take (b, 0);
}

gboolean
cf_retry_budget_hold (CfRetryBudget *b)
{
  return take (b, 1);
}

void
cf_retry_budget_spend (CfRetryBudget *b)
{
  pthread_mutex_lock (&b->lock);
  b->held--;
  pthread_mutex_unlock (&b->lock);
}

void
cf_retry_budget_release (CfRetryBudget *b)
{
  pthread_mutex_lock (&b->lock);
  b->held--;
  add_tokens (b, 1);
  pthread_mutex_unlock (&b->lock);
}
