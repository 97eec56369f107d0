#pragma once

#include "error.h"

/**
 * cf_http_call:
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @url: the complete URL
 * @body: (nullable): a JSON body to send
 * @headers: (nullable): %NULL-terminated "Name: value" lines
 * @timeout_ms: the limit for connect, request and reply together
 * @code: (out): the HTTP status
 * @out: (out) (optional): the reply body, a new string
 *
 * Each thread keeps its own libcurl handle, so that connections to the same
 * peer are reused.  If a reused connection closes before any answer, the
 * request may be sent a second time: use this for repeatable requests only.
 *
 * An answer whose end is marked only by the end of its connection is complete
 * if it is a JSON object or array; of any other it is not known.  An answer
 * that is not text in UTF-8, or has a NUL byte, fails with %CF_ERR_HTTP.
 *
 * Returns: %CF_OK if there was a complete answer with any status; %CF_ERR_NET
 * if the peer could not be reached (the request was not sent); %CF_ERR_TIMEOUT
 * or %CF_ERR_HTTP if it was sent and there was no complete answer.
 */
CfStatus cf_http_call (const char *method, const char *url, const char *body,
                       const char *const *headers, long timeout_ms, long *code,
                       char **out);

/**
 * cf_http_call_once:
 * As cf_http_call(), but on a new connection, so that the request is never
 * sent twice: for calls and orders that must not be repeated.
 */
CfStatus cf_http_call_once (const char *method, const char *url,
                            const char *body, const char *const *headers,
                            long timeout_ms, long *code, char **out);
