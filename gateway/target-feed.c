#include "target-feed.h"

#include "log.h"
#include "platform/names.h"

/** What the news of a removal and a request sent before it may take on
 * their ways. */
#define WAYS_MS 200
/** Targets that live have written their entries again two seconds after
 * the store's return; a little more for the way of the news. */
#define LAPSE_GRACE_MS (2000 + WAYS_MS)

/** Missed: an entry that went missing just after an outage. */
typedef struct
{
  gint64 rev;      /**< the store's revision at which it was missed */
  gint64 until_ms; /**< its target gets no work after that, be the grace
                        longer */
} Missed;

/** What is known of entries that went missing just after an outage. */
static struct
{
  GHashTable *missing; /**< id -> #Missed */
  gint64 since_ms;     /**< when the store was back */
  gint64 until_ms;     /**< the end of the grace; 0 if none runs */
  ev_timer timer;
} lapse;

static gboolean
in_grace (const CfGateway *g)
{
  return lapse.until_ms > cf_gateway_now (g);
}

static gint64
due_ms (const Missed *m)
{
  return MIN (m->until_ms, lapse.until_ms);
}

/* Has the timer end at the first that is due. */
static void
start_timer (CfGateway *g)
{
  gint64 first = G_MAXINT64;
  GHashTableIter it;
  gpointer m;

  ev_timer_stop (g->loop, &lapse.timer);
  g_hash_table_iter_init (&it, lapse.missing);
  while (g_hash_table_iter_next (&it, NULL, &m))
    first = MIN (first, due_ms (m));
  if (first == G_MAXINT64)
    return;
  first = MAX (first - cf_gateway_now (g), 1);
  ev_timer_set (&lapse.timer, (double)first / 1000, 0);
  ev_timer_start (g->loop, &lapse.timer);
}

/* A removal that the store tells after its return is no lapse that it has
 * not noticed: until when its target may get work. */
static gint64
drained_ms (const CfGateway *g)
{
  return cf_gateway_now (g) + MAX (g->set.drain_ms - WAYS_MS, 0);
}

static void
miss (CfGateway *g, const char *id, gint64 rev, gint64 until_ms)
{
  const Missed *before = g_hash_table_lookup (lapse.missing, id);
  Missed *m;

  if (!in_grace (g))
    {
      cf_gateway_drop_target (g, id, rev, "store");
      return;
    }
  m = g_new (Missed, 1);
  m->rev = rev;
  m->until_ms = before ? MIN (before->until_ms, until_ms) : until_ms;
  g_hash_table_replace (lapse.missing, g_strdup (id), m);
  cf_log (
      LOG_NOTICE, CF_EV_TARGET_LIST,
      "target=%s outcome=missing action=wait-for-return ms=%" G_GINT64_FORMAT,
      id, due_ms (m) - cf_gateway_now (g));
  start_timer (g);
}

/* An entry was removed.  What the store tells first after an outage may have
 * lapsed meanwhile. */
static void
removed (CfGateway *g, const char *id, gint64 rev)
{
  gboolean at_return = cf_gateway_now (g) == lapse.since_ms;

  miss (g, id, rev, at_return ? G_MAXINT64 : drained_ms (g));
}

static void
on_item (CfGateway *g, const CfStoreItem *it)
{
  const char *id = cf_platform_target_id_from_key (it->key);
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
      removed (g, id, it->rev);
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
    miss (g, gone->pdata[i], as_of, G_MAXINT64);
  g_ptr_array_free (gone, TRUE);
  on_fresh (g, as_of);
}

static void
on_due (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfGateway *g = t->data;
  gint64 now = cf_gateway_now (g);
  GHashTableIter it;
  gpointer id;
  gpointer missed;

  g_hash_table_iter_init (&it, lapse.missing);
  while (g_hash_table_iter_next (&it, &id, &missed))
    {
      const Missed *m = missed;

      if (due_ms (m) > now)
        continue;
      cf_gateway_drop_target (g, id, m->rev,
                              m->until_ms > now ? "lapsed" : "drained");
      g_hash_table_iter_remove (&it);
    }
  start_timer (g);
}

static void
on_contact (CfGateway *g, gboolean up)
{
  g->targets_store_up = up;
  if (!up || g_hash_table_size (g->targets.by_id) == 0)
    return;
  lapse.since_ms = cf_gateway_now (g);
  lapse.until_ms = lapse.since_ms + LAPSE_GRACE_MS;
  start_timer (g);
}

static const CfStoreWatchCalls feed_calls
    = { on_item, on_snapshot, on_fresh, on_contact };

void
cf_target_feed_start (CfStoreWatch *w, CfGateway *g)
{
  lapse.missing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ev_timer_init (&lapse.timer, on_due, 0, 0);
  lapse.timer.data = g;
  cf_store_watch_start (w, g, PF_KEY_TARGETS, &feed_calls);
}
