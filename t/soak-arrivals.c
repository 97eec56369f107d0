/*
 * Checks which requests reached targets that had asked a gateway for a pause,
 * or had told it that they leave.
 */
#include "platform-harness.h"
#include "retry-windows.h"
#include "soak.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/** Requests that may reach a target from a gateway during a pause, not counting
 * the first PAUSE_SLACK_MS. */
#define PAUSE_REQUESTS_MAX 2
#define PAUSE_SLACK_MS 500
/** Time after an answer that says that its target leaves, from which on
 * callers' requests are not sent there. */
#define DRAIN_MS 2000

/** Window: a time in which a data centre or a target was to get no, or few,
 * requests. */
typedef struct
{
  int key; /**< data centre, or port of the target */
  gint64 from_ms;
  gint64 to_ms;
} Window;

static GArray *evacuations; /* of Window */
static GArray *colds;       /* of Window */

/** Arrival: a request that reached a target. */
typedef struct
{
  const char *id;
  const char *instance;
  gint64 at_ms;
  double pause_s;
  gboolean leaving;
  SoakRequestInfo request;
} Arrival;

/* FALSE if no caller's record names the gateway that sent it. */
static gboolean
read_arrival (const json_t *o, Arrival *a)
{
  a->id = json_string_value (json_object_get (o, "id"));
  a->instance = json_string_value (json_object_get (o, "instance"));
  a->at_ms = json_integer_value (json_object_get (o, "at-ms"));
  a->pause_s = json_real_value (json_object_get (o, "pause-s"));
  a->leaving = json_is_true (json_object_get (o, "leaving"));
  return soak_lookup_request (a->id, &a->request);
}

/* Whether @a and the later @b came from the same run of one gateway. */
static gboolean
is_same_sender (const Arrival *a, const Arrival *b)
{
  return a->request.gateway == b->request.gateway
         && !soak_was_gateway_disturbed (a->request.gateway, a->at_ms,
                                         b->at_ms);
}

/** The services of the stand-in's routes: that of the ranks, and the plain one.
 */
#define N_SERVICES 2

static RetryWindows *retries[N_SERVICES];

static RetryWindows *
get_retries (SoakRequestClass class)
{
  RetryWindows **w = &retries[class == SOAK_STREAM];

  if (!*w)
    *w = retry_windows_new (SOAK_RETRY_RATIO, SOAK_RETRY_SLACK,
                            SOAK_RETRY_WINDOW_MS);
  return *w;
}

static void
add_request (const SoakRequestInfo *r)
{
  retry_windows_add_request (get_retries (r->class), r->sent_ms);
}

void
soak_check_retries (void)
{
  soak_foreach_request (add_request);
  for (int i = 0; i < N_SERVICES; i++)
    {
      RetryWindow worst;

      if (!retries[i] || !retry_windows_find_worst (retries[i], &worst))
        continue;
      printf ("  worst retry window repeats=%u requests=%u\n", worst.n_repeats,
              worst.n_requests);
      if (worst.excess > 0)
        soak_report_violation (
            "retry-budget", "%u repeats for %u requests from %" G_GINT64_FORMAT,
            worst.n_repeats, worst.n_requests, worst.from_ms);
    }
}

/* Checks what reached the target after @all[@first], whose answer asked for a
 * pause. */
static void
check_pause (const GArray *all, guint first)
{
  const Arrival *a = &g_array_index (all, Arrival, first);
  gint64 end_ms = a->at_ms + (gint64)(a->pause_s * 1000);
  int n = 0;

  for (guint i = first + 1; i < all->len; i++)
    {
      const Arrival *b = &g_array_index (all, Arrival, i);

      n += b->at_ms > a->at_ms + PAUSE_SLACK_MS && b->at_ms < end_ms
           && strcmp (a->instance, b->instance) == 0 && is_same_sender (a, b);
    }
  if (n > PAUSE_REQUESTS_MAX)
    soak_report_violation ("pause",
                           "%s asked gateway %d for %.1f s at %" G_GINT64_FORMAT
                           " and got %d requests",
                           a->instance, a->request.gateway, a->pause_s,
                           a->at_ms, n);
}

/* Checks what reached the target after @all[@first], whose answer said that it
 * leaves. */
static void
check_leaving (const GArray *all, guint first)
{
  const Arrival *a = &g_array_index (all, Arrival, first);

  if (!a->request.end_ms)
    return;
  for (guint i = first + 1; i < all->len; i++)
    {
      const Arrival *b = &g_array_index (all, Arrival, i);

      if (b->request.sent_ms <= a->request.end_ms + DRAIN_MS
          || strcmp (a->instance, b->instance) != 0 || !is_same_sender (a, b))
        continue;
      soak_report_violation (
          "leaving", "id=%s reached %s, which had told gateway %d at id=%s",
          b->id, a->instance, a->request.gateway, a->id);
      return;
    }
}

void
soak_check_arrivals (int target_port)
{
  g_autofree char *text
      = p_call_standin (target_port, "GET /test/arrivals", "");
  json_t *list = json_loads (text, 0, NULL);
  GArray *all = g_array_new (FALSE, FALSE, sizeof (Arrival));
  const json_t *o;
  size_t i;

  json_array_foreach (list, i, o)
  {
    Arrival a;

    if (!read_arrival (o, &a))
      continue;
    g_array_append_val (all, a);
    retry_windows_add_attempt (get_retries (a.request.class), a.id, a.at_ms);
  }
  for (guint k = 0; k < all->len; k++)
    {
      const Arrival *a = &g_array_index (all, Arrival, k);

      if (a->pause_s > 0)
        check_pause (all, k);
      if (a->leaving)
        check_leaving (all, k);
    }
  g_array_unref (all);
  json_decref (list);
}

static void
add_window (GArray **windows, int key, gint64 from_ms, gint64 to_ms)
{
  Window w = { key, from_ms, to_ms };

  if (!*windows)
    *windows = g_array_new (FALSE, FALSE, sizeof w);
  g_array_append_val (*windows, w);
}

void
soak_record_evacuation (int dc, gint64 from_ms, gint64 to_ms)
{
  add_window (&evacuations, dc, from_ms, to_ms);
}

void
soak_record_cold (int target_port, gint64 from_ms, gint64 to_ms)
{
  add_window (&colds, target_port, from_ms, to_ms);
}

/* The stand-in places targets by turns; the last plain target is listed by
 * hand, in the first data centre. */
int
soak_target_dc (int n)
{
  return n == SOAK_N_PLAIN_TARGETS - 1 ? 1 : 1 + n % 2;
}

/* Returns how many requests arrived from @from_ms on, before @to_ms. */
static int
count_arrivals (const json_t *list, gint64 from_ms, gint64 to_ms)
{
  const json_t *o;
  size_t i;
  int n = 0;

  json_array_foreach (list, i, o)
  {
    gint64 at = json_integer_value (json_object_get (o, "at-ms"));

    n += at >= from_ms && at < to_ms;
  }
  return n;
}

static void
check_evacuations (const json_t *list, int n)
{
  for (guint i = 0; evacuations && i < evacuations->len; i++)
    {
      const Window *w = &g_array_index (evacuations, Window, i);
      int got = count_arrivals (list, w->from_ms, w->to_ms);

      if (w->key == soak_target_dc (n) && got > 0)
        soak_report_violation ("evacuation",
                               "target %d in dc%d got %d requests from "
                               "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                               n, w->key, got, w->from_ms, w->to_ms);
    }
}

static void
check_colds (const json_t *list, int port)
{
  for (guint i = 0; colds && i < colds->len; i++)
    {
      const Window *w = &g_array_index (colds, Window, i);

      for (gint64 t = w->from_ms; w->key == port && t + 1000 <= w->to_ms;
           t += 100)
        if (count_arrivals (list, t, t + 1000) > SOAK_COLD_MAX_PER_S)
          {
            soak_report_violation ("cold",
                                   "the cold target at port %d got %d requests "
                                   "in the second from %" G_GINT64_FORMAT " on",
                                   port, count_arrivals (list, t, t + 1000), t);
            return;
          }
    }
}

void
soak_check_placement (int n, int target_port)
{
  g_autofree char *text
      = p_call_standin (target_port, "GET /test/arrivals", "");
  json_t *list = json_loads (text, 0, NULL);

  check_evacuations (list, n);
  check_colds (list, target_port);
  json_decref (list);
}
