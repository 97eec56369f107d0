#include "fake-target.h"

#include "fake-group.h"
#include "platform/names.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/** Events of a stream whose request does not say how many tokens. */
#define DEFAULT_EVENTS 8
/** How long a tardy stream takes to begin. */
#define TARDY_MS 1000
#define TOKENS_PER_EVENT 4
/** A target that leaves gets no new work after this time. */
#define DRAIN_S 2.0
/** When an order that comes late is carried out. */
#define LATE_ORDER_S 1.0
/** How long a target that crashed is away. */
#define DOWN_S 0.2
/** By the clock, between a start and the next one. */
#define RESTART_MS 1000

struct FakeTarget
{
  struct ev_loop *loop;
  FakeListener *listener;
  FakeStore *store;
  char *id;
  char *service;
  char *addr;
  int slots;
  int work_ms;
  FakeGroup *group; /**< %NULL for a plain service */
  int rank;
  gboolean draining;
  double drained; /**< since when, on the loop's clock */
  gint64 born;    /**< Unix ms of its start */
  int busy;
  int late_tenths; /**< of its orders, those that come late */
  gboolean mute;   /**< its orders are carried out without an answer */
  int n_orders;
  GList *works;  /**< of #Work: plain requests it works on */
  char *limit;   /**< (nullable): requests a second, as its answers name it */
  char *crasher; /**< (nullable): a request with this body crashes it */
  guint64 n_crashes;
  char *fault; /**< what the next @fault_left requests meet */
  int fault_left;
  GHashTable *runs; /**< request id -> how often it ran */
  guint64 n_runs;
  guint64 n_doubled;
  guint64 n_late; /**< came though it has been leaving for long */
  guint64 n_gone; /**< callers that left while it worked */
};

/** Work: a plain request being worked on. */
typedef struct
{
  FakeTarget *t;
  FakeConn *c;
  ev_timer timer;
  char *fault;
} Work;

static void
publish (FakeTarget *t)
{
  char *key = g_strconcat (PF_KEY_TARGETS, t->id, NULL);
  json_t *o = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
                         t->service, "addr", t->addr, "zone", "dc1", "version",
                         "v1", "slots", t->slots, "state",
                         t->draining ? "draining" : "ready", "cold-left-ms", 0,
                         "seq", 1, PF_FIELD_STARTED, t->born);
  char *text = json_dumps (o, JSON_COMPACT);

  fake_store_put (t->store, key, text);
  free (text);
  json_decref (o);
  g_free (key);
}

static char *
answer_headers (const FakeTarget *t, const char *id, gboolean is_signed)
{
  GString *h = g_string_new ("Keep-Alive: timeout=5\r\n");

  g_string_append_printf (h, PF_HDR_REQUEST_ID ": %s\r\n", id);
  if (is_signed)
    g_string_append_printf (h, PF_HDR_SIGNATURE ": %s\r\n", t->id);
  if (t->limit)
    g_string_append_printf (h, PF_HDR_SERVER_LIMIT ": %s\r\n", t->limit);
  return g_string_free (h, FALSE);
}

/* Counts a run; the oracle of "at most once". */
static void
count_run (FakeTarget *t, const char *id)
{
  int n = GPOINTER_TO_INT (g_hash_table_lookup (t->runs, id)) + 1;

  g_hash_table_replace (t->runs, g_strdup (id), GINT_TO_POINTER (n));
  t->n_runs++;
  if (n == 2)
    t->n_doubled++;
}

static char *
take_fault (FakeTarget *t)
{
  if (t->fault_left <= 0)
    return NULL;
  t->fault_left--;
  return g_strdup (t->fault);
}

static void
end_work (Work *w)
{
  ev_timer_stop (w->t->loop, &w->timer);
  w->t->busy--;
  w->t->works = g_list_remove (w->t->works, w);
  w->c->pending = NULL;
  g_free (w->fault);
  g_free (w);
}

static void
on_gone (FakeConn *c)
{
  Work *w = c->pending;

  w->t->n_gone++;
  end_work (w);
}

/* The answer that a fault makes of a good one; TRUE if it was sent. */
static gboolean
spoil (FakeTarget *t, FakeConn *c, const char *fault, const char *headers)
{
  char *text;

  if (g_strcmp0 (fault, "fail") == 0)
    fake_http_answer (c, 500, headers, "failed\n", -1);
  else if (g_strcmp0 (fault, "lost") == 0)
    fake_http_reset (c);
  else if (g_strcmp0 (fault, "truncate") == 0)
    {
      text = g_strdup_printf (
          "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\nhalf", headers);
      fake_http_send_raw (c, text, strlen (text));
      fake_http_reset (c);
      g_free (text);
    }
  else if (g_strcmp0 (fault, "garbage") == 0)
    {
      fake_http_send_raw (c, "\x01\x02 no answer\r\n\r\n", 15);
      fake_http_reset (c);
    }
  else if (g_strcmp0 (fault, "unframed") == 0)
    {
      text = g_strdup_printf ("HTTP/1.1 200 OK\r\n%s\r\nunframed %s", headers,
                              t->id);
      c->close_after = TRUE;
      c->is_answering = FALSE;
      fake_http_send_raw (c, text, strlen (text));
      g_free (text);
    }
  else
    return FALSE;
  return TRUE;
}

static void
answer_plain (FakeTarget *t, FakeConn *c, const char *fault)
{
  const char *id = cf_http_reader_header (&c->reader, CF_HDR_REQUEST_ID);
  const char *org = cf_http_reader_header (&c->reader, CF_HDR_ORG);
  gboolean is_signed = g_strcmp0 (fault, "unsigned") != 0;
  char *headers = answer_headers (t, id, is_signed);
  char *own = g_strdup (id);
  char *body = g_strdup_printf (
      "%s %s %s org=%s key=%s body=%s", t->id,
      http_method_str (c->reader.parser.method),
      cf_http_reader_target (&c->reader), org ? org : "-",
      cf_http_reader_header (&c->reader, CF_HDR_API_KEY) ? "shown" : "hidden",
      c->body->str);

  if (!spoil (t, c, fault, headers))
    fake_http_answer (c, 200, headers, body, -1);
  if (g_strcmp0 (fault, "extra") == 0)
    {
      /* A second answer to a request already answered. */
      char *again = g_strdup_printf (
          "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nextra", headers);

      fake_http_send_raw (c, again, strlen (again));
      g_free (again);
    }
  g_free (own);
  g_free (headers);
  g_free (body);
}

static void crash (FakeTarget *t, FakeConn *c);

static void
on_worked (struct ev_loop *loop, ev_timer *timer, int revents)
{
  Work *w = timer->data;
  FakeTarget *t = w->t;
  FakeConn *c = w->c;
  char *fault = g_steal_pointer (&w->fault);

  end_work (w);
  if (g_strcmp0 (fault, "crash") == 0)
    crash (t, c);
  else
    answer_plain (t, c, fault);
  g_free (fault);
}

static void
begin_plain (FakeTarget *t, FakeConn *c, char *fault)
{
  Work *w = g_new0 (Work, 1);
  gboolean hangs = g_strcmp0 (fault, "hang") == 0;

  w->t = t;
  w->c = c;
  w->fault = fault;
  c->pending = w;
  c->on_disconnect = on_gone;
  t->busy++;
  t->works = g_list_prepend (t->works, w);
  ev_timer_init (&w->timer, on_worked, (double)t->work_ms / 1000, 0);
  w->timer.data = w;
  if (!hangs)
    ev_timer_start (t->loop, &w->timer);
}

static void
end_stream (FakeConn *c)
{
  FakeStream *st = c->pending;
  FakeTarget *t = c->handler_data;

  TAILQ_REMOVE (&t->group->ranks[t->rank].streams, st, link);
  t->group->ranks[t->rank].status.running--;
  t->busy--;
  g_free (st->headers);
  g_free (st);
}

static void
leave_hung (FakeConn *c)
{
  ((FakeTarget *)c->handler_data)->busy--;
}

/* A stream that the rank never begins, while its group goes on. */
static void
hang_stream (FakeTarget *t, FakeConn *c)
{
  c->pending = t;
  c->on_disconnect = leave_hung;
  t->busy++;
}

static void
begin_stream (FakeTarget *t, FakeConn *c, const char *id, char *fault)
{
  FakeStream *st = g_new0 (FakeStream, 1);
  const char *size = cf_http_reader_header (&c->reader, CF_HDR_SIZE);
  const char *after = cf_http_reader_header (&c->reader, CF_HDR_LAST_EVENT);
  const char *comma = size ? strchr (size, ',') : NULL;

  st->conn = c;
  st->next_event = after ? atoi (after) + 1 : 1;
  st->last_event
      = comma ? (atoi (comma + 1) + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT
              : DEFAULT_EVENTS;
  st->headers = answer_headers (t, id, TRUE);
  st->cut_event = g_strcmp0 (fault, "cut") == 0 ? st->next_event + 2 : -1;
  if (g_strcmp0 (fault, "tardy") == 0)
    st->passes_to_start = (int)(TARDY_MS / t->group->shape.step_ms);
  g_free (fault);
  c->pending = st;
  c->on_disconnect = end_stream;
  t->busy++;
  t->group->ranks[t->rank].status.running++;
  TAILQ_INSERT_TAIL (&t->group->ranks[t->rank].streams, st, link);
  fake_group_start_passes (t->group);
}

/* @faulty: (nullable): the address of the target at fault. */
static void
refuse (FakeConn *c, const char *id, int status, const char *faulty)
{
  char *h = g_strdup_printf ("%s: %s\r\n%s: 1\r\n%s%s%s", PF_HDR_REQUEST_ID,
                             id ? id : "-", PF_HDR_NOT_RUN,
                             faulty ? PF_HDR_AT_SERVER ": " : "",
                             faulty ? faulty : "", faulty ? "\r\n" : "");

  fake_http_answer (c, status, h, "", 0);
  g_free (h);
}

static void
take_work (FakeTarget *t, FakeConn *c)
{
  const char *id = cf_http_reader_header (&c->reader, CF_HDR_REQUEST_ID);
  const char *expect = cf_http_reader_header (&c->reader, CF_HDR_EXPECT_TARGET);
  char *fault;

  if (!id)
    {
      refuse (c, id, 400, NULL);
      return;
    }
  if (expect && strcmp (expect, t->id) != 0)
    {
      fake_http_answer (c, 421, NULL, "", 0);
      return;
    }
  fault = t->crasher && strcmp (t->crasher, c->body->str) == 0
              ? g_strdup ("crash")
              : take_fault (t);
  if (g_strcmp0 (fault, "broken") == 0)
    {
      refuse (c, id, 503, t->addr);
      g_free (fault);
      return;
    }
  if (g_strcmp0 (fault, "moved") == 0)
    {
      refuse (c, id, 421, t->addr);
      g_free (fault);
      return;
    }
  if (t->busy >= t->slots * 2 || g_strcmp0 (fault, "full") == 0)
    {
      refuse (c, id, 503, NULL);
      g_free (fault);
      return;
    }
  count_run (t, id);
  if (t->draining && ev_now (t->loop) > t->drained + DRAIN_S)
    t->n_late++;
  if (t->group && g_strcmp0 (fault, "hang") == 0)
    {
      hang_stream (t, c);
      g_free (fault);
    }
  else if (t->group && g_strcmp0 (fault, "crash") == 0)
    {
      crash (t, c);
      g_free (fault);
    }
  else if (t->group)
    begin_stream (t, c, id, fault);
  else
    begin_plain (t, c, fault);
}

/* What a rank tells of itself */

static void
answer_json (FakeConn *c, json_t *o)
{
  char *text = json_dumps (o, JSON_COMPACT);

  fake_http_answer (c, 200, "Content-Type: application/json\r\n", text, -1);
  free (text);
  json_decref (o);
}

static void
answer_report (FakeTarget *t, FakeConn *c)
{
  const CfRankStatus *s = &t->group->ranks[t->rank].status;

  answer_json (c, json_pack ("{s:s,s:[],s:b,s:i,s:I,s:I,s:{s:s,s:I,s:i,s:s},"
                             "s:i,s:I,s:I,s:I,s:I,s:I,s:I}",
                             "stage", "both", "models", "busy", 0, "seq", 0,
                             "waiting", s->waiting, "running", s->running,
                             "group", "name", s->group, "epoch", s->epoch,
                             "rank", s->rank, "state", "open", "size", s->size,
                             "step", s->step, "map", s->map, "prepared",
                             s->prepared, "armed", s->armed, "held", s->held,
                             PF_FIELD_STARTED, t->born));
}

static void
answer_lists (FakeTarget *t, FakeConn *c)
{
  FakeGroup *g = t->group;
  json_t *sets = json_array ();

  for (int s = 0; s < g->shape.sets; s++)
    {
      json_t *row = json_array ();

      for (int p = 0; p < g->shape.places; p++)
        {
          int e = cf_group_map_at (g->map, s, t->rank)[p];

          if (e >= 0)
            json_array_append_new (row, json_integer (e));
        }
      json_array_append_new (sets, row);
    }
  answer_json (c, json_pack ("{s:{s:I,s:o},s:{s:I,s:[]}}", "map", "version",
                             g->ranks[t->rank].status.map, "experts", sets,
                             "prepared", "version",
                             g->ranks[t->rank].status.prepared, "experts"));
}

static void
answer_picked (FakeTarget *t, FakeConn *c)
{
  FakeGroup *g = t->group;
  char *lists = fake_http_query_param (c, "lists");
  json_t *counts;

  if (lists)
    {
      g_free (lists);
      answer_lists (t, c);
      return;
    }
  counts = json_array ();
  for (int i = 0; i < g->shape.sets * g->shape.experts; i++)
    json_array_append_new (counts,
                           json_integer (g->ranks[t->rank].expert_counts[i]));
  answer_json (c, json_pack ("{s:I,s:I,s:o,s:I}", "step",
                             g->ranks[t->rank].status.step, "epoch", g->epoch,
                             "counts", counts, PF_FIELD_STARTED, t->born));
}

/* The test's own calls */

static void
answer_runs (FakeTarget *t, FakeConn *c)
{
  const FakeGroup *g = t->group;
  char *id = fake_http_query_param (c, "id");
  gint64 times = id ? GPOINTER_TO_INT (g_hash_table_lookup (t->runs, id)) : 0;

  g_free (id);
  answer_json (
      c,
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f}", "runs", t->n_runs,
                 "times", times, "doubled", t->n_doubled, "gone", t->n_gone,
                 "late", t->n_late, "crashes", t->n_crashes, "mixed",
                 g ? g->n_mixed : 0, "passes", g ? g->n_passes : 0, "skew",
                 g && g->n_passes ? g->skew_sum / (double)g->n_passes : 0.0));
}

static void
answer_ran (FakeTarget *t, FakeConn *c)
{
  json_t *ids = json_object ();
  GHashTableIter it;
  gpointer id;
  gpointer times;

  g_hash_table_iter_init (&it, t->runs);
  while (g_hash_table_iter_next (&it, &id, &times))
    json_object_set_new (ids, id, json_integer (GPOINTER_TO_INT (times)));
  answer_json (c, ids);
}

static void
set_fault (FakeTarget *t, FakeConn *c)
{
  char *x = fake_http_query_param (c, "x");

  g_free (t->fault);
  t->fault = fake_http_query_param (c, "kind");
  t->fault_left = x ? atoi (x) : 1;
  g_free (x);
  fake_http_answer (c, 200, NULL, "", 0);
}

/** LateOrder: an order that a rank has not looked at yet. */
typedef struct
{
  FakeTarget *t;
  ev_timer timer;
  GString *body;
} LateOrder;

static void
on_late_order (struct ev_loop *loop, ev_timer *timer, int revents)
{
  LateOrder *o = timer->data;

  fake_group_handle_order (o->t->group, o->t->rank, o->body->str, o->body->len);
  g_string_free (o->body, TRUE);
  g_free (o);
}

/* Three of ten in a row would be too regular: multiples of 7 spread them. */
static gboolean
comes_late (FakeTarget *t)
{
  return t->n_orders++ * 7 % 10 < t->late_tenths;
}

static void
take_order (FakeTarget *t, FakeConn *c)
{
  LateOrder *o;
  int status;

  if (!comes_late (t))
    {
      status = fake_group_handle_order (t->group, t->rank, c->body->str,
                                        c->body->len);
      if (!t->mute)
        fake_http_answer (c, status, NULL, "", 0);
      return;
    }
  o = g_new0 (LateOrder, 1);
  o->t = t;
  o->body = g_string_new_len (c->body->str, (gssize)c->body->len);
  ev_timer_init (&o->timer, on_late_order, LATE_ORDER_S, 0);
  o->timer.data = o;
  ev_timer_start (t->loop, &o->timer);
}

/* What a plain target works on is never answered; on_gone() ends it. */
static void
fall_silent (FakeTarget *t)
{
  for (GList *l = t->works; l; l = l->next)
    ev_timer_stop (t->loop, &((Work *)l->data)->timer);
}

static void
start_anew (FakeTarget *t, gboolean same_id, int later_ms)
{
  t->born += later_ms;
  if (!same_id)
    {
      char *old = t->id;

      t->id = g_strconcat (old, "x", NULL);
      g_free (old);
    }
  else if (t->group)
    fake_group_restart_rank (t->group, t->rank);
  else
    fall_silent (t);
  t->draining = FALSE;
  publish (t);
}

/* The process ends, and with it all that it works on, also for @c (nullable);
 * it starts anew under another id. */
static void
crash (FakeTarget *t, FakeConn *c)
{
  t->n_crashes++;
  while (t->works)
    {
      Work *w = t->works->data;
      FakeConn *other = w->c;

      end_work (w);
      fake_http_reset (other);
    }
  while (t->group && !TAILQ_EMPTY (&t->group->ranks[t->rank].streams))
    {
      FakeConn *other = TAILQ_FIRST (&t->group->ranks[t->rank].streams)->conn;

      end_stream (other);
      other->pending = NULL;
      fake_http_reset (other);
    }
  if (c)
    fake_http_reset (c);
  fake_http_close_listener (t->listener, DOWN_S);
  start_anew (t, FALSE, RESTART_MS);
}

static void
restart (FakeTarget *t, FakeConn *c)
{
  char *same = fake_http_query_param (c, "same");
  char *later = fake_http_query_param (c, "later-ms");

  start_anew (t, same != NULL, later ? atoi (later) : RESTART_MS);
  g_free (same);
  g_free (later);
}

static void
on_request (void *data, FakeConn *c)
{
  FakeTarget *t = data;

  if (fake_http_has_path (c, "/test/runs"))
    answer_runs (t, c);
  else if (fake_http_has_path (c, "/test/ran"))
    answer_ran (t, c);
  else if (fake_http_has_path (c, "/test/fault"))
    set_fault (t, c);
  else if (fake_http_has_path (c, "/test/crasher"))
    {
      g_free (t->crasher);
      t->crasher = g_strdup (c->body->str);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/crash"))
    {
      fake_http_answer (c, 200, NULL, "", 0);
      crash (t, NULL);
    }
  else if (fake_http_has_path (c, "/test/limit"))
    {
      g_free (t->limit);
      t->limit = fake_http_query_param (c, "per-s");
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/drain"))
    {
      t->draining = TRUE;
      t->drained = ev_now (t->loop);
      publish (t);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/restart"))
    {
      restart (t, c);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (t->group && fake_http_has_path (c, PF_PATH_REPORT))
    answer_report (t, c);
  else if (t->group && fake_http_has_path (c, PF_PATH_PICKED))
    answer_picked (t, c);
  else if (t->group && fake_http_has_path (c, PF_PATH_ORDER))
    take_order (t, c);
  else if (fake_http_has_path (c, "/test/late-orders"))
    {
      char *tenths = fake_http_query_param (c, "tenths");

      t->late_tenths = tenths ? atoi (tenths) : 0;
      g_free (tenths);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/mute-orders"))
    {
      t->mute = TRUE;
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else
    take_work (t, c);
}

static FakeTarget *
new_target (struct ev_loop *loop, FakeStore *store, const char *id,
            const char *service, const char *addr, int slots)
{
  FakeTarget *t = g_new0 (FakeTarget, 1);

  t->loop = loop;
  t->store = store;
  t->id = g_strdup (id);
  t->service = g_strdup (service);
  t->addr = g_strdup (addr);
  t->slots = slots;
  t->born = g_get_real_time () / 1000;
  t->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->listener = fake_http_listen (loop, addr, on_request, t);
  return t;
}

FakeTarget *
fake_target_new_plain (struct ev_loop *loop, FakeStore *store, const char *id,
                       const char *service, const char *addr, int slots,
                       int work_ms)
{
  FakeTarget *t = new_target (loop, store, id, service, addr, slots);

  t->work_ms = work_ms;
  publish (t);
  return t;
}

FakeTarget *
fake_target_new_rank (struct ev_loop *loop, FakeStore *store, FakeGroup *g,
                      int rank, const char *id, const char *service,
                      const char *addr, int slots)
{
  FakeTarget *t = new_target (loop, store, id, service, addr, slots);

  t->group = g;
  t->rank = rank;
  publish (t);
  return t;
}
