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

struct FakeStore
{
  struct ev_loop *loop;
  GTree *items;       /**< key -> Item; keys that exist now */
  GPtrArray *history; /**< of Item, by revision */
  gint64 rev;
  gint64 compacted_rev; /**< the history begins after this revision */
  GPtrArray *watches;   /**< of Watch */
  Mode mode;
  guint n_calls; /**< counted in MODE_SOME */
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
answer_json (FakeConn *c, json_t *o)
{
  char *text = json_dumps (o, JSON_COMPACT);

  fake_http_answer (c, 200, "Content-Type: application/json\r\n", text, -1);
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
  answer_json (c, o);
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

static void
answer_range (FakeStore *s, FakeConn *c)
{
  char *prefix = fake_http_query_param (c, "prefix");
  char *after = fake_http_query_param (c, "after");
  RangePage r = { prefix ? prefix : "", after, json_array (), FALSE };
  json_t *o = json_object ();

  g_tree_foreach (s->items, add_item_to_page, &r);
  json_object_set_new (o, "items", r.items);
  json_object_set_new (o, "has-more", json_boolean (r.has_more));
  json_object_set_new (o, "as-of", json_integer (s->rev));
  answer_json (c, o);
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

  if (after_rev < s->compacted_rev)
    {
      json_decref (events);
      fake_http_answer (c, 410, NULL, "", 0);
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

static void
set_mode (FakeStore *s, const char *mode)
{
  s->mode = MODE_UP;
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
compact_history (FakeStore *s)
{
  s->compacted_rev = s->rev;
  g_ptr_array_set_size (s->history, 0);
  while (s->watches->len)
    {
      Watch *w = s->watches->pdata[0];
      FakeConn *c = w->conn;

      end_watch (w);
      fake_http_reset (c);
    }
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
  else if (fake_http_has_path (c, "/test/put-raw") && key)
    write_base64 (s, key, c->body->str);
  else if (fake_http_has_path (c, "/test/delete") && key)
    write_base64 (s, key, NULL);
  else if (fake_http_has_path (c, "/test/mode"))
    set_mode (s, mode);
  else if (fake_http_has_path (c, "/test/forget"))
    compact_history (s);
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
    fake_http_answer (c, 404, NULL, "", 0);
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
        fake_http_answer (c, 503, NULL, "", 0);
      break;
    case MODE_SILENT:
      break;
    case MODE_BUSY:
      fake_http_answer (c, 503, NULL, "", 0);
      break;
    case MODE_RESET:
      fake_http_reset (c);
      break;
    }
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

FakeStore *
fake_store_new (struct ev_loop *loop, const char *addr)
{
  FakeStore *s = g_new0 (FakeStore, 1);

  s->loop = loop;
  s->items = g_tree_new_full (compare_keys, NULL, g_free, item_free);
  s->history = g_ptr_array_new_with_free_func (item_free);
  s->watches = g_ptr_array_new ();
  fake_http_listen (loop, addr, on_request, s);
  return s;
}
