#pragma once

#include "http-reader.h"
#include "target.h"

#include <ev.h>

/** CfUpstreamFailure: how an exchange with a target broke off. */
typedef enum
{
  CF_FAILURE_UNSENT,    /**< no byte of the request left us: it did not run */
  CF_FAILURE_LOST,      /**< the connection ended before the whole answer */
  CF_FAILURE_MALFORMED, /**< bytes that are no answer to this request */
} CfUpstreamFailure;

const char *cf_upstream_failure_name (CfUpstreamFailure f);

/** CfUpstreamCallbacks: what the owner of an exchange with a target is told. */
typedef struct
{
  void (*head) (void *owner, const CfHttpReader *r);
  void (*body) (void *owner, const char *data, gsize n);
  void (*done) (void *owner);
  void (*fail) (void *owner, CfUpstreamFailure f);
} CfUpstreamCallbacks;

/**
 * CfUpstream:
 * A connection to a target that carries one request at a time and is kept
 * for the next.  An answer is matched to its request by the request's id;
 * a request is never sent a second time here.
 */
struct CfUpstream
{
  TAILQ_ENTRY (CfUpstream) link; /**< in the target's idle or busy list */
  ev_io io;
  ev_timer timer; /**< limits connecting, and idling */
  struct ev_loop *loop;
  CfTarget *target;
  CfHttpReader reader;
  GString *out; /**< of the request, what is not sent yet */
  gsize out_sent;
  char *request_id;
  const CfUpstreamCallbacks *calls;
  void *owner;   /**< %NULL while idle */
  double idle_s; /**< how long the target keeps it when idle */
  gboolean connecting;
  gboolean sent_any;
  gboolean skipping; /**< reading an answer that is not ours */
  gboolean paused;
  gboolean in_read; /**< freed only after the read */
  gboolean dead;
  gboolean reused;
};

/**
 * cf_upstream_send:
 * Sends @request on an idle connection to @t, or on a new one.
 * @request: (transfer full): head and body
 * @request_id: the id that the answer has to carry
 * @head_only: the answer to this method has no body
 * Returns: (nullable): the connection; %NULL if no socket could be made.
 *   Nothing is called back before this returns.
 */
CfUpstream *cf_upstream_send (struct ev_loop *loop, CfTarget *t,
                              GString *request, const char *request_id,
                              gboolean head_only,
                              const CfUpstreamCallbacks *calls, void *owner);

/** cf_upstream_cancel: resets it; the target sees that nobody waits. */
void cf_upstream_cancel (CfUpstream *u);

/** cf_upstream_set_paused: stops or resumes reading, for a slow caller. */
void cf_upstream_set_paused (CfUpstream *u, gboolean pause);

/** cf_upstream_close_idle: closes all idle connections to @t. */
void cf_upstream_close_idle (CfTarget *t);

/** cf_upstream_fail_all: the process behind @t is gone: closes its idle
 * connections and fails what the others carry. */
void cf_upstream_fail_all (CfTarget *t);
