#pragma once

#include "http-server.h"
#include "records.h"

#include <pthread.h>

/**
 * CfConfigWatch:
 * Follows the read-and-watch configuration service with a long-poll watch
 * and keeps the newest valid version in force.  A version is put in force
 * only if it is newer than the one in force, so a stale read or a
 * restarted service never brings an older one back.
 */
typedef struct
{
  char *url;        /**< the service's base URL */
  GPtrArray *peers; /**< base URLs of processes that may know a newer version */
  gint poll_peers;  /**< the service fails or is stale: ask the peers */
  gint64 wait_ms;   /**< how long one watch may wait on the service */
  pthread_mutex_t lock;
  CfConfig *current;    /**< in force; %NULL until the first version */
  CfConfig *previous;   /**< in force before @current, or %NULL */
  long long changed_ms; /**< when @current came in force */
  pthread_t thread;
  gboolean down; /**< the service failed the last call */
  void (*on_change) (void *data, CfConfig *c);
  void *data;
} CfConfigWatch;

/**
 * cf_config_watch_start:
 * @peers: as in #CfConfigWatch; may be empty; borrowed for good
 * @on_change: (nullable): called on the watch thread with each version put
 *   in force
 */
void cf_config_watch_start (CfConfigWatch *w, const char *url, GPtrArray *peers,
                            gint64 wait_ms,
                            void (*on_change) (void *, CfConfig *), void *data);

/**
 * cf_config_watch_poll_peers:
 * Something showed that a newer version is in force elsewhere: the peers
 * are asked until one has it.
 */
void cf_config_watch_poll_peers (CfConfigWatch *w);

/**
 * cf_config_watch_serve:
 * Answers a peer's GET /v1/config?after=VERSION: the version in force, or
 * 404 if it is not newer.
 */
void cf_config_watch_serve (CfConfigWatch *w, const CfHttpRequest *req,
                            CfHttpReply *rep);

/** cf_config_watch_get: the version in force, with a reference, or %NULL. */
CfConfig *cf_config_watch_get (CfConfigWatch *w);

/**
 * cf_config_watch_previous:
 * Returns: the version before the one in force, with a reference, if it
 *   was replaced less than @within_ms ago; else %NULL.
 */
CfConfig *cf_config_watch_previous (CfConfigWatch *w, gint64 within_ms);

/**
 * cf_config_watch_apply_newer:
 * Puts @c in force if it is newer than the version in force.
 * Returns: %TRUE if it was put in force.  Takes the caller's reference.
 */
gboolean cf_config_watch_apply_newer (CfConfigWatch *w, CfConfig *c);
