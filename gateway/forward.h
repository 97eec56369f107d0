#pragma once

#include "http-reader.h"

/**
 * cf_forward_build_request:
 * @r: the caller's request, its head read
 * @body: its whole body
 * @ours: the headers that we set
 * Returns: the bytes to send to a target: the caller's request with the
 *   headers of its connection and its API key taken out and @ours put in.
 */
GString *cf_forward_build_request (const CfHttpReader *r, const GString *body,
                                   const CfForwardHeaders *ours);
