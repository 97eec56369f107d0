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
  CfStorePosition pos; /**< of the list in which it was missing */
  gint64 until_ms; /**< its target gets no work after this, even if the grace
                    period is longer */
} MissingEntry;

/** The grace period after an outage or a restoration of the store. */
static struct
{
  GHashTable *missing; /**< id -> #MissingEntry */
  gint64 since_ms;     /**< when the store was back, or restored */
  gint64 until_ms;     /**< the end of the grace period; 0: there was none */
  ev_timer timer;
} grace;

/** The watch of the list, and the lists that peers sent in its place. */
static struct
{
  CfStoreWatch *watch;
  gint64 peer_list_ms;   /**< when a peer's list was last adopted */
  ev_timer reread_timer; /**< makes the watch read everything again */
} list;

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
mark_missing (CfGateway *g, const char *id, CfStorePosition pos,
              gint64 until_ms, const char *source)
{
  const MissingEntry *before = g_hash_table_lookup (grace.missing, id);
  MissingEntry *m;

  if (!is_in_grace (g))
    {
      cf_gateway_remove_target (g, id, pos, source);
      return;
    }
  m = g_new (MissingEntry, 1);
  m->pos = pos;
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
on_removed (CfGateway *g, const char *id, CfStorePosition pos)
{
  gboolean is_first_report = cf_gateway_now (g) == grace.since_ms;

  mark_missing (g, id, pos, is_first_report ? G_MAXINT64 : get_drain_end_ms (g),
                "store");
}

static void
on_item (CfGateway *g, const CfStoreRecord *r)
{
  const CfStoreItem *it = r->item;
  const char *id = cf_platform_target_id_from_key (it->key);
  CfTargetUpdate update = { .id = id };

  if (!id)
    {
      cf_gateway_reject_target (g, it->key, r->pos, "store",
                                "the key contains no target id");
      return;
    }
  if (it->unreadable)
    {
      g_hash_table_remove (grace.missing, id);
      cf_gateway_reject_target (g, id, r->pos, "store",
                                "the value is not base64");
      return;
    }
  if (!it->value)
    {
      on_removed (g, id, r->pos);
      return;
    }
  g_hash_table_remove (grace.missing, id);
  update.json = g_bytes_get_data (it->value, &update.n);
  update.pos = r->pos;
  update.created = r->created;
  update.now_ms = cf_gateway_now (g);
  update.is_change = r->is_change;
  cf_gateway_update_target (g, &update, "store");
}

/* Handles the targets whose ids, after @prefix, are not in @listed. */
static void
mark_all_missing (CfGateway *g, GHashTable *listed, const char *prefix,
                  CfStorePosition as_of, const char *source)
{
  GPtrArray *missing_ids = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  gpointer id;

  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      g_autofree char *key = g_strconcat (prefix, id, NULL);

      if (!g_hash_table_contains (listed, key))
        g_ptr_array_add (missing_ids, g_strdup (id));
    }
  for (guint i = 0; i < missing_ids->len; i++)
    mark_missing (g, missing_ids->pdata[i], as_of, G_MAXINT64, source);
  g_ptr_array_free (missing_ids, TRUE);
}

static void
schedule_reread (CfGateway *g, gint64 ms)
{
  ev_timer_stop (g->loop, &list.reread_timer);
  ev_timer_set (&list.reread_timer, (double)MAX (ms, 1) / 1000, 0);
  ev_timer_start (g->loop, &list.reread_timer);
}

static void
on_reread_due (struct ev_loop *loop, ev_timer *t, int revents)
{
  list.watch->g->targets.n_kept_out = 0;
  cf_store_watch_read_all (list.watch);
}

static void
start_grace (CfGateway *g)
{
  if (g_hash_table_size (g->targets.by_id) == 0)
    return;
  grace.since_ms = cf_gateway_now (g);
  grace.until_ms = grace.since_ms + RETURN_GRACE_MS;
  start_timer (g);
}

/* Targets that came after the copy was taken are missing from the list until
 * they write their records again. */
static void
on_restored (CfGateway *g, gboolean keeps_order)
{
  cf_gateway_note_targets_restored (g, keeps_order);
  start_grace (g);
}

/* A peer may have told of a later era than that of @as_of.  An answer to a call
 * from before is late; if the store says so when asked afterwards, what the
 * peer told is void. */
static void
on_confirmed (CfGateway *g, CfStorePosition as_of)
{
  if (!cf_store_position_is_later_era (g->targets_pos, as_of))
    {
      g->targets_pos = as_of;
      g->targets_confirmed_ms = cf_gateway_now (g);
    }
  else if (list.watch->call_sent_ms > list.peer_list_ms)
    {
      on_restored (g, FALSE);
      schedule_reread (g, 0);
    }
}

static void
on_snapshot (CfGateway *g, GHashTable *seen, CfStorePosition as_of)
{
  mark_all_missing (g, seen, PF_KEY_TARGETS, as_of, "store");
  /* A list that was restored shows targets that have left until their leases
   * have expired.  Those that are still listed then are alive. */
  if (g->targets.n_kept_out > 0)
    schedule_reread (g, g->targets.restored_ms + CF_TARGET_COPY_EXPIRY_MS
                            - cf_gateway_now (g));
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
      cf_gateway_remove_target (g, id, m->pos,
                                m->until_ms > now ? "lapsed" : "drained");
      g_hash_table_iter_remove (&it);
    }
  start_timer (g);
}

static void
on_reachability_changed (CfGateway *g, gboolean up)
{
  g->targets_store_up = up;
  g->targets_store_failed |= !up;
  if (up)
    start_grace (g);
}

static const CfStoreWatchCallbacks feed_calls
    = { on_item, on_snapshot, on_confirmed, on_reachability_changed,
        on_restored };

void
cf_target_feed_begin_peer_list (CfGateway *g, CfStorePosition as_of)
{
  if (cf_store_position_is_later_era (as_of, g->targets_pos))
    on_restored (g, TRUE);
}

void
cf_target_feed_end_peer_list (CfGateway *g, GHashTable *ids,
                              CfStorePosition as_of)
{
  mark_all_missing (g, ids, "", as_of, "peer");
  g->targets_pos = as_of;
  list.peer_list_ms = cf_gateway_now (g);
}

CfStorePosition
cf_target_feed_change_pos (void)
{
  return cf_store_watch_newest_change (list.watch);
}

void
cf_target_feed_take_peer_change (const CfGateway *g, CfStorePosition pos)
{
  cf_store_watch_note_peer_change (list.watch, g->targets_pos, pos);
}

void
cf_target_feed_tick (const CfGateway *g)
{
  cf_store_watch_tick (list.watch, g->targets_pos);
}

void
cf_target_feed_print_metrics (GString *out)
{
  cf_store_watch_print_metrics (list.watch, out);
}

void
cf_target_feed_start (CfStoreWatch *w, CfGateway *g)
{
  const CfStoreWatchSettings settings = { .may_read_stale = TRUE };

  grace.missing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ev_timer_init (&grace.timer, on_due, 0, 0);
  grace.timer.data = g;
  list.watch = w;
  ev_timer_init (&list.reread_timer, on_reread_due, 0, 0);
  cf_store_watch_start (w, g, PF_KEY_TARGETS, &settings, &feed_calls);
}
