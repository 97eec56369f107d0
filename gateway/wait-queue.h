#pragma once

#include <glib.h>
#include <sys/queue.h>

typedef struct CfWaiter CfWaiter;

typedef TAILQ_HEAD (CfWaiterList, CfWaiter) CfWaiterList;

/** CfWaiter: a request that waits for room at a target; embedded in it. */
struct CfWaiter
{
  TAILQ_ENTRY (CfWaiter) link;
  gint64 priority; /**< 0 is the most urgent */
  gint64 since_ms;
  gint64 objective_send_by_ms; /**< started by then, it meets its objective */
  gint64 deadline_send_by_ms;  /**< started by then, its answer is whole before
                            its  deadline */
  gboolean queued;
  void *owner;
};

/**
 * CfWaitQueue:
 * Requests of one service that wait for room.  Those that can still meet
 * their objective come first, by priority, then by arrival.  Of the others
 * the one with the least time to spare comes first, if its answer can still
 * be whole: one with more time left is refused with time to come back.
 * Bounded; for bursts that are over sooner than callers lose patience.
 */
typedef struct
{
  CfWaiterList waiters;
  guint n;
} CfWaitQueue;

void cf_wait_queue_init (CfWaitQueue *q);

/**
 * cf_wait_queue_add:
 * @max: how many may wait
 * @evicted: (out): (nullable): the last in order, which had to make room
 * Returns: %FALSE if @w itself finds no room.
 */
gboolean cf_wait_queue_add (CfWaitQueue *q, CfWaiter *w, guint max,
                            CfWaiter **evicted);

void cf_wait_queue_remove (CfWaitQueue *q, CfWaiter *w);

/**
 * cf_wait_queue_first:
 * @overloaded: more comes than can be served: the newest in time goes first,
 *   since the oldest would each be served just as it becomes late
 * Returns: (nullable): who gets the next room.
 */
CfWaiter *cf_wait_queue_first (const CfWaitQueue *q, gint64 now_ms,
                               gboolean overloaded);

/**
 * cf_waiter_objective_send_by_ms:
 * @first_ms: expected from sending to the first event; 0: not known
 * Returns: when a request that came at @start_ms has to be sent at the latest
 *   to meet its objective.
 */
gint64 cf_waiter_objective_send_by_ms (gint64 start_ms, gint64 aim_ms,
                                       gint64 first_ms);

/**
 * cf_waiter_has_to_yield:
 * @pause_ms: pause between events at its service now
 * @gap_aim_ms: objective for it; 0: none
 * Returns: whether it should leave room for others.  After an outage or a
 *   burst those that waited are late whatever is done for them.  Served all
 *   at once they fill every batch, and those that come after them are late
 *   as well, for ten seconds after an outage of two.  So they leave room,
 *   while passes are short enough for others to be in time.
 */
gboolean cf_waiter_has_to_yield (const CfWaiter *w, gint64 now_ms,
                                 double pause_ms, gint64 gap_aim_ms);

/**
 * cf_wait_queue_max_wait_ms:
 * @patience_ms: how long callers wait for a first sign of an answer
 * @left_ms: time left until the request's deadline
 * Returns: how long it should wait for room at most.
 */
gint64 cf_wait_queue_max_wait_ms (gint64 patience_ms, gint64 left_ms);

/** CfNoCapacity: why a service has no room for a request. */
typedef enum
{
  CF_NO_CAPACITY_FULL,        /**< its targets are full */
  CF_NO_CAPACITY_OVERLOAD,    /**< more comes than can be served */
  CF_NO_CAPACITY_OUTAGE,      /**< its targets take no work */
  CF_NO_CAPACITY_LONG_OUTAGE, /**< they have not for long */
} CfNoCapacity;

/** cf_wait_queue_backoff_ms: when those that are refused may find room. */
gint64 cf_wait_queue_backoff_ms (CfNoCapacity why);

/**
 * cf_retry_after_ms:
 * @left_ms: time the caller has left
 * @busy_ms: when room is expected
 * @spread: a number that differs from caller to caller
 * Returns: when the caller should come back: past @busy_ms, spread over as
 *   long again so that not all come at once, and within the part of its
 *   time that callers accept.
 */
gint64 cf_retry_after_ms (gint64 left_ms, gint64 busy_ms, guint spread);
