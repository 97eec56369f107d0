#include "target.h"

#include "ablation.h"
#include "socket.h"

#include <math.h>
#include <string.h>

/** A target that refused a request as full gets one more every so many ms. With
 * responses of 300 ms it is tested about once per response of each slot. */
#define FULL_RAISE_MS 250
/** After this time without a refusal, the last one says nothing any more: slots
 * have become free, or requests of other gateways have ended. */
#define FULL_MEMORY_MS 1000

/** Smaller changes of a slowdown are ignored. */
#define MIN_SLOWDOWN_CHANGE 0.1

CfTarget *
cf_target_new (CfTargetRecord *r)
{
  CfTarget *t = g_new0 (CfTarget, 1);

  t->ref_count = 1;
  t->record = *r;
  t->listed = TRUE;
  t->slowdown = 1;
  TAILQ_INIT (&t->idle);
  TAILQ_INIT (&t->busy);
  if (cf_socket_parse_address (t->record.addr, &t->addr) == CF_OK)
    return t;
  cf_target_unref (t);
  return NULL;
}

CfTarget *
cf_target_new_at (const char *addr)
{
  CfTargetRecord r = { 0 };

  r.id = g_strdup (addr);
  r.service = g_strdup ("");
  r.addr = g_strdup (addr);
  r.data_centre = g_strdup ("");
  r.slots = 1;
  return cf_target_new (&r);
}

CfTarget *
cf_target_ref (CfTarget *t)
{
  t->ref_count++;
  return t;
}

void
cf_target_unref (CfTarget *t)
{
  if (!t || --t->ref_count > 0)
    return;
  cf_target_record_clear (&t->record);
  g_free (t->json);
  g_free (t);
}

void
cf_target_request_started (CfTarget *t, gint64 now)
{
  if (t->in_flight++ == 0)
    t->busy_since_ms = now;
}

void
cf_target_request_ended (CfTarget *t, gint64 now)
{
  gint64 unanswered_ms = cf_target_unanswered_ms (t, now);

  if (--t->in_flight == 0)
    t->prior_silence_ms = MAX (unanswered_ms, 0);
}

guint
cf_target_full_limit (const CfTarget *t, gboolean tests, gint64 now)
{
  gint64 ms = now - t->full_since_ms;

  if (t->full_in_flight == 0 || ms >= FULL_MEMORY_MS)
    return G_MAXUINT;
  /* A refusal would end a request that cannot be sent again, or make it wait
   * for the retry budget. */
  return MAX (t->full_in_flight - 1, 1)
         + (tests ? (guint)(ms / FULL_RAISE_MS) : 0);
}

void
cf_target_note_full (CfTarget *t, guint in_flight, gint64 now)
{
  guint limit = cf_target_full_limit (t, TRUE, now);

  /* It runs no other request of this process: others fill it, or it refuses all
   * work.  How many it takes of this process is not known then. */
  if (MIN (in_flight, t->in_flight) <= 1)
    {
      if (t->in_flight <= 1)
        t->full_in_flight = 0;
      return;
    }
  t->full_in_flight = in_flight <= limit ? in_flight : limit + 1;
  t->full_since_ms = now;
}

void
cf_target_note_accepted (CfTarget *t, guint in_flight, gint64 sent_ms)
{
  if (t->full_in_flight > 0 && in_flight >= t->full_in_flight
      && sent_ms > t->full_since_ms)
    t->full_in_flight = in_flight + 1;
}

void
cf_target_record_progress (CfTarget *t, gint64 now)
{
  t->last_progress_ms = now;
  t->prior_silence_ms = 0;
}

static void
drop_target (gpointer data)
{
  CfTarget *t = data;

  t->listed = FALSE;
  cf_target_unref (t);
}

static void
free_array (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

void
cf_target_table_init (CfTargetTable *t)
{
  t->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, drop_target);
  t->by_addr = g_hash_table_new (g_str_hash, g_str_equal);
  t->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_array);
  /* Without a random start, gateways that start together and know the same
   * targets would all begin at the same one and overload a few at a time. */
  t->next_start = g_random_int ();
  cf_departed_targets_init (&t->departed);
  t->generation = 0;
  t->restored_ms = 0;
  t->n_kept_out = 0;
  t->is_configured = NULL;
  t->is_configured_data = NULL;
  t->evacuations = NULL;
}

void
cf_target_table_clear (CfTargetTable *t)
{
  g_hash_table_destroy (t->by_service);
  g_hash_table_destroy (t->by_addr);
  g_hash_table_destroy (t->by_id);
  cf_departed_targets_clear (&t->departed);
}

static GPtrArray *
get_service_array (CfTargetTable *t, const char *service)
{
  GPtrArray *a = g_hash_table_lookup (t->by_service, service);

  if (!a)
    {
      a = g_ptr_array_new ();
      g_hash_table_insert (t->by_service, g_strdup (service), a);
    }
  return a;
}

/* Sorts by id, so that all gateways agree on the ring of targets. */
static void
insert_by_id (GPtrArray *a, CfTarget *target)
{
  guint low = 0;
  guint high = a->len;

  while (low < high)
    {
      guint mid = (low + high) / 2;
      const CfTarget *at = a->pdata[mid];

      if (strcmp (at->record.id, target->record.id) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  g_ptr_array_insert (a, (gint)low, target);
}

static gboolean
is_configured (const CfTargetTable *t, const CfTarget *target)
{
  return !t->is_configured
         || t->is_configured (t->is_configured_data, target->record.service);
}

/* Whether @other rather than @target is the instance at their common address:
 * the one listed later.  A record of a service that is not configured may be
 * corrupt, and loses to one of a configured service. */
static gboolean
has_older_claim (const CfTargetTable *t, const CfTarget *target,
                 const CfTarget *other)
{
  gboolean configured = is_configured (t, target);

  if (configured != is_configured (t, other))
    return !configured;
  return cf_store_position_is_older (target->created, other->created);
}

static void
claim_address (CfTargetTable *t, CfTarget *target)
{
  CfTarget *other = g_hash_table_lookup (t->by_addr, target->record.addr);

  if (other == target)
    other = NULL;
  target->replaced = other && has_older_claim (t, target, other);
  if (target->replaced)
    return;
  if (other)
    other->replaced = TRUE;
  g_hash_table_replace (t->by_addr, target->record.addr, target);
}

/* Remembers what an instance said of itself, for the case that the list shows
 * it again. */
static void
remember_departed (CfTargetTable *t, const CfTarget *target)
{
  CfDepartedTarget *d = cf_departed_targets_add (&t->departed, &target->record);

  d->announced_leaving = target->announced_leaving;
  d->record_leaving = target->record.leaving;
  d->seq = target->record.seq;
  d->generation = t->generation;
  d->pause = target->pause;
}

static void
restore_departed (const CfTargetTable *t, CfTarget *target)
{
  const CfDepartedTarget *d
      = cf_departed_targets_lookup (&t->departed, &target->record);

  if (!d)
    return;
  /* Within one generation the list itself says whether the target leaves. */
  target->announced_leaving
      = d->announced_leaving
        || (d->record_leaving && d->generation != t->generation);
  target->pause = d->pause;
}

static gboolean
is_evacuated (const CfTargetTable *t, const CfTarget *target)
{
  return t->evacuations
         && cf_evacuations_contains (t->evacuations,
                                     target->record.data_centre);
}

static CfTargetChange
add_target (CfTargetTable *t, CfTargetRecord *r, const CfTargetUpdate *update)
{
  CfTarget *target = cf_target_new (r);

  if (!target)
    return CF_TARGET_BAD;
  target->json = g_strndup (update->json, update->n);
  target->pos = update->pos;
  target->created = update->created;
  target->generation = t->generation;
  target->evacuated = is_evacuated (t, target);
  restore_departed (t, target);
  claim_address (t, target);
  g_hash_table_insert (t->by_id, target->record.id, target);
  insert_by_id (get_service_array (t, target->record.service), target);
  return CF_TARGET_NEW;
}

/* A restored list may show a target as it was before it began to leave. */
static void
keep_leaving (const CfTargetTable *t, CfTarget *target)
{
  if (target->generation != t->generation && target->record.leaving)
    target->announced_leaving = TRUE;
}

/* A restored store shows what the copy holds with the revisions of then, which
 * does not make it newer. */
static void
update_created (CfTargetTable *t, CfTarget *target, CfStorePosition created)
{
  if (created.rev == target->created.rev
      || !cf_store_position_is_older (target->created, created))
    return;
  target->created = created;
  claim_address (t, target);
}

static CfTargetChange
update_target (CfTargetTable *t, CfTarget *target, CfTargetRecord *r,
               const CfTargetUpdate *update)
{
  CfTargetChange c = CF_TARGET_SAME;

  keep_leaving (t, target);
  if (r->leaving && !target->record.leaving)
    c = CF_TARGET_LEAVING;
  else if (r->leaving != target->record.leaving
           || r->slots != target->record.slots)
    c = CF_TARGET_UPDATED;
  target->record.leaving = r->leaving;
  target->record.slots = r->slots;
  target->record.warmup_ms = r->warmup_ms;
  target->record.incarnation = r->incarnation;
  target->record.seq = r->seq;
  target->pos = update->pos;
  target->generation = t->generation;
  update_created (t, target, update->created);
  g_free (target->json);
  target->json = g_strndup (update->json, update->n);
  cf_target_record_clear (r);
  return c;
}

/* Whether @r is to be dropped as a late record of an older incarnation than
 * that of @target. */
static gboolean
is_stale_incarnation (CfTarget *target, const CfTargetRecord *r, gint64 now)
{
  if (r->incarnation >= target->record.incarnation)
    {
      target->older_since_ms = 0;
      return FALSE;
    }
  if (target->older_since_ms == 0)
    target->older_since_ms = now;
  return now - target->older_since_ms < CF_TARGET_OLDER_INCARNATION_MS;
}

/* Whether @r belongs to another instance than @target: by its incarnation, or
 * by its address or service, which an instance never changes. */
static gboolean
is_other_instance (const CfTarget *target, const CfTargetRecord *r)
{
  return (target->record.incarnation
          && r->incarnation != target->record.incarnation)
         || strcmp (target->record.addr, r->addr) != 0
         || strcmp (target->record.service, r->service) != 0;
}

/* Whether @r comes from the copy that the list was restored from, and is of an
 * instance that had left the list before. */
static gboolean
is_departed (const CfTargetTable *t, const CfTargetRecord *r,
             const CfTargetUpdate *update)
{
  const CfDepartedTarget *d = cf_departed_targets_lookup (&t->departed, r);

  return d && d->generation != t->generation && !update->is_change
         && r->seq <= d->seq
         && update->now_ms - t->restored_ms < CF_TARGET_COPY_EXPIRY_MS;
}

CfTargetChange
cf_target_table_put (CfTargetTable *t, CfTargetRecord *r,
                     const CfTargetUpdate *update)
{
  CfTarget *target = g_hash_table_lookup (t->by_id, r->id);
  CfTargetChange c = CF_TARGET_NEW;

  if (target && cf_store_position_is_older (update->pos, target->pos))
    {
      cf_target_record_clear (r);
      return CF_TARGET_SAME;
    }
  /* Once an id's records have an incarnation, one without it is invalid. */
  if (target && target->record.incarnation && !r->incarnation)
    {
      cf_target_table_remove (t, r->id);
      cf_target_record_clear (r);
      return CF_TARGET_BAD;
    }
  if (target && is_stale_incarnation (target, r, update->now_ms))
    {
      cf_target_record_clear (r);
      return CF_TARGET_STALE;
    }
  if (target && !is_other_instance (target, r))
    return update_target (t, target, r, update);
  if (is_departed (t, r, update))
    {
      t->n_kept_out++;
      cf_target_record_clear (r);
      return CF_TARGET_DEPARTED;
    }
  if (target)
    {
      if (target->record.incarnation)
        c = CF_TARGET_RESTARTED;
      cf_target_table_remove (t, r->id);
    }
  return add_target (t, r, update) == CF_TARGET_BAD ? CF_TARGET_BAD : c;
}

void
cf_target_table_store_restored (CfTargetTable *t, gboolean keeps_order,
                                gint64 now)
{
  GHashTableIter it;
  gpointer v;

  t->generation++;
  t->restored_ms = now;
  t->n_kept_out = 0;
  if (keeps_order)
    return;
  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    ((CfTarget *)v)->pos = CF_STORE_POSITION_NONE;
}

guint
cf_target_table_update_evacuated (CfTargetTable *t)
{
  GHashTableIter it;
  gpointer v;
  guint n = 0;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfTarget *target = v;

      target->evacuated = is_evacuated (t, target);
      n += target->evacuated;
    }
  return n;
}

void
cf_target_table_services_changed (CfTargetTable *t)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_remove_all (t->by_addr);
  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    claim_address (t, v);
}

gint64
cf_target_silence_ms (const CfTarget *t, gint64 now)
{
  if (t->in_flight == 0)
    return 0;
  return now - MAX (t->busy_since_ms, t->last_progress_ms);
}

gint64
cf_target_unanswered_ms (const CfTarget *t, gint64 now)
{
  return t->prior_silence_ms + cf_target_silence_ms (t, now);
}

gboolean
cf_target_announce_leaving (CfTarget *t)
{
  gboolean is_news = !cf_target_is_leaving (t);

  t->announced_leaving = TRUE;
  return is_news;
}

gboolean
cf_target_is_leaving (const CfTarget *t)
{
  return t->record.leaving || t->announced_leaving;
}

gint64
cf_target_pause_ms (const CfTarget *t, gint64 now)
{
  return CF_WITHOUT_TARGET_PAUSES
             ? 0
             : cf_target_pause_remaining_ms (&t->pause, now);
}

gboolean
cf_target_is_older_incarnation (const CfTarget *t, gint64 incarnation)
{
  return incarnation != 0 && incarnation < t->record.incarnation;
}

gboolean
cf_target_set_slowdown (CfTarget *t, double slowdown, gint64 now)
{
  t->slowdown_updated_ms = now;
  if (fabs (t->slowdown - slowdown) < MIN_SLOWDOWN_CHANGE)
    return FALSE;
  t->slowdown = slowdown;
  return TRUE;
}

CfTarget *
cf_target_table_lookup_addr (const CfTargetTable *t, const char *addr)
{
  return g_hash_table_lookup (t->by_addr, addr);
}

gboolean
cf_target_table_remove (CfTargetTable *t, const char *id)
{
  CfTarget *target = g_hash_table_lookup (t->by_id, id);

  if (!target)
    return FALSE;
  remember_departed (t, target);
  g_ptr_array_remove (get_service_array (t, target->record.service), target);
  if (cf_target_table_lookup_addr (t, target->record.addr) == target)
    g_hash_table_remove (t->by_addr, target->record.addr);
  g_hash_table_remove (t->by_id, id);
  return TRUE;
}

static gboolean
is_usable (const CfTarget *t)
{
  return !cf_target_is_leaving (t) && !t->replaced && !t->evacuated;
}

gint64
cf_target_table_slots (const CfTargetTable *t, const char *service)
{
  const GPtrArray *a = cf_target_table_service (t, service);
  gint64 slots = 0;

  for (guint i = 0; a && i < a->len; i++)
    {
      const CfTarget *target = a->pdata[i];

      if (is_usable (target))
        slots += target->record.slots;
    }
  return slots;
}

guint
cf_target_table_count_usable (const CfTargetTable *t, const char *service)
{
  const GPtrArray *a = cf_target_table_service (t, service);
  guint n = 0;

  for (guint i = 0; a && i < a->len; i++)
    n += is_usable (a->pdata[i]);
  return n;
}

const GPtrArray *
cf_target_table_service (const CfTargetTable *t, const char *service)
{
  return g_hash_table_lookup (t->by_service, service);
}
