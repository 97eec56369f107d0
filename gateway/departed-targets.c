#include "departed-targets.h"

void
cf_departed_targets_init (CfDepartedTargets *d)
{
  d->by_instance
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cf_departed_targets_clear (CfDepartedTargets *d)
{
  g_clear_pointer (&d->by_instance, g_hash_table_destroy);
}

static char *
make_key (const CfTargetRecord *r)
{
  return g_strdup_printf ("%" G_GINT64_FORMAT "/%s/%s", r->incarnation, r->addr,
                          r->id);
}

static void
drop_oldest (CfDepartedTargets *d)
{
  const char *oldest = NULL;
  gint64 oldest_ms = G_MAXINT64;
  GHashTableIter it;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&it, d->by_instance);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const CfDepartedTarget *t = value;

      if (t->departed_ms >= oldest_ms)
        continue;
      oldest = key;
      oldest_ms = t->departed_ms;
    }
  if (oldest)
    g_hash_table_remove (d->by_instance, oldest);
}

void
cf_departed_targets_add (CfDepartedTargets *d, const CfTargetRecord *r,
                         const CfDepartedTarget *t)
{
  char *key = make_key (r);

  if (!g_hash_table_contains (d->by_instance, key)
      && g_hash_table_size (d->by_instance) >= CF_DEPARTED_TARGETS_MAX)
    drop_oldest (d);
  g_hash_table_replace (d->by_instance, key, g_memdup2 (t, sizeof *t));
}

const CfDepartedTarget *
cf_departed_targets_lookup (const CfDepartedTargets *d, const CfTargetRecord *r)
{
  g_autofree char *key = make_key (r);

  return g_hash_table_lookup (d->by_instance, key);
}
