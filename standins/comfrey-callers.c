/*
 * Callers of the gateways, for the demo and for trials by hand: a bounded
 * number of requests (streams, orders that run at most once, quotes), each
 * checked, and one closing line.
 */
#include "gateway/event-stream.h"
#include "gateway/socket.h"
#include "gateway/upstream.h"
#include "net.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Tries of a caller, the first one included. */
#define TRIES_MAX 3
#define STREAM_EVENTS 12
#define STREAM_TOKENS (STREAM_EVENTS * 4)

static int n_requests = 400;
static int n_callers = 16;
static char **gateways;
static char *key;

static const GOptionEntry entries[] = {
  { "requests", 'n', 0, G_OPTION_ARG_INT, &n_requests, "Requests in all", "N" },
  { "callers", 'c', 0, G_OPTION_ARG_INT, &n_callers, "Callers at once", "N" },
  { "gateway", 'g', 0, G_OPTION_ARG_STRING_ARRAY, &gateways,
    "A gateway's address; may be given again", "IP:PORT" },
  { "key", 0, 0, G_OPTION_ARG_STRING, &key, "The callers' API key", "KEY" },
  { NULL },
};

typedef enum
{
  CLASS_STREAM,
  CLASS_ORDER,
  CLASS_QUOTE,
  N_CLASSES,
} Class;

static const char *const paths[N_CLASSES]
    = { "/chat/a", "/order/a", "/quote/a" };

/** Caller: sends one request after another. */
typedef struct
{
  int index;
  Class class;
  char id[32];
  int tries;
  gint64 start_ms;
  int status;
  gboolean is_signed;
  double retry_s;
  CfEventStream events;
  ev_timer pause;
} Caller;

static struct ev_loop *loop;
static CfTarget **targets;
static guint n_targets;
static int sent;
static int running;
static int answered;
static int refused;
static int lost;
static int wrong;
static GArray *latencies; /* of gint64, ms */

static void start (Caller *c);

static void
finish (Caller *c)
{
  gint64 ms = cf_now_ms () - c->start_ms;

  g_array_append_val (latencies, ms);
  cf_event_stream_clear (&c->events);
  running--;
  start (c);
}

static gboolean
is_whole (const Caller *c)
{
  if (!c->is_signed)
    return FALSE;
  return c->class != CLASS_STREAM
         || (c->events.last_id == STREAM_EVENTS
             && c->events.n_events == STREAM_EVENTS
             && c->events.n_dropped == 0);
}

static void
on_head (void *owner, const CfHttpReader *r)
{
  Caller *c = owner;
  const char *after = NULL;

  c->status = (int)r->parser.status_code;
  c->is_signed = cf_http_reader_header (r, CF_HDR_SIGNATURE) != NULL;
  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (g_ascii_strcasecmp (h->name, "Retry-After") == 0)
        after = h->value;
    }
  c->retry_s = after ? g_ascii_strtod (after, NULL) : 0;
}

static void
on_body (void *owner, const char *data, gsize n)
{
  Caller *c = owner;
  GString *out;

  if (c->class != CLASS_STREAM || c->status != 200)
    return;
  out = g_string_new (NULL);
  cf_event_stream_feed (&c->events, data, n, out);
  g_string_free (out, TRUE);
}

static void
on_done (void *owner)
{
  Caller *c = owner;

  if (c->status == 503 && c->tries < TRIES_MAX)
    {
      ev_timer_set (&c->pause, c->retry_s, 0);
      ev_timer_start (loop, &c->pause);
      return;
    }
  if (c->status == 503)
    refused++;
  else if (c->status == 200 && is_whole (c))
    answered++;
  else if (c->status == 200)
    wrong++;
  else
    lost++;
  finish (c);
}

static void
on_fail (void *owner, CfUpstreamFail f)
{
  lost++;
  finish (owner);
}

static const CfUpstreamCalls calls = { on_head, on_body, on_done, on_fail };

static void
send_try (Caller *c)
{
  GString *req = g_string_new (NULL);
  CfTarget *t = targets[(guint)(c->index + c->tries) % n_targets];

  c->tries++;
  g_snprintf (c->id, sizeof c->id, "%08x%08x", g_random_int (),
              g_random_int ());
  g_string_printf (req,
                   "%s %s HTTP/1.1\r\nHost: demo.example\r\n"
                   "Comfreypost-Request-Id: %s\r\n"
                   "Comfreypost-Deadline-Ms: 5000\r\n"
                   "Comfreypost-Token-Count: 100,%d\r\n"
                   "Authorization: Token %s\r\n%s\r\n",
                   c->class == CLASS_QUOTE ? "GET" : "POST", paths[c->class],
                   c->id, STREAM_TOKENS, key ? key : "key-museum",
                   c->class == CLASS_QUOTE ? "" : "Content-Length: 0\r\n");
  if (!cf_upstream_send (loop, t, req, c->id, FALSE, &calls, c))
    on_fail (c, CF_FAIL_UNSENT);
}

static void
on_pause (struct ev_loop *l, ev_timer *t, int revents)
{
  send_try (t->data);
}

static void
start (Caller *c)
{
  if (sent >= n_requests)
    {
      if (running == 0)
        ev_break (loop, EVBREAK_ALL);
      return;
    }
  c->class = (Class)(sent++ % N_CLASSES);
  running++;
  c->tries = 0;
  c->start_ms = cf_now_ms ();
  cf_event_stream_init (&c->events);
  send_try (c);
}

static gboolean
make_targets (void)
{
  n_targets = gateways ? g_strv_length (gateways) : 0;
  targets = g_new0 (CfTarget *, n_targets + 1);
  for (guint i = 0; i < n_targets; i++)
    {
      targets[i] = cf_target_new_at (gateways[i]);
      if (!targets[i])
        return FALSE;
    }
  return n_targets > 0;
}

static int
by_value (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

static gint64
p99 (void)
{
  g_array_sort (latencies, by_value);
  return latencies->len
             ? g_array_index (latencies, gint64, latencies->len * 99 / 100)
             : 0;
}

int
main (int argc, char **argv)
{
  GOptionContext *ctx = g_option_context_new (NULL);
  GError *err = NULL;
  Caller *callers;

  g_option_context_set_summary (
      ctx, "Sends streams, orders and quotes to gateways and checks each "
           "answer.\nExit status: 0 if all were answered or refused.");
  g_option_context_add_main_entries (ctx, entries, NULL);
  if (!g_option_context_parse (ctx, &argc, &argv, &err) || !make_targets ())
    {
      fprintf (stderr, "comfrey-callers: %s; see --help\n",
               err ? err->message : "give --gateway IP:PORT");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  loop = ev_default_loop (0);
  latencies = g_array_new (FALSE, FALSE, sizeof (gint64));
  callers = g_new0 (Caller, n_callers);
  for (int i = 0; i < n_callers; i++)
    {
      callers[i].index = i;
      ev_timer_init (&callers[i].pause, on_pause, 0, 0);
      callers[i].pause.data = &callers[i];
      start (&callers[i]);
    }
  ev_run (loop, 0);
  printf ("answered=%d refused=%d lost=%d wrong=%d p99_ms=%" G_GINT64_FORMAT
          "\n",
          answered, refused, lost, wrong, p99 ());
  return lost || wrong;
}
