#pragma once

#include <glib.h>

/** Longest pause that is accepted.  The target of a longer one gets a request
 * after this time, and may ask again. */
#define CF_TARGET_PAUSE_MAX_MS 600000

/**
 * CfTargetPause:
 * The time during which a target wants no requests from this gateway, as it
 * stated with a refusal.  It applies to this gateway alone: the target asks
 * each gateway that it wants to stop.
 */
typedef struct
{
  gint64 until_ms; /**< by the monotonic clock */
} CfTargetPause;

/**
 * cf_target_pause_begin:
 * Begins a pause of @seconds.  It does not shorten one that has begun, since
 * the target may have meant both.
 * @seconds: not positive: none
 */
void cf_target_pause_begin (CfTargetPause *p, double seconds, gint64 now_ms);

/** cf_target_pause_remaining_ms: how much longer it lasts; 0 if it is over. */
gint64 cf_target_pause_remaining_ms (const CfTargetPause *p, gint64 now_ms);
