#pragma once

#include "target.h"

#include <ev.h>

/**
 * cf_rank_call:
 * Sends @request, which is taken over, to @t, and calls @done once with the
 * HTTP status and the body, or with status 0 if no whole answer came within
 * @timeout_ms.
 */
typedef void (*CfRankCallDone) (void *data, int status, const GString *body);

void cf_rank_call (struct ev_loop *loop, CfTarget *t, GString *request,
                   gint64 timeout_ms, CfRankCallDone done, void *data);
