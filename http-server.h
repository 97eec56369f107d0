#pragma once

#include "error.h"

#include <glib.h>
#include <stddef.h>

struct MHD_Connection;

/** The largest request body an HTTP server of ours reads, in bytes. */
#define CF_HTTP_BODY_MAX_BYTES ((size_t)1024 * 1024)

/** CfHttpRequest: one whole HTTP request, body read in full. */
typedef struct
{
  const char *method;
  const char *path; /**< without the query string */
  const char *body; /**< NUL-terminated; "" when there is none */
  size_t body_len;
  struct MHD_Connection *conn;
} CfHttpRequest;

/** CfHttpReply: what a handler fills in; strings are freed by the server. */
typedef struct
{
  int code;
  char *body;               /**< JSON text, owned */
  long retry_after_ms;      /**< >0 adds a Retry-After header, in seconds */
  const char *content_type; /**< %NULL means application/json */
  gboolean close;           /**< tell the peer not to reuse the connection */
  int drop; /**< non-zero closes the connection without any reply (tests) */
} CfHttpReply;

/**
 * CfHttpHandler:
 * Called on a connection's own thread once the body is read; it may block,
 * as the server runs a thread per connection.
 */
typedef void (*CfHttpHandler) (void *data, const CfHttpRequest *req,
                               CfHttpReply *rep);

typedef struct CfHttpServer CfHttpServer;

/**
 * cf_http_server_start:
 * @addr: "IP:PORT" to listen on
 *
 * Returns: %CF_OK, or %CF_ERR_NET if the address cannot be bound.
 */
CfStatus cf_http_server_start (const char *addr, CfHttpHandler fn, void *data,
                               CfHttpServer **out);

/** cf_http_server_quiesce: stops accepting connections; open ones go on. */
void cf_http_server_quiesce (CfHttpServer *s);

/**
 * cf_http_server_count_active: requests begun whose reply is not yet sent.
 */
int cf_http_server_count_active (const CfHttpServer *s);

/** cf_http_server_stop: closes every connection and frees @s. */
void cf_http_server_stop (CfHttpServer *s);

/** cf_http_query_arg: a query-string argument of @req, or %NULL. */
const char *cf_http_query_arg (const CfHttpRequest *req, const char *name);

/** cf_http_header: a request header of @req, or %NULL. */
const char *cf_http_header (const CfHttpRequest *req, const char *name);

/**
 * cf_http_is_caller_gone: whether the caller has closed its connection, or its
 * half of it, before the answer.
 */
gboolean cf_http_is_caller_gone (const CfHttpRequest *req);

/** cf_http_reply_error: fills @rep with `{"error": @what, "message": ...}`. */
void cf_http_reply_error (CfHttpReply *rep, int code, const char *what,
                          const char *message);
