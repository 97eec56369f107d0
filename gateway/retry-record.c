#include "retry-record.h"

const char *
cf_retry_cause_name (CfRetryCause c)
{
  switch (c)
    {
    case CF_RETRY_CAUSE_LOST:
      return "lost";
    case CF_RETRY_CAUSE_FAILED:
      return "failed";
    case CF_RETRY_CAUSE_REFUSED:
      return "refused";
    case CF_RETRY_CAUSE_INVALID:
      return "invalid";
    case CF_RETRY_CAUSE_SILENT:
      return "silent";
    case CF_N_RETRY_CAUSES:
      break;
    }
  return "unknown";
}

guint64
cf_retry_counts_repeats (const CfRetryCounts *c)
{
  guint64 sum = 0;

  for (guint i = 0; i < CF_N_RETRY_CAUSES; i++)
    sum += c->repeats[i];
  return sum;
}

/* The window's count may be 0: an attempt that cannot be sent is noticed up to
 * a connection timeout later. */
static void
decrement (guint64 *total, guint64 *window)
{
  *total -= 1;
  if (*window > 0)
    *window -= 1;
}

void
cf_retry_record_add_first (CfRetryRecord *r)
{
  r->total.first++;
  r->window.first++;
}

void
cf_retry_record_add_repeat (CfRetryRecord *r, CfRetryCause cause)
{
  r->total.repeats[cause]++;
  r->window.repeats[cause]++;
}

void
cf_retry_record_remove_first (CfRetryRecord *r)
{
  decrement (&r->total.first, &r->window.first);
}

void
cf_retry_record_remove_repeat (CfRetryRecord *r, CfRetryCause cause)
{
  decrement (&r->total.repeats[cause], &r->window.repeats[cause]);
}

void
cf_retry_record_add_denied (CfRetryRecord *r)
{
  r->total.denied++;
  r->window.denied++;
}

gboolean
cf_retry_record_end_window (CfRetryRecord *r, gint64 window_ms, gint64 now_ms,
                            CfRetryCounts *out)
{
  if (r->window_start_ms == 0)
    r->window_start_ms = now_ms;
  if (now_ms - r->window_start_ms < window_ms)
    return FALSE;
  *out = r->window;
  r->window = (CfRetryCounts){ 0 };
  r->window_start_ms = now_ms;
  return cf_retry_counts_repeats (out) > 0 || out->denied > 0;
}
