#pragma once

#include "agent.h"

/**
 * Internal interface between the agent's source files: connections
 * (agent.c), the requests that its worker threads run (agent-jobs.c), and
 * orders and claims (agent-orders.c).
 */

/**
 * CfAgentConn: one connection from an entry or an operator's tool; freed when
 * its last reference is dropped.
 */
typedef struct CfAgentConn
{
  struct CfAgentConn *next; /**< in the agent's list, under conns_lock */
  CfAgent *agent;
  int fd;
  pthread_mutex_t write_lock; /**< serialises the frames written to @fd */
  int refs;                   /**< one for its thread, one for each job */
} CfAgentConn;

void cf_agent_conn_unref (CfAgentConn *c);

/* Requests */

/**
 * cf_agent_conn_send: adds the agent's load to @m and writes it to @c.
 * Returns: %CF_ERR_FULL if @m does not fit a frame; nothing is sent then.
 */
CfStatus cf_agent_conn_send (CfAgentConn *c, CfMsg *m);

/**
 * cf_agent_refuse:
 * @ran: whether the request ran at the target, as far as is known
 * @retry_ms: when the sender may retry; 0: not stated
 *
 * Refuses request or order @id.
 */
void cf_agent_refuse (CfAgentConn *c, guint64 id, CfRanState ran,
                      const char *reason, gint64 retry_ms);

/** cf_agent_answer: answers @id with the target's status and body. */
void cf_agent_answer (CfAgentConn *c, guint64 id, gint64 code,
                      const char *body);

/**
 * cf_agent_is_config_outdated:
 * Returns: whether a newer configuration than @version has been known for
 * config_grace_ms or longer.  Records @version if it is the newest so far.
 */
gboolean cf_agent_is_config_outdated (CfAgent *a, gint64 version);

/** cf_agent_take_request: queues a request for a worker, or refuses it. */
void cf_agent_take_request (CfAgentConn *c, CfMsg *m);

/** cf_agent_take_cancel: queues the cancellation of a request. */
void cf_agent_take_cancel (CfAgentConn *c, CfMsg *m);

/** cf_agent_run_worker: a worker thread; @data is the #CfAgent. */
void *cf_agent_run_worker (void *data);

/** cf_agent_refuse_queued: refuses every queued request as not run. */
void cf_agent_refuse_queued (CfAgent *a);

/* Orders and claims */

/** cf_agent_take_order: runs an order to the rank or to the target. */
void cf_agent_take_order (CfAgentConn *c, CfMsg *m);

/** cf_agent_take_claim: answers an entry's claim of an idempotency key. */
void cf_agent_take_claim (CfAgentConn *c, CfMsg *m);

/** cf_agent_take_status: answers with the fencing token and counters. */
void cf_agent_take_status (CfAgentConn *c, CfMsg *m);
