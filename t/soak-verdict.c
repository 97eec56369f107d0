/*
 * Records what callers sent and received, what targets ran and when faults
 * lasted, and checks the records against the invariants.
 */
#include "soak.h"

#include <stdarg.h>
#include <stdio.h>

/** Violations that are printed; later ones are only counted. */
#define PRINTED_VIOLATIONS_MAX 5

/** More than a plan has faults, each of which may write one version. */
#define VERSIONS_MAX 64

/** RequestRecord: what is known of a request. */
typedef struct
{
  SoakRequestClass class;
  int gateway;
  int version; /**< the only configuration version that has its route; 0: all
                  have it */
  gint64 sent_ms;
  gint64 end_ms;
  int status; /**< 0: no complete answer */
  int runs;
  gboolean is_closed;
} RequestRecord;

/** FaultSpan: the time that an unplanned fault lasted. */
typedef struct
{
  gint64 from_ms;
  gint64 to_ms;
} FaultSpan;

/** PlannedStop: SIGTERM to a gateway. */
typedef struct
{
  int gateway;
  gint64 at_ms;
} PlannedStop;

/** Disturbance: an event that makes a gateway forget, or do nothing. */
typedef struct
{
  int gateway;
  gint64 at_ms;
} Disturbance;

static GMutex lock;
static GArray *disturbances;     /* of Disturbance */
static GHashTable *requests;     /* id -> RequestRecord */
static GArray *unplanned_faults; /* of FaultSpan */
static GArray *stops;            /* of PlannedStop */
static guint n_violations;
static gint64 written_ms[VERSIONS_MAX]; /* by configuration version */
static gint newest_version = 1;
static gint64 calm_ms; /* from then on the urgent route is checked */

gint64
soak_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
soak_report_violation (const char *invariant, const char *format, ...)
{
  g_autofree char *message = NULL;
  va_list ap;

  va_start (ap, format);
  message = g_strdup_vprintf (format, ap);
  va_end (ap);
  if ((guint)g_atomic_int_add ((gint *)&n_violations, 1)
      < PRINTED_VIOLATIONS_MAX)
    printf ("broken promise=%s at_ms=%" G_GINT64_FORMAT " %s\n", invariant,
            soak_now_ms (), message);
}

void
soak_record_unplanned_fault (gint64 from_ms, gint64 to_ms)
{
  FaultSpan span = { from_ms, to_ms };

  g_mutex_lock (&lock);
  if (!unplanned_faults)
    unplanned_faults = g_array_new (FALSE, FALSE, sizeof (FaultSpan));
  g_array_append_val (unplanned_faults, span);
  g_mutex_unlock (&lock);
}

void
soak_record_stop (int gateway)
{
  PlannedStop stop = { gateway, soak_now_ms () };

  if (!stops)
    stops = g_array_new (FALSE, FALSE, sizeof (PlannedStop));
  g_array_append_val (stops, stop);
}

void
soak_record_disturbance (int gateway)
{
  Disturbance d = { gateway, soak_now_ms () };

  if (!disturbances)
    disturbances = g_array_new (FALSE, FALSE, sizeof (Disturbance));
  g_array_append_val (disturbances, d);
}

gboolean
soak_was_gateway_disturbed (int gateway, gint64 from_ms, gint64 to_ms)
{
  for (guint i = 0; disturbances && i < disturbances->len; i++)
    {
      const Disturbance *d = &g_array_index (disturbances, Disturbance, i);

      if (d->gateway == gateway && d->at_ms >= from_ms && d->at_ms <= to_ms)
        return TRUE;
    }
  return FALSE;
}

static SoakRequestInfo
make_info (const RequestRecord *r)
{
  return (SoakRequestInfo){ r->class, r->gateway, r->sent_ms, r->end_ms };
}

void
soak_foreach_request (void (*visit) (const SoakRequestInfo *))
{
  GHashTableIter it;
  gpointer r;

  g_mutex_lock (&lock);
  g_hash_table_iter_init (&it, requests);
  while (g_hash_table_iter_next (&it, NULL, &r))
    {
      const SoakRequestInfo info = make_info (r);

      visit (&info);
    }
  g_mutex_unlock (&lock);
}

gboolean
soak_lookup_request (const char *id, SoakRequestInfo *info)
{
  const RequestRecord *r;

  g_mutex_lock (&lock);
  r = requests ? g_hash_table_lookup (requests, id) : NULL;
  if (r)
    *info = make_info (r);
  g_mutex_unlock (&lock);
  return r != NULL;
}

gboolean
soak_has_only_planned_faults (void)
{
  return unplanned_faults == NULL;
}

void
soak_record_config (int version)
{
  written_ms[version] = soak_now_ms ();
  g_atomic_int_set (&newest_version, version);
}

int
soak_newest_config (void)
{
  return g_atomic_int_get (&newest_version);
}

gint64
soak_record_calm (void)
{
  calm_ms = soak_now_ms () + SOAK_CALM_MS;
  return calm_ms + SOAK_CALM_CHECK_MS;
}

void
soak_record_sent (const char *id, SoakRequestClass class, int gateway,
                  int version)
{
  RequestRecord *r = g_new0 (RequestRecord, 1);

  r->class = class;
  r->gateway = gateway;
  r->version = version;
  r->sent_ms = soak_now_ms ();
  g_mutex_lock (&lock);
  if (!requests)
    requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (requests, g_strdup (id), r);
  g_mutex_unlock (&lock);
}

static void
record_end (const char *id, int status, gboolean is_closed)
{
  RequestRecord *r;

  g_mutex_lock (&lock);
  r = g_hash_table_lookup (requests, id);
  r->status = status;
  r->is_closed = is_closed;
  r->end_ms = soak_now_ms ();
  g_mutex_unlock (&lock);
}

void
soak_record_answer (const char *id, int status)
{
  record_end (id, status, FALSE);
}

void
soak_record_close (const char *id)
{
  record_end (id, 0, TRUE);
}

void
soak_record_runs (const char *id, int times)
{
  RequestRecord *r;

  g_mutex_lock (&lock);
  r = requests ? g_hash_table_lookup (requests, id) : NULL;
  if (r)
    r->runs += times;
  g_mutex_unlock (&lock);
  if (!r)
    soak_report_violation ("unasked", "id=%s ran, but no caller sent it", id);
}

/* Whether the request was in progress during an unplanned fault or in the time
 * to reconnect after it, which excuses a lost answer and an old configuration
 * version. */
static gboolean
is_excused (const RequestRecord *r)
{
  for (guint i = 0; unplanned_faults && i < unplanned_faults->len; i++)
    {
      const FaultSpan *fault = &g_array_index (unplanned_faults, FaultSpan, i);

      if (fault->from_ms <= r->end_ms
          && r->sent_ms <= fault->to_ms + SOAK_RECONNECT_MS)
        return TRUE;
    }
  return FALSE;
}

/* Whether a planned stop of its gateway was allowed to cut off the request. */
static gboolean
is_cut_by_planned_stop (const RequestRecord *r)
{
  for (guint i = 0; stops && i < stops->len; i++)
    {
      const PlannedStop *stop = &g_array_index (stops, PlannedStop, i);

      if (stop->gateway == r->gateway
          && r->sent_ms <= stop->at_ms + SOAK_CUT_SENT_WITHIN_MS
          && r->end_ms >= stop->at_ms + SOAK_CUT_FROM_MS
          && r->end_ms <= stop->at_ms + SOAK_STOP_TIMEOUT_MS)
        return TRUE;
    }
  return FALSE;
}

/* Whether an answer with this status says that no target ran the request. */
static gboolean
means_not_run (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Whether a configuration version served the request although a newer one had
 * to be in force already. */
static gboolean
is_served_by_old_version (const RequestRecord *r)
{
  return r->version && r->status == 200 && r->version < newest_version
         && r->sent_ms > written_ms[r->version + 1] + SOAK_CONFIG_APPLY_MS
         && !is_excused (r);
}

static void
check_request (const char *id, const RequestRecord *r)
{
  gint64 took_ms = r->end_ms - r->sent_ms;

  if (r->class == SOAK_ORDER && r->runs > 1)
    soak_report_violation ("at-most-once", "id=%s gateway=%d runs=%d", id,
                           r->gateway, r->runs);
  if (r->runs > 0 && means_not_run (r->status)
      && (r->class == SOAK_ORDER || r->status == 503 || r->status == 429))
    soak_report_violation ("true-refusal", "id=%s gateway=%d status=%d runs=%d",
                           id, r->gateway, r->status, r->runs);
  if (r->status == 200 && r->runs == 0)
    soak_report_violation ("own-answer",
                           "id=%s status=200, but no target ran it", id);
  if (is_served_by_old_version (r))
    soak_report_violation (
        "config-in-force",
        "id=%s gateway=%d version=%d sent_ms=%" G_GINT64_FORMAT, id, r->gateway,
        r->version, r->sent_ms);
  if (r->is_closed && (r->runs > 0 || took_ms > SOAK_CLOSE_RACE_MS)
      && !is_excused (r) && !is_cut_by_planned_stop (r))
    soak_report_violation ("not-closed",
                           "id=%s gateway=%d class=%d sent_ms=%" G_GINT64_FORMAT
                           " took_ms=%" G_GINT64_FORMAT " runs=%d",
                           id, r->gateway, r->class, r->sent_ms, took_ms,
                           r->runs);
}

static gboolean
is_calm_and_urgent (const RequestRecord *r)
{
  return r->class == SOAK_URGENT && r->sent_ms >= calm_ms
         && r->sent_ms < calm_ms + SOAK_CALM_CHECK_MS;
}

guint
soak_check_requests (void)
{
  int n_urgent = 0;
  int n_served = 0;
  GHashTableIter it;
  gpointer id;
  gpointer record;

  g_mutex_lock (&lock);
  g_hash_table_iter_init (&it, requests);
  while (g_hash_table_iter_next (&it, &id, &record))
    {
      check_request (id, record);
      n_urgent += is_calm_and_urgent (record);
      n_served += is_calm_and_urgent (record)
                  && ((const RequestRecord *)record)->status == 200;
    }
  printf ("  urgent after load sent=%d served=%d\n", n_urgent, n_served);
  if (!n_urgent || n_served < SOAK_CALM_SERVED_MIN * n_urgent)
    soak_report_violation ("urgent-after-load", "%d of %d are served", n_served,
                           n_urgent);
  g_mutex_unlock (&lock);
  return (guint)g_atomic_int_get ((gint *)&n_violations);
}
