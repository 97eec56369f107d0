#pragma once

#include "agent.h"

/**
 * What the parts of the agent share: its connections (agent.c), the requests
 * that its workers run (agent-jobs.c), and orders and claims
 * (agent-orders.c).
 */

/** CfAgentConn: what lives for one connection from an entry or an operator. */
typedef struct CfAgentConn
{
  struct CfAgentConn *next; /**< in the agent's list, under its lock */
  CfAgent *agent;
  int fd;
  pthread_mutex_t write_lock;
  int refs;
} CfAgentConn;

void cf_agent_conn_unref (CfAgentConn *c);

/* Requests */

/** cf_agent_reply: writes @m, with the agent's load, to @c. */
CfStatus cf_agent_reply (CfAgentConn *c, CfMsg *m);

/** cf_agent_refuse: refuses request @id; @ran says what is known of it. */
void cf_agent_refuse (CfAgentConn *c, guint64 id, CfRanState ran,
                      const char *reason, gint64 retry_ms);

/** cf_agent_answer: answers request @id with the target's status and body. */
void cf_agent_answer (CfAgentConn *c, guint64 id, gint64 code,
                      const char *body);

/** cf_agent_is_behind: whether @version is too old to be served any more;
 * notes it if it is the newest. */
gboolean cf_agent_is_behind (CfAgent *a, gint64 version);

void cf_agent_take_request (CfAgentConn *c, CfMsg *m);
void cf_agent_take_cancel (CfAgentConn *c, CfMsg *m);

/** cf_agent_worker: a thread that runs requests; @data is the #CfAgent. */
void *cf_agent_worker (void *data);

/** cf_agent_refuse_queued: refuses as not run what no worker has begun. */
void cf_agent_refuse_queued (CfAgent *a);

/* Orders and claims */

void cf_agent_take_order (CfAgentConn *c, CfMsg *m);
void cf_agent_take_claim (CfAgentConn *c, CfMsg *m);
void cf_agent_take_status (CfAgentConn *c, CfMsg *m);
