#pragma once

#include "http-reader.h"
#include "sent-ids.h"
#include "target.h"

#include <ev.h>

/** CfUpstreamFailure: how a request to a target failed. */
typedef enum
{
  CF_FAILURE_UNSENT,     /**< no byte of the request was sent: it did not run */
  CF_FAILURE_LOST,       /**< the connection ended before the complete answer */
  CF_FAILURE_MALFORMED,  /**< the target sent no valid HTTP answer */
  CF_FAILURE_INCOMPLETE, /**< the answer ended inside an event, though its
                              framing is complete */
  CF_FAILURE_EXCESSIVE,  /**< the target sent more that is no answer to the
                              request than is skipped */
} CfUpstreamFailure;

const char *cf_upstream_failure_name (CfUpstreamFailure f);

/** CfUpstreamCallbacks: how the owner of a request to a target is notified.
 * Either @on_done or @on_failure is the last call, unless the request is
 * cancelled. */
typedef struct
{
  void (*on_head) (void *owner, const CfHttpReader *r);
  void (*on_body) (void *owner, const char *data, gsize n);
  void (*on_done) (void *owner);
  void (*on_failure) (void *owner, CfUpstreamFailure f);
} CfUpstreamCallbacks;

/**
 * CfUpstream:
 * A connection to a target.  It carries one request at a time and is kept for
 * reuse.  An answer belongs to the request in progress if it bears the same id,
 * which the connection carries only once, or if it bears none and the request
 * has none or is the first on the connection.  A request is never sent a second
 * time at this level.
 */
struct CfUpstream
{
  TAILQ_ENTRY (CfUpstream) link; /**< in the target's idle or busy list */
  ev_io io;
  ev_timer timer; /**< connect timeout, then idle timeout */
  struct ev_loop *loop;
  CfTarget *target;
  CfHttpReader reader;
  GString *request;
  gsize n_sent;       /**< bytes of @request sent so far */
  char *request_id;   /**< (nullable) */
  CfSentIds sent_ids; /**< of all requests that it has carried */
  const CfUpstreamCallbacks *callbacks;
  void *owner;           /**< %NULL while idle */
  double idle_timeout_s; /**< how long it is kept when idle */
  gboolean connecting;
  gboolean sent_any;        /**< some byte of @request was sent */
  gboolean skipping_answer; /**< an interim answer, or one to another request
                             */
  guint n_skipped;          /**< answers skipped since @request was sent */
  gsize skipped_bytes;      /**< received since then, before the answer */
  gboolean answers_head;    /**< the request in progress has method HEAD */
  gboolean is_rejected;     /**< its owner cannot use the answer */
  gboolean paused;
  gboolean in_read; /**< a read is in progress; at its end it frees the
                         connection if that has been closed */
  gboolean is_closed;
  gboolean reused;
};

/**
 * cf_upstream_send:
 * Sends @request on an idle connection to @t that has not carried @request_id,
 * or on a new one.
 * @request: (transfer full): head and body
 * @request_id: (nullable): the id that the answer has to bear; with %NULL the
 *   request has none, and its answer must not bear one
 * @head_only: the answer to this method has no body
 * Returns: (nullable): the connection; %NULL if no socket could be created.
 *   No callback is called before this returns.
 */
CfUpstream *cf_upstream_send (struct ev_loop *loop, CfTarget *t,
                              GString *request, const char *request_id,
                              gboolean head_only,
                              const CfUpstreamCallbacks *callbacks,
                              void *owner);

/** cf_upstream_cancel: resets the connection, so that the target stops its
 * work. */
void cf_upstream_cancel (CfUpstream *u);

/** cf_upstream_reject: called within @on_head or @on_body if the answer cannot
 * be used: it fails as malformed, and no more of it is passed on. */
void cf_upstream_reject (CfUpstream *u);

/** cf_upstream_set_paused: stops or resumes reading, for a slow caller. */
void cf_upstream_set_paused (CfUpstream *u, gboolean pause);

/** cf_upstream_close_idle: closes all idle connections to @t. */
void cf_upstream_close_idle (CfTarget *t);

/** cf_upstream_fail_all: the process behind @t has ended: closes its idle
 * connections and fails the requests on the others. */
void cf_upstream_fail_all (CfTarget *t);
