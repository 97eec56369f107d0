#pragma once

#include <glib.h>

/** CfReadingKind: what was received from a rank, an agent or a peer. */
typedef enum
{
  CF_READING_RANK_REPORT,    /**< the state of a rank, read by its agent */
  CF_READING_EXPERT_COUNTS,  /**< its counters, read by its agent */
  CF_READING_EXPERT_LISTS,   /**< the experts that it holds */
  CF_READING_RANK_STATUS,    /**< its state, received by a leader */
  CF_READING_DEMAND,         /**< increases of its counters, likewise */
  CF_READING_SLOWDOWN,       /**< of a target */
  CF_READING_RATE_LIMIT,     /**< of a target, told by a peer */
  CF_READING_LEAVING,        /**< that a target leaves, told by a peer */
  CF_READING_WARMUP,         /**< of a target, in an answer */
  CF_READING_EVACUATION,     /**< a record of an evacuation */
  CF_READING_SERVICE_DEMAND, /**< of a peer at a service */
  CF_READING_RETURN,         /**< a time to return, told by a peer */
  CF_N_READING_KINDS,
} CfReadingKind;

const char *cf_reading_kind_name (CfReadingKind k);

/** CfReadingLog: the readings that this process received and did not use. */
typedef struct
{
  guint64 n_dropped[CF_N_READING_KINDS];
  gint64 logged_ms[CF_N_READING_KINDS]; /**< when a line was last written; 0:
                                             never */
} CfReadingLog;

/**
 * cf_reading_log_drop:
 * Counts a reading that is not used, and logs it unless a line about this kind
 * was written a short time ago.
 * @from: (nullable): whose reading it is
 * @reason: why it is not used
 */
void cf_reading_log_drop (CfReadingLog *l, CfReadingKind k, const char *from,
                          const char *reason, gint64 now_ms);

/** cf_reading_log_total: readings of all kinds that were not used. */
guint64 cf_reading_log_total (const CfReadingLog *l);
