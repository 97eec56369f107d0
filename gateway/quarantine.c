#include "quarantine.h"

#include "sound-parts.h"

#include <string.h>

/** A rank that gives up waiting for another one has been silent for at least
 * this fraction of the waiting time; its last output may still have been in
 * transit when the wait began. */
#define STALLED_FRACTION 0.9

struct CfQuarantine
{
  GHashTable *records; /* digest -> #CfCrashRecord */
  GHashTable *changed; /* #CfRequestDigest, owned -> whether the request was
                          quarantined when it was cleared */
  CfSoundParts *sound;
};

static void
free_record (gpointer p)
{
  CfCrashRecord *r = p;

  for (guint i = 0; i < r->n; i++)
    g_free (r->crashes[i].target);
  g_free (r);
}

CfQuarantine *
cf_quarantine_new (void)
{
  CfQuarantine *q = g_new0 (CfQuarantine, 1);

  q->records = g_hash_table_new_full (
      cf_request_digest_hash, cf_request_digest_equal, NULL, free_record);
  q->changed = g_hash_table_new_full (cf_request_digest_hash,
                                      cf_request_digest_equal, g_free, NULL);
  q->sound = cf_sound_parts_new ();
  return q;
}

void
cf_quarantine_free (CfQuarantine *q)
{
  g_hash_table_destroy (q->records);
  g_hash_table_destroy (q->changed);
  cf_sound_parts_free (q->sound);
  g_free (q);
}

guint
cf_quarantine_size (const CfQuarantine *q)
{
  return g_hash_table_size (q->records);
}

gboolean
cf_quarantine_may_be_crash (gint64 quiet_ms, gint64 stall_ms)
{
  return stall_ms <= 0
         || (double)quiet_ms < (double)stall_ms * STALLED_FRACTION;
}

static void
mark_changed (CfQuarantine *q, const CfRequestDigest *d,
              gboolean was_quarantined)
{
  g_hash_table_replace (q->changed, g_memdup2 (d, sizeof *d),
                        GINT_TO_POINTER (was_quarantined));
}

/* Eviction order: fewest crashes first, then least recently seen. */
static gboolean
evicts_before (const CfCrashRecord *a, const CfCrashRecord *b)
{
  return a->n != b->n ? a->n < b->n : a->seen_ms < b->seen_ms;
}

static void
evict_one (CfQuarantine *q)
{
  const CfCrashRecord *victim = NULL;
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (!victim || evicts_before (v, victim))
      victim = v;
  g_hash_table_remove (q->changed, &victim->digest);
  g_hash_table_remove (q->records, &victim->digest);
}

static CfCrashRecord *
get_or_add (CfQuarantine *q, const CfRequestDigest *d)
{
  CfCrashRecord *r = g_hash_table_lookup (q->records, d);

  if (r)
    return r;
  if (cf_quarantine_size (q) >= CF_QUARANTINE_MAX_RECORDS)
    evict_one (q);
  r = g_new0 (CfCrashRecord, 1);
  r->digest = *d;
  g_hash_table_insert (q->records, &r->digest, r);
  return r;
}

static void
update_last_seen (CfQuarantine *q, CfCrashRecord *r, gint64 seen_ms)
{
  r->seen_ms = MAX (r->seen_ms, seen_ms);
  /* Peers that receive no attempts of the request would expire its record. */
  if (r->seen_ms - r->notified_ms > CF_QUARANTINE_RETENTION_MS / 2)
    mark_changed (q, &r->digest, FALSE);
}

static gint
compare_lost (gconstpointer a, gconstpointer b)
{
  const CfCrash *x = *(CfCrash *const *)a;
  const CfCrash *y = *(CfCrash *const *)b;

  return x->lost_ms < y->lost_ms ? -1 : x->lost_ms > y->lost_ms;
}

static gboolean
has_target (const CfCrashRecord *r, const char *target)
{
  for (guint i = 0; i < r->n; i++)
    if (strcmp (r->crashes[i].target, target) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_later_attempt (const CfCrash *c, const CfCrashRecord *r)
{
  return r->n == 0
         || c->sent_ms
                >= r->crashes[r->n - 1].lost_ms + CF_QUARANTINE_MIN_INTERVAL_MS;
}

/* Selects the longest sequence of crashes in which each attempt was sent after
 * the previous crash: the earliest crash, then repeatedly the earliest one
 * whose attempt was sent after the last one selected.  @candidates is sorted.
 */
static void
select_sequence (CfCrashRecord *r, const GPtrArray *candidates)
{
  for (guint i = 0; i < candidates->len && r->n < CF_QUARANTINE_CRASH_THRESHOLD;
       i++)
    {
      const CfCrash *c = candidates->pdata[i];

      if (!is_later_attempt (c, r) || has_target (r, c->target))
        continue;
      r->crashes[r->n] = *c;
      r->crashes[r->n++].target = g_strdup (c->target);
    }
}

static gboolean
is_quarantined (const CfCrashRecord *r)
{
  return r->n == CF_QUARANTINE_CRASH_THRESHOLD;
}

/* Whether something quarantined, other than @d, crashed @target. */
static gboolean
is_explained (const CfQuarantine *q, const CfRequestDigest *d,
              const char *target)
{
  GHashTableIter it;
  gpointer r;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, &r))
    if (is_quarantined (r) && has_target (r, target)
        && !cf_request_digest_equal (&((CfCrashRecord *)r)->digest, d))
      return TRUE;
  return FALSE;
}

/* Removes from @r the crashes that @cause explains. */
static void
drop_explained (CfCrashRecord *r, const CfCrashRecord *cause)
{
  guint n = 0;

  for (guint i = 0; i < r->n; i++)
    if (has_target (cause, r->crashes[i].target))
      g_free (r->crashes[i].target);
    else
      r->crashes[n++] = r->crashes[i];
  r->n = n;
}

/* @cause has been quarantined: its crashes are no evidence against others. */
static void
explain_crashes (CfQuarantine *q, const CfCrashRecord *cause)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfCrashRecord *r = v;

      if (is_quarantined (r))
        continue;
      drop_explained (r, cause);
      if (r->n > 0)
        continue;
      g_hash_table_remove (q->changed, &r->digest);
      g_hash_table_iter_remove (&it);
    }
}

/* The crashes of @r, and those of @crashes that are new and that nothing
 * explains, in order of time. */
static GPtrArray *
collect_candidates (const CfQuarantine *q, const CfRequestDigest *d,
                    const CfCrashRecord *r, const CfCrash *crashes, guint n)
{
  GPtrArray *candidates = g_ptr_array_new ();

  for (guint i = 0; i < r->n; i++)
    g_ptr_array_add (candidates, (gpointer)&r->crashes[i]);
  for (guint i = 0; i < n; i++)
    if (!has_target (r, crashes[i].target)
        && !is_explained (q, d, crashes[i].target))
      g_ptr_array_add (candidates, (gpointer)&crashes[i]);
  g_ptr_array_sort (candidates, compare_lost);
  return candidates;
}

gboolean
cf_quarantine_merge (CfQuarantine *q, const CfRequestDigest *d,
                     const CfCrash *crashes, guint n, gint64 seen_ms)
{
  CfCrashRecord *r = g_hash_table_lookup (q->records, d);
  CfCrashRecord old = r ? *r : (CfCrashRecord){ 0 };
  GPtrArray *candidates = collect_candidates (q, d, &old, crashes, n);
  gboolean is_new_cause = FALSE;

  if (candidates->len == 0)
    goto out;
  r = get_or_add (q, d);
  update_last_seen (q, r, seen_ms);
  if (candidates->len == old.n || is_quarantined (&old))
    goto out;
  r->n = 0;
  select_sequence (r, candidates);
  for (guint i = 0; i < old.n; i++)
    g_free (old.crashes[i].target);
  if (r->n > old.n)
    mark_changed (q, d, FALSE);
  is_new_cause = is_quarantined (r);
  if (is_new_cause)
    explain_crashes (q, r);
out:
  g_ptr_array_free (candidates, TRUE);
  return is_new_cause;
}

gboolean
cf_quarantine_contains (const CfQuarantine *q, const CfRequestDigest *d)
{
  const CfCrashRecord *r = g_hash_table_lookup (q->records, d);

  return r && is_quarantined (r);
}

gboolean
cf_quarantine_mark_sound (CfQuarantine *q, const CfRequestDigest *d,
                          gint64 now_ms)
{
  cf_sound_parts_add (q->sound, d, now_ms);
  return cf_quarantine_clear (q, d);
}

gboolean
cf_quarantine_is_sound (const CfQuarantine *q, const CfRequestDigest *d,
                        gint64 now_ms)
{
  return cf_sound_parts_contains (q->sound, d, now_ms);
}

gboolean
cf_quarantine_clear (CfQuarantine *q, const CfRequestDigest *d)
{
  const CfCrashRecord *r = g_hash_table_lookup (q->records, d);

  if (!r)
    return FALSE;
  mark_changed (q, d, is_quarantined (r));
  g_hash_table_remove (q->records, d);
  return TRUE;
}

guint
cf_quarantine_crashes (const CfQuarantine *q, const CfRequestDigest *d)
{
  const CfCrashRecord *r = g_hash_table_lookup (q->records, d);

  return r ? r->n : 0;
}

gint64
cf_quarantine_first_crash_ms (const CfQuarantine *q, const CfRequestDigest *d)
{
  const CfCrashRecord *r = g_hash_table_lookup (q->records, d);

  return r && r->n > 0 ? r->crashes[0].lost_ms : -1;
}

gboolean
cf_quarantine_check (CfQuarantine *q, const CfRequestDigest *d, gint64 now_ms)
{
  CfCrashRecord *r = g_hash_table_lookup (q->records, d);

  if (!r)
    return FALSE;
  update_last_seen (q, r, now_ms);
  return is_quarantined (r);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer now_ms)
{
  const CfCrashRecord *r = value;
  gint64 now = *(const gint64 *)now_ms;

  return now - r->seen_ms > CF_QUARANTINE_RETENTION_MS
         || now - r->crashes[r->n - 1].lost_ms > CF_QUARANTINE_MAX_AGE_MS;
}

void
cf_quarantine_expire (CfQuarantine *q, gint64 now_ms)
{
  g_hash_table_foreach_remove (q->records, is_expired, &now_ms);
}

void
cf_quarantine_foreach (CfQuarantine *q, CfCrashVisitor visit, void *data)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, &v))
    visit (data, v);
}

void
cf_quarantine_flush (CfQuarantine *q, CfCrashVisitor visit, void *data)
{
  GHashTableIter it;
  gpointer d;
  gpointer was_quarantined;

  g_hash_table_iter_init (&it, q->changed);
  while (g_hash_table_iter_next (&it, &d, &was_quarantined))
    {
      CfCrashRecord *r = g_hash_table_lookup (q->records, d);
      CfCrashRecord cleared
          = { .digest = *(const CfRequestDigest *)d,
              .was_quarantined = GPOINTER_TO_INT (was_quarantined) };

      visit (data, r ? r : &cleared);
      if (r)
        r->notified_ms = r->seen_ms;
    }
  g_hash_table_remove_all (q->changed);
}

gboolean
cf_crash_record_is_or_was_quarantined (const CfCrashRecord *r)
{
  return is_quarantined (r) || r->was_quarantined;
}

void
cf_quarantine_discard_changes (CfQuarantine *q)
{
  g_hash_table_remove_all (q->changed);
}

gboolean
cf_quarantine_has_changes (const CfQuarantine *q)
{
  return g_hash_table_size (q->changed) > 0;
}
