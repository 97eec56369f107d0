#pragma once

#include <glib.h>
#include <pthread.h>

/** CfAdmissionResult: whether a request is admitted, and if not, why. */
typedef enum
{
  CF_ADMIT_OK,
  CF_ADMIT_FULL,       /**< the limit for its priority is reached */
  CF_ADMIT_FAIR_SHARE, /**< its organisation has used up its fair share */
} CfAdmissionResult;

/**
 * CfAdmission:
 * The limit on an entry's requests in progress.  Requests of priority below 5
 * may use only a part of it.  The last part of it is a reserve, open only to
 * organisations below their fair share (the limit divided by the number of
 * organisations with requests in progress), so that a few large ones cannot
 * lock out the small ones.  Outside the reserve any organisation may use what
 * is free.
 */
typedef struct
{
  pthread_mutex_t lock;
  GHashTable *by_org;      /**< from organisation to requests in progress */
  gint64 max;              /**< the limit on requests in progress */
  gint64 low_priority_max; /**< the limit for priorities below 5 */
  gint64 unreserved_max;   /**< up to this limit fair shares are not checked */
  gint64 in_progress;
} CfAdmission;

/**
 * cf_admission_init:
 * @max: the limit on requests in progress
 * @low_percent: percent of @max open to priorities below 5
 * @reserve_percent: percent of @max kept for organisations below their
 *   fair share
 */
void cf_admission_init (CfAdmission *a, gint64 max, gint64 low_percent,
                        gint64 reserve_percent);
void cf_admission_clear (CfAdmission *a);

/**
 * cf_admission_acquire:
 * Admits a request of @org if the limits allow it.  After %CF_ADMIT_OK the
 * caller must end it with cf_admission_release().
 */
CfAdmissionResult cf_admission_acquire (CfAdmission *a, const char *org,
                                        gint64 priority);
void cf_admission_release (CfAdmission *a, const char *org);

/** cf_admission_in_progress: the number of requests in progress. */
gint64 cf_admission_in_progress (CfAdmission *a);
