#include "target.h"

#include "socket.h"

#include <math.h>
#include <string.h>

/** A change of pace that matters. */
#define PACE_STEP 0.1

CfTarget *
cf_target_new (CfTargetRecord *r)
{
  CfTarget *t = g_new0 (CfTarget, 1);

  t->ref_count = 1;
  t->record = *r;
  t->listed = TRUE;
  t->pace = 1;
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
cf_target_work_begun (CfTarget *t, gint64 now)
{
  if (t->in_flight++ == 0)
    t->busy_since_ms = now;
}

void
cf_target_work_ended (CfTarget *t)
{
  t->in_flight--;
}

void
cf_target_sign (CfTarget *t, gint64 now)
{
  t->last_sign_ms = now;
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
  /* Gateways that start together and know the same targets would all begin at
   * the same one, and crowd a few at a time. */
  t->turn = g_random_int ();
  t->is_named = NULL;
  t->is_named_data = NULL;
}

void
cf_target_table_clear (CfTargetTable *t)
{
  g_hash_table_destroy (t->by_service);
  g_hash_table_destroy (t->by_addr);
  g_hash_table_destroy (t->by_id);
}

static GPtrArray *
service_array (CfTargetTable *t, const char *service)
{
  GPtrArray *a = g_hash_table_lookup (t->by_service, service);

  if (!a)
    {
      a = g_ptr_array_new ();
      g_hash_table_insert (t->by_service, g_strdup (service), a);
    }
  return a;
}

/* Gateways agree on the order, and so on the ring that it makes. */
static void
insert_by_id (GPtrArray *a, CfTarget *n)
{
  guint low = 0;
  guint high = a->len;

  while (low < high)
    {
      guint mid = (low + high) / 2;
      const CfTarget *at = a->pdata[mid];

      if (strcmp (at->record.id, n->record.id) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  g_ptr_array_insert (a, (gint)low, n);
}

static gboolean
is_named (const CfTargetTable *t, const CfTarget *n)
{
  return !t->is_named || t->is_named (t->is_named_data, n->record.service);
}

/* Of two starts listed at one address, the one listed later is there; a
 * record of a service that nothing names says nothing of an address. */
static gboolean
is_behind (const CfTargetTable *t, const CfTarget *n, const CfTarget *other)
{
  gboolean named = is_named (t, n);

  if (named != is_named (t, other))
    return !named;
  return other->created > n->created;
}

static void
take_address (CfTargetTable *t, CfTarget *n)
{
  CfTarget *other = g_hash_table_lookup (t->by_addr, n->record.addr);

  n->replaced = other && is_behind (t, n, other);
  if (n->replaced)
    return;
  if (other)
    other->replaced = TRUE;
  g_hash_table_replace (t->by_addr, n->record.addr, n);
}

static CfTargetChange
add_target (CfTargetTable *t, CfTargetRecord *r, const CfTargetNews *news)
{
  CfTarget *n = cf_target_new (r);

  if (!n)
    return CF_TARGET_BAD;
  n->json = g_strndup (news->json, news->n);
  n->rev = news->rev;
  n->created = news->created;
  take_address (t, n);
  g_hash_table_insert (t->by_id, n->record.id, n);
  insert_by_id (service_array (t, n->record.service), n);
  return CF_TARGET_NEW;
}

static CfTargetChange
update_target (CfTarget *n, CfTargetRecord *r, const CfTargetNews *news)
{
  CfTargetChange c = CF_TARGET_SAME;

  if (r->leaving && !n->record.leaving)
    c = CF_TARGET_LEAVING;
  else if (r->leaving != n->record.leaving || r->slots != n->record.slots)
    c = CF_TARGET_UPDATED;
  n->record.leaving = r->leaving;
  n->record.slots = r->slots;
  n->record.warmup_ms = r->warmup_ms;
  n->record.incarnation = r->incarnation;
  n->rev = news->rev;
  g_free (n->json);
  n->json = g_strndup (news->json, news->n);
  cf_target_record_clear (r);
  return c;
}

/* Whether @r is of an incarnation before that of @n. */
static gboolean
is_older (CfTarget *n, const CfTargetRecord *r, gint64 now)
{
  if (r->incarnation >= n->record.incarnation)
    {
      n->older_since_ms = 0;
      return FALSE;
    }
  if (n->older_since_ms == 0)
    n->older_since_ms = now;
  return now - n->older_since_ms < CF_TARGET_OLDER_MS;
}

/* Whether @r is of another start than @n, by what it says, or by an address
 * or a service that one start cannot change. */
static gboolean
is_other_start (const CfTarget *n, const CfTargetRecord *r)
{
  return (n->record.incarnation && r->incarnation != n->record.incarnation)
         || strcmp (n->record.addr, r->addr) != 0
         || strcmp (n->record.service, r->service) != 0;
}

CfTargetChange
cf_target_table_put (CfTargetTable *t, CfTargetRecord *r,
                     const CfTargetNews *news)
{
  CfTarget *n = g_hash_table_lookup (t->by_id, r->id);
  CfTargetChange c = CF_TARGET_NEW;

  if (n && news->rev < n->rev)
    {
      cf_target_record_clear (r);
      return CF_TARGET_SAME;
    }
  /* A target says its incarnation always or never. */
  if (n && n->record.incarnation && !r->incarnation)
    {
      cf_target_table_remove (t, r->id);
      cf_target_record_clear (r);
      return CF_TARGET_BAD;
    }
  if (n && is_older (n, r, news->now_ms))
    {
      cf_target_record_clear (r);
      return CF_TARGET_STALE;
    }
  if (n && !is_other_start (n, r))
    return update_target (n, r, news);
  if (n)
    {
      if (n->record.incarnation)
        c = CF_TARGET_RESTARTED;
      cf_target_table_remove (t, r->id);
    }
  return add_target (t, r, news) == CF_TARGET_BAD ? CF_TARGET_BAD : c;
}

void
cf_target_table_renamed (CfTargetTable *t)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_remove_all (t->by_addr);
  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    take_address (t, v);
}

gint64
cf_target_quiet_ms (const CfTarget *t, gint64 now)
{
  if (t->in_flight == 0)
    return 0;
  return now - MAX (t->busy_since_ms, t->last_sign_ms);
}

gboolean
cf_target_is_former (const CfTarget *t, gint64 incarnation)
{
  return incarnation != 0 && incarnation < t->record.incarnation;
}

gboolean
cf_target_set_pace (CfTarget *t, double pace, gint64 now)
{
  t->pace_at_ms = now;
  if (fabs (t->pace - pace) < PACE_STEP)
    return FALSE;
  t->pace = pace;
  return TRUE;
}

CfTarget *
cf_target_table_at (const CfTargetTable *t, const char *addr)
{
  return g_hash_table_lookup (t->by_addr, addr);
}

gboolean
cf_target_table_remove (CfTargetTable *t, const char *id)
{
  CfTarget *n = g_hash_table_lookup (t->by_id, id);

  if (!n)
    return FALSE;
  g_ptr_array_remove (service_array (t, n->record.service), n);
  if (cf_target_table_at (t, n->record.addr) == n)
    g_hash_table_remove (t->by_addr, n->record.addr);
  g_hash_table_remove (t->by_id, id);
  return TRUE;
}

gint64
cf_target_table_slots (const CfTargetTable *t, const char *service)
{
  const GPtrArray *a = cf_target_table_service (t, service);
  gint64 slots = 0;

  for (guint i = 0; a && i < a->len; i++)
    {
      const CfTarget *target = a->pdata[i];

      if (!target->record.leaving && !target->replaced)
        slots += target->record.slots;
    }
  return slots;
}

const GPtrArray *
cf_target_table_service (const CfTargetTable *t, const char *service)
{
  return g_hash_table_lookup (t->by_service, service);
}
