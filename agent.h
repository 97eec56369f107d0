#pragma once

#include "guard.h"
#include "rank-group.h"
#include "ring.h"
#include "settings.h"
#include "wire.h"

#include <ck_pr.h>
#include <pthread.h>

/** CfAgentSettings: the [agent] table; docs/SETTINGS.md. */
typedef struct
{
  char *listen;          /**< for entries and operators, "IP:PORT" */
  char *target_url;      /**< the target's HTTP base URL */
  gint64 workers;        /**< concurrent calls to the target */
  gint64 queue;          /**< queue length before refusing, a power of two */
  gint64 guard_ttl_ms;   /**< how long the guard keeps ended calls and claims */
  gint64 guard_max;      /**< the guard's limit of calls, and of claims */
  gint64 guard_quiet_ms; /**< the guard's quiet period after a start; guard.h */
  gint64 drain_grace_ms; /**< how long a drain waits for pending replies */
  gint64 config_grace_ms; /**< how long a replaced version is still served */
  CfRankGroupSettings group;
} CfAgentSettings;

/**
 * CfAgent:
 * The agent process next to one target.  It forwards requests from entries
 * (the gateways that accept callers' requests), keeps the at-most-once
 * guard, refuses orders that carry an old fencing token, reports load and
 * drains.
 */
typedef struct
{
  CfAgentSettings settings;
  int listen_fd;
  CfRing job_queue;
  CfGuard guard;
  CfRankGroup *group; /**< %NULL unless its target is a rank of a group */
  pthread_mutex_t fence_lock;      /**< for the three fields below */
  gint64 highest_fence;            /**< highest fencing token seen */
  gint64 newest_config;            /**< newest configuration version seen */
  long long newest_config_seen_ms; /**< when it was first seen */
  int in_flight;       /**< requests queued or running at the target */
  int pending_replies; /**< requests and orders without a written reply */
  int draining;
  gint64 stop_deadline_ms; /**< when the process ends at the latest; 0: never */
  pthread_mutex_t call_window_lock; /**< for the two fields below */
  gint64 longest_call_ms[2]; /**< longest call in this window and the last */
  long long call_window_start_ms;
  pthread_mutex_t conns_lock;
  struct CfAgentConn *conns; /**< intrusive list of open connections */
  uint64_t served;           /**< answers sent, for the status reply */
  uint64_t refused;          /**< refusals sent, likewise */
} CfAgent;

extern const char cf_agent_defaults[];

/** cf_agent_settings_read: reads the [agent] and [group] tables. */
CfStatus cf_agent_settings_read (CfSettings *s, CfAgentSettings *out);

/** cf_agent_start: binds the listener and starts the agent's threads. */
CfStatus cf_agent_start (CfAgent *a);

/**
 * cf_agent_drain:
 * @trigger: who asked for the drain, for the log
 *
 * Notifies every entry at once, refuses new work, and returns when every
 * accepted request and order has its reply, or after drain_grace_ms.  Calls
 * that are not expected to end by then are refused as not run.
 */
void cf_agent_drain (CfAgent *a, const char *trigger);

/** cf_agent_get_load: the load that every reply reports. */
CfLoad cf_agent_get_load (CfAgent *a);
