#pragma once

#include "departed-targets.h"
#include "evacuation.h"
#include "outlier.h"
#include "platform/platform-target.h"
#include "rate-limit.h"
#include "store-position.h"
#include "target-pause.h"
#include "warmup.h"

#include <glib.h>
#include <netinet/in.h>
#include <sys/queue.h>

typedef struct CfUpstream CfUpstream;
typedef TAILQ_HEAD (CfUpstreamList, CfUpstream) CfUpstreamList;

/**
 * CfTarget:
 * One incarnation of a target, as the platform lists it, with what this
 * process has observed of it.  Each incarnation under the same id has a
 * #CfTarget of its own, so that nothing observed of one is applied to the next.
 * Reference-counted: requests keep the target they were sent to, also after it
 * has been removed from the list.  Created and freed in this module only; the
 * counters of its requests are changed by cf_target_request_started(),
 * cf_target_request_ended() and cf_target_record_progress().
 */
typedef struct
{
  gint ref_count;
  CfTargetRecord record;
  struct sockaddr_in addr;
  char *json;              /**< @record in the store's form, for peers */
  CfStorePosition pos;     /**< of @record in the store */
  CfStorePosition created; /**< where it was first listed */
  guint generation;        /**< of the table, when @record was received */
  gboolean replaced;       /**< another instance has its address now */
  gboolean listed;         /**< still on the platform's list */
  gboolean evacuated;      /**< its data centre is to get no requests */
  guint in_flight;         /**< this process's requests at it */
  gint64 busy_since_ms;    /**< when @in_flight last rose from 0 */
  gint64 last_progress_ms; /**< when it last sent part of an answer */
  gint64 prior_silence_ms; /**< for how long it had sent nothing when @in_flight
                                last fell to 0; 0 if it has sent something
                                since */
  CfUpstreamList idle;     /**< unused connections to it, last used first */
  CfUpstreamList busy;     /**< connections that carry a request */
  CfOutlier outlier;
  double slowdown; /**< duration of its work, relative to the usual one */
  gint64 slowdown_updated_ms; /**< when @slowdown was last reported; 0: never */
  gint64 slowdown_observed_ms; /**< when an agent last reported it to this
                                    process; 0: never */
  gint64 full_until_ms;        /**< no requests until then, as it was full */
  guint full_in_flight; /**< with so many requests of this process it refused
                             one as full; 0: it has not lately */
  gint64 full_since_ms; /**< when it did so */
  CfRateLimit limit;    /**< the rate that it accepts from all gateways */
  gboolean announced_leaving; /**< an answer said that it leaves, which it never
                                   takes back */
  CfWarmup warmup;
  CfTargetPause pause;   /**< wants no requests of this gateway for a while */
  gint64 older_since_ms; /**< since when the list has shown an older
                              incarnation under its id; 0: it does not */
} CfTarget;

/**
 * cf_target_new:
 * @r: taken over, also on failure
 * Returns: (nullable): a listed target without connections or requests; %NULL
 *   if its address cannot be parsed, see cf_last_error().
 */
CfTarget *cf_target_new (CfTargetRecord *r);

/**
 * cf_target_new_at:
 * Creates a target at @addr that is in no list, such as the rank that an agent
 * runs beside, or a gateway from its callers' side.
 * Returns: (nullable): as cf_target_new()
 */
CfTarget *cf_target_new_at (const char *addr);

CfTarget *cf_target_ref (CfTarget *t);

/** cf_target_unref: frees @t with its last reference.  Each connection to it
 * holds a reference, so that no connection is left then. */
void cf_target_unref (CfTarget *t);

/** cf_target_request_started: counts a request that is sent to @t. */
void cf_target_request_started (CfTarget *t, gint64 now_ms);

/** cf_target_request_ended: counts the end of a request, answered or not. */
void cf_target_request_ended (CfTarget *t, gint64 now_ms);

/** cf_target_record_progress: records that @t sent part of an answer. */
void cf_target_record_progress (CfTarget *t, gint64 now_ms);

/**
 * cf_target_note_full:
 * @t refused a request as full.
 * @in_flight: requests of this process that it had when that one was sent,
 *   including it
 */
void cf_target_note_full (CfTarget *t, guint in_flight, gint64 now_ms);

/**
 * cf_target_note_accepted:
 * @t began to answer a request that it did not refuse.  If it was sent after
 * the last refusal, @t takes at least as many as it had then.
 * @in_flight: as for cf_target_note_full()
 * @sent_ms: when the request was sent
 */
void cf_target_note_accepted (CfTarget *t, guint in_flight, gint64 sent_ms);

/**
 * cf_target_full_limit:
 * @tests: whether a request that @t refuses can be sent again, so that it can
 *   be used to find out whether @t has more room
 * Returns: how many requests of this process @t can have without refusing one
 *   as full, as far as is known: fewer than when it refused one, and with
 *   @tests one more every 250 ms since then; %G_MAXUINT 1 s after it did so.
 */
guint cf_target_full_limit (const CfTarget *t, gboolean tests, gint64 now_ms);

/**
 * CfTargetTable:
 * All listed targets, by id, by address and by service.  The list keeps the
 * entry of an instance that crashed until its lease expires; when the next
 * instance at that address is listed beside it, only the newer one gets work.
 */
typedef struct
{
  GHashTable *by_id;   /**< id -> #CfTarget */
  GHashTable *by_addr; /**< address -> #CfTarget, the newest there */
  GHashTable
      *by_service; /**< service -> GPtrArray of #CfTarget, sorted by id */
  CfDepartedTargets departed;
  guint generation;   /**< number of times that the list was restored */
  gint64 restored_ms; /**< when it was last restored */
  guint n_kept_out;   /**< records dropped as %CF_TARGET_DEPARTED since then */
  guint next_start;   /**< where the next search for the least loaded begins */
  /** (nullable): whether @service is in the configuration.  A record of any
   * other service may be corrupt, and takes no address from a target. */
  gboolean (*is_configured) (const void *data, const char *service);
  const void *is_configured_data;
  const CfEvacuations *evacuations; /**< (nullable) */
} CfTargetTable;

void cf_target_table_init (CfTargetTable *t);
void cf_target_table_clear (CfTargetTable *t);

/** CfTargetChange: the effect of a record on the table. */
typedef enum
{
  CF_TARGET_SAME,      /**< no relevant change */
  CF_TARGET_NEW,       /**< a target was added */
  CF_TARGET_LEAVING,   /**< the target takes no new requests from now on */
  CF_TARGET_UPDATED,   /**< another field changed */
  CF_TARGET_RESTARTED, /**< another incarnation replaced it under its id */
  CF_TARGET_STALE,     /**< a record of an older incarnation; dropped */
  CF_TARGET_DEPARTED,  /**< a restored list's record of an instance that had
                            left the list; dropped */
  /** The address cannot be parsed, or the incarnation is missing though earlier
   * records had one: the target is not added, or is removed. */
  CF_TARGET_BAD,
} CfTargetChange;

/** CfTargetUpdate: a target's record, as received from the store or a peer. */
typedef struct
{
  const char *id;
  const char *json; /**< @n bytes */
  gsize n;
  CfStorePosition pos;     /**< of the record in the store */
  CfStorePosition created; /**< where it was first listed */
  gint64 now_ms;           /**< when it was received, by the monotonic clock */
  gboolean is_change; /**< the record was written after the list was read */
} CfTargetUpdate;

/** A restored list shows targets that have left for as long as their leases
 * last, which is less than this. */
#define CF_TARGET_COPY_EXPIRY_MS 8000

/** If the list shows an older incarnation for this long, it is accepted: the
 * VM's clock was set back between two incarnations.  A delayed write of one
 * that has crashed since arrives within a few seconds, also from a slow store.
 */
#define CF_TARGET_OLDER_INCARNATION_MS 8000

/**
 * cf_target_table_put:
 * Adds or updates a target.  A record of an older position than the known one
 * is dropped, as is one of an older incarnation until the list has shown that
 * for %CF_TARGET_OLDER_INCARNATION_MS, and one that a restored list shows of an
 * instance that had left before, unless the instance has written it since.
 * @r: taken over
 * @update: what @r was parsed from
 */
CfTargetChange cf_target_table_put (CfTargetTable *t, CfTargetRecord *r,
                                    const CfTargetUpdate *update);

/**
 * cf_target_table_store_restored:
 * The list was restored from a copy.
 * @keeps_order: whether positions from before are older than those that follow
 */
void cf_target_table_store_restored (CfTargetTable *t, gboolean keeps_order,
                                     gint64 now_ms);

/**
 * cf_target_silence_ms:
 * Returns: for how long @t has had requests of this process without sending
 *   anything; 0 if it has none.
 */
gint64 cf_target_silence_ms (const CfTarget *t, gint64 now_ms);

/**
 * cf_target_unanswered_ms:
 * Like cf_target_silence_ms(), but includes the silence before, if its earlier
 * requests were all cancelled: without an event since, it has not recovered.
 */
gint64 cf_target_unanswered_ms (const CfTarget *t, gint64 now_ms);

/** cf_target_announce_leaving: records that @t said in an answer that it
 * leaves; %FALSE if that was known. */
gboolean cf_target_announce_leaving (CfTarget *t);

/** cf_target_is_leaving: whether @t takes no new requests, by its record or its
 * answers. */
gboolean cf_target_is_leaving (const CfTarget *t);

/** cf_target_pause_ms: for how much longer @t wants no requests of this
 * gateway; 0 if it takes them. */
gint64 cf_target_pause_ms (const CfTarget *t, gint64 now_ms);

/** cf_target_is_older_incarnation: whether @incarnation is known and older than
 * that of @t. */
gboolean cf_target_is_older_incarnation (const CfTarget *t, gint64 incarnation);

/**
 * cf_target_set_slowdown:
 * Returns: %TRUE if it changed by enough to be applied.
 */
gboolean cf_target_set_slowdown (CfTarget *t, double slowdown, gint64 now_ms);

/** cf_target_table_update_evacuated: applies a change of the evacuated data
 * centres; returns the number of targets that are evacuated now. */
guint cf_target_table_update_evacuated (CfTargetTable *t);

/** cf_target_table_services_changed: reassigns the addresses after the set of
 * configured services has changed. */
void cf_target_table_services_changed (CfTargetTable *t);

/** cf_target_table_lookup_addr: (nullable): the newest target at @addr. */
CfTarget *cf_target_table_lookup_addr (const CfTargetTable *t,
                                       const char *addr);

/** cf_target_table_remove: removes the target @id; %FALSE if it was not listed.
 */
gboolean cf_target_table_remove (CfTargetTable *t, const char *id);

/** cf_target_table_slots: the sum of the slots of those targets of @service
 * that take new requests and are not evacuated. */
gint64 cf_target_table_slots (const CfTargetTable *t, const char *service);

/** cf_target_table_count_usable: the number of those targets. */
guint cf_target_table_count_usable (const CfTargetTable *t,
                                    const char *service);

/** cf_target_table_service: (nullable): the targets of @service, sorted by id.
 */
const GPtrArray *cf_target_table_service (const CfTargetTable *t,
                                          const char *service);
