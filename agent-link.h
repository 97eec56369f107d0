#pragma once

#include "outlier.h"
#include "wire.h"

#include <pthread.h>

/** The heartbeat interval of a link with calls outstanding. */
#define CF_LINK_PING_INTERVAL_MS 1000
/** A link is lost if a heartbeat is unanswered for longer than this. */
#define CF_LINK_SILENCE_TIMEOUT_MS 3000

/**
 * CfLink:
 * An entry's connection to one agent, shared by all requests to it.  Each
 * request has an id, so answers may come in any order.  The link's thread
 * connects, reads replies, sends heartbeats, and declares the link lost when
 * the agent closes the connection or stops answering.  A new connection is
 * used only after the agent has answered on it, since the kernel completes a
 * connect to a paused process too.
 */
typedef struct
{
  char *addr;
  pthread_mutex_t lock;
  pthread_cond_t cond;   /**< broadcast when any pending call ends */
  int fd;                /**< -1 while down */
  gboolean ready;        /**< the agent has answered on this connection */
  guint64 last_id;       /**< the id of the latest request */
  gint64 config_version; /**< this process's version, sent with every ping */
  GHashTable *pending;   /**< from id to CfPending * */
  CfLoad load;           /**< as the agent last reported it */
  gint64 outstanding;    /**< calls that wait for a reply on this link */
  long long last_receive_ms;
  long long guard_quiet_until_ms; /**< the agent's guard abstains until then */
  long long last_ping_ms;
  long long unanswered_since_ms; /**< when the oldest unanswered ping was
                                      sent; 0 if none */
  gint64 idle_ping_interval_ms;  /**< while no calls are outstanding */
  CfOutlier outlier;             /**< failures of the agent's target */
  guint64 pings;                 /**< heartbeats sent */
  pthread_t thread;
} CfLink;

/** CfCallResult: how a call on a link ended. */
typedef enum
{
  CF_CALL_REPLY,     /**< @reply holds the agent's answer or refusal */
  CF_CALL_NOT_SENT,  /**< the link was down: the agent never received it */
  CF_CALL_LOST,      /**< sent, then the link was lost: may have run */
  CF_CALL_TOO_LARGE, /**< does not fit in a frame: not sent */
  CF_CALL_ABANDONED, /**< sent, then no longer wanted: may have run */
  CF_CALL_TIMEOUT,   /**< sent, no reply by the deadline: may have run */
} CfCallResult;

/** cf_link_new: starts the link's thread, which connects at once. */
CfLink *cf_link_new (const char *addr);

/**
 * cf_link_call:
 * @req: the request; this function sets its id
 * @deadline_ms: on the cf_now_ms() clock
 * @reply: (out): the agent's reply, for %CF_CALL_REPLY
 *
 * Sends @req and waits for the reply.
 */
CfCallResult cf_link_call (CfLink *l, CfMsg *req, long long deadline_ms,
                           CfMsg *reply);

/**
 * cf_link_call_while:
 * @is_wanted: called a few times a second; whether the reply is still needed
 *
 * As cf_link_call(), but ends with %CF_CALL_ABANDONED once @is_wanted returns
 * %FALSE.  Unless the request has a key, the agent is then told to cancel it.
 */
CfCallResult cf_link_call_while (CfLink *l, CfMsg *req, long long deadline_ms,
                                 gboolean (*is_wanted) (void *data), void *data,
                                 CfMsg *reply);

/** cf_link_send: sends @m if the link is up; does not wait for a reply. */
void cf_link_send (CfLink *l, const CfMsg *m);

/**
 * cf_link_set_idle_ping_interval:
 * @ms: the ping interval while no call is outstanding, in ms; while one is,
 *   it is always %CF_LINK_PING_INTERVAL_MS
 */
void cf_link_set_idle_ping_interval (CfLink *l, gint64 ms);

/** cf_link_set_config_version: sets the version that pings carry. */
void cf_link_set_config_version (CfLink *l, gint64 version);

/** CfLinkSnapshot: the state of a link and of its agent at one moment. */
typedef struct
{
  gboolean up;
  gboolean ejected;   /**< its target failed too often in a row; outlier.h */
  CfLoad load;        /**< as the agent last reported it */
  gint64 outstanding; /**< calls that wait for a reply on this link */
  guint64 pings;      /**< heartbeats sent so far */
} CfLinkSnapshot;

/** cf_link_snapshot: returns the present state of @l. */
CfLinkSnapshot cf_link_snapshot (CfLink *l);

/**
 * cf_link_record_outcome:
 * Records whether the target behind @l answered as a healthy target does, for
 * outlier ejection.
 */
void cf_link_record_outcome (CfLink *l, gboolean healthy);
