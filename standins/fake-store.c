#include "fake-store.h"

#include "platform/names.h"

#include <jansson.h>
#include <string.h>

/** Delay of each answer in slow mode. */
#define SLOW_DELAY_S 0.3
/** Items in one page of a range. */
#define PAGE_MAX_ITEMS 50

/** Mode: how the store answers; fake-store.h names them as tests set them. */
typedef enum
{
  MODE_UP,
  MODE_SILENT, /**< does not answer */
  MODE_BUSY,   /**< answers 503 */
  MODE_RESET,  /**< resets the connection */
  MODE_SLOW,   /**< answers after SLOW_DELAY_S */
  MODE_SOME,   /**< answers 503 to every second call */
  MODE_STALE,  /**< reports no changes to watches */
} Mode;

/** Item: a revision of a key; without a value if it removed the key. */
typedef struct
{
  char *key;
  char *value; /**< (nullable): base64 */
  gint64 mod_rev;
  gint64 create_rev; /**< revision that created the key */
} Item;

/** Watch: a watch call that waits for a change. */
typedef struct
{
  FakeStore *store;
  FakeConn *conn;
  char *prefix;
  gint64 after_rev; /**< reports changes after this revision */
  ev_timer timer;   /**< ends the wait without a change */
} Watch;

/** State: the contents of the store at one revision. */
typedef struct
{
  GTree *items; /**< key -> Item; %NULL: none was taken */
  gint64 rev;
} State;

struct FakeStore
{
  struct ev_loop *loop;
  GTree *items;       /**< key -> Item; keys that exist now */
  GPtrArray *history; /**< of Item, by revision */
  gint64 rev;
  gint64 compacted_rev; /**< the history begins after this revision */
  GPtrArray *watches;   /**< of Watch */
  Mode mode;
  guint n_calls;  /**< counted in MODE_SOME */
  gint64 era;     /**< how often it was restored, plus one */
  char *era_text; /**< (nullable): stated instead of @era; empty: none */
  State copy;     /**< what the next restoration goes back to */
  State replica;  /**< what calls get that accept stale answers */
  struct
  {
    guint range;       /**< calls for a page */
    guint stale_range; /**< the same, that accepted a stale answer */
    guint watch;
  } calls;
  State lost;             /**< what there was before the last restoration */
  ev_timer rewrite_timer; /**< writes again what was lost */
  gint64 rewrite_ms;
  gboolean restores_at_next_page; /**< restored before the next page of a range
                                       that is not the first */
};

/** DelayedCall: a call that the store answers late, in slow mode. */
typedef struct
{
  FakeStore *store;
  FakeConn *conn;
  ev_timer timer;
} DelayedCall;

static void
item_free (gpointer p)
{
  Item *it = p;

  g_free (it->key);
  g_free (it->value);
  g_free (it);
}

static Item *
item_new (const char *key, const char *base64, gint64 mod_rev,
          gint64 create_rev)
{
  Item *it = g_new0 (Item, 1);

  it->key = g_strdup (key);
  it->value = g_strdup (base64);
  it->mod_rev = mod_rev;
  it->create_rev = create_rev;
  return it;
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

static gboolean
copy_item (gpointer key, gpointer value, gpointer tree)
{
  const Item *it = value;

  g_tree_replace (tree, g_strdup (key),
                  item_new (it->key, it->value, it->mod_rev, it->create_rev));
  return FALSE;
}

static GTree *
copy_items (GTree *items)
{
  GTree *copy = g_tree_new_full (compare_keys, NULL, g_free, item_free);

  g_tree_foreach (items, copy_item, copy);
  return copy;
}

/* Answers a call of the store's protocol. */
static void
answer (const FakeStore *s, FakeConn *c, int status, const char *headers,
        const char *body, gssize n)
{
  GString *h = g_string_new (headers);

  if (!s->era_text)
    g_string_append_printf (h, PF_HDR_STORE_ERA ": %" G_GINT64_FORMAT "\r\n",
                            s->era);
  else if (s->era_text[0])
    g_string_append_printf (h, PF_HDR_STORE_ERA ": %s\r\n", s->era_text);
  fake_http_answer (c, status, h->str, body, n);
  g_string_free (h, TRUE);
}

static json_t *
item_to_json (const Item *it)
{
  json_t *o = json_object ();

  json_object_set_new (o, "key", json_string (it->key));
  json_object_set_new (o, "rev", json_integer (it->mod_rev));
  if (it->value)
    {
      json_object_set_new (o, "value", json_string (it->value));
      json_object_set_new (o, "create-revision", json_integer (it->create_rev));
      json_object_set_new (o, "lease", json_integer (0));
    }
  else
    json_object_set_new (o, "removed", json_true ());
  return o;
}

static void
answer_json (const FakeStore *s, FakeConn *c, json_t *o)
{
  char *text = json_dumps (o, JSON_COMPACT);

  answer (s, c, 200, "Content-Type: application/json\r\n", text, -1);
  free (text);
  json_decref (o);
}

/* The changes to keys with @prefix after revision @after_rev. */
static json_t *
changes_after (FakeStore *s, const char *prefix, gint64 after_rev)
{
  json_t *events = json_array ();

  for (guint i = 0; i < s->history->len; i++)
    {
      const Item *it = s->history->pdata[i];

      if (it->mod_rev > after_rev && g_str_has_prefix (it->key, prefix))
        json_array_append_new (events, item_to_json (it));
    }
  return events;
}

static void
answer_watch (FakeStore *s, FakeConn *c, json_t *events)
{
  json_t *o = json_object ();

  json_object_set_new (o, "events", events);
  json_object_set_new (o, "as-of", json_integer (s->rev));
  answer_json (s, c, o);
}

/* Whether watches that wait get changes in the current mode. */
static gboolean
delivers_events (const FakeStore *s)
{
  return s->mode == MODE_UP || s->mode == MODE_SLOW || s->mode == MODE_SOME;
}

static void
end_watch (Watch *w)
{
  ev_timer_stop (w->store->loop, &w->timer);
  w->conn->pending = NULL;
  g_ptr_array_remove (w->store->watches, w);
  g_free (w->prefix);
  g_free (w);
}

static void
on_watch_timeout (struct ev_loop *loop, ev_timer *t, int revents)
{
  Watch *w = t->data;
  FakeStore *s = w->store;
  FakeConn *c = w->conn;

  end_watch (w);
  if (delivers_events (s) || s->mode == MODE_STALE)
    answer_watch (s, c, json_array ());
}

static void
on_watch_disconnect (FakeConn *c)
{
  end_watch (c->pending);
}

static void
notify_watches (FakeStore *s)
{
  for (guint i = 0; i < s->watches->len;)
    {
      Watch *w = s->watches->pdata[i];
      json_t *events = changes_after (s, w->prefix, w->after_rev);
      FakeConn *c = w->conn;

      if (json_array_size (events) == 0 || !delivers_events (s))
        {
          json_decref (events);
          i++;
          continue;
        }
      end_watch (w);
      answer_watch (s, c, events);
    }
}

/* Writes a new revision of @key.  @base64: (nullable): the encoded value, not
 * checked; NULL removes the key. */
static void
write_base64 (FakeStore *s, const char *key, const char *base64)
{
  const Item *old = g_tree_lookup (s->items, key);
  gint64 create_rev = old ? old->create_rev : s->rev + 1;

  s->rev++;
  g_ptr_array_add (s->history, item_new (key, base64, s->rev, create_rev));
  if (base64)
    g_tree_replace (s->items, g_strdup (key),
                    item_new (key, base64, s->rev, create_rev));
  else
    g_tree_remove (s->items, key);
  notify_watches (s);
}

static void
write_value (FakeStore *s, const char *key, const char *value)
{
  char *base64 = g_base64_encode ((const guchar *)value, strlen (value));

  write_base64 (s, key, base64);
  g_free (base64);
}

void
fake_store_put (FakeStore *s, const char *key, const char *value)
{
  write_value (s, key, value);
}

static void
reset_watches (FakeStore *s)
{
  while (s->watches->len)
    {
      Watch *w = s->watches->pdata[0];
      FakeConn *c = w->conn;

      end_watch (w);
      fake_http_reset (c);
    }
}

static void
compact_history (FakeStore *s)
{
  s->compacted_rev = s->rev;
  g_ptr_array_set_size (s->history, 0);
  reset_watches (s);
}

static void
set_state (State *state, GTree *items, gint64 rev)
{
  g_clear_pointer (&state->items, g_tree_destroy);
  state->items = items;
  state->rev = rev;
}

/* Writes what there was of @key before the restoration, unless it is there, or
 * has been written since. */
static gboolean
rewrite_item (gpointer key, gpointer value, gpointer data)
{
  FakeStore *s = data;
  const Item *lost = value;
  const Item *now = g_tree_lookup (s->items, key);

  if (!now
      || (now->mod_rev <= s->copy.rev && strcmp (now->value, lost->value) != 0))
    write_base64 (s, key, lost->value);
  return FALSE;
}

static gboolean
collect_departed_key (gpointer key, gpointer value, gpointer keys)
{
  g_ptr_array_add (keys, key);
  return FALSE;
}

/* Removes the items of the copy that had been removed before the restoration,
 * as those of targets that no longer renew their leases. */
static void
remove_departed (FakeStore *s)
{
  GPtrArray *keys = g_ptr_array_new ();

  g_tree_foreach (s->copy.items, collect_departed_key, keys);
  for (guint i = 0; i < keys->len; i++)
    {
      const Item *now = g_tree_lookup (s->items, keys->pdata[i]);

      if (now && now->mod_rev <= s->copy.rev
          && !g_tree_lookup (s->lost.items, keys->pdata[i]))
        write_base64 (s, keys->pdata[i], NULL);
    }
  g_ptr_array_free (keys, TRUE);
}

static void
on_rewrite_due (struct ev_loop *loop, ev_timer *t, int revents)
{
  FakeStore *s = t->data;

  g_tree_foreach (s->lost.items, rewrite_item, s);
  remove_departed (s);
}

/* Goes back to the copy.  What was written since is written again after
 * @rewrite_ms; never, if that is 0. */
static void
restore_copy (FakeStore *s, gint64 rewrite_ms)
{
  if (!s->copy.items)
    return;
  ev_timer_stop (s->loop, &s->rewrite_timer);
  set_state (&s->lost, s->items, s->rev);
  s->items = copy_items (s->copy.items);
  s->rev = s->copy.rev;
  s->era++;
  while (s->history->len
         && ((Item *)s->history->pdata[s->history->len - 1])->mod_rev > s->rev)
    g_ptr_array_set_size (s->history, (gint)s->history->len - 1);
  s->compacted_rev = MIN (s->compacted_rev, s->rev);
  reset_watches (s);
  if (rewrite_ms == 0)
    return;
  ev_timer_set (&s->rewrite_timer, (double)rewrite_ms / 1000, 0);
  ev_timer_start (s->loop, &s->rewrite_timer);
}

/** RangePage: one page of a range, as it is collected. */
typedef struct
{
  const char *prefix;
  const char *after; /**< (nullable): begins after this key */
  json_t *items;
  gboolean has_more;
} RangePage;

static gboolean
add_item_to_page (gpointer key, gpointer value, gpointer data)
{
  RangePage *r = data;

  if (!g_str_has_prefix (key, r->prefix)
      || (r->after && strcmp (key, r->after) <= 0))
    return FALSE;
  if (json_array_size (r->items) == PAGE_MAX_ITEMS)
    {
      r->has_more = TRUE;
      return TRUE;
    }
  json_array_append_new (r->items, item_to_json (value));
  return FALSE;
}

static gint64
query_ms (const FakeConn *c, const char *name)
{
  g_autofree char *text = fake_http_query_param (c, name);

  return text ? g_ascii_strtoll (text, NULL, 10) : 0;
}

static void
answer_range (FakeStore *s, FakeConn *c)
{
  char *prefix = fake_http_query_param (c, "prefix");
  char *after = fake_http_query_param (c, "after");
  RangePage r = { prefix ? prefix : "", after, json_array (), FALSE };
  gboolean is_stale = query_ms (c, "stale-ok") == 1;
  gboolean from_replica = is_stale && s->replica.items;
  json_t *o = json_object ();

  s->calls.range += !is_stale;
  s->calls.stale_range += is_stale;
  if (after && s->restores_at_next_page)
    {
      s->restores_at_next_page = FALSE;
      restore_copy (s, s->rewrite_ms);
    }
  g_tree_foreach (from_replica ? s->replica.items : s->items, add_item_to_page,
                  &r);
  json_object_set_new (o, "items", r.items);
  json_object_set_new (o, "has-more", json_boolean (r.has_more));
  json_object_set_new (o, "as-of",
                       json_integer (from_replica ? s->replica.rev : s->rev));
  answer_json (s, c, o);
  g_free (prefix);
  g_free (after);
}

static void
start_watch (FakeStore *s, FakeConn *c)
{
  char *prefix = fake_http_query_param (c, "prefix");
  char *after = fake_http_query_param (c, "after");
  char *wait_ms = fake_http_query_param (c, "wait-ms");
  gint64 after_rev = after ? g_ascii_strtoll (after, NULL, 10) : 0;
  json_t *events = s->mode == MODE_STALE
                       ? json_array ()
                       : changes_after (s, prefix ? prefix : "", after_rev);

  s->calls.watch++;
  if (after_rev < s->compacted_rev || after_rev > s->rev)
    {
      json_decref (events);
      answer (s, c, 410, NULL, "", 0);
    }
  else if (json_array_size (events))
    answer_watch (s, c, events);
  else
    {
      Watch *w = g_new0 (Watch, 1);

      json_decref (events);
      w->store = s;
      w->conn = c;
      w->prefix = g_strdup (prefix ? prefix : "");
      w->after_rev = after_rev;
      c->pending = w;
      c->on_disconnect = on_watch_disconnect;
      ev_timer_init (&w->timer, on_watch_timeout,
                     (wait_ms ? g_ascii_strtod (wait_ms, NULL) : 0) / 1000, 0);
      w->timer.data = w;
      ev_timer_start (s->loop, &w->timer);
      g_ptr_array_add (s->watches, w);
    }
  g_free (prefix);
  g_free (after);
  g_free (wait_ms);
}

/* The answers to all watches that wait are lost. */
static void
lose_watches (FakeStore *s)
{
  while (s->watches->len)
    end_watch (s->watches->pdata[0]);
}

static void
set_mode (FakeStore *s, const char *mode)
{
  s->mode = MODE_UP;
  if (g_strcmp0 (mode, "lost") == 0)
    {
      lose_watches (s);
      mode = "silent";
    }
  if (g_strcmp0 (mode, "silent") == 0)
    s->mode = MODE_SILENT;
  else if (g_strcmp0 (mode, "busy") == 0)
    s->mode = MODE_BUSY;
  else if (g_strcmp0 (mode, "reset") == 0)
    s->mode = MODE_RESET;
  else if (g_strcmp0 (mode, "slow") == 0)
    s->mode = MODE_SLOW;
  else if (g_strcmp0 (mode, "some") == 0)
    s->mode = MODE_SOME;
  else if (g_strcmp0 (mode, "stale") == 0)
    s->mode = MODE_STALE;
  notify_watches (s);
}

static void
set_era_text (FakeStore *s, const FakeConn *c)
{
  char *text = fake_http_query_param (c, "value");

  g_free (s->era_text);
  s->era_text = text ? text : g_strdup ("");
}

static void
answer_value (FakeStore *s, FakeConn *c, const char *key)
{
  const Item *it = g_tree_lookup (s->items, key);
  gsize n = 0;
  guchar *value = it ? g_base64_decode (it->value, &n) : NULL;

  fake_http_answer (c, it ? 200 : 404, NULL, (const char *)value, (gssize)n);
  g_free (value);
}

static void
answer_calls (FakeStore *s, FakeConn *c)
{
  g_autofree char *text
      = g_strdup_printf ("{\"range\":%u,\"stale\":%u,\"watch\":%u}",
                         s->calls.range, s->calls.stale_range, s->calls.watch);

  fake_http_answer (c, 200, NULL, text, -1);
}

/* Handles a call under /test/; returns FALSE if @c carries another call. */
static gboolean
handle_test_call (FakeStore *s, FakeConn *c)
{
  char *key = fake_http_query_param (c, "key");
  char *mode = fake_http_query_param (c, "mode");
  gboolean is_test_call = TRUE;
  gboolean is_answered = FALSE;

  if (fake_http_has_path (c, "/test/put") && key)
    write_value (s, key, c->body->str);
  else if (fake_http_has_path (c, "/test/get") && key)
    {
      answer_value (s, c, key);
      is_answered = TRUE;
    }
  else if (fake_http_has_path (c, "/test/calls"))
    {
      answer_calls (s, c);
      is_answered = TRUE;
    }
  else if (fake_http_has_path (c, "/test/put-raw") && key)
    write_base64 (s, key, c->body->str);
  else if (fake_http_has_path (c, "/test/delete") && key)
    write_base64 (s, key, NULL);
  else if (fake_http_has_path (c, "/test/mode"))
    set_mode (s, mode);
  else if (fake_http_has_path (c, "/test/forget"))
    compact_history (s);
  else if (fake_http_has_path (c, "/test/replica"))
    set_state (&s->replica, copy_items (s->items), s->rev);
  else if (fake_http_has_path (c, "/test/copy"))
    set_state (&s->copy, copy_items (s->items), s->rev);
  else if (fake_http_has_path (c, "/test/restore"))
    restore_copy (s, query_ms (c, "rewrite-ms"));
  else if (fake_http_has_path (c, "/test/restore-at-page"))
    {
      s->restores_at_next_page = TRUE;
      s->rewrite_ms = query_ms (c, "rewrite-ms");
    }
  else if (fake_http_has_path (c, "/test/era"))
    set_era_text (s, c);
  else
    is_test_call = FALSE;
  if (is_test_call && !is_answered)
    fake_http_answer (c, 200, NULL, "", 0);
  g_free (key);
  g_free (mode);
  return is_test_call;
}

static void
answer_store_call (FakeStore *s, FakeConn *c)
{
  if (fake_http_has_path (c, PF_PATH_RANGE))
    answer_range (s, c);
  else if (fake_http_has_path (c, PF_PATH_WATCH))
    start_watch (s, c);
  else
    answer (s, c, 404, NULL, "", 0);
}

static void
end_delay (DelayedCall *call)
{
  ev_timer_stop (call->store->loop, &call->timer);
  call->conn->pending = NULL;
  g_free (call);
}

static void
on_delay_over (struct ev_loop *loop, ev_timer *t, int revents)
{
  DelayedCall *call = t->data;
  FakeStore *s = call->store;
  FakeConn *c = call->conn;

  end_delay (call);
  answer_store_call (s, c);
}

static void
on_delayed_disconnect (FakeConn *c)
{
  end_delay (c->pending);
}

static void
delay_call (FakeStore *s, FakeConn *c)
{
  DelayedCall *call = g_new0 (DelayedCall, 1);

  call->store = s;
  call->conn = c;
  c->pending = call;
  c->on_disconnect = on_delayed_disconnect;
  ev_timer_init (&call->timer, on_delay_over, SLOW_DELAY_S, 0);
  call->timer.data = call;
  ev_timer_start (s->loop, &call->timer);
}

static void
on_request (void *data, FakeConn *c)
{
  FakeStore *s = data;

  if (handle_test_call (s, c))
    return;
  switch (s->mode)
    {
    case MODE_UP:
    case MODE_STALE:
      answer_store_call (s, c);
      break;
    case MODE_SLOW:
      delay_call (s, c);
      break;
    case MODE_SOME:
      if (s->n_calls++ % 2)
        answer_store_call (s, c);
      else
        answer (s, c, 503, NULL, "", 0);
      break;
    case MODE_SILENT:
      break;
    case MODE_BUSY:
      answer (s, c, 503, NULL, "", 0);
      break;
    case MODE_RESET:
      fake_http_reset (c);
      break;
    }
}

FakeStore *
fake_store_new (struct ev_loop *loop, const char *addr)
{
  FakeStore *s = g_new0 (FakeStore, 1);

  s->loop = loop;
  s->items = g_tree_new_full (compare_keys, NULL, g_free, item_free);
  s->history = g_ptr_array_new_with_free_func (item_free);
  s->watches = g_ptr_array_new ();
  s->era = 1;
  ev_timer_init (&s->rewrite_timer, on_rewrite_due, 0, 0);
  s->rewrite_timer.data = s;
  fake_http_listen (loop, addr, on_request, s);
  return s;
}
