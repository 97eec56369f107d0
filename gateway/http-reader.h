#pragma once

#include "platform/platform-headers.h"

#include <glib.h>
#include <http_parser.h>

/** CfHeader: one header; both strings end with a zero byte. */
typedef struct
{
  const char *name;
  const char *value;
  CfHeaderKind kind;
} CfHeader;

typedef struct CfHttpReader CfHttpReader;

/** CfHttpReaderCallbacks: what the owner of a reader is told. */
typedef struct
{
  /** The head is in: method or status, target and headers can be read. */
  void (*head) (void *owner);
  /** @n bytes of the body, which last only for this call. */
  void (*body) (void *owner, const char *data, gsize n);
  /** The message is whole; the reader stops until the next _feed(). */
  void (*complete) (void *owner);
} CfHttpReaderCallbacks;

/**
 * CfHttpReader:
 * Reads one HTTP/1.1 message after another from a connection's bytes, with
 * http-parser's strict framing.  Lives as long as its connection.
 */
struct CfHttpReader
{
  http_parser parser;
  const CfHttpReaderCallbacks *callbacks;
  void *owner;
  GString *text;   /**< target, names and values, each zero-ended */
  GArray *offsets; /**< of the names and values in @text */
  GArray *headers; /**< of #CfHeader, once the head is in */
  gsize request_target_len;
  gsize head_bytes;
  gsize head_max; /**< a longer head is refused */
  gboolean in_value;
  gboolean no_body; /**< the answer to a HEAD request */
  gboolean started; /**< some bytes of the message are in */
  gboolean has_head;
  gboolean is_complete;
  gboolean too_large;
};

void cf_http_reader_init (CfHttpReader *r, enum http_parser_type type,
                          const CfHttpReaderCallbacks *callbacks, void *owner,
                          gsize head_max);
void cf_http_reader_clear (CfHttpReader *r);

/** cf_http_reader_next: forgets the message, ready for the one after it. */
void cf_http_reader_next (CfHttpReader *r);

/**
 * cf_http_reader_feed:
 * Reads up to the end of the current message.
 * @used: (out): how many of the @n bytes belong to it
 * Returns: %FALSE if the bytes are no such message.
 */
gboolean cf_http_reader_feed (CfHttpReader *r, const char *data, gsize n,
                              gsize *used);

/**
 * cf_http_reader_eof:
 * The peer closed its side.  A message that ends with its connection is
 * complete by this.
 * Returns: %FALSE if a message was cut off.
 */
gboolean cf_http_reader_eof (CfHttpReader *r);

/** cf_http_reader_header: (nullable): the first header of @kind. */
const char *cf_http_reader_header (const CfHttpReader *r, CfHeaderKind kind);

/** cf_http_reader_request_target: the request target, as the caller sent it. */
const char *cf_http_reader_request_target (const CfHttpReader *r);

/** cf_http_reader_can_keep_alive: whether the connection may carry another
 * message. */
gboolean cf_http_reader_can_keep_alive (const CfHttpReader *r);

/**
 * cf_http_reader_may_forward:
 * Whether @h is forwarded: it concerns neither this connection only, by
 * its kind or by being named in a Connection header, nor the framing.
 */
gboolean cf_http_reader_may_forward (const CfHttpReader *r, const CfHeader *h);
