#pragma once

#include "gateway/http-reader.h"
#include "gateway/target.h"

#include <ev.h>
#include <glib.h>

/**
 * The open-loop mode of comfrey-callers: requests arrive at a given rate,
 * whether or not earlier ones have been answered, and callers that are refused
 * may return.
 */

/** callers_load_options: the options of this mode. */
extern const GOptionEntry callers_load_options[];

/** callers_load_is_requested: whether the options ask for this mode. */
gboolean callers_load_is_requested (void);

/**
 * callers_load_check_options:
 * Parses the options of this mode.
 * @n_gateways: number of gateways given
 * Returns: (nullable): what is wrong with them.
 */
const char *callers_load_check_options (guint n_gateways);

/**
 * callers_load_run:
 * Sends requests to @gateways until the duration is over and all have ended,
 * and prints one line for each kind of request and each gateway.
 * @api_key: of the kinds that name none
 * Returns: 0 if all were answered or refused, 1 if any was lost.
 */
int callers_load_run (struct ev_loop *loop, CfTarget **gateways,
                      guint n_gateways, const char *api_key);

/** callers_retry_after_s: the time in seconds, up to @max_s, after which an
 * answer asks its caller to return; 0 if it names none. */
double callers_retry_after_s (const CfHttpReader *r, double max_s);
