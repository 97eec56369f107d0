#pragma once

#include "demand.h"
#include "org-usage.h"

#include <glib.h>
#include <sys/queue.h>

/** Route priorities within one priority of an organisation; see
 * cf_waiter_urgency(). */
#define CF_URGENCY_FACTOR 16

typedef struct CfWaiter CfWaiter;

typedef TAILQ_HEAD (CfWaiterList, CfWaiter) CfWaiterList;

/** CfWaiter: a request that waits for capacity at a target; embedded in its
 * owner. */
struct CfWaiter
{
  TAILQ_ENTRY (CfWaiter) link;
  gint64 priority;   /**< urgency; 0 is the most urgent */
  guint32 org;       /**< id of its organisation; see cf_demand_org_id() */
  gboolean returned; /**< was refused before, and returned at its time */
  gboolean is_retry; /**< sending it takes a token of the retry budget */
  gint64 since_ms;   /**< when it was queued, or arrived, if it was sent at
                        once; kept when a full target refuses it */
  /** Latest time to send it so that it meets its objective. */
  gint64 objective_send_by_ms;
  /** Latest time to send it so that its answer is complete by its deadline. */
  gint64 deadline_send_by_ms;
  gboolean queued;
  void *owner;
};

/**
 * CfWaitQueue:
 * Requests of one service that wait for capacity.  Those that can still meet
 * their objective come first, by priority, then by how few requests in flight
 * their organisation has relative to its slots, then by arrival.  Of the late
 * ones, the one with the least slack comes first, if its answer can still be
 * complete by its deadline: one with more slack still has time to retry if
 * refused.  Less urgent levels keep a minimum share.
 *
 * The queue is bounded; it absorbs bursts that end before callers give up.
 */
typedef struct
{
  CfWaiterList waiters; /**< by priority, then @since_ms */
  guint n;
  guint n_returned;      /**< waiters that are @returned */
  CfOrgUsage *usage;     /**< (nullable): of the same service; counts the
                              waiters, and its organisations share the slots */
  guint n_before_floor;  /**< taken since a less urgent one was last taken in
                              favour of its minimum share, while less urgent
                              ones waited */
  gint64 floor_priority; /**< of the level that got its minimum share last; 0:
                              none */
} CfWaitQueue;

void cf_wait_queue_init (CfWaitQueue *q);

/** cf_waiter_urgency: the priority of a request.  Two routes of an organisation
 * keep their order; route priorities above 15 count as 15.  @org_priority: of
 * the organisation, or of the route if it has none */
gint64 cf_waiter_urgency (gint64 org_priority, gint64 route_priority);

/**
 * cf_wait_queue_add:
 * @max: maximum length of the queue
 * @evicted: (out) (nullable): the waiter that was removed to make room for @w:
 *   at the least urgent level the newest one of the organisation with the most
 *   waiters there, if possible not one that has returned
 * Returns: %FALSE if the queue is full and @w itself would be that waiter.
 */
gboolean cf_wait_queue_add (CfWaitQueue *q, CfWaiter *w, guint max,
                            CfWaiter **evicted);

void cf_wait_queue_remove (CfWaitQueue *q, CfWaiter *w);

/** cf_wait_queue_take: removes @w in order to send it, which counts for the
 * minimum share of less urgent levels. */
void cf_wait_queue_take (CfWaitQueue *q, CfWaiter *w);

/** CfQueueContext: the state that the order of waiters depends on. */
typedef struct
{
  gint64 now_ms;
  /** More requests arrive than can be served: of the most urgent ones that can
   * still meet their objective the newest goes first, since in order of arrival
   * each would be sent just as it becomes late. */
  gboolean overloaded;
  gboolean may_not_retry;      /**< passes over waiters that are retries */
  gboolean skips_floor;        /**< ignores the minimum share, as the waiter
                                    that it favours cannot be sent now */
  const CfDemandTable *grants; /**< (nullable): slots for each organisation;
                                    %NULL: equal parts */
} CfQueueContext;

/** cf_wait_queue_first: (nullable): the waiter to be sent next; %NULL if there
 * is none, or all are passed over. */
CfWaiter *cf_wait_queue_first (const CfWaitQueue *q, const CfQueueContext *c);

/** cf_wait_queue_would_be_first: whether @w, which is not queued, would be sent
 * next if it were queued now. */
gboolean cf_wait_queue_would_be_first (CfWaitQueue *q, CfWaiter *w,
                                       const CfQueueContext *c);

/** cf_wait_queue_is_floor_due: whether the minimum share of less urgent levels
 * determines what cf_wait_queue_first() returns. */
gboolean cf_wait_queue_is_floor_due (const CfWaitQueue *q);

/** CfDrain: how fast waiting requests can be sent. */
typedef struct
{
  double slots;   /**< that the process uses or may use at least; 0: unknown */
  double hold_ms; /**< mean time that a request takes a slot; 0: unknown */
} CfDrain;

/**
 * cf_wait_queue_is_hopeless:
 * @w: a new request, not queued yet
 * @limit_ms: how long it may wait
 * Returns: whether the requests ahead of @w take so much longer than @limit_ms
 *   that it would not be sent: more urgent ones at the rate of all slots, those
 *   of its organisation at the rate of its part.  %FALSE if a rate is not
 *   known, or the organisation has less than its part in flight.
 */
gboolean cf_wait_queue_is_hopeless (const CfWaitQueue *q, const CfWaiter *w,
                                    const CfQueueContext *c, const CfDrain *d,
                                    gint64 limit_ms);

/**
 * cf_waiter_objective_send_by_ms:
 * @objective_ms: latency objective for the first event
 * @first_ms: expected time from sending to the first event; 0: not known
 * Returns: the latest time to send a request that arrived at @start_ms for it
 *   to meet its objective.
 */
gint64 cf_waiter_objective_send_by_ms (gint64 start_ms, gint64 objective_ms,
                                       gint64 first_ms);

/**
 * cf_waiter_has_to_yield:
 * @pause_ms: current pause between events at its service
 * @gap_objective_ms: objective for that pause; 0: none
 * Returns: whether @w should leave capacity to other requests.  After an outage
 *   or a burst, requests that waited are late in any case.  If they were all
 *   sent at once they would fill every batch, and later requests would be late
 *   as well: for ten seconds after an outage of two.  So late requests yield
 *   while passes are short enough for others to meet their objectives.
 */
gboolean cf_waiter_has_to_yield (const CfWaiter *w, gint64 now_ms,
                                 double pause_ms, gint64 gap_objective_ms);

/**
 * cf_wait_queue_max_wait_ms:
 * @first_event_timeout_ms: how long callers wait for the first part of an
 *   answer
 * @remaining_ms: time left until the request's deadline
 * Returns: how long a request should wait in the queue at most.
 */
gint64 cf_wait_queue_max_wait_ms (gint64 first_event_timeout_ms,
                                  gint64 remaining_ms);

/**
 * cf_retry_after_ms:
 * @remaining_ms: time left until the request's deadline
 * @backoff_ms: how soon there may be capacity
 * @spread: a random number for the jitter
 * Returns: the time after which the caller should retry: from @backoff_ms to
 *   twice that, so that not all callers retry at once, but no more than the
 *   part of its remaining time that callers accept.
 */
gint64 cf_retry_after_ms (gint64 remaining_ms, gint64 backoff_ms, guint spread);
