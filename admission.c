#include "admission.h"

#define MIN_HIGH_PRIORITY 5

void
cf_admission_init (CfAdmission *a, gint64 max, gint64 low_percent,
                   gint64 reserve_percent)
{
  pthread_mutex_init (&a->lock, NULL);
  a->by_org = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  a->max = max;
  a->low_priority_max = max * low_percent / 100;
  a->unreserved_max = max * (100 - reserve_percent) / 100;
  a->in_progress = 0;
}

void
cf_admission_clear (CfAdmission *a)
{
  g_hash_table_unref (a->by_org);
  pthread_mutex_destroy (&a->lock);
}

static gint64
requests_of_org (CfAdmission *a, const char *org)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (a->by_org, org));
}

/* Returns the fair share of an organisation that has @own requests in
 * progress.  An organisation that has none yet is counted in, as it is about
 * to get its first. */
static gint64
fair_share (CfAdmission *a, gint64 own)
{
  gint64 orgs = g_hash_table_size (a->by_org) + (own == 0);

  return MAX (a->max / orgs, 1);
}

CfAdmissionResult
cf_admission_acquire (CfAdmission *a, const char *org, gint64 priority)
{
  CfAdmissionResult res = CF_ADMIT_OK;
  gint64 own;

  pthread_mutex_lock (&a->lock);
  own = requests_of_org (a, org);
  if (a->in_progress
      >= (priority < MIN_HIGH_PRIORITY ? a->low_priority_max : a->max))
    res = CF_ADMIT_FULL;
  else if (a->in_progress >= a->unreserved_max && own >= fair_share (a, own))
    res = CF_ADMIT_FAIR_SHARE;
  else
    {
      a->in_progress++;
      g_hash_table_replace (a->by_org, g_strdup (org),
                            GINT_TO_POINTER ((gint)own + 1));
    }
  pthread_mutex_unlock (&a->lock);
  return res;
}

void
cf_admission_release (CfAdmission *a, const char *org)
{
  gint64 own;

  pthread_mutex_lock (&a->lock);
  own = requests_of_org (a, org);
  a->in_progress--;
  if (own <= 1)
    g_hash_table_remove (a->by_org, org);
  else
    g_hash_table_replace (a->by_org, g_strdup (org),
                          GINT_TO_POINTER ((gint)own - 1));
  pthread_mutex_unlock (&a->lock);
}

gint64
cf_admission_in_progress (CfAdmission *a)
{
  gint64 n;

  pthread_mutex_lock (&a->lock);
  n = a->in_progress;
  pthread_mutex_unlock (&a->lock);
  return n;
}
