#include "wait-queue.h"

#include "ablation.h"

/** Of callers' patience, the part a request may wait for room: the rest is
 * needed for its prompt to be read beside others. */
#define WAIT_PART_OF_PATIENCE 0.6
/** Of the time left, the part it may wait, so that a refusal still leaves
 * its caller time to come back. */
#define WAIT_PART_OF_LEFT 0.33
/** Of the objective, how much of it is taken for the first event while
 * nothing is known of its service's pace. */
#define FIRST_PART_UNKNOWN 0.4
/** The same at most: an estimate beyond the objective would make every request
 * late on arrival, and the order one of arrival. */
#define FIRST_PART_OF_AIM 0.75
/** Back-off asked of callers when all targets are full. */
#define FULL_BUSY_MS 400
/** The same when a service has an outage: a rank is back some 0.5 s after a
 * crash at the soonest, and its group opens 0.6 s after that.  Callers come
 * back once or twice; sooner they would only be refused again. */
#define OUTAGE_BUSY_MS 1000
/** The same in an outage that lasts: as late as a caller may be told. */
#define LONG_OUTAGE_BUSY_MS 4000
/** The same in overload: past most bursts.  Callers come back once or twice,
 * and sooner they would only be refused again. */
#define OVERLOAD_BUSY_MS 800
/** Callers honour a Retry-After of up to a third of the time they have. */
#define RETRY_AFTER_PART 0.32

void
cf_wait_queue_init (CfWaitQueue *q)
{
  TAILQ_INIT (&q->waiters);
  q->n = 0;
}

/* Goes behind all that are as urgent or more. */
static void
insert_in_order (CfWaitQueue *q, CfWaiter *w)
{
  CfWaiter *at;

  TAILQ_FOREACH (at, &q->waiters, link)
  if (at->priority > w->priority)
    {
      TAILQ_INSERT_BEFORE (at, w, link);
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

/* True if @w goes before @best, (nullable), among those that are late. */
static gboolean
is_shorter_of_time (const CfWaiter *w, const CfWaiter *best, gint64 now_ms)
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
  CfWaiter *first = NULL;
  CfWaiter *late = NULL;
  CfWaiter *w;

  TAILQ_FOREACH (w, &q->waiters, link)
  {
    if (first && w->priority > first->priority)
      break;
    if (now_ms > w->objective_send_by_ms)
      {
        if (is_shorter_of_time (w, late, now_ms))
          late = w;
        continue;
      }
    first = w;
    if (!overloaded)
      break;
  }
  if (first)
    return first;
  return late ? late : TAILQ_FIRST (&q->waiters);
}

gint64
cf_waiter_objective_send_by_ms (gint64 start_ms, gint64 aim_ms, gint64 first_ms)
{
  double most = (double)aim_ms * FIRST_PART_OF_AIM;
  double first = first_ms > 0 ? MIN ((double)first_ms, most)
                              : (double)aim_ms * FIRST_PART_UNKNOWN;

  return start_ms + (gint64)((double)aim_ms - first);
}

gboolean
cf_waiter_has_to_yield (const CfWaiter *w, gint64 now_ms, double pause_ms,
                        gint64 gap_aim_ms)
{
  return !CF_WITHOUT_YIELDING && w->queued && now_ms > w->objective_send_by_ms
         && pause_ms < (double)gap_aim_ms;
}

gint64
cf_wait_queue_max_wait_ms (gint64 patience_ms, gint64 left_ms)
{
  double by_patience = (double)patience_ms * WAIT_PART_OF_PATIENCE;
  double by_left = (double)left_ms * WAIT_PART_OF_LEFT;

  return (gint64)MIN (by_patience, by_left);
}

gint64
cf_wait_queue_backoff_ms (CfNoCapacity why)
{
  switch (why)
    {
    case CF_NO_CAPACITY_FULL:
      return FULL_BUSY_MS;
    case CF_NO_CAPACITY_OVERLOAD:
      return OVERLOAD_BUSY_MS;
    case CF_NO_CAPACITY_OUTAGE:
      return OUTAGE_BUSY_MS;
    case CF_NO_CAPACITY_LONG_OUTAGE:
      return LONG_OUTAGE_BUSY_MS;
    }
  return FULL_BUSY_MS;
}

gint64
cf_retry_after_ms (gint64 left_ms, gint64 busy_ms, guint spread)
{
  gint64 most = (gint64)((double)left_ms * RETRY_AFTER_PART);
  gint64 at = busy_ms + (gint64)(spread % (guint)MAX (busy_ms, 1));

  return CLAMP (at, 0, MAX (most, 0));
}
