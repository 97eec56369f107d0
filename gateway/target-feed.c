#include "target-feed.h"

#include "log.h"
#include "platform/names.h"

/** Upper bound for the propagation of a removal to this gateway, and for the
 * transit of a request that was sent before the removal arrived. */
#define PROPAGATION_MS 200
/** Live targets have rewritten their entries within two seconds of the store's
 * return; the rest is for the propagation. */
#define RETURN_GRACE_MS (2000 + PROPAGATION_MS)

/** MissingEntry: an entry that was found missing just after an outage of the
 * store. */
typedef struct
{
  gint64 rev;      /**< the store's revision at which it was missing */
  gint64 until_ms; /**< its target gets no work after this, even if the grace
                        period is longer */
} MissingEntry;

/** The grace period after an outage of the store. */
static struct
{
  GHashTable *missing; /**< id -> #MissingEntry */
  gint64 since_ms;     /**< when the store was back */
  gint64 until_ms;     /**< the end of the grace period; 0: there was none */
  ev_timer timer;
} grace;

static gboolean
is_in_grace (const CfGateway *g)
{
  return grace.until_ms > cf_gateway_now (g);
}

static gint64
get_due_ms (const MissingEntry *m)
{
  return MIN (m->until_ms, grace.until_ms);
}

/* Sets the timer for the first time at which the target of a missing entry is
 * to be removed. */
static void
start_timer (CfGateway *g)
{
  gint64 first = G_MAXINT64;
  GHashTableIter it;
  gpointer m;

  ev_timer_stop (g->loop, &grace.timer);
  g_hash_table_iter_init (&it, grace.missing);
  while (g_hash_table_iter_next (&it, NULL, &m))
    first = MIN (first, get_due_ms (m));
  if (first == G_MAXINT64)
    return;
  first = MAX (first - cf_gateway_now (g), 1);
  ev_timer_set (&grace.timer, (double)first / 1000, 0);
  ev_timer_start (g->loop, &grace.timer);
}

/* Returns the time until which a target may get work if its entry was removed
 * after the store's return.  Such an entry did not expire during the outage;
 * its target is draining. */
static gint64
get_drain_end_ms (const CfGateway *g)
{
  return cf_gateway_now (g) + MAX (g->settings.drain_ms - PROPAGATION_MS, 0);
}

static void
mark_missing (CfGateway *g, const char *id, gint64 rev, gint64 until_ms)
{
  const MissingEntry *before = g_hash_table_lookup (grace.missing, id);
  MissingEntry *m;

  if (!is_in_grace (g))
    {
      cf_gateway_remove_target (g, id, rev, "store");
      return;
    }
  m = g_new (MissingEntry, 1);
  m->rev = rev;
  m->until_ms = before ? MIN (before->until_ms, until_ms) : until_ms;
  g_hash_table_replace (grace.missing, g_strdup (id), m);
  cf_log (
      LOG_NOTICE, CF_EV_TARGET_LIST,
      "target=%s outcome=missing action=wait-for-return ms=%" G_GINT64_FORMAT,
      id, get_due_ms (m) - cf_gateway_now (g));
  start_timer (g);
}

/* Handles the removal of an entry.  The entries that the store's first report
 * after an outage removes may have expired during the outage. */
static void
on_removed (CfGateway *g, const char *id, gint64 rev)
{
  gboolean is_first_report = cf_gateway_now (g) == grace.since_ms;

  mark_missing (g, id, rev,
                is_first_report ? G_MAXINT64 : get_drain_end_ms (g));
}

static void
on_item (CfGateway *g, const CfStoreItem *it)
{
  const char *id = cf_platform_target_id_from_key (it->key);
  CfTargetUpdate update = { .id = id };

  if (!id)
    {
      cf_gateway_reject_target (g, it->key, it->rev, "store",
                                "the key contains no target id");
      return;
    }
  if (it->unreadable)
    {
      g_hash_table_remove (grace.missing, id);
      cf_gateway_reject_target (g, id, it->rev, "store",
                                "the value is not base64");
      return;
    }
  if (!it->value)
    {
      on_removed (g, id, it->rev);
      return;
    }
  g_hash_table_remove (grace.missing, id);
  update.json = g_bytes_get_data (it->value, &update.n);
  update.rev = it->rev;
  update.created = it->created;
  update.now_ms = cf_gateway_now (g);
  cf_gateway_update_target (g, &update, "store");
}

static void
on_confirmed (CfGateway *g, gint64 as_of)
{
  g->targets_rev = as_of;
  g->targets_confirmed_ms = cf_gateway_now (g);
}

static void
on_snapshot (CfGateway *g, GHashTable *seen, gint64 as_of)
{
  GPtrArray *missing_ids = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  gpointer id;

  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      char *key = g_strconcat (PF_KEY_TARGETS, id, NULL);

      if (!g_hash_table_contains (seen, key))
        g_ptr_array_add (missing_ids, g_strdup (id));
      g_free (key);
    }
  for (guint i = 0; i < missing_ids->len; i++)
    mark_missing (g, missing_ids->pdata[i], as_of, G_MAXINT64);
  g_ptr_array_free (missing_ids, TRUE);
  on_confirmed (g, as_of);
}

static void
on_due (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfGateway *g = t->data;
  gint64 now = cf_gateway_now (g);
  GHashTableIter it;
  gpointer id;
  gpointer entry;

  g_hash_table_iter_init (&it, grace.missing);
  while (g_hash_table_iter_next (&it, &id, &entry))
    {
      const MissingEntry *m = entry;

      if (get_due_ms (m) > now)
        continue;
      cf_gateway_remove_target (g, id, m->rev,
                                m->until_ms > now ? "lapsed" : "drained");
      g_hash_table_iter_remove (&it);
    }
  start_timer (g);
}

static void
on_reachability_changed (CfGateway *g, gboolean up)
{
  g->targets_store_up = up;
  if (!up || g_hash_table_size (g->targets.by_id) == 0)
    return;
  grace.since_ms = cf_gateway_now (g);
  grace.until_ms = grace.since_ms + RETURN_GRACE_MS;
  start_timer (g);
}

static const CfStoreWatchCallbacks feed_calls
    = { on_item, on_snapshot, on_confirmed, on_reachability_changed };

void
cf_target_feed_start (CfStoreWatch *w, CfGateway *g)
{
  grace.missing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ev_timer_init (&grace.timer, on_due, 0, 0);
  grace.timer.data = g;
  cf_store_watch_start (w, g, PF_KEY_TARGETS, &feed_calls);
}
