/*
 * Callers of the gateways, for the demo and for manual tests.  They send a
 * given number of requests (streams, orders that may run at most once, and
 * quotes), check each answer, and print one line with the totals.  With --rate
 * they send requests at that rate instead; see callers-load.h.
 */
#include "callers-load.h"
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

/** Maximum number of attempts of a request, including the first. */
#define MAX_ATTEMPTS 3
/** The latencies of this many requests take 80 MB. */
#define MAX_REQUESTS 10000000
/** Each caller has a connection; this is more than most limits on file
 * descriptors allow. */
#define MAX_CALLERS 10000
#define REQUEST_DEADLINE_MS 5000
/** An attempt is abandoned a second after its deadline: any gateway that still
 * answers at all has answered by then. */
#define ATTEMPT_TIMEOUT_S (REQUEST_DEADLINE_MS / 1000.0 + 1)
/** Upper bound on Retry-After: no gateway asks a caller to retry after its
 * deadline. */
#define MAX_RETRY_AFTER_S (REQUEST_DEADLINE_MS / 1000.0)
#define DEFAULT_KEY "key-museum"
#define STREAM_EVENTS 12
#define STREAM_TOKENS (STREAM_EVENTS * 4)

static int n_requests = 400;
static int n_callers = 16;
static char **gateways;
static char *api_key;

static const GOptionEntry option_entries[] = {
  { "requests", 'n', 0, G_OPTION_ARG_INT, &n_requests, "Number of requests",
    "N" },
  { "callers", 'c', 0, G_OPTION_ARG_INT, &n_callers,
    "Number of concurrent callers", "N" },
  { "gateway", 'g', 0, G_OPTION_ARG_STRING_ARRAY, &gateways,
    "Address of a gateway; can be repeated", "IP:PORT" },
  { "key", 0, 0, G_OPTION_ARG_STRING, &api_key, "API key of the callers",
    "KEY" },
  { NULL },
};

/** RequestClass: the routes that the callers use in turn. */
typedef enum
{
  CLASS_STREAM,
  CLASS_ORDER,
  CLASS_QUOTE,
  N_CLASSES,
} RequestClass;

static const char *const class_paths[N_CLASSES]
    = { "/chat/a", "/order/a", "/quote/a" };

/** Caller: sends one request after another. */
typedef struct
{
  int index;
  RequestClass class;
  char id[32];
  int n_attempts;
  gint64 start_ms;
  int status;
  gboolean is_signed;
  double retry_after_s; /**< from the last answer's Retry-After */
  CfEventStream events;
  CfTarget *gateway;    /**< of the last attempt */
  CfUpstream *upstream; /**< connection of the attempt; %NULL between them */
  int connect_errno; /**< why the last attempt could not connect; 0: it could */
  ev_timer retry_timer;
  ev_timer attempt_timer;
} Caller;

static struct ev_loop *loop;
static CfTarget **gateway_targets;
static guint n_gateways;
static int n_started;
static int n_running;
static int n_answered;
static int n_refused;
static int n_lost;
static int n_wrong;
static GArray *latencies_ms; /* of gint64 */
static char last_failure[256];

static void start_request (Caller *c);
static void send_attempt (Caller *c);

static void
finish_request (Caller *c)
{
  gint64 ms = cf_now_ms () - c->start_ms;

  g_array_append_val (latencies_ms, ms);
  cf_event_stream_clear (&c->events);
  n_running--;
  start_request (c);
}

static void
fail_request (Caller *c, const char *why)
{
  n_lost++;
  g_snprintf (last_failure, sizeof last_failure, "%s: %s",
              c->gateway->record.addr, why);
  finish_request (c);
}

/* Ends an attempt; the next one may reuse its connection. */
static void
end_attempt (Caller *c)
{
  ev_timer_stop (loop, &c->attempt_timer);
  c->upstream = NULL;
}

static gboolean
is_answer_complete (const Caller *c)
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

  c->status = (int)r->parser.status_code;
  c->is_signed = cf_http_reader_header (r, CF_HDR_SIGNATURE) != NULL;
  c->retry_after_s = callers_retry_after_s (r, MAX_RETRY_AFTER_S);
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

  end_attempt (c);
  if (c->status == 503 && c->n_attempts < MAX_ATTEMPTS)
    {
      ev_timer_set (&c->retry_timer, c->retry_after_s, 0);
      ev_timer_start (loop, &c->retry_timer);
      return;
    }
  if (c->status != 503 && c->status != 200)
    {
      g_snprintf (why, sizeof why, "status %d", c->status);
      fail_request (c, why);
      return;
    }
  if (c->status == 503)
    n_refused++;
  else if (is_answer_complete (c))
    n_answered++;
  else
    n_wrong++;
  finish_request (c);
}

static void
on_failure (void *owner, CfUpstreamFailure f)
{
  end_attempt (owner);
  fail_request (owner, cf_upstream_failure_name (f));
}

static void
on_attempt_timeout (struct ev_loop *l, ev_timer *t, int revents)
{
  Caller *c = t->data;

  if (c->upstream)
    cf_upstream_cancel (c->upstream);
  end_attempt (c);
  fail_request (c, c->connect_errno ? g_strerror (c->connect_errno)
                                    : "no answer before the attempt timed out");
}

static const CfUpstreamCallbacks upstream_callbacks
    = { on_head, on_body, on_done, on_failure };

static void
send_attempt (Caller *c)
{
  GString *request = g_string_new (NULL);

  c->gateway = gateway_targets[(guint)(c->index + c->n_attempts) % n_gateways];
  c->n_attempts++;
  c->status = 0;
  c->connect_errno = 0;
  g_snprintf (c->id, sizeof c->id, "%08x%08x", g_random_int (),
              g_random_int ());
  g_string_printf (request,
                   "%s %s HTTP/1.1\r\nHost: demo.example\r\n"
                   "Comfreypost-Request-Id: %s\r\n"
                   "Comfreypost-Deadline-Ms: %d\r\n"
                   "Comfreypost-Token-Count: 100,%d\r\n"
                   "Authorization: Token %s\r\n%s\r\n",
                   c->class == CLASS_QUOTE ? "GET" : "POST",
                   class_paths[c->class], c->id, REQUEST_DEADLINE_MS,
                   STREAM_TOKENS, api_key ? api_key : DEFAULT_KEY,
                   c->class == CLASS_QUOTE ? "" : "Content-Length: 0\r\n");
  c->upstream = cf_upstream_send (loop, c->gateway, request, c->id, FALSE,
                                  &upstream_callbacks, c);
  if (c->upstream)
    ev_timer_set (&c->attempt_timer, ATTEMPT_TIMEOUT_S, 0);
  else
    {
      /* The failure is counted in the next iteration of the event loop: if it
       * were counted here, the next request would start on this one's stack.
       */
      c->connect_errno = errno;
      ev_timer_set (&c->attempt_timer, 0, 0);
    }
  ev_timer_start (loop, &c->attempt_timer);
}

static void
on_retry_timer (struct ev_loop *l, ev_timer *t, int revents)
{
  send_attempt (t->data);
}

static void
start_request (Caller *c)
{
  if (n_started >= n_requests)
    {
      if (n_running == 0)
        ev_break (loop, EVBREAK_ALL);
      return;
    }
  c->class = (RequestClass)(n_started++ % N_CLASSES);
  n_running++;
  c->n_attempts = 0;
  c->start_ms = cf_now_ms ();
  cf_event_stream_init (&c->events);
  send_attempt (c);
}

/* Returns FALSE after printing which address cannot be parsed. */
static gboolean
create_gateway_targets (void)
{
  n_gateways = g_strv_length (gateways);
  gateway_targets = g_new0 (CfTarget *, n_gateways);
  for (guint i = 0; i < n_gateways; i++)
    {
      gateway_targets[i] = cf_target_new_at (gateways[i]);
      if (!gateway_targets[i])
        {
          fprintf (stderr, "comfrey-callers: %s\n", cf_last_error ());
          return FALSE;
        }
    }
  return TRUE;
}

static int
compare_int64 (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

static gint64
p99_latency_ms (void)
{
  g_array_sort (latencies_ms, compare_int64);
  return latencies_ms->len ? g_array_index (latencies_ms, gint64,
                                            latencies_ms->len * 99 / 100)
                           : 0;
}

/* (nullable): what is wrong with the options. */
static const char *
check_options (void)
{
  if (!gateways)
    return "give --gateway IP:PORT";
  if (n_requests < 1 || n_requests > MAX_REQUESTS)
    return "give --requests from 1 to " G_STRINGIFY (MAX_REQUESTS);
  if (n_callers < 1 || n_callers > MAX_CALLERS)
    return "give --callers from 1 to " G_STRINGIFY (MAX_CALLERS);
  if (callers_load_is_requested ())
    return callers_load_check_options (g_strv_length (gateways));
  return NULL;
}

static gboolean
parse_options (int *argc, char ***argv)
{
  GOptionContext *ctx = g_option_context_new (NULL);
  g_autoptr (GError) err = NULL;
  const char *error;
  gboolean is_parsed;

  g_option_context_set_summary (
      ctx, "Sends streams, orders and quotes to gateways and checks each "
           "answer.\nExit status: 0 if all were answered or refused, 1 if "
           "any was lost or answered wrongly, 2 for invalid options.");
  g_option_context_add_main_entries (ctx, option_entries, NULL);
  g_option_context_add_main_entries (ctx, callers_load_options, NULL);
  is_parsed = g_option_context_parse (ctx, argc, argv, &err);
  g_option_context_free (ctx);
  error = is_parsed ? check_options () : err->message;
  if (is_parsed && *argc > 1)
    fprintf (stderr, "comfrey-callers: unknown argument %s; see --help\n",
             (*argv)[1]);
  else if (error)
    fprintf (stderr, "comfrey-callers: %s; see --help\n", error);
  return !error && *argc == 1;
}

static Caller *
start_callers (void)
{
  Caller *callers = g_new0 (Caller, n_callers);

  for (int i = 0; i < n_callers; i++)
    {
      Caller *c = &callers[i];

      c->index = i;
      ev_timer_init (&c->retry_timer, on_retry_timer, 0, 0);
      c->retry_timer.data = c;
      ev_timer_init (&c->attempt_timer, on_attempt_timeout, 0, 0);
      c->attempt_timer.data = c;
      start_request (c);
    }
  return callers;
}

static int
print_report (void)
{
  printf ("answered=%d refused=%d lost=%d wrong=%d p99_ms=%" G_GINT64_FORMAT
          "\n",
          n_answered, n_refused, n_lost, n_wrong, p99_latency_ms ());
  if (n_lost)
    fprintf (stderr, "comfrey-callers: %d lost requests, last failure: %s\n",
             n_lost, last_failure);
  if (n_wrong)
    fprintf (stderr, "comfrey-callers: %d incomplete or unsigned answers\n",
             n_wrong);
  return n_lost || n_wrong;
}

/* Replaces libev's own handler, which aborts the program. */
static void
on_loop_error (const char *what)
{
  fprintf (stderr, "comfrey-callers: %s: %s\n", what, g_strerror (errno));
  exit (1);
}

static int
run_closed_loop (void)
{
  Caller *callers;
  int rc;

  latencies_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  callers = start_callers ();
  ev_run (loop, 0);
  rc = print_report ();
  g_array_unref (latencies_ms);
  g_free (callers);
  return rc;
}

int
main (int argc, char **argv)
{
  if (!parse_options (&argc, &argv) || !create_gateway_targets ())
    return 2;
  signal (SIGPIPE, SIG_IGN);
  ev_set_syserr_cb (on_loop_error);
  loop = ev_default_loop (0);
  if (!loop)
    on_loop_error ("no event loop");
  if (callers_load_is_requested ())
    return callers_load_run (loop, gateway_targets, n_gateways,
                             api_key ? api_key : DEFAULT_KEY);
  return run_closed_loop ();
}
