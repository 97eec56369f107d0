#pragma once

#include "suspects.h"

/** Number of target crashes during a request that quarantine it. */
#define CF_QUARANTINE_CRASH_THRESHOLD 3
/** Crashes closer together count as one: when a rack fails, a retry may reach
 * the next target just before that one goes down as well. */
#define CF_QUARANTINE_MIN_INTERVAL_MS 100
/** How long a record is kept after the request's last crash or attempt. */
#define CF_QUARANTINE_RETENTION_MS 600000
/** A record expires this long after the request's last crash even if attempts
 * go on, so that a request suspected by mistake is not refused for ever. */
#define CF_QUARANTINE_MAX_AGE_MS 3600000
/** Maximum number of records; those with the fewest crashes are evicted first.
 */
#define CF_QUARANTINE_MAX_RECORDS 1024

/**
 * CfQuarantine:
 * Records of requests, and of parts of prompts, during which targets crashed.
 * One during which several targets have crashed, and on which none has worked
 * without crashing, is assumed to be the cause: it is quarantined, and requests
 * with it are no longer sent.  What is said of requests below holds for parts
 * as well.
 *
 * Only consecutive crashes count as evidence, where each attempt was sent some
 * time after the previous crash.  Targets that crash together, as those of a
 * rack do, while each of them has a popular request, count as one crash.
 *
 * A crash that something quarantined explains is no evidence against anything
 * else: requests that differ may share both the part that crashes targets and
 * others that do not.
 *
 * Gateways exchange the crashes of each request and merge them; merging is
 * idempotent.  An answer to a request clears its record on all gateways, so
 * that a harmless one that was running when targets crashed does not stay
 * suspected.
 */
typedef struct CfQuarantine CfQuarantine;

/** CfCrash: a crash of a target while it had the request. */
typedef struct
{
  char *target;   /**< its id and the incarnation that crashed */
  gint64 sent_ms; /**< when the request was sent to it */
  gint64 lost_ms; /**< when it crashed */
} CfCrash;

/** CfCrashRecord: the crashes during one request; times are by the monotonic
 * clock. */
typedef struct
{
  CfRequestDigest digest;
  CfCrash crashes[CF_QUARANTINE_CRASH_THRESHOLD]; /**< consecutive ones */
  guint n;                                        /**< number of @crashes */
  gboolean was_quarantined;                       /**< until it was cleared */
  gint64 seen_ms;                                 /**< last crash or attempt */
  gint64 notified_ms; /**< the @seen_ms that peers were last notified of */
} CfCrashRecord;

CfQuarantine *cf_quarantine_new (void);
void cf_quarantine_free (CfQuarantine *q);

/** cf_quarantine_size: the number of records. */
guint cf_quarantine_size (const CfQuarantine *q);

/**
 * cf_quarantine_may_be_crash:
 * Whether a target that ended a connection in the middle of a request may have
 * crashed.  A rank that waits for a lost one closes its connections too, but
 * has sent nothing for @stall_ms by then.
 * @quiet_ms: time since the target last sent something
 * @stall_ms: how long targets wait for one another; 0: they do not
 */
gboolean cf_quarantine_may_be_crash (gint64 quiet_ms, gint64 stall_ms);

/**
 * cf_quarantine_merge:
 * Adds @n crashes, in any order, that happened during the request.
 * @seen_ms: when the request's last crash or attempt was
 * Returns: %TRUE if this quarantines the request.
 */
gboolean cf_quarantine_merge (CfQuarantine *q, const CfRequestDigest *d,
                              const CfCrash *crashes, guint n, gint64 seen_ms);

/** cf_quarantine_clear: removes the record of a request that was answered.
 * Returns %FALSE if there was none. */
gboolean cf_quarantine_clear (CfQuarantine *q, const CfRequestDigest *d);

/** cf_quarantine_mark_sound: a target works on part @d without crashing:
 * removes its record, and remembers it.  Returns %FALSE if there was no record.
 */
gboolean cf_quarantine_mark_sound (CfQuarantine *q, const CfRequestDigest *d,
                                   gint64 now_ms);

/** cf_quarantine_is_sound: whether a target has worked on part @d recently
 * without crashing. */
gboolean cf_quarantine_is_sound (const CfQuarantine *q,
                                 const CfRequestDigest *d, gint64 now_ms);

/** cf_quarantine_contains: whether the request is quarantined. */
gboolean cf_quarantine_contains (const CfQuarantine *q,
                                 const CfRequestDigest *d);

/** cf_quarantine_first_crash_ms: when a target first crashed during the
 * request; -1 if none has. */
gint64 cf_quarantine_first_crash_ms (const CfQuarantine *q,
                                     const CfRequestDigest *d);

/** cf_quarantine_crashes: the number of consecutive crashes during the request.
 */
guint cf_quarantine_crashes (const CfQuarantine *q, const CfRequestDigest *d);

/**
 * cf_quarantine_check:
 * Records an attempt of the request, so that its record is kept for longer.
 * Returns: whether the request is quarantined.
 */
gboolean cf_quarantine_check (CfQuarantine *q, const CfRequestDigest *d,
                              gint64 now_ms);

/** cf_quarantine_expire: removes the records that are past their retention or
 * maximum age. */
void cf_quarantine_expire (CfQuarantine *q, gint64 now_ms);

/** CfCrashVisitor: called for a record; @r has no crashes if the request was
 * cleared. */
typedef void (*CfCrashVisitor) (void *data, const CfCrashRecord *r);

/** cf_quarantine_foreach: visits all records. */
void cf_quarantine_foreach (CfQuarantine *q, CfCrashVisitor visitor,
                            void *data);

/** cf_quarantine_flush: visits the records that changed since the last flush,
 * which peers are to be notified of. */
void cf_quarantine_flush (CfQuarantine *q, CfCrashVisitor visitor, void *data);

/** cf_crash_record_is_or_was_quarantined: whether the request of @r is, or was
 * until it was cleared, quarantined. */
gboolean cf_crash_record_is_or_was_quarantined (const CfCrashRecord *r);

/** cf_quarantine_discard_changes: drops the pending changes, as there are no
 * peers to notify. */
void cf_quarantine_discard_changes (CfQuarantine *q);

/** cf_quarantine_has_changes: whether a flush would visit any record. */
gboolean cf_quarantine_has_changes (const CfQuarantine *q);
