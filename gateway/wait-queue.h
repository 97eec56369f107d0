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
  gint64 until_ms; /**< refused if there is no room by then */
  gboolean queued;
  void *owner;
};

/**
 * CfWaitQueue:
 * Requests of one service in the order they get room: by priority, then by
 * arrival.  Bounded; it answers bursts that are over sooner than callers'
 * latency objectives, and refuses the rest at once.
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
 * cf_wait_limit_ms:
 * @aim_ms: the latency objective of the request
 * @left_ms: time left until its deadline
 * Returns: how long it should wait for room at most.
 */
gint64 cf_wait_limit_ms (gint64 aim_ms, gint64 left_ms);

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
