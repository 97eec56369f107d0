#pragma once

#include <glib.h>
#include <pthread.h>

/** CfAdmissionResult: whether an entry takes a request on, and why not. */
typedef enum
{
  CF_ADMIT_OK,
  CF_ADMIT_FULL,       /**< at the limit for requests of its priority */
  CF_ADMIT_FAIR_SHARE, /**< its organisation is at its fair share */
} CfAdmissionResult;

/**
 * CfAdmission:
 * The limit on an entry's requests in progress.  Requests of low priority
 * may use only a part of it.  Its last part, the reserve, is open only to
 * organisations below their fair share (the limit over the organisations
 * with requests in progress), so that a few large ones cannot shut the
 * small ones out; short of the reserve anyone may use what is free.
 */
typedef struct
{
  pthread_mutex_t lock;
  GHashTable *by_org;      /**< organisation -> requests in progress */
  gint64 max;              /**< requests in progress at most */
  gint64 low_priority_max; /**< of them, while priority is below 5 */
  gint64 unreserved_max;   /**< of them, without regard to fair shares */
  gint64 in_progress;
} CfAdmission;

/**
 * cf_admission_init:
 * @max: requests in progress at most
 * @low_percent: percent of @max open to priorities below 5
 * @reserve_percent: percent of @max kept for organisations below their
 *   fair share
 */
void cf_admission_init (CfAdmission *a, gint64 max, gint64 low_percent,
                        gint64 reserve_percent);
void cf_admission_clear (CfAdmission *a);

/**
 * cf_admission_acquire:
 * Takes a request of @org on, if there is room; after %CF_ADMIT_OK it must
 * be ended with cf_admission_release().
 */
CfAdmissionResult cf_admission_acquire (CfAdmission *a, const char *org,
                                        gint64 priority);
void cf_admission_release (CfAdmission *a, const char *org);

/** cf_admission_in_progress: how many requests are in progress now. */
gint64 cf_admission_in_progress (CfAdmission *a);
