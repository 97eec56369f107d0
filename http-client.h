#pragma once

#include "error.h"

/**
 * cf_http_call:
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @url: the whole URL
 * @body: (nullable): a JSON body to send
 * @headers: (nullable): %NULL-terminated "Name: value" lines
 * @timeout_ms: the whole exchange's limit
 * @code: (out): the HTTP status
 * @out: (out) (optional): the reply body, a new string
 *
 * Each thread keeps its own libcurl handle, so that connections to the
 * same peer are reused.  On a reused connection that closes unanswered the
 * request may be sent a second time: use it for what may be repeated.
 *
 * Returns: %CF_OK once any status came back; %CF_ERR_NET if the peer could
 * not be reached (the request was not sent); %CF_ERR_TIMEOUT or
 * %CF_ERR_HTTP if it was sent and no whole answer came.
 */
CfStatus cf_http_call (const char *method, const char *url, const char *body,
                       const char *const *headers, long timeout_ms, long *code,
                       char **out);

/**
 * cf_http_call_once:
 * As cf_http_call(), on a connection of its own, so that the request is
 * never sent twice: for calls and orders that may not be repeated.
 */
CfStatus cf_http_call_once (const char *method, const char *url,
                            const char *body, const char *const *headers,
                            long timeout_ms, long *code, char **out);
