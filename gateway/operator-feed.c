#include "operator-feed.h"

#include "exchange.h"
#include "log.h"
#include "platform/names.h"
#include "platform/platform-operator.h"

#include <string.h>

/** The watch, and what the last complete read of it listed. */
static struct
{
  CfStoreWatch *watch;
  GHashTable *listed; /**< set of names of data centres */
} feed;

static void
set_evacuated (CfGateway *g, const char *data_centre, gboolean evacuated,
               CfStorePosition pos, const char *source)
{
  guint n;

  if (!cf_evacuations_set (&g->evacuations, data_centre, evacuated))
    return;
  n = cf_target_table_update_evacuated (&g->targets);
  cf_log (LOG_NOTICE, CF_EV_EVACUATION,
          "dc=%s outcome=%s targets=%u evacuated=%u rev=%" G_GINT64_FORMAT
          " source=%s",
          data_centre, evacuated ? "begins" : "over", n,
          g_hash_table_size (g->evacuations.data_centres), pos.rev, source);
  g->hello_is_due = TRUE;
  cf_exchange_dispatch_queued (g);
}

static void
take_policy (CfGateway *g, const CfStoreRecord *r)
{
  const CfStoreItem *it = r->item;
  gsize n;
  const char *json;

  if (it->unreadable)
    cf_log (LOG_ERR, CF_EV_CONFIG_BAD,
            "rev=%" G_GINT64_FORMAT " source=store in_force=%" G_GINT64_FORMAT
            " error=\"the value is not base64\"",
            it->rev, g->policy ? g->policy->version : 0);
  if (!it->value)
    return;
  json = g_bytes_get_data (it->value, &n);
  cf_gateway_apply_policy (g, json, n, r->pos, "store");
}

/* The key alone says what is asked for, so that a value that cannot be read
 * does not matter. */
static void
take_evacuation (CfGateway *g, const CfStoreRecord *r, const char *data_centre)
{
  gboolean evacuated = r->item->value || r->item->unreadable;

  /* A peer may have sent a set that is newer than this change. */
  if (r->is_change && cf_store_position_is_older (r->pos, g->evacuations.pos))
    return;
  if (r->item->unreadable)
    cf_gateway_drop_reading (g, CF_READING_EVACUATION, data_centre,
                             "the value is not base64; the key counts");
  if (evacuated)
    g_hash_table_add (feed.listed, g_strdup (data_centre));
  else
    g_hash_table_remove (feed.listed, data_centre);
  set_evacuated (g, data_centre, evacuated, r->pos, "store");
}

static void
on_item (CfGateway *g, const CfStoreRecord *r)
{
  const char *data_centre;

  switch (cf_platform_operator_key (r->item->key, &data_centre))
    {
    case CF_OPERATOR_POLICY:
      take_policy (g, r);
      break;
    case CF_OPERATOR_EVACUATION:
      take_evacuation (g, r, data_centre);
      break;
    case CF_OPERATOR_INVALID:
      cf_gateway_drop_reading (g, CF_READING_EVACUATION, "store",
                               "the key names no data centre");
      break;
    case CF_OPERATOR_OTHER:
      break;
    }
}

/* Ends the evacuations that @listed does not contain. */
static void
end_unlisted (CfGateway *g, GHashTable *listed, CfStorePosition pos,
              const char *source)
{
  g_autoptr (GList) names = g_hash_table_get_keys (g->evacuations.data_centres);

  for (GList *l = names; l; l = l->next)
    if (!g_hash_table_contains (listed, l->data))
      {
        g_autofree char *name = g_strdup (l->data);

        set_evacuated (g, name, FALSE, pos, source);
      }
}

static void
on_confirmed (CfGateway *g, CfStorePosition as_of)
{
  if (!cf_store_position_is_older (as_of, g->evacuations.pos))
    g->evacuations.pos = as_of;
}

static void
on_snapshot (CfGateway *g, GHashTable *seen, CfStorePosition as_of)
{
  GHashTableIter it;
  gpointer key;

  g_hash_table_remove_all (feed.listed);
  g_hash_table_iter_init (&it, seen);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      const char *data_centre;

      if (cf_platform_operator_key (key, &data_centre)
          == CF_OPERATOR_EVACUATION)
        g_hash_table_add (feed.listed, g_strdup (data_centre));
    }
  if (!cf_evacuations_keeps_missing (&g->evacuations, cf_gateway_now (g)))
    end_unlisted (g, feed.listed, as_of, "store");
  on_confirmed (g, as_of);
}

static void
on_restored (CfGateway *g, gboolean keeps_order)
{
  if (!keeps_order)
    g->policy_pos = CF_STORE_POSITION_NONE;
  cf_evacuations_note_restored (&g->evacuations, keeps_order,
                                cf_gateway_now (g));
}

static void
on_reachability_changed (CfGateway *g, gboolean up)
{
  g->policy_store_up = up;
}

static const CfStoreWatchCallbacks callbacks
    = { on_item, on_snapshot, on_confirmed, on_reachability_changed,
        on_restored };

void
cf_operator_feed_tick (CfGateway *g)
{
  CfEvacuations *e = &g->evacuations;

  cf_store_watch_tick (feed.watch, cf_store_watch_position (feed.watch));
  if (!e->missing_until_ms
      || cf_evacuations_keeps_missing (e, cf_gateway_now (g))
      || !feed.watch->has_snapshot)
    return;
  e->missing_until_ms = 0;
  end_unlisted (g, feed.listed, e->pos, "restored");
}

GArray *
cf_operator_feed_collect (const CfGateway *g)
{
  GArray *names = g_array_new (FALSE, FALSE, sizeof (CfPeerBytes));
  GHashTableIter it;
  gpointer name;

  g_hash_table_iter_init (&it, g->evacuations.data_centres);
  while (g_hash_table_iter_next (&it, &name, NULL))
    {
      CfPeerBytes b = { name, strlen (name) };

      g_array_append_val (names, b);
    }
  return names;
}

void
cf_operator_feed_take_peer_set (CfGateway *g, const GArray *names,
                                CfStorePosition pos, const char *peer)
{
  GHashTable *set
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  CfEvacuations *e = &g->evacuations;
  GHashTableIter it;
  gpointer name;

  for (guint i = 0; names && i < names->len; i++)
    {
      const CfPeerBytes *b = &g_array_index (names, CfPeerBytes, i);

      g_hash_table_add (set, g_strndup (b->data, b->n));
    }
  if (!cf_evacuations_may_adopt (e, cf_evacuations_is_equal (e, set), pos,
                                 g->policy_store_up, cf_gateway_now (g)))
    goto out;
  g_hash_table_iter_init (&it, set);
  while (g_hash_table_iter_next (&it, &name, NULL))
    set_evacuated (g, name, TRUE, pos, peer);
  end_unlisted (g, set, pos, peer);
  e->pos = pos;
  e->behind_since_ms = 0;
out:
  g_hash_table_destroy (set);
}

CfStorePosition
cf_operator_feed_change_pos (void)
{
  return cf_store_watch_newest_change (feed.watch);
}

void
cf_operator_feed_take_peer_change (CfStorePosition pos)
{
  cf_store_watch_note_peer_change (feed.watch,
                                   cf_store_watch_position (feed.watch), pos);
}

void
cf_operator_feed_print_metrics (GString *out)
{
  cf_store_watch_print_metrics (feed.watch, out);
}

void
cf_operator_feed_start (CfStoreWatch *w, CfGateway *g)
{
  const CfStoreWatchSettings settings = { 0 };

  feed.watch = w;
  feed.listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cf_store_watch_start (w, g, PF_KEY_OPERATOR, &settings, &callbacks);
}
