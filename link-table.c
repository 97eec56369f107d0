#include "link-table.h"

/* A ping and its status are about 90 bytes; letter 1 allows a node 3 KB/s
 * for control, so idle links share that: 30 ms of interval for each. */
#define IDLE_PING_MS_PER_LINK 30

void
cf_link_table_init (CfLinkTable *t)
{
  pthread_mutex_init (&t->lock, NULL);
  t->links = g_hash_table_new (g_str_hash, g_str_equal);
}

/* Spreads the control budget over the links; call with the lock held. */
static void
share_ping_budget (CfLinkTable *t)
{
  gint64 ms = (gint64)g_hash_table_size (t->links) * IDLE_PING_MS_PER_LINK;
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
      cf_link_set_config_version (l, t->config);
      g_hash_table_insert (t->links, l->addr, l);
      share_ping_budget (t);
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
  t->config = version;
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
      CfLinkSnapshot view = cf_link_snapshot (v);

      sum.up += view.up;
      sum.quiet += view.up && view.load.quiet_remaining_ms > 0;
      sum.ejected += view.ejected;
      sum.pings += view.pings;
    }
  pthread_mutex_unlock (&t->lock);
  return sum;
}
