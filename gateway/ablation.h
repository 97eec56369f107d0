#pragma once

/**
 * Compile-time switches that leave out one mechanism each, to measure its
 * benefit under the same load: make deploy WITHOUT="CF_WITHOUT_RESUME".
 * Never set in production builds.
 */

/** Expert maps are never changed. */
#ifndef CF_WITHOUT_MAP_CHANGES
#define CF_WITHOUT_MAP_CHANGES 0
#endif
/** The minimum gain of an expert map change is constant. */
#ifndef CF_WITHOUT_PRICED_COPIES
#define CF_WITHOUT_PRICED_COPIES 0
#endif
/** Requests are sent even while a rank group refuses all work. */
#ifndef CF_WITHOUT_OUTAGE_WAIT
#define CF_WITHOUT_OUTAGE_WAIT 0
#endif
/** Queued requests that can no longer meet their objective do not yield to
 * others. */
#ifndef CF_WITHOUT_YIELDING
#define CF_WITHOUT_YIELDING 0
#endif
/** Gateways do not inform one another of slow targets. */
#ifndef CF_WITHOUT_SHARED_PACE
#define CF_WITHOUT_SHARED_PACE 0
#endif
/** Failing targets are never ejected. */
#ifndef CF_WITHOUT_EJECTION
#define CF_WITHOUT_EJECTION 0
#endif
/** Stalled targets stay in use, and requests wait for them. */
#ifndef CF_WITHOUT_STALL_CHECK
#define CF_WITHOUT_STALL_CHECK 0
#endif
/** Each gateway uses all slots of a target, as if it were the only gateway. */
#ifndef CF_WITHOUT_FLEET_SHARES
#define CF_WITHOUT_FLEET_SHARES 0
#endif
/** Streams that break off are not resumed at another target. */
#ifndef CF_WITHOUT_RESUME
#define CF_WITHOUT_RESUME 0
#endif
/** Requests are never retried. */
#ifndef CF_WITHOUT_RETRIES
#define CF_WITHOUT_RETRIES 0
#endif
/** Searches for the least loaded target start round-robin, not at the gateway's
 * own position on the ring of targets. */
#ifndef CF_WITHOUT_TARGET_RING
#define CF_WITHOUT_TARGET_RING 0
#endif
/** The number of requests in flight at a service is not limited. */
#ifndef CF_WITHOUT_CONCURRENCY_LIMIT
#define CF_WITHOUT_CONCURRENCY_LIMIT 0
#endif
/** Parts of prompts that crash targets are not looked for. */
#ifndef CF_WITHOUT_PART_QUARANTINE
#define CF_WITHOUT_PART_QUARANTINE 0
#endif
/** Requests that crash targets are sent like any other. */
#ifndef CF_WITHOUT_QUARANTINE
#define CF_WITHOUT_QUARANTINE 0
#endif
/** Rate limits announced by targets are ignored. */
#ifndef CF_WITHOUT_RATE_LIMITS
#define CF_WITHOUT_RATE_LIMITS 0
#endif
/** A request during which a target has crashed is sent like any other until it
 * is quarantined. */
#ifndef CF_WITHOUT_SUSPECT_TURNS
#define CF_WITHOUT_SUSPECT_TURNS 0
#endif
/** An outage of one rank group holds back requests that others could serve. */
#ifndef CF_WITHOUT_GROUP_FAILOVER
#define CF_WITHOUT_GROUP_FAILOVER 0
#endif
/** Cold targets get requests like any other. */
#ifndef CF_WITHOUT_WARMUP
#define CF_WITHOUT_WARMUP 0
#endif
/** All gateways have equal shares of a service, whatever their demand. */
#ifndef CF_WITHOUT_DEMAND_SHARES
#define CF_WITHOUT_DEMAND_SHARES 0
#endif
/** Targets in other data centres are used like local ones. */
#ifndef CF_WITHOUT_LOCAL_TARGETS
#define CF_WITHOUT_LOCAL_TARGETS 0
#endif
/** Pauses that targets request are ignored. */
#ifndef CF_WITHOUT_TARGET_PAUSES
#define CF_WITHOUT_TARGET_PAUSES 0
#endif
