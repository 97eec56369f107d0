#include "evacuation.h"

/** How long evacuations that a restored store lacks are kept.  The platform
 * writes again within two seconds what the copy lacks; the rest is for a store
 * that is slow just after its restoration. */
#define MISSING_KEPT_MS 8000
/** Time for a change to arrive from the store before a peer's set is used. */
#define STORE_GRACE_MS 400

void
cf_evacuations_init (CfEvacuations *e)
{
  e->data_centres
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  e->pos = CF_STORE_POSITION_NONE;
  e->peer_pos = CF_STORE_POSITION_NONE;
  e->missing_until_ms = 0;
  e->behind_since_ms = 0;
}

void
cf_evacuations_clear (CfEvacuations *e)
{
  g_clear_pointer (&e->data_centres, g_hash_table_destroy);
}

gboolean
cf_evacuations_contains (const CfEvacuations *e, const char *data_centre)
{
  return data_centre && g_hash_table_contains (e->data_centres, data_centre);
}

gboolean
cf_evacuations_set (CfEvacuations *e, const char *data_centre,
                    gboolean evacuated)
{
  return evacuated ? g_hash_table_add (e->data_centres, g_strdup (data_centre))
                   : g_hash_table_remove (e->data_centres, data_centre);
}

gboolean
cf_evacuations_is_equal (const CfEvacuations *e, GHashTable *names)
{
  GHashTableIter it;
  gpointer name;

  if (g_hash_table_size (e->data_centres)
      != (names ? g_hash_table_size (names) : 0))
    return FALSE;
  g_hash_table_iter_init (&it, e->data_centres);
  while (g_hash_table_iter_next (&it, &name, NULL))
    if (!g_hash_table_contains (names, name))
      return FALSE;
  return TRUE;
}

void
cf_evacuations_note_restored (CfEvacuations *e, gboolean keeps_order,
                              gint64 now_ms)
{
  e->missing_until_ms = now_ms + MISSING_KEPT_MS;
  if (!keeps_order)
    e->pos = CF_STORE_POSITION_NONE;
}

gboolean
cf_evacuations_keeps_missing (const CfEvacuations *e, gint64 now_ms)
{
  return e->missing_until_ms > now_ms;
}

gboolean
cf_evacuations_may_adopt (CfEvacuations *e, gboolean is_equal,
                          CfStorePosition pos, gboolean store_up, gint64 now_ms)
{
  /* A peer that is behind as well does not end the grace period. */
  if (e->behind_since_ms && !cf_store_position_is_older (e->pos, e->peer_pos))
    e->behind_since_ms = 0;
  if (is_equal || pos.rev == 0 || !cf_store_position_is_older (e->pos, pos))
    return FALSE;
  if (!e->behind_since_ms)
    e->behind_since_ms = now_ms;
  e->peer_pos = pos;
  return !store_up || now_ms - e->behind_since_ms >= STORE_GRACE_MS;
}
