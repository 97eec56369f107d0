#pragma once

/**
 * Mechanisms that a build can leave out, so that what each is worth can be
 * measured against the same load: make deploy WITHOUT="CF_WITHOUT_RESUME".
 * Never set in what runs for users.
 */

/** Expert maps are never changed. */
#ifndef CF_WITHOUT_MAP_CHANGES
#define CF_WITHOUT_MAP_CHANGES 0
#endif
/** A change of map is asked for the same gain at all times. */
#ifndef CF_WITHOUT_PRICED_COPIES
#define CF_WITHOUT_PRICED_COPIES 0
#endif
/** Requests are sent on while a rank group takes no work. */
#ifndef CF_WITHOUT_OUTAGE_WAIT
#define CF_WITHOUT_OUTAGE_WAIT 0
#endif
/** Requests that are late already leave no room for others. */
#ifndef CF_WITHOUT_YIELDING
#define CF_WITHOUT_YIELDING 0
#endif
/** Gateways do not tell one another which targets are slow. */
#ifndef CF_WITHOUT_SHARED_PACE
#define CF_WITHOUT_SHARED_PACE 0
#endif
/** Targets that fail are never ejected. */
#ifndef CF_WITHOUT_EJECTION
#define CF_WITHOUT_EJECTION 0
#endif
/** Targets that stand still are used, and waited for. */
#ifndef CF_WITHOUT_STALL_CHECK
#define CF_WITHOUT_STALL_CHECK 0
#endif
/** Each gateway uses a target's slots as if it were alone. */
#ifndef CF_WITHOUT_FLEET_SHARES
#define CF_WITHOUT_FLEET_SHARES 0
#endif
/** Streams that break off are not taken up elsewhere. */
#ifndef CF_WITHOUT_RESUME
#define CF_WITHOUT_RESUME 0
#endif
/** Nothing is sent a second time. */
#ifndef CF_WITHOUT_RETRIES
#define CF_WITHOUT_RETRIES 0
#endif
/** Searches for the least loaded target begin by turns, not at the gateway's
 * own place. */
#ifndef CF_WITHOUT_TARGET_RING
#define CF_WITHOUT_TARGET_RING 0
#endif
/** Requests in flight at a service are not limited. */
#ifndef CF_WITHOUT_CONCURRENCY_LIMIT
#define CF_WITHOUT_CONCURRENCY_LIMIT 0
#endif
/** Requests that crash targets are sent on. */
#ifndef CF_WITHOUT_QUARANTINE
#define CF_WITHOUT_QUARANTINE 0
#endif
/** The rates that targets name are not kept. */
#ifndef CF_WITHOUT_RATE_LIMITS
#define CF_WITHOUT_RATE_LIMITS 0
#endif
