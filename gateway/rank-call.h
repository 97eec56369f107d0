#pragma once

#include "target.h"

#include <ev.h>

/** CfRankCallDone: reports the HTTP status and body of an answer, or status 0
 * if there was no complete answer. */
typedef void (*CfRankCallDone) (void *data, int status, const GString *body);

/**
 * cf_rank_call:
 * Sends an HTTP request to a rank and calls @done exactly once, at the latest
 * after @timeout_ms.
 * @request: (transfer full): head and body
 */
void cf_rank_call (struct ev_loop *loop, CfTarget *t, GString *request,
                   gint64 timeout_ms, CfRankCallDone done, void *data);
