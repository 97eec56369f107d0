#pragma once

#include "outlier.h"
#include "platform/platform-target.h"
#include "rate-limit.h"

#include <glib.h>
#include <netinet/in.h>
#include <sys/queue.h>

typedef struct CfUpstream CfUpstream;
typedef TAILQ_HEAD (CfUpstreamList, CfUpstream) CfUpstreamList;

/**
 * CfTarget:
 * One incarnation of a target, as the platform lists it, with what this
 * process knows from using it: a start under the same id has one of its own,
 * so nothing believed of the start before clings to it.  Shared by
 * reference: work in progress keeps the target it was sent to, also after it
 * has left the list.  Made and freed here alone; what is counted of its work
 * changes by cf_target_request_started(), cf_target_request_ended() and
 * cf_target_record_progress().
 */
typedef struct
{
  gint ref_count;
  CfTargetRecord record;
  struct sockaddr_in addr;
  char *json;              /**< @record as the store holds it, for peers */
  gint64 rev;              /**< store revision of @record */
  gint64 created;          /**< store revision at which it was first listed */
  gboolean replaced;       /**< another start has its address now */
  gboolean listed;         /**< still on the platform's list */
  guint in_flight;         /**< requests of ours it has */
  gint64 busy_since_ms;    /**< when @in_flight last rose from 0 */
  gint64 last_progress_ms; /**< when it last sent a part of an answer */
  CfUpstreamList idle;     /**< connections of ours, last used first */
  CfUpstreamList busy;     /**< and those that carry a request */
  CfOutlier outlier;
  double slowdown; /**< how many times as long as usual its work takes */
  gint64 slowdown_updated_ms;  /**< when @slowdown was last told; 0: never */
  gint64 slowdown_observed_ms; /**< when an agent of ours told it; 0: never */
  gint64 full_until_ms;        /**< it said it was full; not asked before */
  CfRateLimit limit;           /**< the rate that it takes from all gateways */
  gint64 older_since_ms; /**< since when the list shows an older incarnation
                              under its id; 0: it does not */
} CfTarget;

/**
 * cf_target_new:
 * @r: taken over, also on failure; a listed target with no connections and
 *   no work of ours
 * Returns: (nullable): %NULL if its address cannot be read; see
 *   cf_last_error().
 */
CfTarget *cf_target_new (CfTargetRecord *r);

/**
 * cf_target_new_at:
 * A target at @addr that no list names: a rank beside its agent, a gateway
 * as its callers see it.
 * Returns: (nullable): as cf_target_new()
 */
CfTarget *cf_target_new_at (const char *addr);

CfTarget *cf_target_ref (CfTarget *t);

/** cf_target_unref: frees @t with its last reference; each connection to it
 * holds one, so that none is left then. */
void cf_target_unref (CfTarget *t);

/** cf_target_request_started: a request of ours is sent to @t. */
void cf_target_request_started (CfTarget *t, gint64 now_ms);

/** cf_target_request_ended: and is over, however it ended. */
void cf_target_request_ended (CfTarget *t);

/** cf_target_record_progress: a part of an answer came from @t. */
void cf_target_record_progress (CfTarget *t, gint64 now_ms);

/**
 * CfTargetTable:
 * All listed targets, by id and by service.  The list keeps the entry of a
 * start that crashed until its lease runs out; when the next start at that
 * address is listed beside it, only the newer one gets work.
 */
typedef struct
{
  GHashTable *by_id;      /**< id -> #CfTarget */
  GHashTable *by_addr;    /**< address -> #CfTarget, the newest there */
  GHashTable *by_service; /**< service -> GPtrArray of #CfTarget, by id */
  guint next_start;       /**< where a search for the least loaded begins */
  /** Whether a service is named by the configuration: a record of any other
   * may be spoiled, and takes no address from a target. */
  gboolean (*is_configured) (const void *data, const char *service);
  const void *is_configured_data;
} CfTargetTable;

void cf_target_table_init (CfTargetTable *t);
void cf_target_table_clear (CfTargetTable *t);

/** CfTargetChange: what a record changed. */
typedef enum
{
  CF_TARGET_SAME,      /**< nothing that matters */
  CF_TARGET_NEW,       /**< a target came */
  CF_TARGET_LEAVING,   /**< it wants no new work from now on */
  CF_TARGET_UPDATED,   /**< something else */
  CF_TARGET_RESTARTED, /**< a newer incarnation came under its id */
  CF_TARGET_STALE,     /**< news of an older incarnation; dropped */
  /** Its address cannot be read, or it says no incarnation though it did
   * before: it is not listed, or not any more. */
  CF_TARGET_BAD,
} CfTargetChange;

/** CfTargetUpdate: a target's record, as the store or a peer tells it. */
typedef struct
{
  const char *id;
  const char *json; /**< @n bytes */
  gsize n;
  gint64 rev;     /**< the store's revision of it */
  gint64 created; /**< the store's revision at which it was first listed */
  gint64 now_ms;  /**< when it was heard, by the steady clock */
} CfTargetUpdate;

/** News of an older incarnation that keep coming for so long are believed:
 * the VM's clock went back between two starts.  A write of a target that has
 * crashed since is done within some seconds, also by
 * a store that is late. */
#define CF_TARGET_OLDER_INCARNATION_MS 8000

/**
 * cf_target_table_put:
 * @r: taken over
 * @news: what @r was read from; one older than the known one is dropped,
 *   as is one of an older incarnation, until the list has shown that one for
 *   %CF_TARGET_OLDER_INCARNATION_MS
 */
CfTargetChange cf_target_table_put (CfTargetTable *t, CfTargetRecord *r,
                                    const CfTargetUpdate *news);

/**
 * cf_target_silence_ms:
 * Returns: for how long it has had work of ours without any sign of it; 0
 *   if it has none.
 */
gint64 cf_target_silence_ms (const CfTarget *t, gint64 now_ms);

/** cf_target_is_older_incarnation: whether @incarnation is of a start before
 * @t. */
gboolean cf_target_is_older_incarnation (const CfTarget *t, gint64 incarnation);

/**
 * cf_target_set_slowdown:
 * Returns: %TRUE if it changed by enough to matter.
 */
gboolean cf_target_set_slowdown (CfTarget *t, double slowdown, gint64 now_ms);

/** cf_target_table_services_changed: the services that are named have changed.
 */
void cf_target_table_services_changed (CfTargetTable *t);

/** cf_target_table_lookup_addr: (nullable): the newest target at @addr. */
CfTarget *cf_target_table_lookup_addr (const CfTargetTable *t,
                                       const char *addr);

/** cf_target_table_remove: @id is gone; %FALSE if it was not listed. */
gboolean cf_target_table_remove (CfTargetTable *t, const char *id);

/** cf_target_table_slots: slots of the targets of @service that take work. */
gint64 cf_target_table_slots (const CfTargetTable *t, const char *service);

/** cf_target_table_service: (nullable): the targets of @service. */
const GPtrArray *cf_target_table_service (const CfTargetTable *t,
                                          const char *service);
