#include "callers-load.h"

#include "gateway/upstream.h"
#include "net.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/** Attempts of a request, including the first, of callers that return when
 * told. */
#define MAX_ATTEMPTS 3
/** Callers that do not wait make up to three times as many. */
#define MAX_EARLY_ATTEMPTS (3 * MAX_ATTEMPTS)
/** Callers wait for this part of their remaining time at most. */
#define MAX_WAIT_PART (1.0 / 3)
/** An attempt is abandoned a second after its deadline: any gateway that still
 * answers at all has answered by then. */
#define ATTEMPT_GRACE_S 1.0
#define MAX_RATE 100000.0
#define MAX_DURATION_S 3600.0
#define MAX_DEADLINE_MS 60000
#define DEFAULT_KIND "/quote/a"

/** Tally: what became of requests of a kind, or of attempts at a gateway. */
typedef struct
{
  guint sent;
  guint served;
  guint in_time; /**< of those served, before the deadline */
  guint refused;
  guint returned;             /**< attempts after a refusal */
  guint refused_after_return; /**< of these, refused */
  guint early;                /**< of these, made before the time told */
  guint lost;
  GArray *latencies_ms; /**< of gint64: of those served */
} Tally;

/** Kind: requests with the same path and organisation. */
typedef struct
{
  char *name;
  char *path;
  char *key; /**< (nullable): API key */
  double weight;
  Tally tally; /**< of requests */
} Kind;

/** Behaviour: when a refused caller returns, if at all. */
typedef enum
{
  RETURNS_AS_TOLD,
  RETURNS_EARLY,
  N_BEHAVIOURS,
} Behaviour;

/** Request: a request and its caller. */
typedef struct
{
  Kind *kind;
  Behaviour behaviour;
  guint number;
  guint n_attempts;
  guint gateway; /**< of the last attempt */
  char id[32];   /**< of the last attempt */
  gint64 start_ms;
  gint64 attempt_ms; /**< start of the last attempt */
  int status;
  gboolean is_signed;
  double retry_after_s;
  int connect_errno; /**< why the last attempt could not connect; 0: it could */
  CfUpstream *upstream; /**< connection of the attempt; %NULL between them */
  ev_timer return_timer;
  ev_timer attempt_timer;
} Request;

static double rate;
static double duration_s;
static char **weight_texts;
static double move_s;
static char **kind_texts;
static double burst_at_s;
static double burst_for_s;
static double burst_rate;
static double early_part;
static gboolean returns_as_told;
static int deadline_ms = 5000;
static int seed = 1;

const GOptionEntry callers_load_options[] = {
  { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate,
    "Open-loop mode: requests per second in total, at random times; it does "
    "not use --requests and --callers",
    "R" },
  { "duration", 0, 0, G_OPTION_ARG_DOUBLE, &duration_s,
    "Seconds for which requests arrive", "S" },
  { "weight", 0, 0, G_OPTION_ARG_STRING_ARRAY, &weight_texts,
    "Part of the requests that a gateway gets, one for each --gateway in "
    "order; default: equal parts",
    "W" },
  { "move-s", 0, 0, G_OPTION_ARG_DOUBLE, &move_s,
    "Interval at which each weight moves to the next gateway; 0: never", "S" },
  { "mix", 0, 0, G_OPTION_ARG_STRING_ARRAY, &kind_texts,
    "A kind of requests, POST to PATH with the API key KEY or that of --key, "
    "and its weight; can be repeated; default: " DEFAULT_KIND "=1",
    "PATH[@KEY]=W" },
  { "burst-at", 0, 0, G_OPTION_ARG_DOUBLE, &burst_at_s,
    "Time at which a burst begins", "S" },
  { "burst-for", 0, 0, G_OPTION_ARG_DOUBLE, &burst_for_s,
    "Duration of the burst", "S" },
  { "burst-rate", 0, 0, G_OPTION_ARG_DOUBLE, &burst_rate,
    "Requests per second that the burst adds to --rate", "R" },
  { "return", 0, 0, G_OPTION_ARG_NONE, &returns_as_told,
    "Refused callers return to the next gateway when told, or after a third "
    "of their remaining time if that is sooner, at most twice, with the same "
    "body, a new request id and the remaining time as deadline; default: they "
    "do not return",
    NULL },
  { "early", 0, 0, G_OPTION_ARG_DOUBLE, &early_part,
    "Part (0 to 1) of the callers that, when refused, return at once and then "
    "after a third of each time told, up to three times as often",
    "F" },
  { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &deadline_ms,
    "Deadline of a request, from its first attempt on; default: 5000", "MS" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &seed,
    "Seed of the arrival times and of all other choices; default: 1", "N" },
  { NULL },
};

static struct ev_loop *loop;
static CfTarget **gateways;
static guint n_gateways;
static const char *default_key;
static double *weights;  /* of the gateways, at the start */
static GPtrArray *kinds; /* of Kind */
static GRand *rng;
static guint run_number; /* makes bodies of concurrent runs differ */
static Tally *gateway_tallies;
static Tally behaviour_tallies[N_BEHAVIOURS];
static gint64 start_us;
static double next_arrival_s; /* since the start */
static ev_timer arrival_timer;
static guint n_requests;
static guint n_running;
static char last_failure[256];

double
callers_retry_after_s (const CfHttpReader *r, double max_s)
{
  const char *text = NULL;
  double s;

  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (g_ascii_strcasecmp (h->name, "Retry-After") == 0)
        text = h->value;
    }
  s = text ? g_ascii_strtod (text, NULL) : 0;
  /* Written so that NaN gives no delay, too. */
  return s > 0 ? MIN (s, max_s) : 0;
}

gboolean
callers_load_is_requested (void)
{
  return rate != 0 || duration_s != 0;
}

/* Reads a weight, which may be 0.  Returns FALSE if @text is not a number. */
static gboolean
parse_weight (const char *text, double *weight)
{
  char *end;

  *weight = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && *weight >= 0 && isfinite (*weight);
}

static const char *
parse_weights (void)
{
  double sum = 0;

  weights = g_new0 (double, n_gateways);
  for (guint i = 0; i < n_gateways; i++)
    {
      if (!weight_texts)
        weights[i] = 1;
      else if (!parse_weight (weight_texts[i], &weights[i]))
        return "give --weight a number that is not negative";
      sum += weights[i];
    }
  return sum > 0 ? NULL : "give a --weight above 0";
}

/* Adds the kind "PATH[@KEY]=W". Returns FALSE if @text is something else. */
static gboolean
add_kind (const char *text)
{
  const char *equals = strrchr (text, '=');
  Kind *k;
  char *at;

  if (text[0] != '/' || !equals)
    return FALSE;
  k = g_new0 (Kind, 1);
  k->name = g_strndup (text, (gsize)(equals - text));
  k->path = g_strdup (k->name);
  at = strchr (k->path, '@');
  if (at)
    {
      k->key = g_strdup (at + 1);
      *at = '\0';
    }
  g_ptr_array_add (kinds, k);
  return parse_weight (equals + 1, &k->weight)
         && strpbrk (k->name, " \r\n") == NULL;
}

static const char *
parse_kinds (void)
{
  static const char *const default_kinds[] = { DEFAULT_KIND "=1", NULL };
  double sum = 0;

  kinds = g_ptr_array_new ();
  for (const char *const *k
       = kind_texts ? (const char *const *)kind_texts : default_kinds;
       *k; k++)
    {
      if (!add_kind (*k))
        return "give --mix PATH[@KEY]=W";
      sum += ((Kind *)kinds->pdata[kinds->len - 1])->weight;
    }
  return sum > 0 ? NULL : "give a --mix with a weight above 0";
}

/* Written so that NaN is out of range. */
static gboolean
is_in_range (double x, double min, double max)
{
  return x >= min && x <= max;
}

const char *
callers_load_check_options (guint n)
{
  const char *error;

  n_gateways = n;
  if (!(rate > 0 && rate <= MAX_RATE))
    return "give --rate above 0, up to 100000";
  if (!(duration_s > 0 && duration_s <= MAX_DURATION_S))
    return "give --duration above 0, up to 3600";
  if (weight_texts && g_strv_length (weight_texts) != n)
    return "give one --weight for each --gateway";
  if (!is_in_range (move_s, 0, MAX_DURATION_S))
    return "give --move-s from 0 to 3600";
  if (!is_in_range (burst_at_s, 0, MAX_DURATION_S)
      || !is_in_range (burst_for_s, 0, MAX_DURATION_S)
      || !is_in_range (burst_rate, 0, MAX_RATE))
    return "give --burst-at and --burst-for from 0 to 3600, --burst-rate from "
           "0 to 100000";
  if (!is_in_range (early_part, 0, 1))
    return "give --early from 0 to 1";
  if (deadline_ms < 1 || deadline_ms > MAX_DEADLINE_MS)
    return "give --deadline-ms from 1 to 60000";
  error = parse_weights ();
  return error ? error : parse_kinds ();
}

static double
elapsed_s (void)
{
  return (double)(g_get_monotonic_time () - start_us) / G_USEC_PER_SEC;
}

/* The rate of arrivals at @at_s, and until when it stays. */
static double
rate_at (double at_s, double *until_s)
{
  double end_s = burst_at_s + burst_for_s;

  if (at_s < burst_at_s)
    *until_s = burst_at_s;
  else
    *until_s = at_s < end_s ? end_s : INFINITY;
  return at_s >= burst_at_s && at_s < end_s ? rate + burst_rate : rate;
}

/* The time of the first arrival after @at_s.  Exponential intervals have no
 * memory, so one that passes a change of the rate is drawn again from there. */
static double
draw_arrival_after (double at_s)
{
  double until_s;
  double arrival_s;

  for (;;)
    {
      double r = rate_at (at_s, &until_s);

      arrival_s = at_s - log (1 - g_rand_double (rng)) / r;
      if (arrival_s <= until_s)
        return arrival_s;
      at_s = until_s;
    }
}

/* The weight of gateway @i now. */
static double
current_weight (guint i)
{
  guint n_moves = move_s > 0 ? (guint)(next_arrival_s / move_s) : 0;

  return weights[(i + n_gateways - n_moves % n_gateways) % n_gateways];
}

static guint
draw_gateway (void)
{
  double sum = 0;
  guint last = 0;
  double x;

  for (guint i = 0; i < n_gateways; i++)
    sum += current_weight (i);
  x = g_rand_double (rng) * sum;
  for (guint i = 0; i < n_gateways; i++)
    {
      if (current_weight (i) <= 0)
        continue;
      last = i;
      x -= current_weight (i);
      if (x < 0)
        break;
    }
  return last;
}

static Kind *
draw_kind (void)
{
  Kind *last = NULL;
  double sum = 0;
  double x;

  for (guint i = 0; i < kinds->len; i++)
    sum += ((Kind *)kinds->pdata[i])->weight;
  x = g_rand_double (rng) * sum;
  for (guint i = 0; i < kinds->len; i++)
    {
      Kind *k = kinds->pdata[i];

      if (k->weight <= 0)
        continue;
      last = k;
      x -= k->weight;
      if (x < 0)
        break;
    }
  return last;
}

static void
count_latency (Tally *t, gint64 ms)
{
  if (!t->latencies_ms)
    t->latencies_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_array_append_val (t->latencies_ms, ms);
}

/* Counts the end of a request or an attempt that took @ms. */
static void
count_end (Tally *t, const Request *q, gint64 ms)
{
  if (q->status == 200 && q->is_signed)
    {
      t->served++;
      t->in_time += cf_now_ms () - q->start_ms <= deadline_ms;
      count_latency (t, ms);
    }
  else if (q->status == 503)
    t->refused++;
  else
    t->lost++;
}

static void
end_arrivals_or_loop (void)
{
  if (n_running == 0 && !ev_is_active (&arrival_timer))
    ev_break (loop, EVBREAK_ALL);
}

static void
finish_request (Request *q)
{
  gint64 ms = cf_now_ms () - q->start_ms;

  count_end (&q->kind->tally, q, ms);
  count_end (&behaviour_tallies[q->behaviour], q, ms);
  g_free (q);
  n_running--;
  end_arrivals_or_loop ();
}

/* Ends an attempt; the next one may reuse its connection. */
static void
end_attempt (Request *q)
{
  Tally *at_gateway = &gateway_tallies[q->gateway];
  gboolean is_refused_again = q->n_attempts > 1 && q->status == 503;

  ev_timer_stop (loop, &q->attempt_timer);
  q->upstream = NULL;
  count_end (at_gateway, q, cf_now_ms () - q->attempt_ms);
  at_gateway->refused_after_return += is_refused_again;
  q->kind->tally.refused_after_return += is_refused_again;
  behaviour_tallies[q->behaviour].refused_after_return += is_refused_again;
}

/* Notes why an attempt was lost. */
static void
note_failure (const Request *q, const char *why)
{
  g_snprintf (last_failure, sizeof last_failure, "%s: %s",
              gateways[q->gateway]->record.addr, why);
}

/* How long the refused caller of @q waits until it returns, in seconds; -1 if
 * it does not return. */
static double
return_wait_s (const Request *q)
{
  double left_s = (double)(q->start_ms + deadline_ms - cf_now_ms ()) / 1000;
  double wait_s = MIN (q->retry_after_s, left_s * MAX_WAIT_PART);

  if (left_s <= 0)
    return -1;
  switch (q->behaviour)
    {
    case RETURNS_AS_TOLD:
      return returns_as_told && q->n_attempts < MAX_ATTEMPTS ? wait_s : -1;
    case RETURNS_EARLY:
      if (q->n_attempts >= MAX_EARLY_ATTEMPTS)
        return -1;
      return q->n_attempts == 1 ? 0 : wait_s / 3;
    case N_BEHAVIOURS:
      break;
    }
  g_return_val_if_reached (-1);
}

static void
on_head (void *owner, const CfHttpReader *r)
{
  Request *q = owner;

  q->status = (int)r->parser.status_code;
  q->is_signed = cf_http_reader_header (r, CF_HDR_SIGNATURE) != NULL;
  q->retry_after_s = callers_retry_after_s (r, MAX_DURATION_S);
}

static void
on_body (void *owner, const char *data, gsize n)
{
}

static void
on_done (void *owner)
{
  Request *q = owner;
  double wait_s = q->status == 503 ? return_wait_s (q) : -1;
  char why[32];

  end_attempt (q);
  if (wait_s >= 0)
    {
      ev_timer_set (&q->return_timer, wait_s, 0);
      ev_timer_start (loop, &q->return_timer);
      return;
    }
  if (q->status != 200 && q->status != 503)
    {
      g_snprintf (why, sizeof why, "status %d", q->status);
      note_failure (q, why);
    }
  else if (q->status == 200 && !q->is_signed)
    note_failure (q, "unsigned answer");
  finish_request (q);
}

static void
on_failure (void *owner, CfUpstreamFailure f)
{
  Request *q = owner;

  q->status = 0;
  end_attempt (q);
  note_failure (q, cf_upstream_failure_name (f));
  finish_request (q);
}

static void
on_attempt_timeout (struct ev_loop *l, ev_timer *t, int revents)
{
  Request *q = t->data;

  if (q->upstream)
    cf_upstream_cancel (q->upstream);
  q->status = 0;
  end_attempt (q);
  note_failure (q, q->connect_errno ? g_strerror (q->connect_errno)
                                    : "no answer before the attempt timed out");
  finish_request (q);
}

static const CfUpstreamCallbacks upstream_callbacks
    = { on_head, on_body, on_done, on_failure };

static GString *
format_request (const Request *q, gint64 left_ms)
{
  GString *text = g_string_new (NULL);
  g_autofree char *body
      = g_strdup_printf ("request %08x %u", run_number, q->number);

  g_string_printf (text,
                   "POST %s HTTP/1.1\r\nHost: demo.example\r\n"
                   "Comfreypost-Request-Id: %s\r\n"
                   "Comfreypost-Deadline-Ms: %" G_GINT64_FORMAT "\r\n"
                   "Authorization: Token %s\r\n"
                   "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
                   q->kind->path, q->id, left_ms,
                   q->kind->key ? q->kind->key : default_key, strlen (body),
                   body);
  return text;
}

static void
send_attempt (Request *q)
{
  gint64 left_ms = MAX (1, q->start_ms + deadline_ms - cf_now_ms ());

  q->n_attempts++;
  q->status = 0;
  q->is_signed = FALSE;
  q->connect_errno = 0;
  q->attempt_ms = cf_now_ms ();
  gateway_tallies[q->gateway].sent++;
  g_snprintf (q->id, sizeof q->id, "%08x%08x", g_random_int (),
              g_random_int ());
  q->upstream = cf_upstream_send (loop, gateways[q->gateway],
                                  format_request (q, left_ms), q->id, FALSE,
                                  &upstream_callbacks, q);
  if (!q->upstream)
    q->connect_errno = errno;
  /* A failure to connect is counted in the next iteration of the event loop. */
  ev_timer_set (&q->attempt_timer,
                q->upstream ? (double)left_ms / 1000 + ATTEMPT_GRACE_S : 0, 0);
  ev_timer_start (loop, &q->attempt_timer);
}

static void
count_return (Tally *t, const Request *q)
{
  t->returned++;
  t->early += q->behaviour == RETURNS_EARLY;
}

static void
on_return_timer (struct ev_loop *l, ev_timer *t, int revents)
{
  Request *q = t->data;

  q->gateway = (q->gateway + 1) % n_gateways;
  count_return (&q->kind->tally, q);
  count_return (&gateway_tallies[q->gateway], q);
  count_return (&behaviour_tallies[q->behaviour], q);
  send_attempt (q);
}

static void
start_request (void)
{
  Request *q = g_new0 (Request, 1);

  q->kind = draw_kind ();
  q->gateway = draw_gateway ();
  q->behaviour
      = g_rand_double (rng) < early_part ? RETURNS_EARLY : RETURNS_AS_TOLD;
  q->number = n_requests++;
  q->start_ms = cf_now_ms ();
  ev_timer_init (&q->return_timer, on_return_timer, 0, 0);
  q->return_timer.data = q;
  ev_timer_init (&q->attempt_timer, on_attempt_timeout, 0, 0);
  q->attempt_timer.data = q;
  n_running++;
  q->kind->tally.sent++;
  behaviour_tallies[q->behaviour].sent++;
  send_attempt (q);
}

static void
on_arrival_timer (struct ev_loop *l, ev_timer *t, int revents)
{
  double now_s = elapsed_s ();

  while (next_arrival_s <= MIN (now_s, duration_s))
    {
      start_request ();
      next_arrival_s = draw_arrival_after (next_arrival_s);
    }
  if (next_arrival_s <= duration_s)
    {
      ev_timer_set (t, next_arrival_s - now_s, 0);
      ev_timer_start (loop, t);
    }
  end_arrivals_or_loop ();
}

static int
compare_int64 (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

/* The latency that @percent of those served did not exceed; 0 if none was. */
static gint64
percentile_ms (const Tally *t, guint percent)
{
  if (!t->latencies_ms)
    return 0;
  g_array_sort (t->latencies_ms, compare_int64);
  return g_array_index (t->latencies_ms, gint64,
                        t->latencies_ms->len * percent / 100);
}

static void
print_tally (const char *subject, const char *name, const Tally *t)
{
  printf ("%s=%s sent=%u served=%u in_time=%u refused=%u returned=%u "
          "refused_after_return=%u early=%u lost=%u p50_ms=%" G_GINT64_FORMAT
          " p99_ms=%" G_GINT64_FORMAT "\n",
          subject, name, t->sent, t->served, t->in_time, t->refused,
          t->returned, t->refused_after_return, t->early, t->lost,
          percentile_ms (t, 50), percentile_ms (t, 99));
}

/* Prints all tallies.  Returns the number of lost requests. */
static guint
print_report (void)
{
  static const char *const behaviour_names[N_BEHAVIOURS]
      = { "as-told", "early" };
  guint n_lost = 0;

  for (guint i = 0; i < kinds->len; i++)
    {
      const Kind *k = kinds->pdata[i];

      print_tally ("kind", k->name, &k->tally);
      n_lost += k->tally.lost;
    }
  for (guint i = 0; early_part > 0 && i < N_BEHAVIOURS; i++)
    print_tally ("returns", behaviour_names[i], &behaviour_tallies[i]);
  for (guint i = 0; i < n_gateways; i++)
    print_tally ("gateway", gateways[i]->record.addr, &gateway_tallies[i]);
  if (n_lost)
    fprintf (stderr, "comfrey-callers: %u lost requests, last failure: %s\n",
             n_lost, last_failure);
  return n_lost;
}

static void
clear_tally (Tally *t)
{
  if (t->latencies_ms)
    g_array_unref (t->latencies_ms);
}

static void
free_state (void)
{
  for (guint i = 0; i < kinds->len; i++)
    {
      Kind *k = kinds->pdata[i];

      clear_tally (&k->tally);
      g_free (k->name);
      g_free (k->path);
      g_free (k->key);
      g_free (k);
    }
  g_ptr_array_free (kinds, TRUE);
  for (guint i = 0; i < n_gateways; i++)
    clear_tally (&gateway_tallies[i]);
  for (guint i = 0; i < N_BEHAVIOURS; i++)
    clear_tally (&behaviour_tallies[i]);
  g_free (gateway_tallies);
  g_free (weights);
  g_rand_free (rng);
}

int
callers_load_run (struct ev_loop *l, CfTarget **targets, guint n,
                  const char *api_key)
{
  guint n_lost;

  loop = l;
  gateways = targets;
  n_gateways = n;
  default_key = api_key;
  rng = g_rand_new_with_seed ((guint32)seed);
  run_number = g_random_int ();
  gateway_tallies = g_new0 (Tally, n);
  start_us = g_get_monotonic_time ();
  next_arrival_s = draw_arrival_after (0);
  ev_timer_init (&arrival_timer, on_arrival_timer, 0, 0);
  ev_timer_start (loop, &arrival_timer);
  ev_run (loop, 0);
  n_lost = print_report ();
  free_state ();
  return n_lost > 0;
}
