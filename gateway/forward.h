#pragma once

#include "http-reader.h"

/**
 * cf_forward_build_request:
 * @r: the caller's request, its head read
 * @body: its complete body
 * @added: headers that the gateway sets
 * Returns: the bytes to send to a target: the caller's request with @added,
 *   and without the hop-by-hop headers, the API key and headers that
 *   only the gateway may set.
 */
GString *cf_forward_build_request (const CfHttpReader *r, const GString *body,
                                   const CfForwardHeaders *added);
