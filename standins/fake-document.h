#pragma once

#include "fake-http.h"

#include <glib.h>

/**
 * The large answers of a plain target: a document of a set size, in any
 * framing, that may pause or break off at any byte.
 */

/** FakeCut: how an answer breaks off. */
typedef enum
{
  FAKE_CUT_NONE,
  FAKE_CUT_RESET, /**< the connection is reset */
  FAKE_CUT_CLOSE, /**< the connection is closed in order */
  FAKE_CUT_END,   /**< it ends as its framing ends a complete answer */
} FakeCut;

/** FakeDocumentShape: how a document is sent. */
typedef struct
{
  gsize size; /**< 0: the target sends no documents */
  FakeFraming framing;
  FakeCut cut;
  gsize cut_at; /**< where it breaks off, if at all, or pauses */
  int pause_ms; /**< it pauses there for so long */
} FakeDocumentShape;

/**
 * fake_document_send: sends the document of @target as the answer to the
 * request of @c, whose id is @id.
 * @headers: header lines of the answer
 */
void fake_document_send (FakeConn *c, const FakeDocumentShape *shape,
                         const char *headers, const char *target,
                         const char *id);
