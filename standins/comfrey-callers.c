/*
 * Callers of the gateways, for the demo and for trials by hand: a bounded
 * number of requests (streams, orders that run at most once, quotes), each
 * checked, and one closing line.
 */
#include "error.h"
#include "gateway/event-stream.h"
#include "gateway/upstream.h"
#include "net.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Tries of a caller, the first one included. */
#define TRIES_MAX 3
/** Latencies of so many requests take 80 MB. */
#define REQUESTS_MAX 10000000
/** Each has a connection; more than most limits on descriptors allow. */
#define CALLERS_MAX 10000
#define DEADLINE_MS 5000
/** A try is given up a second after its deadline: by then a gateway has
 * answered, so that nothing comes from one that is silent. */
#define TRY_LIMIT_S (DEADLINE_MS / 1000.0 + 1)
/** No gateway asks a caller to come back after its deadline. */
#define RETRY_MAX_S (DEADLINE_MS / 1000.0)
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
  CfTarget *gateway; /**< of the last try */
  CfUpstream *up;    /**< %NULL between tries */
  int connect_errno; /**< why the last try has none; 0: it had one */
  ev_timer pause;
  ev_timer limit; /**< of a try */
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
static char last_loss[256];

static void start (Caller *c);
static void send_try (Caller *c);

static void
finish (Caller *c)
{
  gint64 ms = cf_now_ms () - c->start_ms;

  g_array_append_val (latencies, ms);
  cf_event_stream_clear (&c->events);
  running--;
  start (c);
}

static void
lose (Caller *c, const char *why)
{
  lost++;
  g_snprintf (last_loss, sizeof last_loss, "%s: %s", c->gateway->record.addr,
              why);
  finish (c);
}

/* The try is over; what follows may use its connection again. */
static void
end_try (Caller *c)
{
  ev_timer_stop (loop, &c->limit);
  c->up = NULL;
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
  /* Written so that what is no number is no pause. */
  c->retry_s = c->retry_s > 0 ? MIN (c->retry_s, RETRY_MAX_S) : 0;
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
  char why[32];

  end_try (c);
  if (c->status == 503 && c->tries < TRIES_MAX)
    {
      ev_timer_set (&c->pause, c->retry_s, 0);
      ev_timer_start (loop, &c->pause);
      return;
    }
  if (c->status != 503 && c->status != 200)
    {
      g_snprintf (why, sizeof why, "status %d", c->status);
      lose (c, why);
      return;
    }
  if (c->status == 503)
    refused++;
  else if (is_whole (c))
    answered++;
  else
    wrong++;
  finish (c);
}

static void
on_fail (void *owner, CfUpstreamFailure f)
{
  end_try (owner);
  lose (owner, cf_upstream_failure_name (f));
}

static void
on_limit (struct ev_loop *l, ev_timer *t, int revents)
{
  Caller *c = t->data;

  if (c->up)
    cf_upstream_cancel (c->up);
  end_try (c);
  lose (c,
        c->connect_errno ? g_strerror (c->connect_errno) : "no answer in time");
}

static const CfUpstreamCallbacks calls = { on_head, on_body, on_done, on_fail };

static void
send_try (Caller *c)
{
  GString *req = g_string_new (NULL);

  c->gateway = targets[(guint)(c->index + c->tries) % n_targets];
  c->tries++;
  c->status = 0;
  c->connect_errno = 0;
  g_snprintf (c->id, sizeof c->id, "%08x%08x", g_random_int (),
              g_random_int ());
  g_string_printf (req,
                   "%s %s HTTP/1.1\r\nHost: demo.example\r\n"
                   "Comfreypost-Request-Id: %s\r\n"
                   "Comfreypost-Deadline-Ms: %d\r\n"
                   "Comfreypost-Token-Count: 100,%d\r\n"
                   "Authorization: Token %s\r\n%s\r\n",
                   c->class == CLASS_QUOTE ? "GET" : "POST", paths[c->class],
                   c->id, DEADLINE_MS, STREAM_TOKENS, key ? key : "key-museum",
                   c->class == CLASS_QUOTE ? "" : "Content-Length: 0\r\n");
  c->up = cf_upstream_send (loop, c->gateway, req, c->id, FALSE, &calls, c);
  if (c->up)
    ev_timer_set (&c->limit, TRY_LIMIT_S, 0);
  else
    {
      /* Counted in the loop's next turn: here the next request would begin
       * on the stack of this one. */
      c->connect_errno = errno;
      ev_timer_set (&c->limit, 0, 0);
    }
  ev_timer_start (loop, &c->limit);
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

/* Returns FALSE after saying which address cannot be read. */
static gboolean
make_targets (void)
{
  n_targets = g_strv_length (gateways);
  targets = g_new0 (CfTarget *, n_targets);
  for (guint i = 0; i < n_targets; i++)
    {
      targets[i] = cf_target_new_at (gateways[i]);
      if (!targets[i])
        {
          fprintf (stderr, "comfrey-callers: %s\n", cf_last_error ());
          return FALSE;
        }
    }
  return TRUE;
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

/* (nullable): what is wrong with the options. */
static const char *
options_fault (void)
{
  if (!gateways)
    return "give --gateway IP:PORT";
  if (n_requests < 1 || n_requests > REQUESTS_MAX)
    return "give --requests from 1 to " G_STRINGIFY (REQUESTS_MAX);
  if (n_callers < 1 || n_callers > CALLERS_MAX)
    return "give --callers from 1 to " G_STRINGIFY (CALLERS_MAX);
  return NULL;
}

static gboolean
read_options (int *argc, char ***argv)
{
  GOptionContext *ctx = g_option_context_new (NULL);
  g_autoptr (GError) err = NULL;
  const char *fault;
  gboolean good;

  g_option_context_set_summary (
      ctx, "Sends streams, orders and quotes to gateways and checks each "
           "answer.\nExit status: 0 if all were answered or refused, 1 if "
           "any was lost or wrong, 2 for options that cannot be used.");
  g_option_context_add_main_entries (ctx, entries, NULL);
  good = g_option_context_parse (ctx, argc, argv, &err);
  g_option_context_free (ctx);
  fault = good ? options_fault () : err->message;
  if (good && *argc > 1)
    fprintf (stderr, "comfrey-callers: unknown argument %s; see --help\n",
             (*argv)[1]);
  else if (fault)
    fprintf (stderr, "comfrey-callers: %s; see --help\n", fault);
  return !fault && *argc == 1;
}

static Caller *
start_callers (void)
{
  Caller *callers = g_new0 (Caller, n_callers);

  for (int i = 0; i < n_callers; i++)
    {
      Caller *c = &callers[i];

      c->index = i;
      ev_timer_init (&c->pause, on_pause, 0, 0);
      c->pause.data = c;
      ev_timer_init (&c->limit, on_limit, 0, 0);
      c->limit.data = c;
      start (c);
    }
  return callers;
}

static int
report (void)
{
  printf ("answered=%d refused=%d lost=%d wrong=%d p99_ms=%" G_GINT64_FORMAT
          "\n",
          answered, refused, lost, wrong, p99 ());
  if (lost)
    fprintf (stderr, "comfrey-callers: %d lost, the last at %s\n", lost,
             last_loss);
  if (wrong)
    fprintf (stderr, "comfrey-callers: %d answers are not whole\n", wrong);
  return lost || wrong;
}

/* In place of libev's own, which aborts. */
static void
on_loop_error (const char *what)
{
  fprintf (stderr, "comfrey-callers: %s: %s\n", what, g_strerror (errno));
  exit (1);
}

int
main (int argc, char **argv)
{
  Caller *callers;
  int rc;

  if (!read_options (&argc, &argv) || !make_targets ())
    return 2;
  signal (SIGPIPE, SIG_IGN);
  ev_set_syserr_cb (on_loop_error);
  loop = ev_default_loop (0);
  if (!loop)
    on_loop_error ("no event loop");
  latencies = g_array_new (FALSE, FALSE, sizeof (gint64));
  callers = start_callers ();
  ev_run (loop, 0);
  rc = report ();
  g_array_unref (latencies);
  g_free (callers);
  return rc;
}
