#include "fake-store.h"

#include "platform/names.h"

#include <jansson.h>
#include <string.h>

/** How late a slow store answers. */
#define SLOW_S 0.3
/** Keys in one page of a range. */
#define PAGE 50

typedef enum
{
  MODE_UP,
  MODE_SILENT,
  MODE_BUSY,
  MODE_RESET,
  MODE_SLOW,
  MODE_SOME,
  MODE_STALE,
} Mode;

/** Item: a key as written, or as removed if it has no value. */
typedef struct
{
  char *key;
  char *value; /* base64 */
  gint64 rev;
  gint64 created; /* revision of the key's first writing */
} Item;

/** Waiter: a watch that waits for a change. */
typedef struct
{
  FakeStore *s;
  FakeConn *c;
  char *prefix;
  gint64 after;
  ev_timer timer;
} Waiter;

struct FakeStore
{
  struct ev_loop *loop;
  GTree *items;       /* key -> Item */
  GPtrArray *history; /* of Item, by revision */
  gint64 rev;
  gint64 forgotten; /* changes up to here are not known any more */
  GPtrArray *waiters;
  Mode mode;
  guint calls;
};

/** Late: a call that a slow store has not looked at yet. */
typedef struct
{
  FakeStore *s;
  FakeConn *c;
  ev_timer timer;
} Late;

static void
item_free (gpointer p)
{
  Item *it = p;

  g_free (it->key);
  g_free (it->value);
  g_free (it);
}

static Item *
item_new (const char *key, const char *base64, gint64 rev, gint64 created)
{
  Item *it = g_new0 (Item, 1);

  it->key = g_strdup (key);
  it->value = g_strdup (base64);
  it->rev = rev;
  it->created = created;
  return it;
}

static json_t *
item_json (const Item *it)
{
  json_t *o = json_object ();

  json_object_set_new (o, "key", json_string (it->key));
  json_object_set_new (o, "rev", json_integer (it->rev));
  if (it->value)
    {
      json_object_set_new (o, "value", json_string (it->value));
      json_object_set_new (o, "create-revision", json_integer (it->created));
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

/* The changes under @prefix after @after. */
static json_t *
changes (FakeStore *s, const char *prefix, gint64 after)
{
  json_t *events = json_array ();

  for (guint i = 0; i < s->history->len; i++)
    {
      const Item *it = s->history->pdata[i];

      if (it->rev > after && g_str_has_prefix (it->key, prefix))
        json_array_append_new (events, item_json (it));
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

static gboolean
tells_news (const FakeStore *s)
{
  return s->mode == MODE_UP || s->mode == MODE_SLOW || s->mode == MODE_SOME;
}

static void
end_waiter (Waiter *w)
{
  ev_timer_stop (w->s->loop, &w->timer);
  w->c->work = NULL;
  g_ptr_array_remove (w->s->waiters, w);
  g_free (w->prefix);
  g_free (w);
}

static void
on_waited (struct ev_loop *loop, ev_timer *t, int revents)
{
  Waiter *w = t->data;
  FakeStore *s = w->s;
  FakeConn *c = w->c;

  end_waiter (w);
  if (tells_news (s) || s->mode == MODE_STALE)
    answer_watch (s, c, json_array ());
}

static void
on_gone (FakeConn *c)
{
  end_waiter (c->work);
}

static void
wake_waiters (FakeStore *s)
{
  for (guint i = 0; i < s->waiters->len;)
    {
      Waiter *w = s->waiters->pdata[i];
      json_t *events = changes (s, w->prefix, w->after);
      FakeConn *c = w->c;

      if (json_array_size (events) == 0 || !tells_news (s))
        {
          json_decref (events);
          i++;
          continue;
        }
      end_waiter (w);
      answer_watch (s, c, events);
    }
}

/* @base64: (nullable): what stands for the bytes; NULL removes the key. */
static void
write_raw (FakeStore *s, const char *key, const char *base64)
{
  const Item *old = g_tree_lookup (s->items, key);
  gint64 created = old ? old->created : s->rev + 1;

  s->rev++;
  g_ptr_array_add (s->history, item_new (key, base64, s->rev, created));
  if (base64)
    g_tree_replace (s->items, g_strdup (key),
                    item_new (key, base64, s->rev, created));
  else
    g_tree_remove (s->items, key);
  wake_waiters (s);
}

static void
write_item (FakeStore *s, const char *key, const char *value)
{
  char *base64 = g_base64_encode ((const guchar *)value, strlen (value));

  write_raw (s, key, base64);
  g_free (base64);
}

void
fake_store_put (FakeStore *s, const char *key, const char *value)
{
  write_item (s, key, value);
}

/** RangeCall: a range while its page is put together. */
typedef struct
{
  const char *prefix;
  const char *after;
  json_t *items;
  gboolean more;
} RangeCall;

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  RangeCall *r = data;

  if (!g_str_has_prefix (key, r->prefix)
      || (r->after && strcmp (key, r->after) <= 0))
    return FALSE;
  if (json_array_size (r->items) == PAGE)
    {
      r->more = TRUE;
      return TRUE;
    }
  json_array_append_new (r->items, item_json (value));
  return FALSE;
}

static void
answer_range (FakeStore *s, FakeConn *c)
{
  char *prefix = fake_http_query_param (c, "prefix");
  char *after = fake_http_query_param (c, "after");
  RangeCall r = { prefix ? prefix : "", after, json_array (), FALSE };
  json_t *o = json_object ();

  g_tree_foreach (s->items, add_to_page, &r);
  json_object_set_new (o, "items", r.items);
  json_object_set_new (o, "has-more", json_boolean (r.more));
  json_object_set_new (o, "as-of", json_integer (s->rev));
  answer_json (c, o);
  g_free (prefix);
  g_free (after);
}

static void
begin_watch (FakeStore *s, FakeConn *c)
{
  char *prefix = fake_http_query_param (c, "prefix");
  char *after = fake_http_query_param (c, "after");
  char *wait = fake_http_query_param (c, "wait-ms");
  gint64 from = after ? g_ascii_strtoll (after, NULL, 10) : 0;
  json_t *events = s->mode == MODE_STALE
                       ? json_array ()
                       : changes (s, prefix ? prefix : "", from);

  if (from < s->forgotten)
    {
      json_decref (events);
      fake_http_answer (c, 410, NULL, "", 0);
    }
  else if (json_array_size (events))
    answer_watch (s, c, events);
  else
    {
      Waiter *w = g_new0 (Waiter, 1);

      json_decref (events);
      w->s = s;
      w->c = c;
      w->prefix = g_strdup (prefix ? prefix : "");
      w->after = from;
      c->work = w;
      c->gone = on_gone;
      ev_timer_init (&w->timer, on_waited,
                     (wait ? g_ascii_strtod (wait, NULL) : 0) / 1000, 0);
      w->timer.data = w;
      ev_timer_start (s->loop, &w->timer);
      g_ptr_array_add (s->waiters, w);
    }
  g_free (prefix);
  g_free (after);
  g_free (wait);
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
  wake_waiters (s);
}

static void
forget (FakeStore *s)
{
  s->forgotten = s->rev;
  g_ptr_array_set_size (s->history, 0);
  while (s->waiters->len)
    {
      Waiter *w = s->waiters->pdata[0];
      FakeConn *c = w->c;

      end_waiter (w);
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

/* The test's own calls; TRUE if it was one. */
static gboolean
steer (FakeStore *s, FakeConn *c)
{
  char *key = fake_http_query_param (c, "key");
  char *mode = fake_http_query_param (c, "mode");
  gboolean known = TRUE;
  gboolean answered = FALSE;

  if (fake_http_has_path (c, "/test/put") && key)
    write_item (s, key, c->body->str);
  else if (fake_http_has_path (c, "/test/get") && key)
    {
      answer_value (s, c, key);
      answered = TRUE;
    }
  else if (fake_http_has_path (c, "/test/put-raw") && key)
    write_raw (s, key, c->body->str);
  else if (fake_http_has_path (c, "/test/delete") && key)
    write_raw (s, key, NULL);
  else if (fake_http_has_path (c, "/test/mode"))
    set_mode (s, mode);
  else if (fake_http_has_path (c, "/test/forget"))
    forget (s);
  else
    known = FALSE;
  if (known && !answered)
    fake_http_answer (c, 200, NULL, "", 0);
  g_free (key);
  g_free (mode);
  return known;
}

static void
answer_call (FakeStore *s, FakeConn *c)
{
  if (fake_http_has_path (c, PF_PATH_RANGE))
    answer_range (s, c);
  else if (fake_http_has_path (c, PF_PATH_WATCH))
    begin_watch (s, c);
  else
    fake_http_answer (c, 404, NULL, "", 0);
}

static void
end_late (Late *l)
{
  ev_timer_stop (l->s->loop, &l->timer);
  l->c->work = NULL;
  g_free (l);
}

static void
on_late (struct ev_loop *loop, ev_timer *t, int revents)
{
  Late *l = t->data;
  FakeStore *s = l->s;
  FakeConn *c = l->c;

  end_late (l);
  answer_call (s, c);
}

static void
on_late_gone (FakeConn *c)
{
  end_late (c->work);
}

static void
begin_late (FakeStore *s, FakeConn *c)
{
  Late *l = g_new0 (Late, 1);

  l->s = s;
  l->c = c;
  c->work = l;
  c->gone = on_late_gone;
  ev_timer_init (&l->timer, on_late, SLOW_S, 0);
  l->timer.data = l;
  ev_timer_start (s->loop, &l->timer);
}

static void
on_request (void *data, FakeConn *c)
{
  FakeStore *s = data;

  if (steer (s, c))
    return;
  switch (s->mode)
    {
    case MODE_UP:
    case MODE_STALE:
      answer_call (s, c);
      break;
    case MODE_SLOW:
      begin_late (s, c);
      break;
    case MODE_SOME:
      if (s->calls++ % 2)
        answer_call (s, c);
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
by_text (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

FakeStore *
fake_store_new (struct ev_loop *loop, const char *addr)
{
  FakeStore *s = g_new0 (FakeStore, 1);

  s->loop = loop;
  s->items = g_tree_new_full (by_text, NULL, g_free, item_free);
  s->history = g_ptr_array_new_with_free_func (item_free);
  s->waiters = g_ptr_array_new ();
  fake_http_listen (loop, addr, on_request, s);
  return s;
}
