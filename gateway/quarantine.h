#pragma once

#include "request-digest.h"

/** Crashes of targets under one request after which it is quarantined. */
#define CF_QUARANTINE_CRASH_THRESHOLD 3
/** Crashes that are less apart count as one: where a rack fails, a retry may
 * reach the next target just before it goes down as well. */
#define CF_QUARANTINE_MIN_INTERVAL_MS 100
/** How long a request is remembered after its last crash or attempt. */
#define CF_QUARANTINE_RETENTION_MS 600000
/** How long after its last crash at most, whatever attempts come: one that was
 * held to be the cause without being it is not refused for ever. */
#define CF_QUARANTINE_MAX_AGE_MS 3600000
/** Requests remembered at most; those with the fewest crashes go first. */
#define CF_QUARANTINE_MAX_RECORDS 1024

/**
 * CfQuarantine:
 * Requests during which targets crashed.  One during which several have, while
 * none has answered it, is taken to be the cause: it is quarantined, and not
 * sent any more.
 *
 * Only crashes one after another tell of the request: each attempt was sent
 * some time after the crash before it.  Targets that crash together, as those
 * of a rack do, while each has a popular request, count as one.
 *
 * Gateways exchange the crashes of each request and merge them; applying an
 * update twice changes nothing.  An answer to a request clears its record
 * everywhere, so that a healthy one that was running when targets crashed does
 * not stay suspected.
 */
typedef struct CfQuarantine CfQuarantine;

/** CfCrash: a target crashed while it had a request. */
typedef struct
{
  char *target;   /**< the incarnation that crashed */
  gint64 sent_ms; /**< when the request was sent to it */
  gint64 lost_ms; /**< when it crashed */
} CfCrash;

/** CfCrashRecord: what is known of one request; times are by the steady clock.
 */
typedef struct
{
  CfRequestDigest digest;
  CfCrash crashes[CF_QUARANTINE_CRASH_THRESHOLD]; /**< one after another */
  guint n;                                        /**< number of @crashes */
  gboolean was_quarantined;                       /**< and was cleared since */
  gint64 seen_ms;                                 /**< last crash or attempt */
  gint64 notified_ms; /**< @seen_ms as peers were last notified of it */
} CfCrashRecord;

CfQuarantine *cf_quarantine_new (void);
void cf_quarantine_free (CfQuarantine *q);

/** cf_quarantine_size: requests that are remembered. */
guint cf_quarantine_size (const CfQuarantine *q);

/**
 * cf_quarantine_may_be_crash:
 * Whether a target that ended a connection in the middle of work may have
 * crashed.  A rank that waits for a lost one ends its connections too, but has
 * shown no sign of work for @stall_ms by then.
 * @quiet_ms: since the last sign of work
 * @stall_ms: how long targets wait for one another; 0: they do not
 */
gboolean cf_quarantine_may_be_crash (gint64 quiet_ms, gint64 stall_ms);

/**
 * cf_quarantine_merge:
 * Notes @n crashes, in any order, that happened during the request.
 * @seen_ms: its last crash or attempt
 * Returns: %TRUE if the request is quarantined by this.
 */
gboolean cf_quarantine_merge (CfQuarantine *q, const CfRequestDigest *d,
                              const CfCrash *crashes, guint n, gint64 seen_ms);

/** cf_quarantine_clear: the request was answered; %FALSE if it was not
 * suspected. */
gboolean cf_quarantine_clear (CfQuarantine *q, const CfRequestDigest *d);

/** cf_quarantine_crashes: targets that crashed one after another during the
 * request. */
guint cf_quarantine_crashes (const CfQuarantine *q, const CfRequestDigest *d);

/**
 * cf_quarantine_check:
 * An attempt of the request came; it is remembered for longer.
 * Returns: whether it is quarantined.
 */
gboolean cf_quarantine_check (CfQuarantine *q, const CfRequestDigest *d,
                              gint64 now_ms);

/** cf_quarantine_expire: forgets what was not seen for long. */
void cf_quarantine_expire (CfQuarantine *q, gint64 now_ms);

/** CfCrashVisitor: @r has no crashes if the request was cleared. */
typedef void (*CfCrashVisitor) (void *data, const CfCrashRecord *r);

/** cf_quarantine_foreach: visits all. */
void cf_quarantine_foreach (CfQuarantine *q, CfCrashVisitor visit, void *data);

/** cf_quarantine_flush: visits those that changed since the last flush; peers
 * are to be notified of them. */
void cf_quarantine_flush (CfQuarantine *q, CfCrashVisitor visit, void *data);

/** cf_crash_record_is_or_was_quarantined: whether the request of @r is, or was
 * until it was cleared, quarantined. */
gboolean cf_crash_record_is_or_was_quarantined (const CfCrashRecord *r);

/** cf_quarantine_discard_changes: there is no one to be notified. */
void cf_quarantine_discard_changes (CfQuarantine *q);

/** cf_quarantine_has_changes: whether a flush would visit any. */
gboolean cf_quarantine_has_changes (const CfQuarantine *q);
