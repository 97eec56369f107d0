#pragma once

#include "gateway/http-reader.h"

#include <ev.h>

/**
 * A small HTTP/1.1 server for the stand-ins, on the event loop: one request
 * at a time on a connection, answered at once, later, or in chunks.
 */
typedef struct FakeConn FakeConn;

/** Called with each whole request; answer with the calls below. */
typedef void (*FakeRequestHandler) (void *data, FakeConn *c);

struct FakeConn
{
  struct ev_loop *loop;
  ev_io io;
  CfHttpReader reader;
  GString *body;
  GString *in;
  GString *out;
  FakeRequestHandler request;
  void *data;
  void *work; /**< what is being done for the request; set by the owner */
  void (*gone) (FakeConn *c); /**< the caller left while @work was set */
  gboolean answering;
  gboolean chunked;
  gboolean close;
  gboolean in_read;
  gboolean dead;
};

/** FakeListener: an address that is served. */
typedef struct FakeListener FakeListener;

/** fake_http_listen: serves @addr; exits the program if it cannot. */
FakeListener *fake_http_listen (struct ev_loop *loop, const char *addr,
                                FakeRequestHandler fn, void *data);

/** fake_http_close_listener: refuses connections to its address for @s seconds.
 */
void fake_http_close_listener (FakeListener *l, double s);

/** fake_http_answer: a whole answer; @headers are lines, or %NULL. */
void fake_http_answer (FakeConn *c, int status, const char *headers,
                       const char *body, gssize n);

/** fake_http_begin_chunked: the head of an answer in chunks. */
void fake_http_begin_chunked (FakeConn *c, int status, const char *headers);
void fake_http_send_chunk (FakeConn *c, const char *data, gsize n);
void fake_http_end_chunked (FakeConn *c);

/** fake_http_send_raw: bytes as they are, for answers that are spoiled. */
void fake_http_send_raw (FakeConn *c, const char *data, gsize n);

/** fake_http_reset: ends the connection at once, with a reset. */
void fake_http_reset (FakeConn *c);

/** fake_http_query_param: (transfer full) (nullable): a parameter of the
 * target. */
char *fake_http_query_param (const FakeConn *c, const char *name);

/** fake_http_has_path: whether the target's path is @path. */
gboolean fake_http_has_path (const FakeConn *c, const char *path);
