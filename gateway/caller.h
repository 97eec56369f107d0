#pragma once

#include "gateway.h"
#include "http-reader.h"

typedef struct CfExchange CfExchange;

/**
 * CfCaller:
 * A caller's connection.  It reads one request whole, has an exchange
 * answer it, and reads the next.
 */
struct CfCaller
{
  TAILQ_ENTRY (CfCaller) link;
  CfGateway *g;
  ev_io io;
  ev_timer timer; /**< header and idle timeouts, and lingering */
  CfHttpReader reader;
  GString *in;   /**< bytes behind the current request */
  GString *body; /**< of the current request */
  GString *out;
  gsize out_sent;
  gint64 accepted_ms;
  gboolean served;    /**< it had an answer already */
  CfExchange *x;      /**< answers the current request */
  gboolean chunked;   /**< the answer is sent in chunks */
  gboolean close;     /**< no request after this answer */
  gboolean lingering; /**< only waits for the caller to close */
  gboolean too_large;
  gboolean in_read; /**< freed only after the read */
  gboolean dead;
};

/** cf_caller_accept: takes all connections that wait at @listener. */
void cf_caller_accept (CfGateway *g, int listener);

/**
 * cf_caller_begin_answer:
 * Begins the answer.
 * @headers: (nullable): whole header lines, each with its line end
 * @length: of the body, or -1 if it is not known yet
 */
void cf_caller_begin_answer (CfCaller *c, int status, const char *headers,
                             gint64 length);

/** cf_caller_append_body: more of the answer's body. */
void cf_caller_append_body (CfCaller *c, const char *data, gsize n);

/** cf_caller_end_answer: the answer is whole; the exchange is done with @c. */
void cf_caller_end_answer (CfCaller *c);

/** cf_caller_flush: sends what can be sent. */
void cf_caller_flush (CfCaller *c);

/** cf_caller_abort: closes at once, so that the answer looks cut off. */
void cf_caller_abort (CfCaller *c);

/** cf_caller_unsent_bytes: bytes of the answer that are not sent yet. */
gsize cf_caller_unsent_bytes (const CfCaller *c);

/** cf_caller_close_idle: closes those that have no request in progress. */
void cf_caller_close_idle (CfGateway *g);

/** cf_caller_abort_all: answers what can be answered, and closes all. */
void cf_caller_abort_all (CfGateway *g);
