#include "link-table.h"

/* A ping and its status take about 90 bytes, and a node may use 3 KB/s for
 * control traffic.  Idle links share that: each adds 30 ms to the interval. */
#define IDLE_PING_INTERVAL_MS_PER_LINK 30

void
cf_link_table_init (CfLinkTable *t)
{
  pthread_mutex_init (&t->lock, NULL);
  t->links = g_hash_table_new (g_str_hash, g_str_equal);
}

/* Divides the control traffic among the links; call with the lock held. */
static void
set_idle_ping_intervals (CfLinkTable *t)
{
  gint64 ms
      = (gint64)g_hash_table_size (t->links) * IDLE_PING_INTERVAL_MS_PER_LINK;
  GHashTableIter it;
  gpointer l;

  g_hash_table_iter_init (&it, t->links);
  while (g_hash_table_iter_next (&it, NULL, &l))
    cf_link_set_idle_ping_interval (l, ms);
}

CfLink *
cf_link_table_get (CfLinkTable *t, const char *addr)
{
  CfLink *l;

  pthread_mutex_lock (&t->lock);
  l = g_hash_table_lookup (t->links, addr);
  if (l == NULL)
    {
      l = cf_link_new (addr);
      cf_link_set_config_version (l, t->config_version);
      g_hash_table_insert (t->links, l->addr, l);
      set_idle_ping_intervals (t);
    }
  pthread_mutex_unlock (&t->lock);
  return l;
}

void
cf_link_table_set_config_version (CfLinkTable *t, gint64 version)
{
  GHashTableIter it;
  gpointer l;

  pthread_mutex_lock (&t->lock);
  t->config_version = version;
  g_hash_table_iter_init (&it, t->links);
  while (g_hash_table_iter_next (&it, NULL, &l))
    cf_link_set_config_version (l, version);
  pthread_mutex_unlock (&t->lock);
}

CfLinkTotals
cf_link_table_totals (CfLinkTable *t)
{
  CfLinkTotals sum = { 0 };
  GHashTableIter it;
  gpointer v;

  pthread_mutex_lock (&t->lock);
  g_hash_table_iter_init (&it, t->links);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfLinkSnapshot link = cf_link_snapshot (v);

      sum.up += link.up;
      sum.quiet_guards += link.up && link.load.quiet_remaining_ms > 0;
      sum.ejected += link.ejected;
      sum.pings += link.pings;
    }
  pthread_mutex_unlock (&t->lock);
  return sum;
}
