#include "departed-targets.h"

static void
free_departed (gpointer data)
{
  CfDepartedTarget *t = data;

  g_free (t->key);
  g_free (t);
}

void
cf_departed_targets_init (CfDepartedTargets *d)
{
  d->by_instance
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_departed);
  TAILQ_INIT (&d->by_time);
}

void
cf_departed_targets_clear (CfDepartedTargets *d)
{
  g_clear_pointer (&d->by_instance, g_hash_table_destroy);
  TAILQ_INIT (&d->by_time);
}

static char *
make_key (const CfTargetRecord *r)
{
  return g_strdup_printf ("%" G_GINT64_FORMAT "/%s/%s", r->incarnation, r->addr,
                          r->id);
}

static void
drop (CfDepartedTargets *d, CfDepartedTarget *t)
{
  TAILQ_REMOVE (&d->by_time, t, link);
  g_hash_table_remove (d->by_instance, t->key);
}

CfDepartedTarget *
cf_departed_targets_add (CfDepartedTargets *d, const CfTargetRecord *r)
{
  CfDepartedTarget *t = g_new0 (CfDepartedTarget, 1);
  CfDepartedTarget *before;

  t->key = make_key (r);
  before = g_hash_table_lookup (d->by_instance, t->key);
  if (before)
    drop (d, before);
  else if (g_hash_table_size (d->by_instance) >= CF_DEPARTED_TARGETS_MAX)
    drop (d, TAILQ_FIRST (&d->by_time));
  g_hash_table_insert (d->by_instance, t->key, t);
  TAILQ_INSERT_TAIL (&d->by_time, t, link);
  return t;
}

const CfDepartedTarget *
cf_departed_targets_lookup (const CfDepartedTargets *d, const CfTargetRecord *r)
{
  g_autofree char *key = make_key (r);

  return g_hash_table_lookup (d->by_instance, key);
}
