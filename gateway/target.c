#include "target.h"

#include "socket.h"

#include <math.h>
#include <string.h>

/** A change of pace that matters. */
#define PACE_STEP 0.1

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
  t->turn = 0;
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

/* Of two starts listed at one address, the one listed later is there. */
static void
take_address (CfTargetTable *t, CfTarget *n)
{
  CfTarget *other = g_hash_table_lookup (t->by_addr, n->record.addr);

  n->replaced = other && other->created > n->created;
  if (n->replaced)
    return;
  if (other)
    other->replaced = TRUE;
  g_hash_table_replace (t->by_addr, n->record.addr, n);
}

static CfTargetChange
add_target (CfTargetTable *t, CfTargetRecord *r, const CfTargetNews *news)
{
  CfTarget *n = g_new0 (CfTarget, 1);

  n->ref_count = 1;
  n->record = *r;
  n->json = g_strndup (news->json, news->n);
  n->rev = news->rev;
  n->created = news->created;
  n->listed = TRUE;
  n->pace = 1;
  TAILQ_INIT (&n->idle);
  if (cf_socket_parse (r->addr, &n->addr) != CF_OK)
    {
      cf_target_unref (n);
      return CF_TARGET_BAD;
    }
  take_address (t, n);
  g_hash_table_insert (t->by_id, n->record.id, n);
  g_ptr_array_add (service_array (t, n->record.service), n);
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
  n->rev = news->rev;
  g_free (n->json);
  n->json = g_strndup (news->json, news->n);
  cf_target_record_clear (r);
  return c;
}

CfTargetChange
cf_target_table_put (CfTargetTable *t, CfTargetRecord *r,
                     const CfTargetNews *news)
{
  CfTarget *n = g_hash_table_lookup (t->by_id, r->id);

  if (n && news->rev < n->rev)
    {
      cf_target_record_clear (r);
      return CF_TARGET_SAME;
    }
  /* An id stands for one start at one address; another address or service
   * under it is taken as another target. */
  if (n
      && (strcmp (n->record.addr, r->addr) != 0
          || strcmp (n->record.service, r->service) != 0))
    {
      cf_target_table_remove (t, r->id);
      n = NULL;
    }
  return n ? update_target (n, r, news) : add_target (t, r, news);
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

const GPtrArray *
cf_target_table_service (const CfTargetTable *t, const char *service)
{
  return g_hash_table_lookup (t->by_service, service);
}
