#pragma once

#include "gateway/http-reader.h"

#include <ev.h>

/**
 * A small HTTP/1.1 server for the stand-ins, on the event loop.  A connection
 * carries one request at a time, which is answered at once, later, or in
 * chunks.
 */
typedef struct FakeConn FakeConn;

/** FakeFraming: what marks the end of an answer that is sent in parts. */
typedef enum
{
  FAKE_FRAMING_CHUNKED,
  FAKE_FRAMING_LENGTH,
  FAKE_FRAMING_CLOSE, /**< neither a length nor chunks */
} FakeFraming;

/** FakeRequestHandler: called with each complete request, which it answers
 * with the functions below, at once or later. */
typedef void (*FakeRequestHandler) (void *data, FakeConn *c);

/** FakeConn: a connection of the server and its current request. */
struct FakeConn
{
  struct ev_loop *loop;
  ev_io io;
  CfHttpReader reader;
  GString *body;    /**< the request's body */
  GString *in_buf;  /**< received, not yet parsed */
  GString *out_buf; /**< not yet sent */
  FakeRequestHandler handler;
  void *handler_data;                  /**< first argument of @handler */
  void *pending;                       /**< the handler's state of a request
                                            that it answers later */
  void (*on_disconnect) (FakeConn *c); /**< called when the connection closes
                                            while @pending is set */
  gboolean is_answering;               /**< the handler has a request that is
                                            not completely answered */
  FakeFraming framing;                 /**< of the answer sent in parts */
  gboolean close_after;                /**< close after the current answer */
  char *late_copy; /**< (nullable): an answer that the handler sends again
                        before that to the next request */
  gboolean in_io;  /**< on_io() runs; it frees the connection if closed */
  gboolean is_closed;
};

/** FakeListener: an address that the server listens on. */
typedef struct FakeListener FakeListener;

/** fake_http_listen: serves @addr; exits the program if it cannot. */
FakeListener *fake_http_listen (struct ev_loop *loop, const char *addr,
                                FakeRequestHandler handler, void *data);

/** fake_http_close_listener: refuses new connections to the listener's address
 * for @pause_s seconds; open connections go on. */
void fake_http_close_listener (FakeListener *l, double pause_s);

/**
 * fake_http_answer: sends a complete answer.
 * @headers: (nullable): header lines, each with its CRLF
 * @n: length of @body; -1 if it is a string
 */
void fake_http_answer (FakeConn *c, int status, const char *headers,
                       const char *body, gssize n);

/**
 * fake_http_begin: sends the head of an answer whose body follows in parts.
 * @length: of the whole body, for %FAKE_FRAMING_LENGTH
 */
void fake_http_begin (FakeConn *c, int status, const char *headers,
                      FakeFraming framing, gsize length);
void fake_http_send_part (FakeConn *c, const char *data, gsize n);

/** fake_http_end: ends the answer as its framing does. */
void fake_http_end (FakeConn *c);

/** fake_http_send_raw: sends bytes unchanged, for malformed answers. */
void fake_http_send_raw (FakeConn *c, const char *data, gsize n);

/** fake_http_reset: closes the connection at once with a TCP reset, without a
 * call of @on_disconnect. */
void fake_http_reset (FakeConn *c);

/** fake_http_close: closes the connection in order once all is sent, whatever
 * the answer lacks.  No call of @on_disconnect follows. */
void fake_http_close (FakeConn *c);

/** fake_http_query_param: (transfer full) (nullable): the value of the query
 * parameter @name of the request. */
char *fake_http_query_param (const FakeConn *c, const char *name);

/** fake_http_has_path: whether the path of the request is @path. */
gboolean fake_http_has_path (const FakeConn *c, const char *path);
