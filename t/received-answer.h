#pragma once

#include <glib.h>

/**
 * What a caller can tell of an answer: its bytes, and whether they look
 * complete.
 */

/** End: how an answer ended for its caller. */
typedef enum
{
  END_COMPLETE,
  END_CLOSED, /**< connection closed before the answer was complete */
  END_RESET,  /**< connection reset before that */
  END_NEVER,
} End;

/** Answer: an answer as its caller received it. */
typedef struct
{
  int status;
  End end;
  char *head;
  char *body; /**< decoded */
} Answer;

/** received_answer_read: reads from @fd until the peer closes, or keeps the
 * connection idle, and closes @fd. */
Answer received_answer_read (int fd);

void received_answer_clear (Answer *a);

/** received_answer_header: (transfer full): the value of header @name; empty
 * if there is none. */
char *received_answer_header (const Answer *a, const char *name);

/**
 * received_answer_send:
 * Sends a request that asks the gateway to close the connection after it.
 * @version: "HTTP/1.1" or "HTTP/1.0"
 * Returns: the connection
 */
int received_answer_send (int port, const char *method_and_path, const char *id,
                          const char *version);
