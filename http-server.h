#pragma once

#include "error.h"

#include <glib.h>
#include <stddef.h>

struct MHD_Connection;

/** The largest request body that the HTTP server accepts, in bytes. */
#define CF_HTTP_BODY_MAX_BYTES ((size_t)1024 * 1024)

/** CfHttpRequest: one HTTP request, with its complete body. */
typedef struct
{
  const char *method;
  const char *path; /**< without the query string */
  const char *body; /**< NUL-terminated; "" if there is none */
  size_t body_len;
  struct MHD_Connection *conn;
} CfHttpRequest;

/** CfHttpFraming: what marks the end of a reply's body. */
typedef enum
{
  CF_HTTP_LENGTH,  /**< its Content-Length */
  CF_HTTP_CHUNKED, /**< its last chunk */
  CF_HTTP_CLOSE,   /**< the end of the connection only */
} CfHttpFraming;

/** CfHttpReply: the reply, which a handler fills in. */
typedef struct
{
  int code;
  char *body;               /**< JSON text; the server frees it */
  long retry_after_ms;      /**< >0 adds a Retry-After header, in seconds */
  const char *content_type; /**< %NULL means application/json */
  gboolean close;           /**< tell the peer not to reuse the connection */
  int drop; /**< non-zero closes the connection without a reply (for tests) */
  CfHttpFraming framing; /**< other than %CF_HTTP_LENGTH is for tests */
  gboolean is_cut;       /**< close the connection in mid body (for tests) */
  size_t cut_after;      /**< bytes of the body sent before that */
} CfHttpReply;

/**
 * CfHttpHandler:
 * Called with a complete request, on the connection's own thread, so it may
 * block.
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

/** cf_http_server_quiesce: accepts no new connections; serves open ones. */
void cf_http_server_quiesce (CfHttpServer *s);

/**
 * cf_http_server_count_active: the number of requests with a complete head
 * whose reply has not been sent.
 */
int cf_http_server_count_active (const CfHttpServer *s);

/** cf_http_server_stop: closes every connection and frees @s. */
void cf_http_server_stop (CfHttpServer *s);

/** cf_http_query_arg: the query argument @name of @req, or %NULL. */
const char *cf_http_query_arg (const CfHttpRequest *req, const char *name);

/** cf_http_header: the request header @name of @req, or %NULL. */
const char *cf_http_header (const CfHttpRequest *req, const char *name);

/**
 * cf_http_is_caller_gone: whether the caller has closed its connection, or
 * shut down its sending side, before the answer.
 */
gboolean cf_http_is_caller_gone (const CfHttpRequest *req);

/** cf_http_reply_error: fills @rep with `{"error": @error, "message": ...}`. */
void cf_http_reply_error (CfHttpReply *rep, int code, const char *error,
                          const char *message);
