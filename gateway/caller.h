#pragma once

#include "gateway.h"
#include "http-reader.h"

typedef struct CfExchange CfExchange;

/**
 * CfCaller:
 * A caller's connection.  It reads one complete request, starts an exchange
 * that answers it, and only then parses the next request.
 */
struct CfCaller
{
  TAILQ_ENTRY (CfCaller) link;
  CfGateway *gateway;
  ev_io io;
  ev_timer timer; /**< header timeout, idle timeout or linger time */
  CfHttpReader reader;
  GString *input;    /**< received bytes not parsed yet */
  GString *body;     /**< of the current request, decoded */
  GString *output;   /**< bytes of the answer, sent and unsent */
  gsize output_sent; /**< how many bytes of @output are sent */
  gint64 accepted_ms;
  gboolean served;             /**< at least one answer was completed */
  CfExchange *exchange;        /**< exchange of the current request */
  gboolean chunked;            /**< the answer uses chunked encoding */
  gboolean has_no_body;        /**< the answer ends with its head */
  gboolean resets_on_close;    /**< the end of the connection would end the
                                    answer, which is not complete yet */
  gboolean close_after_answer; /**< no further request is read */
  gboolean lingering;          /**< waits for the caller to close */
  gboolean body_too_large;     /**< over max-body-bytes */
  gboolean in_io_handler;      /**< on_io() runs */
  gboolean is_closed;          /**< to be freed at the end of on_io() */
};

/** cf_caller_accept: accepts all pending connections of @listener. */
void cf_caller_accept (CfGateway *g, int listener);

/**
 * cf_caller_begin_answer:
 * Appends the status line and the headers of the answer to the output.
 * @headers: (nullable): complete header lines, each with its CRLF
 * @length: length of the body, or -1 if it is not known yet
 */
void cf_caller_begin_answer (CfCaller *c, int status, const char *headers,
                             gint64 length);

/** cf_caller_append_body: appends @n bytes of the answer's body. */
void cf_caller_append_body (CfCaller *c, const char *data, gsize n);

/** cf_caller_end_answer: completes the answer and detaches the exchange. */
void cf_caller_end_answer (CfCaller *c);

/** cf_caller_flush: sends as much output as the socket takes. */
void cf_caller_flush (CfCaller *c);

/** cf_caller_abort: closes the connection at once, so that the caller sees a
 * truncated answer.  If its end would be the end of the answer, it is reset. */
void cf_caller_abort (CfCaller *c);

/** cf_caller_unsent_bytes: bytes of output that are not sent yet. */
gsize cf_caller_unsent_bytes (const CfCaller *c);

/** cf_caller_close_idle: closes callers that have no request in progress,
 * except new connections whose first request may be in transit. */
void cf_caller_close_idle (CfGateway *g);

/** cf_caller_abort_all: ends all exchanges, refuses unfinished requests and
 * closes all callers. */
void cf_caller_abort_all (CfGateway *g);
