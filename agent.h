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
  char *listen;     /**< for entries and operators, "IP:PORT" */
  char *target_url; /**< the target's HTTP base URL */
  gint64 workers;   /**< calls to the target at once */
  gint64 queue;     /**< waiting calls before refusing, a power of two */
  gint64 guard_ttl_ms;
  gint64 guard_max;
  gint64 guard_quiet_ms; /**< the guard's quiet time after a start; guard.h */
  gint64 drain_grace_ms;
  gint64 config_grace_ms; /**< how long a replaced version is still served */
  CfRankGroupSettings group;
} CfAgentSettings;

/**
 * CfAgent:
 * The agent beside one target, for the life of the process: it forwards
 * entries' requests, keeps the at-most-once guard, refuses orders that
 * carry an old fencing token, reports load and drains.
 */
typedef struct
{
  CfAgentSettings set;
  int listen_fd;
  CfRing work;
  CfGuard guard;
  CfRankGroup *group; /**< %NULL unless its target is a rank of a group */
  pthread_mutex_t fence_lock;
  gint64 fence;  /**< highest fencing token seen */
  gint64 config; /**< highest configuration version seen on a frame */
  long long config_since_ms; /**< when it was first seen */
  int in_flight;  /**< accepted and not done at the target, queued ones too */
  int unanswered; /**< requests and orders whose reply is not yet written */
  int draining;
  gint64 stop_at_ms; /**< when the process ends at the latest; 0: no stop */
  pthread_mutex_t calls_lock;
  gint64 slowest_ms[2];    /**< longest call of this span and the one before */
  long long calls_span_ms; /**< when this span began */
  pthread_mutex_t conns_lock;
  struct CfAgentConn *conns; /**< intrusive list of open connections */
  uint64_t served;
  uint64_t refused;
} CfAgent;

extern const char cf_agent_defaults[];

CfStatus cf_agent_settings_read (CfSettings *s, CfAgentSettings *out);

/** cf_agent_start: binds the listener and starts the workers. */
CfStatus cf_agent_start (CfAgent *a);

/**
 * cf_agent_drain:
 * Tells every entry at once, refuses new work, and returns when every
 * accepted request and order has its reply, or after drain_grace_ms.  Calls
 * that would not end by then are refused as not run instead of begun.
 */
void cf_agent_drain (CfAgent *a, const char *why);

/** cf_agent_get_load: the load reported on every reply. */
CfLoad cf_agent_get_load (CfAgent *a);
