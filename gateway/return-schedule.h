#pragma once

#include "request-digest.h"

#include <sys/queue.h>

/** Bytes of a request's digest that identify a returning caller. */
#define CF_RETURN_KEY_BYTES 8
/** Longest time until a place.  A peer's place beyond it is an error of the
 * peer. */
#define CF_RETURN_AHEAD_MAX_MS 10000
/** Most places of a service.  At 2,000 refusals a second, 2 s of callers. */
#define CF_RETURN_PLACES_MAX 4096

/** CfReturnState: what is known of the caller of a request that arrives. */
typedef enum
{
  CF_RETURN_NEW,   /**< no place was given to it */
  CF_RETURN_DUE,   /**< it returns at its time or soon after */
  CF_RETURN_EARLY, /**< it returns before its time */
} CfReturnState;

/** CfReturnPlace: a time at which a refused caller may return. */
typedef struct
{
  guint64 key; /**< first bytes of the request's digest */
  gint64 due_ms;
  gint64 urgency;
  gboolean is_own;    /**< given out by this gateway, not by a peer */
  gboolean is_unsent; /**< peers are still to be told of it */
} CfReturnPlace;

/** CfReturnSpan: a time without a gap between the places of an urgency and of
 * higher ones. */
typedef struct
{
  double from_ms;
  double to_ms; /**< not after @from_ms: none is known */
  double interval_ms;
  gint64 urgency;
} CfReturnSpan;

typedef struct CfReturnEntry CfReturnEntry;
typedef TAILQ_HEAD (CfReturnEntryList, CfReturnEntry) CfReturnEntryList;

/**
 * CfReturnSchedule:
 * Times at which callers that one service refused may return.  Each place is
 * given out once, at a rate at which capacity is expected to be free.
 *
 * It handles some ten thousand refusals a second: a place is found by a walk
 * over those that are due before the longest wait, and the walk skips the time
 * that the former one found to be taken.  All zeros is an empty schedule.
 */
typedef struct
{
  GHashTable *by_key;       /**< (nullable): key -> #CfReturnEntry */
  GSequence *by_due;        /**< (nullable): of #CfReturnEntry, owned */
  CfReturnEntryList unsent; /**< initialized with @by_key */
  CfReturnSpan taken;
} CfReturnSchedule;

/** CfReturnRequest: a refused request and the state that its place depends on.
 */
typedef struct
{
  guint64 key;
  gint64 urgency;
  gint64 now_ms;
  gint64 opens_ms;     /**< when capacity begins to be free; not before now */
  double drain_per_s;  /**< requests that this gateway's share ends per second;
                            0: unknown */
  guint n_ahead;       /**< waiting requests of the same or a higher urgency */
  gint64 remaining_ms; /**< until the caller's deadline */
  gboolean is_anonymous; /**< its caller cannot be recognised by @key: peers
                              are not told of the place */
} CfReturnRequest;

void cf_return_schedule_clear (CfReturnSchedule *s);

/** cf_return_key: the key of a request with digest @d. */
guint64 cf_return_key (const CfRequestDigest *d);

/**
 * cf_return_schedule_assign:
 * Gives the caller of a refused request a place, or the one that it has
 * already. Returns: the time until then in ms: no more than callers accept.
 */
gint64 cf_return_schedule_assign (CfReturnSchedule *s,
                                  const CfReturnRequest *r);

/**
 * cf_return_schedule_check:
 * @wait_ms: (out): time left until its place, if it is early; else 0
 */
CfReturnState cf_return_schedule_check (CfReturnSchedule *s, guint64 key,
                                        gint64 now_ms, gint64 *wait_ms);

/** cf_return_schedule_remove: the caller with @key was served, or is being
 * served. */
void cf_return_schedule_remove (CfReturnSchedule *s, guint64 key);

/**
 * cf_return_schedule_put_peer:
 * A peer gave out the place @p.  If the caller has one already, the later one
 * counts: a caller gets another place only after it came for the former.
 */
void cf_return_schedule_put_peer (CfReturnSchedule *s, const CfReturnPlace *p,
                                  gint64 now_ms);

/**
 * cf_return_schedule_take_unsent:
 * @out: (out): a place that peers are still to be told of.  Those due within
 *   50 ms are dropped: most callers come before peers know the place.
 * Returns: %FALSE if there is none.
 */
gboolean cf_return_schedule_take_unsent (CfReturnSchedule *s, gint64 now_ms,
                                         CfReturnPlace *out);

/** cf_return_schedule_count: places due from @from_ms until before @to_ms. */
guint cf_return_schedule_count (const CfReturnSchedule *s, gint64 from_ms,
                                gint64 to_ms);

/** cf_return_schedule_is_empty: whether no place is left at @now_ms. */
gboolean cf_return_schedule_is_empty (CfReturnSchedule *s, gint64 now_ms);

/** cf_return_schedule_expire: drops places that no caller came for. */
void cf_return_schedule_expire (CfReturnSchedule *s, gint64 now_ms);
