#pragma once

#include "http-server.h"
#include "records.h"

#include <pthread.h>

/**
 * CfConfigWatch:
 * Follows the configuration service with a long-poll watch and applies each
 * newer valid version.  A version is applied only if it is newer than the
 * current one, so a stale read or a restarted service never brings an older
 * version back.
 */
typedef struct
{
  char *url;        /**< the service's base URL */
  GPtrArray *peers; /**< base URLs of processes that may have a newer version */
  gint poll_peers;  /**< non-zero while the peers are to be polled */
  gint64 wait_ms;   /**< how long the service may hold one watch request */
  pthread_mutex_t lock;
  CfConfig *current;    /**< %NULL until the first version is applied */
  CfConfig *previous;   /**< the version before @current, or %NULL */
  long long changed_ms; /**< when @current was applied */
  pthread_t thread;
  gboolean down; /**< the last watch request failed */
  void (*on_change) (void *data, CfConfig *c);
  void *data;
} CfConfigWatch;

/**
 * cf_config_watch_start:
 * @peers: as in #CfConfigWatch; may be empty; must stay valid for the life
 *   of the process
 * @on_change: (nullable): called with each version that is applied, on the
 *   thread that applies it
 */
void cf_config_watch_start (CfConfigWatch *w, const char *url, GPtrArray *peers,
                            gint64 wait_ms,
                            void (*on_change) (void *, CfConfig *), void *data);

/**
 * cf_config_watch_poll_peers:
 * Starts to poll the peers until one has a newer version.  Call it when
 * another process turns out to use a newer version.
 */
void cf_config_watch_poll_peers (CfConfigWatch *w);

/**
 * cf_config_watch_serve:
 * Answers a peer's GET /v1/config?after=VERSION with the current version, or
 * with 404 if that is not newer.
 */
void cf_config_watch_serve (CfConfigWatch *w, const CfHttpRequest *req,
                            CfHttpReply *rep);

/**
 * cf_config_watch_get: a new reference to the current version; %NULL before
 * the first version is applied.
 */
CfConfig *cf_config_watch_get (CfConfigWatch *w);

/**
 * cf_config_watch_previous:
 * Returns: a new reference to the version before the current one, if it was
 *   replaced less than @within_ms ago; else %NULL.
 */
CfConfig *cf_config_watch_previous (CfConfigWatch *w, gint64 within_ms);

/**
 * cf_config_watch_apply_newer:
 * Makes @c the current version if it is newer; takes the caller's reference.
 * Returns: %TRUE if @c was applied.
 */
gboolean cf_config_watch_apply_newer (CfConfigWatch *w, CfConfig *c);
