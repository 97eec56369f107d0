#include "fake-target.h"

#include "fake-group.h"
#include "platform/names.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/** Events of a stream whose request has no token count. */
#define DEFAULT_STREAM_EVENTS 8
/** Delay of the first event of a stream with the fault "tardy". */
#define TARDY_START_MS 1000
#define TOKENS_PER_EVENT 4
/** A draining target may still get new requests for this long; requests that
 * arrive later are counted as late. */
#define DRAIN_GRACE_S 2.0
/** Delay of an order under /test/late-orders. */
#define ORDER_DELAY_S 1.0
/** Time for which a rank begins to answer a prompt that crashes it. */
#define FATAL_START_S 0.08
/** Shared parts of a prompt that are looked at. */
#define PROMPT_PARTS_MAX 32
/** Time for which a crashed target refuses connections. */
#define CRASH_DOWNTIME_S 0.2
/** Default difference between the start times of successive incarnations. */
#define RESTART_INTERVAL_MS 1000

struct FakeTarget
{
  struct ev_loop *loop;
  FakeListener *listener;
  FakeStore *store;
  char *id;
  char *service;
  char *addr;
  int slots;     /**< requests at once, as its record says */
  int queue_max; /**< requests that it accepts beyond its slots; they wait for a
                    slot.  -1: it accepts twice its slots, and runs all */
  GQueue queue;  /**< of #PlainRequest: those that wait, the oldest first */
  int work_ms;   /**< time that a plain request takes */
  FakeGroup *group; /**< %NULL for a plain service */
  int rank;
  gboolean draining;
  double drain_start_s;     /**< on the loop's clock */
  int cold_ms;              /**< warm-up time left, as its record says */
  char *data_centre;        /**< (nullable): "dc1" */
  char *omitted_fields;     /**< (nullable): comma-separated, see /test/omit */
  gint64 started_ms;        /**< Unix time at which this incarnation started */
  int n_running;            /**< requests that it has accepted and not ended */
  int delayed_order_tenths; /**< of ten orders, this many are delayed */
  gboolean skips_order_answers; /**< executes orders without answering */
  int n_orders;
  GList *requests;  /**< of #PlainRequest: those that run or wait now */
  char *rate_limit; /**< (nullable): requests a second that answers carry */
  char *pause_s; /**< (nullable): it refuses all requests and asks for a pause
                    of so many seconds */
  gboolean says_leaving; /**< its answers say that it leaves */
  GArray *arrivals;      /**< of #Arrival: requests addressed to it */
  char *crash_body;      /**< (nullable): a request with this body crashes it */
  char *crash_part;      /**< (nullable): a prompt with this part crashes it */
  ev_timer crash_timer;  /**< active while it begins to answer such a prompt */
  guint64 n_crashes;
  char *fault; /**< kind of fault that the next @n_faults_left requests meet */
  int n_faults_left;
  char *resumed_fault; /**< (nullable): kind of fault that requests which resume
                          a stream meet instead */
  int unnumbered_from; /**< the first event of its streams without an id; 0: all
                          have one */
  int fault_at;        /**< bytes of a body before it breaks off; -1: not set */
  FakeFraming framing; /**< of a rank's streams and a plain service's
                            documents */
  FakeDocumentShape document; /**< of a plain service's answers */
  GHashTable *run_counts;     /**< request id -> how often it ran */
  guint64 n_runs;
  guint64 n_repeated;     /**< request ids that ran more than once */
  guint64 n_after_drain;  /**< requests after DRAIN_GRACE_S of drain */
  guint64 n_disconnected; /**< callers that left while their requests ran */
};

/** Arrival: a request that reached a target, and what its answer asked for. */
typedef struct
{
  char id[48];
  char instance[48]; /**< id and start time of the target */
  gint64 at_ms;      /**< on the machine's monotonic clock */
  double pause_s;    /**< the pause that the answer requested; 0: none */
  gboolean said_leaving;
} Arrival;

/** PlainRequest: a request that a target of a plain service runs. */
typedef struct
{
  FakeTarget *target;
  FakeConn *conn;
  ev_timer timer; /**< ends the work */
  char *fault;    /**< (nullable): kind of fault that it meets */
} PlainRequest;

/* Writes the target's record to the store. */
static void
publish_record (FakeTarget *t)
{
  char *key = g_strconcat (PF_KEY_TARGETS, t->id, NULL);
  json_t *o = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service", t->service, "addr",
      t->addr, "zone", t->data_centre ? t->data_centre : "dc1", "version", "v1",
      "slots", t->slots, "state", t->draining ? "draining" : "ready",
      "cold-left-ms", t->cold_ms, "seq", 1, PF_FIELD_STARTED, t->started_ms);
  char *text = json_dumps (o, JSON_COMPACT);

  fake_store_put (t->store, key, text);
  free (text);
  json_decref (o);
  g_free (key);
}

static void
append_leaving_header (const FakeTarget *t, GString *headers)
{
  if (t->says_leaving)
    g_string_append (headers, PF_HDR_SERVER_LEAVING ": 1\r\n");
}

static char *
make_answer_headers (const FakeTarget *t, const char *id, gboolean is_signed)
{
  GString *h = g_string_new ("Keep-Alive: timeout=5\r\n");

  g_string_append_printf (h, PF_HDR_REQUEST_ID ": %s\r\n", id);
  if (is_signed)
    g_string_append_printf (h, PF_HDR_SIGNATURE ": %s\r\n", t->id);
  if (t->rate_limit)
    g_string_append_printf (h, PF_HDR_SERVER_LIMIT ": %s\r\n", t->rate_limit);
  append_leaving_header (t, h);
  return g_string_free (h, FALSE);
}

/* Counts a run of request @id.  Tests read the counts to check that a request
 * runs at most once. */
static void
count_run (FakeTarget *t, const char *id)
{
  int n = GPOINTER_TO_INT (g_hash_table_lookup (t->run_counts, id)) + 1;

  g_hash_table_replace (t->run_counts, g_strdup (id), GINT_TO_POINTER (n));
  t->n_runs++;
  if (n == 2)
    t->n_repeated++;
}

/* Counts down the remaining faults.  Returns: (nullable) (transfer full): the
 * kind of fault that the request of @c meets. */
static char *
next_fault (FakeTarget *t, const FakeConn *c)
{
  if (t->n_faults_left <= 0)
    return NULL;
  if (t->resumed_fault
      && cf_http_reader_header (&c->reader, CF_HDR_LAST_EVENT_ID))
    return g_strdup (t->resumed_fault);
  t->n_faults_left--;
  return g_strdup (t->fault);
}

/* Requests that occupy a slot. */
static int
n_in_slots (const FakeTarget *t)
{
  return t->n_running - (int)t->queue.length;
}

/* Begins the work on @req, which a hung target never ends. */
static void
begin_plain_work (PlainRequest *req)
{
  if (g_strcmp0 (req->fault, "hang") != 0)
    ev_timer_start (req->target->loop, &req->timer);
}

static void
end_plain_request (PlainRequest *req)
{
  FakeTarget *t = req->target;

  ev_timer_stop (t->loop, &req->timer);
  t->n_running--;
  t->requests = g_list_remove (t->requests, req);
  g_queue_remove (&t->queue, req);
  req->conn->pending = NULL;
  g_free (req->fault);
  g_free (req);
  if (t->queue.length > 0 && n_in_slots (t) < t->slots)
    begin_plain_work (g_queue_pop_head (&t->queue));
}

static void
on_plain_disconnect (FakeConn *c)
{
  PlainRequest *req = c->pending;

  req->target->n_disconnected++;
  end_plain_request (req);
}

/* Sends the faulty answer that @fault stands for.  Returns FALSE and sends
 * nothing if the answer's status, body and framing are not affected. */
static gboolean
answer_with_fault (FakeTarget *t, FakeConn *c, const char *fault,
                   const char *headers)
{
  char *text;

  if (g_strcmp0 (fault, "fail") == 0)
    fake_http_answer (c, 500, headers, "failed\n", -1);
  else if (g_strcmp0 (fault, "fail-long") == 0)
    {
      g_autofree char *body = g_strnfill (262144, 'x');

      text = g_strdup_printf (
          "HTTP/1.1 500 Failed\r\n%sContent-Length: 9000000\r\n\r\n%s", headers,
          body);
      fake_http_send_raw (c, text, strlen (text));
      g_free (text);
    }
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
      fake_http_send_raw (c, text, strlen (text));
      fake_http_close (c);
      g_free (text);
    }
  else
    return FALSE;
  return TRUE;
}

static FakeCut
parse_cut (const char *fault)
{
  if (g_strcmp0 (fault, "cut") == 0)
    return FAKE_CUT_RESET;
  if (g_strcmp0 (fault, "cut-close") == 0)
    return FAKE_CUT_CLOSE;
  return g_strcmp0 (fault, "cut-end") == 0 ? FAKE_CUT_END : FAKE_CUT_NONE;
}

static void
answer_with_own_document (const FakeTarget *t, FakeConn *c, const char *fault,
                          const char *headers)
{
  FakeDocumentShape shape = t->document;
  g_autofree char *id
      = g_strdup (cf_http_reader_header (&c->reader, CF_HDR_REQUEST_ID));

  shape.framing = t->framing;
  shape.cut = parse_cut (fault);
  if (shape.cut != FAKE_CUT_NONE)
    shape.cut_at = t->fault_at >= 0 ? (gsize)t->fault_at : shape.size / 2;
  fake_document_send (c, &shape, headers, t->id, id);
}

static void
answer_plain (FakeTarget *t, FakeConn *c, const char *fault)
{
  const char *id = cf_http_reader_header (&c->reader, CF_HDR_REQUEST_ID);
  const char *org = cf_http_reader_header (&c->reader, CF_HDR_ORG);
  gboolean is_signed = g_strcmp0 (fault, "unsigned") != 0;
  char *headers = make_answer_headers (t, id, is_signed);
  char *id_copy = g_strdup (id);
  char *body = g_strdup_printf (
      "%s %s %s org=%s key=%s body=%s", t->id,
      http_method_str (c->reader.parser.method),
      cf_http_reader_request_target (&c->reader), org ? org : "-",
      cf_http_reader_header (&c->reader, CF_HDR_API_KEY) ? "shown" : "hidden",
      c->body->str);

  if (answer_with_fault (t, c, fault, headers))
    ;
  else if (t->document.size > 0)
    answer_with_own_document (t, c, fault, headers);
  else
    fake_http_answer (c, 200, headers, body, -1);
  if (g_strcmp0 (fault, "extra") == 0)
    {
      /* A second answer to the same request. */
      char *second_answer = g_strdup_printf (
          "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nextra", headers);

      fake_http_send_raw (c, second_answer, strlen (second_answer));
      g_free (second_answer);
    }
  g_free (id_copy);
  g_free (headers);
  g_free (body);
}

static void crash (FakeTarget *t, FakeConn *c);

static void
on_work_done (struct ev_loop *loop, ev_timer *timer, int revents)
{
  PlainRequest *req = timer->data;
  FakeTarget *t = req->target;
  FakeConn *c = req->conn;
  char *fault = g_steal_pointer (&req->fault);

  end_plain_request (req);
  if (g_strcmp0 (fault, "crash") == 0)
    crash (t, c);
  else
    answer_plain (t, c, fault);
  g_free (fault);
}

static void
start_plain_request (FakeTarget *t, FakeConn *c, char *fault)
{
  PlainRequest *req = g_new0 (PlainRequest, 1);
  gboolean has_slot = t->queue_max < 0 || n_in_slots (t) < t->slots;

  req->target = t;
  req->conn = c;
  req->fault = fault;
  c->pending = req;
  c->on_disconnect = on_plain_disconnect;
  t->n_running++;
  t->requests = g_list_prepend (t->requests, req);
  ev_timer_init (&req->timer, on_work_done, (double)t->work_ms / 1000, 0);
  req->timer.data = req;
  if (has_slot)
    begin_plain_work (req);
  else
    g_queue_push_tail (&t->queue, req);
}

/* The number of requests that it accepts. */
static int
accepted_max (const FakeTarget *t)
{
  return t->queue_max < 0 ? t->slots * 2 : t->slots + t->queue_max;
}

/* Removes the stream of @c from its rank and frees it. */
static void
remove_stream (FakeConn *c)
{
  FakeStream *st = c->pending;
  FakeTarget *t = c->handler_data;

  TAILQ_REMOVE (&t->group->ranks[t->rank].streams, st, link);
  t->group->ranks[t->rank].status.running--;
  t->n_running--;
  g_free (st->headers);
  g_free (st);
}

static void
on_hung_disconnect (FakeConn *c)
{
  ((FakeTarget *)c->handler_data)->n_running--;
}

/* Leaves the rank's request without an answer; its group's passes continue. */
static void
hang_request (FakeTarget *t, FakeConn *c)
{
  c->pending = t;
  c->on_disconnect = on_hung_disconnect;
  t->n_running++;
}

/* Where a stream breaks off: as set, or half-way through its third event. */
static gsize
cut_position (const FakeTarget *t, int first_event)
{
  if (t->fault_at >= 0)
    return (gsize)t->fault_at;
  return fake_stream_length (first_event, first_event + 1, 0)
         + fake_stream_length (first_event + 2, first_event + 2, 0) / 2;
}

static gboolean
has_fatal_part (const FakeTarget *t, const FakeConn *c)
{
  CfPromptPart parts[PROMPT_PARTS_MAX];
  guint n = cf_platform_parse_shared_parts (
      cf_http_reader_header (&c->reader, CF_HDR_PROMPT_PARTS), parts,
      PROMPT_PARTS_MAX);

  for (guint i = 0; i < n; i++)
    if (g_strcmp0 (parts[i].id, t->crash_part) == 0)
      return TRUE;
  return FALSE;
}

/* Crashes if a stream is still there whose prompt does that, and the group does
 * not wait for another rank. */
static void
on_crash_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  FakeTarget *t = timer->data;
  FakeStream *st;

  if (fake_group_is_closed (t->group))
    return;
  TAILQ_FOREACH (st, &t->group->ranks[t->rank].streams, link)
  if (st->is_fatal)
    {
      crash (t, NULL);
      return;
    }
}

/* Sends the head of its answer, and nothing after that. */
static void
start_fatal_stream (FakeTarget *t, FakeStream *st)
{
  st->is_fatal = TRUE;
  st->is_begun = TRUE;
  st->passes_to_start = G_MAXINT;
  fake_http_begin (st->conn, 200, st->headers, FAKE_FRAMING_CHUNKED, 0);
  if (ev_is_active (&t->crash_timer))
    return;
  ev_timer_set (&t->crash_timer, FATAL_START_S, 0);
  ev_timer_start (t->loop, &t->crash_timer);
}

static void
start_stream (FakeTarget *t, FakeConn *c, const char *id, char *fault)
{
  FakeStream *st = g_new0 (FakeStream, 1);
  const char *size = cf_http_reader_header (&c->reader, CF_HDR_TOKEN_COUNT);
  const char *after = cf_http_reader_header (&c->reader, CF_HDR_LAST_EVENT_ID);
  const char *comma = size ? strchr (size, ',') : NULL;

  st->conn = c;
  st->next_event = after ? atoi (after) + 1 : 1;
  st->last_event
      = comma ? (atoi (comma + 1) + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT
              : DEFAULT_STREAM_EVENTS;
  st->unnumbered_from = t->unnumbered_from;
  st->headers = make_answer_headers (t, id, TRUE);
  st->framing = t->framing;
  st->cut = parse_cut (fault);
  st->cut_at = cut_position (t, st->next_event);
  if (g_strcmp0 (fault, "tardy") == 0)
    st->passes_to_start = (int)(TARDY_START_MS / t->group->shape.step_ms);
  g_free (fault);
  c->pending = st;
  c->on_disconnect = remove_stream;
  t->n_running++;
  t->group->ranks[t->rank].status.running++;
  TAILQ_INSERT_TAIL (&t->group->ranks[t->rank].streams, st, link);
  if (has_fatal_part (t, c))
    start_fatal_stream (t, st);
  fake_group_start_passes (t->group);
}

/* Answers a request for a stream with a JSON document, in the framing of its
 * streams. */
static void
answer_with_document (FakeTarget *t, FakeConn *c, const char *id)
{
  static const char document[] = "{\"text\":\"no stream\"}";
  char *headers = make_answer_headers (t, id, TRUE);
  char *all = g_strconcat (headers, "Content-Type: application/json\r\n", NULL);

  fake_http_begin (c, 200, all, t->framing, strlen (document));
  fake_http_send_part (c, document, strlen (document));
  fake_http_end (c);
  g_free (all);
  g_free (headers);
}

/* Refuses a request that was not run.  @faulty: (nullable): the address of the
 * target at fault. */
static void
refuse (const FakeTarget *t, FakeConn *c, const char *id, int status,
        const char *faulty)
{
  GString *h = g_string_new (NULL);

  if (id)
    g_string_append_printf (h, PF_HDR_REQUEST_ID ": %s\r\n", id);
  g_string_append (h, PF_HDR_NOT_RUN ": 1\r\n");
  if (faulty)
    g_string_append_printf (h, PF_HDR_AT_SERVER ": %s\r\n", faulty);
  if (t->pause_s && status == 503)
    g_string_append_printf (h, PF_HDR_RETRY_AFTER ": %s\r\n", t->pause_s);
  append_leaving_header (t, h);
  fake_http_answer (c, status, h->str, "", 0);
  g_string_free (h, TRUE);
}

/* As refuse() of a full target, with a second answer at the next request. */
static void
refuse_twice (const FakeTarget *t, FakeConn *c, const char *id)
{
  c->late_copy = g_strdup_printf ("HTTP/1.1 503 Again\r\n" PF_HDR_REQUEST_ID
                                  ": %s\r\n" PF_HDR_NOT_RUN
                                  ": 1\r\nContent-Length: 0\r\n\r\n",
                                  id);
  refuse (t, c, id, 503, NULL);
}

static void
send_late_copy (FakeConn *c)
{
  g_autofree char *copy = g_steal_pointer (&c->late_copy);

  if (copy)
    fake_http_send_raw (c, copy, strlen (copy));
}

static void
record_arrival (FakeTarget *t, const char *id)
{
  Arrival a = { .at_ms = g_get_monotonic_time () / 1000 };

  g_strlcpy (a.id, id, sizeof a.id);
  g_snprintf (a.instance, sizeof a.instance, "%s/%" G_GINT64_FORMAT, t->id,
              t->started_ms);
  a.pause_s = t->pause_s ? g_ascii_strtod (t->pause_s, NULL) : 0;
  a.said_leaving = t->says_leaving;
  g_array_append_val (t->arrivals, a);
}

/* Refuses a request, or counts and runs it with the fault that it meets. */
static void
handle_request (FakeTarget *t, FakeConn *c)
{
  const char *id = cf_http_reader_header (&c->reader, CF_HDR_REQUEST_ID);
  const char *expect = cf_http_reader_header (&c->reader, CF_HDR_EXPECT_TARGET);
  char *fault;

  if (!id)
    {
      refuse (t, c, id, 400, NULL);
      return;
    }
  if (expect && strcmp (expect, t->id) != 0)
    {
      fake_http_answer (
          c, 421, t->says_leaving ? PF_HDR_SERVER_LEAVING ": 1\r\n" : NULL, "",
          0);
      return;
    }
  record_arrival (t, id);
  if (t->pause_s)
    {
      refuse (t, c, id, 503, NULL);
      return;
    }
  if (t->group && fake_group_is_closed (t->group))
    {
      refuse (t, c, id, 503, t->group->lost_addr);
      return;
    }
  send_late_copy (c);
  fault = t->crash_body && strcmp (t->crash_body, c->body->str) == 0
              ? g_strdup ("crash")
              : next_fault (t, c);
  if (g_strcmp0 (fault, "full-late") == 0)
    {
      refuse_twice (t, c, id);
      g_free (fault);
      return;
    }
  if (g_strcmp0 (fault, "broken") == 0)
    {
      refuse (t, c, id, 503, t->addr);
      g_free (fault);
      return;
    }
  if (g_strcmp0 (fault, "moved") == 0)
    {
      refuse (t, c, id, 421, t->addr);
      g_free (fault);
      return;
    }
  if (t->n_running >= accepted_max (t) || g_strcmp0 (fault, "full") == 0)
    {
      refuse (t, c, id, 503, NULL);
      g_free (fault);
      return;
    }
  count_run (t, id);
  if (t->draining && ev_now (t->loop) > t->drain_start_s + DRAIN_GRACE_S)
    t->n_after_drain++;
  if (t->group && g_strcmp0 (fault, "hang") == 0)
    {
      hang_request (t, c);
      g_free (fault);
    }
  else if (t->group && g_strcmp0 (fault, "crash") == 0)
    {
      crash (t, c);
      g_free (fault);
    }
  else if (t->group && g_strcmp0 (fault, "no-content") == 0)
    {
      char *headers = make_answer_headers (t, id, TRUE);

      fake_http_answer (c, 204, headers, "", 0);
      g_free (headers);
      g_free (fault);
    }
  else if (t->group && g_strcmp0 (fault, "document") == 0)
    {
      answer_with_document (t, c, id);
      g_free (fault);
    }
  else if (t->group)
    start_stream (t, c, id, fault);
  else
    start_plain_request (t, c, fault);
}

/* Reports of a rank */

static void
answer_json (const FakeTarget *t, FakeConn *c, json_t *o)
{
  GString *headers = g_string_new ("Content-Type: application/json\r\n");
  char *text = json_dumps (o, JSON_COMPACT);

  append_leaving_header (t, headers);
  fake_http_answer (c, 200, headers->str, text, -1);
  g_string_free (headers, TRUE);
  free (text);
  json_decref (o);
}

/* Whether @field is among those that /test/omit names. */
static gboolean
is_omitted (const FakeTarget *t, const char *field)
{
  return t->omitted_fields && strstr (t->omitted_fields, field);
}

static void
answer_report (FakeTarget *t, FakeConn *c)
{
  const CfRankStatus *s = &t->group->ranks[t->rank].status;

  json_t *o = json_pack (
      "{s:s,s:[],s:b,s:i,s:I,s:I,s:{s:s,s:I,s:i,s:s},"
      "s:i,s:I,s:I,s:I,s:I,s:I}",
      "stage", "both", "models", "busy", 0, "seq", 0, "waiting", s->waiting,
      "running", s->running, "group", "name", s->group, "epoch", s->epoch,
      "rank", s->rank, "state", "open", "size", s->size, "step", s->step, "map",
      s->map, "prepared", s->prepared, "armed", s->armed, "held", s->held);

  if (!is_omitted (t, "born-in-reports"))
    json_object_set_new (o, PF_FIELD_STARTED, json_integer (t->started_ms));
  answer_json (t, c, o);
}

static void
answer_expert_lists (FakeTarget *t, FakeConn *c)
{
  FakeGroup *g = t->group;
  json_t *sets = json_array ();

  for (int s = 0; s < g->shape.sets; s++)
    {
      json_t *row = json_array ();

      for (int p = 0; p < g->shape.places; p++)
        {
          int e = cf_group_map_row (g->map, s, t->rank)[p];

          if (e >= 0)
            json_array_append_new (row, json_integer (e));
        }
      json_array_append_new (sets, row);
    }
  answer_json (t, c,
               json_pack ("{s:{s:I,s:o},s:{s:I,s:[]}}", "map", "version",
                          g->ranks[t->rank].status.map, "experts", sets,
                          "prepared", "version",
                          g->ranks[t->rank].status.prepared, "experts"));
}

static void
answer_expert_counts (FakeTarget *t, FakeConn *c)
{
  FakeGroup *g = t->group;
  char *lists = fake_http_query_param (c, "lists");
  json_t *counts;
  json_t *o;

  if (lists)
    {
      g_free (lists);
      answer_expert_lists (t, c);
      return;
    }
  counts = json_array ();
  for (int i = 0; i < g->shape.sets * g->shape.experts; i++)
    json_array_append_new (counts,
                           json_integer (g->ranks[t->rank].expert_counts[i]));
  o = json_pack ("{s:o}", "counts", counts);
  if (!is_omitted (t, "epoch-in-counts"))
    json_object_set_new (o, "epoch", json_integer (g->epoch));
  if (!is_omitted (t, "step-in-counts"))
    json_object_set_new (o, "step",
                         json_integer (g->ranks[t->rank].status.step));
  if (!is_omitted (t, "born-in-counts"))
    json_object_set_new (o, PF_FIELD_STARTED, json_integer (t->started_ms));
  answer_json (t, c, o);
}

/* Calls under /test/ */

static void
answer_run_counters (FakeTarget *t, FakeConn *c)
{
  const FakeGroup *g = t->group;
  char *id = fake_http_query_param (c, "id");
  gint64 times
      = id ? GPOINTER_TO_INT (g_hash_table_lookup (t->run_counts, id)) : 0;

  g_free (id);
  answer_json (
      t, c,
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f}", "runs", t->n_runs,
                 "times", times, "doubled", t->n_repeated, "gone",
                 t->n_disconnected, "late", t->n_after_drain, "crashes",
                 t->n_crashes, "mixed", g ? g->n_mixed : 0, "passes",
                 g ? g->n_passes : 0, "skew",
                 g && g->n_passes ? g->skew_sum / (double)g->n_passes : 0.0));
}

static void
answer_arrivals (FakeTarget *t, FakeConn *c)
{
  json_t *list = json_array ();

  for (guint i = 0; i < t->arrivals->len; i++)
    {
      const Arrival *a = &g_array_index (t->arrivals, Arrival, i);

      json_array_append_new (
          list, json_pack ("{s:s,s:s,s:I,s:f,s:b}", "id", a->id, "instance",
                           a->instance, "at-ms", a->at_ms, "pause-s",
                           a->pause_s, "leaving", a->said_leaving));
    }
  answer_json (t, c, list);
}

static void
answer_run_ids (FakeTarget *t, FakeConn *c)
{
  json_t *ids = json_object ();
  GHashTableIter it;
  gpointer id;
  gpointer times;

  g_hash_table_iter_init (&it, t->run_counts);
  while (g_hash_table_iter_next (&it, &id, &times))
    json_object_set_new (ids, id, json_integer (GPOINTER_TO_INT (times)));
  answer_json (t, c, ids);
}

static void
set_fault (FakeTarget *t, FakeConn *c)
{
  char *x = fake_http_query_param (c, "x");
  char *at = fake_http_query_param (c, "at");

  g_free (t->fault);
  g_free (t->resumed_fault);
  t->fault = fake_http_query_param (c, "kind");
  t->n_faults_left = x ? atoi (x) : 1;
  t->fault_at = at ? atoi (at) : -1;
  t->resumed_fault = fake_http_query_param (c, "resumed");
  g_free (x);
  g_free (at);
  fake_http_answer (c, 200, NULL, "", 0);
}

static void
set_framing (FakeTarget *t, FakeConn *c)
{
  char *as = fake_http_query_param (c, "as");

  if (g_strcmp0 (as, "length") == 0)
    t->framing = FAKE_FRAMING_LENGTH;
  else if (g_strcmp0 (as, "close") == 0)
    t->framing = FAKE_FRAMING_CLOSE;
  else
    t->framing = FAKE_FRAMING_CHUNKED;
  g_free (as);
  fake_http_answer (c, 200, NULL, "", 0);
}

/* The number of the query parameter @name; 0 if there is none. */
static int
int_param (const FakeConn *c, const char *name)
{
  g_autofree char *value = fake_http_query_param (c, name);

  return value ? atoi (value) : 0;
}

static void
set_document (FakeTarget *t, FakeConn *c)
{
  t->document.size = (gsize)int_param (c, "size");
  t->document.cut_at = (gsize)int_param (c, "pause-at");
  t->document.pause_ms = int_param (c, "pause-ms");
  fake_http_answer (c, 200, NULL, "", 0);
}

/** DelayedOrder: an order that a rank executes later. */
typedef struct
{
  FakeTarget *target;
  ev_timer timer;
  GString *body;
} DelayedOrder;

static void
on_order_delay_over (struct ev_loop *loop, ev_timer *timer, int revents)
{
  DelayedOrder *o = timer->data;

  fake_group_handle_order (o->target->group, o->target->rank, o->body->str,
                           o->body->len);
  g_string_free (o->body, TRUE);
  g_free (o);
}

/* Counts an order, and returns whether it is delayed.  Multiples of 7 modulo 10
 * spread the delayed orders over each ten; three in a row, say, would be too
 * regular. */
static gboolean
is_next_order_delayed (FakeTarget *t)
{
  return t->n_orders++ * 7 % 10 < t->delayed_order_tenths;
}

static void
handle_order (FakeTarget *t, FakeConn *c)
{
  DelayedOrder *o;
  int status;

  if (!is_next_order_delayed (t))
    {
      status = fake_group_handle_order (t->group, t->rank, c->body->str,
                                        c->body->len);
      if (!t->skips_order_answers)
        fake_http_answer (c, status, NULL, "", 0);
      return;
    }
  o = g_new0 (DelayedOrder, 1);
  o->target = t;
  o->body = g_string_new_len (c->body->str, (gssize)c->body->len);
  ev_timer_init (&o->timer, on_order_delay_over, ORDER_DELAY_S, 0);
  o->timer.data = o;
  ev_timer_start (t->loop, &o->timer);
}

/* Leaves the running requests of a plain service without an answer; each ends
 * in on_plain_disconnect(). */
static void
silence_plain_requests (FakeTarget *t)
{
  g_queue_clear (&t->queue);
  for (GList *l = t->requests; l; l = l->next)
    ev_timer_stop (t->loop, &((PlainRequest *)l->data)->timer);
}

/* Simulates a restart of the process, with a start time that is @later_ms after
 * the last one. */
static void
restart_process (FakeTarget *t, gboolean same_id, int later_ms)
{
  t->started_ms += later_ms;
  if (!same_id)
    {
      char *old = t->id;

      t->id = g_strconcat (old, "x", NULL);
      g_free (old);
    }
  else if (t->group)
    fake_group_restart_rank (t->group, t->rank);
  else
    silence_plain_requests (t);
  t->draining = FALSE;
  t->says_leaving = FALSE;
  publish_record (t);
}

/* Simulates a crash: resets the connections of all running requests and @c
 * (nullable), and restarts under another id. */
static void
crash (FakeTarget *t, FakeConn *c)
{
  t->n_crashes++;
  /* A process that has crashed accepts no connections by the time that its open
   * ones are reset. */
  fake_http_close_listener (t->listener, CRASH_DOWNTIME_S);
  while (t->requests)
    {
      PlainRequest *req = t->requests->data;
      FakeConn *other = req->conn;

      end_plain_request (req);
      fake_http_reset (other);
    }
  while (t->group && !TAILQ_EMPTY (&t->group->ranks[t->rank].streams))
    {
      FakeConn *other = TAILQ_FIRST (&t->group->ranks[t->rank].streams)->conn;

      remove_stream (other);
      other->pending = NULL;
      fake_http_reset (other);
    }
  if (c)
    fake_http_reset (c);
  if (t->group)
    fake_group_close (t->group, t->rank, t->addr);
  restart_process (t, FALSE, RESTART_INTERVAL_MS);
}

static void
handle_restart (FakeTarget *t, FakeConn *c)
{
  char *same = fake_http_query_param (c, "same");
  char *later = fake_http_query_param (c, "later-ms");

  restart_process (t, same != NULL, later ? atoi (later) : RESTART_INTERVAL_MS);
  g_free (same);
  g_free (later);
}

static void
on_request (void *data, FakeConn *c)
{
  FakeTarget *t = data;

  if (fake_http_has_path (c, "/test/runs"))
    answer_run_counters (t, c);
  else if (fake_http_has_path (c, "/test/ran"))
    answer_run_ids (t, c);
  else if (fake_http_has_path (c, "/test/fault"))
    set_fault (t, c);
  else if (fake_http_has_path (c, "/test/framing"))
    set_framing (t, c);
  else if (fake_http_has_path (c, "/test/document"))
    set_document (t, c);
  else if (fake_http_has_path (c, "/test/unnumbered"))
    {
      t->unnumbered_from = int_param (c, "from");
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/crasher"))
    {
      g_free (t->crash_body);
      g_free (t->crash_part);
      t->crash_body = c->body->len > 0 ? g_strdup (c->body->str) : NULL;
      t->crash_part = fake_http_query_param (c, "part");
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/crash"))
    {
      fake_http_answer (c, 200, NULL, "", 0);
      crash (t, NULL);
    }
  else if (fake_http_has_path (c, "/test/limit"))
    {
      g_free (t->rate_limit);
      t->rate_limit = fake_http_query_param (c, "per-s");
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/pause"))
    {
      g_free (t->pause_s);
      t->pause_s = fake_http_query_param (c, "s");
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/leave"))
    {
      t->says_leaving = TRUE;
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/arrivals"))
    answer_arrivals (t, c);
  else if (fake_http_has_path (c, "/test/drain"))
    {
      t->draining = TRUE;
      t->says_leaving = TRUE;
      t->drain_start_s = ev_now (t->loop);
      publish_record (t);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/restart"))
    {
      handle_restart (t, c);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (t->group && fake_http_has_path (c, PF_PATH_REPORT))
    answer_report (t, c);
  else if (t->group && fake_http_has_path (c, PF_PATH_EXPERT_COUNTS))
    answer_expert_counts (t, c);
  else if (t->group && fake_http_has_path (c, PF_PATH_ORDER))
    handle_order (t, c);
  else if (fake_http_has_path (c, "/test/late-orders"))
    {
      char *tenths = fake_http_query_param (c, "tenths");

      t->delayed_order_tenths = tenths ? atoi (tenths) : 0;
      g_free (tenths);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/cold"))
    {
      char *ms = fake_http_query_param (c, "ms");

      t->cold_ms = ms ? atoi (ms) : 0;
      g_free (ms);
      publish_record (t);
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/omit"))
    {
      g_free (t->omitted_fields);
      t->omitted_fields = fake_http_query_param (c, "fields");
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else if (fake_http_has_path (c, "/test/mute-orders"))
    {
      t->skips_order_answers = TRUE;
      fake_http_answer (c, 200, NULL, "", 0);
    }
  else
    handle_request (t, c);
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
  ev_timer_init (&t->crash_timer, on_crash_timer, 0, 0);
  t->crash_timer.data = t;
  t->slots = slots;
  t->queue_max = -1;
  g_queue_init (&t->queue);
  t->fault_at = -1;
  t->started_ms = g_get_real_time () / 1000;
  t->arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
  t->run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->listener = fake_http_listen (loop, addr, on_request, t);
  return t;
}

void
fake_target_set_data_centre (FakeTarget *t, const char *data_centre)
{
  g_free (t->data_centre);
  t->data_centre = g_strdup (data_centre);
  publish_record (t);
}

void
fake_target_set_queue (FakeTarget *t, int queue_max)
{
  t->queue_max = queue_max;
}

FakeTarget *
fake_target_new_plain (struct ev_loop *loop, FakeStore *store, const char *id,
                       const char *service, const char *addr, int slots,
                       int work_ms)
{
  FakeTarget *t = new_target (loop, store, id, service, addr, slots);

  t->work_ms = work_ms;
  publish_record (t);
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
  publish_record (t);
  return t;
}
