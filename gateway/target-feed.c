#include "target-feed.h"

#include "log.h"
#include "platform/names.h"

/** Targets that live have written their entries again two seconds after
 * the store's return; a little more for the way of the news. */
#define LAPSE_GRACE_MS 2200

/** What is known of entries that went missing just after an outage. */
static struct
{
  GHashTable *missing; /**< id -> revision at which it was missed */
  gint64 until_ms;     /**< the end of the grace; 0 if none runs */
  ev_timer timer;
} lapse;

static gboolean
in_grace (const CfGateway *g)
{
  return lapse.until_ms > cf_gateway_now (g);
}

static void
miss (CfGateway *g, const char *id, gint64 rev)
{
  gint64 *at;

  if (!in_grace (g))
    {
      cf_gateway_drop_target (g, id, rev, "store");
      return;
    }
  at = g_new (gint64, 1);
  *at = rev;
  g_hash_table_replace (lapse.missing, g_strdup (id), at);
  cf_log (
      LOG_NOTICE, CF_EV_TARGET_LIST,
      "target=%s outcome=missing action=wait-for-return ms=%" G_GINT64_FORMAT,
      id, lapse.until_ms - cf_gateway_now (g));
}

static void
on_item (CfGateway *g, const CfStoreItem *it)
{
  const char *id = cf_platform_target_id (it->key);
  CfTargetNews news = { .id = id };

  if (!id)
    {
      cf_gateway_reject_target (g, it->key, it->rev, "store",
                                "the key holds no id of a target");
      return;
    }
  if (it->unreadable)
    {
      g_hash_table_remove (lapse.missing, id);
      cf_gateway_reject_target (g, id, it->rev, "store",
                                "the value is not base64");
      return;
    }
  if (!it->value)
    {
      miss (g, id, it->rev);
      return;
    }
  g_hash_table_remove (lapse.missing, id);
  news.json = g_bytes_get_data (it->value, &news.n);
  news.rev = it->rev;
  news.created = it->created;
  news.now_ms = cf_gateway_now (g);
  cf_gateway_take_target (g, &news, "store");
}

static void
on_fresh (CfGateway *g, gint64 as_of)
{
  g->targets_rev = as_of;
  g->targets_at_ms = cf_gateway_now (g);
}

static void
on_snapshot (CfGateway *g, GHashTable *seen, gint64 as_of)
{
  GPtrArray *gone = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  gpointer id;

  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      char *key = g_strconcat (PF_KEY_TARGETS, id, NULL);

      if (!g_hash_table_contains (seen, key))
        g_ptr_array_add (gone, g_strdup (id));
      g_free (key);
    }
  for (guint i = 0; i < gone->len; i++)
    miss (g, gone->pdata[i], as_of);
  g_ptr_array_free (gone, TRUE);
  on_fresh (g, as_of);
}

static void
on_grace_over (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfGateway *g = t->data;
  GHashTableIter it;
  gpointer id;
  gpointer rev;

  lapse.until_ms = 0;
  g_hash_table_iter_init (&it, lapse.missing);
  while (g_hash_table_iter_next (&it, &id, &rev))
    cf_gateway_drop_target (g, id, *(gint64 *)rev, "lapsed");
  g_hash_table_remove_all (lapse.missing);
}

static void
on_contact (CfGateway *g, gboolean up)
{
  g->targets_store_up = up;
  if (!up || g_hash_table_size (g->targets.by_id) == 0)
    return;
  lapse.until_ms = cf_gateway_now (g) + LAPSE_GRACE_MS;
  ev_timer_stop (g->loop, &lapse.timer);
  ev_timer_set (&lapse.timer, (double)LAPSE_GRACE_MS / 1000, 0);
  ev_timer_start (g->loop, &lapse.timer);
}

static const CfStoreWatchCalls feed_calls
    = { on_item, on_snapshot, on_fresh, on_contact };

void
cf_target_feed_start (CfStoreWatch *w, CfGateway *g)
{
  lapse.missing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ev_timer_init (&lapse.timer, on_grace_over, 0, 0);
  lapse.timer.data = g;
  cf_store_watch_start (w, g, PF_KEY_TARGETS, &feed_calls);
}
