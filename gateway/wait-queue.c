#include "wait-queue.h"

#include "ablation.h"

/** A request may wait in the queue for this fraction of the time after which
 * callers give up without a first event; the rest is needed to process its
 * prompt along with others. */
#define WAIT_FIRST_EVENT_FRACTION 0.6
/** It may wait for this fraction of the remaining time, so that a refusal still
 * leaves its caller time to retry. */
#define WAIT_DEADLINE_FRACTION 0.33
/** The fraction of the objective that the first event is assumed to take while
 * its service's latency is unknown. */
#define UNKNOWN_FIRST_EVENT_FRACTION 0.4
/** The maximum of that fraction, even if the estimate is higher: with an
 * estimate beyond the objective every request would be late on arrival, and the
 * queue would be first come, first served. */
#define MAX_FIRST_EVENT_FRACTION 0.75
/** Callers honour a Retry-After of up to a third of their remaining time. */
#define RETRY_AFTER_FRACTION 0.32

void
cf_wait_queue_init (CfWaitQueue *q)
{
  TAILQ_INIT (&q->waiters);
  q->n = 0;
}

/* Inserts @w behind all waiters that are as urgent or more urgent. */
static void
insert_in_order (CfWaitQueue *q, CfWaiter *w)
{
  CfWaiter *other;

  TAILQ_FOREACH (other, &q->waiters, link)
  if (other->priority > w->priority)
    {
      TAILQ_INSERT_BEFORE (other, w, link);
      return;
    }
  TAILQ_INSERT_TAIL (&q->waiters, w, link);
}

gboolean
cf_wait_queue_add (CfWaitQueue *q, CfWaiter *w, guint max, CfWaiter **evicted)
{
  CfWaiter *last = TAILQ_LAST (&q->waiters, CfWaiterList);

  *evicted = NULL;
  if (q->n >= max)
    {
      if (!last || last->priority <= w->priority)
        return FALSE;
      cf_wait_queue_remove (q, last);
      *evicted = last;
    }
  insert_in_order (q, w);
  w->queued = TRUE;
  q->n++;
  return TRUE;
}

void
cf_wait_queue_remove (CfWaitQueue *q, CfWaiter *w)
{
  if (!w->queued)
    return;
  TAILQ_REMOVE (&q->waiters, w, link);
  w->queued = FALSE;
  q->n--;
}

/* Whether the late waiter @w is to be sent before @best (nullable): it can
 * still be answered by its deadline, and has less time to spare for that than
 * @best, which has the same priority. */
static gboolean
has_less_slack (const CfWaiter *w, const CfWaiter *best, gint64 now_ms)
{
  if (now_ms > w->deadline_send_by_ms)
    return FALSE;
  return !best
         || (w->priority == best->priority
             && w->deadline_send_by_ms < best->deadline_send_by_ms);
}

CfWaiter *
cf_wait_queue_first (const CfWaitQueue *q, gint64 now_ms, gboolean overloaded)
{
  CfWaiter *on_time = NULL;
  CfWaiter *late = NULL;
  CfWaiter *w;

  TAILQ_FOREACH (w, &q->waiters, link)
  {
    if (on_time && w->priority > on_time->priority)
      break;
    if (now_ms > w->objective_send_by_ms)
      {
        if (has_less_slack (w, late, now_ms))
          late = w;
        continue;
      }
    on_time = w;
    if (!overloaded)
      break;
  }
  if (on_time)
    return on_time;
  return late ? late : TAILQ_FIRST (&q->waiters);
}

gint64
cf_waiter_objective_send_by_ms (gint64 start_ms, gint64 objective_ms,
                                gint64 first_ms)
{
  double max_ms = (double)objective_ms * MAX_FIRST_EVENT_FRACTION;
  double expected_ms
      = first_ms > 0 ? MIN ((double)first_ms, max_ms)
                     : (double)objective_ms * UNKNOWN_FIRST_EVENT_FRACTION;

  return start_ms + (gint64)((double)objective_ms - expected_ms);
}

gboolean
cf_waiter_has_to_yield (const CfWaiter *w, gint64 now_ms, double pause_ms,
                        gint64 gap_objective_ms)
{
  return !CF_WITHOUT_YIELDING && w->queued && now_ms > w->objective_send_by_ms
         && pause_ms < (double)gap_objective_ms;
}

gint64
cf_wait_queue_max_wait_ms (gint64 first_event_timeout_ms, gint64 remaining_ms)
{
  double first_event_bound
      = (double)first_event_timeout_ms * WAIT_FIRST_EVENT_FRACTION;
  double deadline_bound = (double)remaining_ms * WAIT_DEADLINE_FRACTION;

  return (gint64)MIN (first_event_bound, deadline_bound);
}

gint64
cf_retry_after_ms (gint64 remaining_ms, gint64 backoff_ms, guint spread)
{
  gint64 max_ms = (gint64)((double)remaining_ms * RETRY_AFTER_FRACTION);
  gint64 after_ms = backoff_ms + (gint64)(spread % (guint)MAX (backoff_ms, 1));

  return CLAMP (after_ms, 0, MAX (max_ms, 0));
}
