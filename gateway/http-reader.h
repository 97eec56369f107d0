#pragma once

#include "platform/platform-headers.h"

#include <glib.h>
#include <http_parser.h>

/** CfHeader: one header; both strings are NUL-terminated. */
typedef struct
{
  const char *name;
  const char *value;
  CfHeaderKind kind;
} CfHeader;

typedef struct CfHttpReader CfHttpReader;

/** CfHttpReaderCallbacks: callbacks to the owner of a reader. */
typedef struct
{
  /** The head is complete: method or status, request target and headers are
   * available.  May be %NULL. */
  void (*head) (void *owner);
  /** @n bytes of the decoded body; @data is valid during this call only. */
  void (*body) (void *owner, const char *data, gsize n);
  /** The message is complete; the reader stops at its end, and
   * cf_http_reader_next() prepares it for another.  May be %NULL. */
  void (*complete) (void *owner);
} CfHttpReaderCallbacks;

/**
 * CfHttpReader:
 * Parses the HTTP/1.1 messages of one connection, one after another, with
 * the strict framing rules of http-parser.  Lives as long as its connection.
 */
struct CfHttpReader
{
  http_parser parser;
  const CfHttpReaderCallbacks *callbacks;
  void *owner;
  GString *text;   /**< request target, names, values, NUL-terminated */
  GArray *offsets; /**< offsets of the names and values in @text */
  GArray *headers; /**< of #CfHeader, filled once the head is complete */
  gsize request_target_len;
  gsize head_bytes;
  gsize head_max;    /**< limit of @head_bytes; a longer head is an error */
  gboolean in_value; /**< the last string begun is a header value */
  gboolean no_body;  /**< set by the owner: answers a HEAD request */
  gboolean started;  /**< the first bytes of the message were read */
  gboolean has_head;
  gboolean is_complete;
  gboolean too_large; /**< the head exceeds @head_max */
};

void cf_http_reader_init (CfHttpReader *r, enum http_parser_type type,
                          const CfHttpReaderCallbacks *callbacks, void *owner,
                          gsize head_max);
void cf_http_reader_clear (CfHttpReader *r);

/** cf_http_reader_next: resets the reader for the next message. */
void cf_http_reader_next (CfHttpReader *r);

/**
 * cf_http_reader_feed:
 * Parses up to the end of the current message.
 * @used: (out): how many of the @n bytes belong to it
 * Returns: %FALSE if the bytes are not a valid message, if its head exceeds
 *   the limit, or if it asks for a protocol upgrade.
 */
gboolean cf_http_reader_feed (CfHttpReader *r, const char *data, gsize n,
                              gsize *used);

/**
 * cf_http_reader_eof:
 * Handles the end of the connection's input.  It completes a message that
 * has no length.
 * Returns: %FALSE if a message was truncated.
 */
gboolean cf_http_reader_eof (CfHttpReader *r);

/** cf_http_reader_header: (nullable): the value of the first header of
 * @kind. */
const char *cf_http_reader_header (const CfHttpReader *r, CfHeaderKind kind);

/** cf_http_reader_request_target: the request target (path and query), as
 * received. */
const char *cf_http_reader_request_target (const CfHttpReader *r);

/** cf_http_reader_can_keep_alive: whether the connection may carry another
 * message. */
gboolean cf_http_reader_can_keep_alive (const CfHttpReader *r);

/**
 * cf_http_reader_may_forward:
 * Whether @h may be forwarded: it is neither a framing header nor a
 * hop-by-hop header, by its kind or because a Connection header names it.
 */
gboolean cf_http_reader_may_forward (const CfHttpReader *r, const CfHeader *h);
