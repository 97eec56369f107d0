#pragma once

#include "outlier.h"
#include "wire.h"

#include <pthread.h>

/** How often a link sends a heartbeat, and when silence means it is lost. */
#define CF_LINK_PING_INTERVAL_MS 1000
#define CF_LINK_SILENCE_TIMEOUT_MS 3000

/**
 * CfLink:
 * An entry's connection to one agent, shared by all requests to it.
 * Requests are told apart by id, so answers may come in any order; a
 * thread of its own connects, reads replies, sends heartbeats, and
 * declares the link lost when the agent closes it or falls silent.  A new
 * connection is used only once the agent has answered on it, since the
 * kernel completes a connect to a paused process as well.
 */
typedef struct
{
  char *addr;
  pthread_mutex_t lock;
  pthread_cond_t cond; /**< broadcast when any pending call ends */
  int fd;              /**< -1 while down */
  gboolean ready;      /**< the agent answered on this fd: usable */
  guint64 next_id;
  gint64 config;       /**< our configuration version, on every ping */
  GHashTable *pending; /**< id -> CfPending */
  CfLoad load;         /**< as the agent last reported it */
  gint64 outstanding;  /**< our calls waiting on it now */
  long long last_receive_ms;
  long long guard_quiet_until_ms; /**< until when its guard abstains */
  long long last_ping_ms;
  long long
      unanswered_since_ms; /**< oldest ping without an answer; 0 if none */
  gint64
      idle_ping_interval_ms; /**< ping interval while nothing is outstanding */
  CfOutlier outlier;         /**< failures of the target behind it */
  guint64 pings;             /**< heartbeats sent, for the capacity page */
  pthread_t thread;
} CfLink;

/** CfCallResult: how a call on a link ended. */
typedef enum
{
  CF_CALL_REPLY,     /**< @reply holds the agent's answer or refusal */
  CF_CALL_NOT_SENT,  /**< the link was down: the agent never saw it */
  CF_CALL_LOST,      /**< sent, then the link was lost: fate unknown */
  CF_CALL_TOO_LARGE, /**< does not fit a frame: not sent */
  CF_CALL_ABANDONED, /**< sent, then given up by the caller: fate unknown */
  CF_CALL_TIMEOUT,   /**< sent, no reply by the deadline: fate unknown */
} CfCallResult;

/** cf_link_new: starts the link's thread, which connects at once. */
CfLink *cf_link_new (const char *addr);

/**
 * cf_link_call:
 * @req: the request; its id is set here
 * @deadline_ms: on the cf_now_ms() clock
 * @reply: (out): the agent's reply, for %CF_CALL_REPLY
 */
CfCallResult cf_link_call (CfLink *l, CfMsg *req, long long deadline_ms,
                           CfMsg *reply);

/**
 * cf_link_call_while:
 * @wanted: asked a few times a second whether anybody still waits
 *
 * As cf_link_call(), until @wanted says no: then the call ends with
 * %CF_CALL_ABANDONED, and the agent is told to cancel it unless it has a key.
 */
CfCallResult cf_link_call_while (CfLink *l, CfMsg *req, long long deadline_ms,
                                 gboolean (*wanted) (void *data), void *data,
                                 CfMsg *reply);

/** cf_link_send: sends @m if the link is up; no reply is awaited. */
void cf_link_send (CfLink *l, const CfMsg *m);

/**
 * cf_link_set_idle_ping_interval:
 * @ms: how often to ping while no call is outstanding, in ms; a link with
 *   calls outstanding is always pinged every %CF_LINK_PING_INTERVAL_MS
 */
void cf_link_set_idle_ping_interval (CfLink *l, gint64 ms);

/** cf_link_set_config_version: the configuration version that pings carry. */
void cf_link_set_config_version (CfLink *l, gint64 version);

/** CfLinkSnapshot: a link and the agent behind it, as seen now. */
typedef struct
{
  gboolean up;
  gboolean ejected;   /**< its target failed too often in a row; outlier.h */
  CfLoad load;        /**< as the agent last reported it */
  gint64 outstanding; /**< our calls waiting on it */
  guint64 pings;      /**< heartbeats sent so far */
} CfLinkSnapshot;

/** cf_link_snapshot: what is known of @l now. */
CfLinkSnapshot cf_link_snapshot (CfLink *l);

/**
 * cf_link_record_outcome:
 * Records whether the target behind @l answered as a healthy one would.
 */
void cf_link_record_outcome (CfLink *l, gboolean healthy);
