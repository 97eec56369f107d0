#pragma once

#include <glib.h>

/**
 * CfGather:
 * How soon news are asked for again: at once while they are few, and so that
 * they come together while they are many, as at a start, where each entry
 * would cost a call of every gateway.
 */
typedef struct
{
  gint64 spent_until_ms; /**< each call at once uses up a part of the time
                              that is to lie between calls */
} CfGather;

/**
 * cf_gather_pause_ms:
 * News came, and the next call is about to be made.
 * Returns: for how long to wait before it; at most the time between two calls.
 */
gint64 cf_gather_pause_ms (CfGather *g, gint64 now_ms);
