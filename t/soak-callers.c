/*
 * Callers that keep their connection open as long as the gateway does, and
 * check each answer.
 */
#include "platform-harness.h"
#include "soak.h"
#include "standins/fake-text.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** A caller's timeout for an answer: longer than the 800 ms timeout of the
 * routes for orders and quotes (the urgent and basic ones have 8 s), and much
 * longer than any stream takes. */
#define ANSWER_TIMEOUT_MS 4000
#define SIGNATURE "Comfreypost-Server-Signature: "
#define RETRY_AFTER "Retry-After: "
#define TOKENS_PER_EVENT 4
/** Callers use the routes of this many configuration versions, the newest
 * ones. */
#define VERSIONS_USED 3
/** Percentage of new connections that a skew sends to its gateway. */
#define SKEWED_PERCENT 90
/** One in this many refused callers returns at once. */
#define RETURN_AT_ONCE_EVERY 4
/** Times that the caller of a burst is refused until it gives up. */
#define REFUSALS_MAX 5
#define EVENTS_MIN 4
#define EVENTS_MAX 30

/** Caller: a thread that sends one request after another. */
typedef struct
{
  GThread *thread;
  int index;
  int serial;
  int gateway;        /**< from 1 */
  int fd;             /**< -1: not connected */
  int version;        /**< newest configuration version that a request on this
                         connection was served by */
  gint64 version_ms;  /**< when that version first served one */
  gboolean is_skewed; /**< connected to the gateway of a skew */
  int refused_by;     /**< gateway that a return avoids; 0: none */
  gulong return_us;   /**< how long the last refusal asked to wait */
  GRand *rand;
} Caller;

/** CallerRequest: a request of a caller. */
typedef struct
{
  SoakRequestClass class;
  char id[40];
  char method_and_path[80];
  const char *org;
  int events;
  int version; /**< the only configuration version that has this path; 0: all
                  have it */
} CallerRequest;

static const SoakPlan *plan;
static int base_port;
static GArray *callers;
static gint is_stopping;
static gint n_sent[SOAK_N_CLASSES];
static gint n_served[SOAK_N_CLASSES];
static gint n_usual; /* plain requests, those of bursts not counted */
static gint64 start_ms;

/* The skew or burst that callers follow now, or NULL. */
static const SoakFault *
current_load (SoakFaultKind kind)
{
  gint64 at_ms = soak_now_ms () - start_ms;

  for (guint i = 0; i < plan->faults->len; i++)
    {
      const SoakFault *f = &g_array_index (plan->faults, SoakFault, i);

      if (f->kind == kind && f->at_ms <= at_ms
          && at_ms < f->at_ms + f->duration_ms)
        return f;
    }
  return NULL;
}

/* The gateway that most callers prefer in a skew; in half of the skews it is
 * another one half way.  0: none. */
static int
draw_skewed_gateway (Caller *c)
{
  const SoakFault *f = current_load (SOAK_SKEW);
  gint64 half_ms = f ? start_ms + f->at_ms + f->duration_ms / 2 : 0;
  gboolean has_moved = f && f->variant % 2 && soak_now_ms () >= half_ms;

  if (!f || g_rand_int_range (c->rand, 0, 100) >= SKEWED_PERCENT)
    return 0;
  return 1 + (f->index + has_moved) % plan->gateways;
}

static void
disconnect (Caller *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
  c->version = 0;
}

/* Connects to a random gateway if the caller has no open connection; FALSE if
 * that fails.  Bytes received while no request is in progress are a
 * violation. */
static gboolean
ensure_connection (Caller *c)
{
  int skewed = draw_skewed_gateway (c);
  char byte;
  ssize_t n;

  if (skewed ? skewed != c->gateway : c->is_skewed)
    disconnect (c);
  if (c->fd >= 0)
    {
      n = recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n < 0 && errno == EAGAIN)
        return TRUE;
      if (n > 0)
        soak_report_violation (
            "own-answer", "caller=%d gateway=%d sent bytes without a request",
            c->index, c->gateway);
      disconnect (c);
    }
  c->gateway
      = skewed ? skewed : 1 + g_rand_int_range (c->rand, 0, plan->gateways);
  c->is_skewed = skewed != 0;
  if (c->gateway == c->refused_by)
    c->gateway = 1 + c->gateway % plan->gateways;
  c->fd = p_connect (soak_caller_port (base_port, c->gateway));
  return c->fd >= 0;
}

static void
assign_id (Caller *c, CallerRequest *r)
{
  g_snprintf (r->id, sizeof r->id, "s%u-%d-%d", plan->seed, c->index,
              c->serial++);
}

/* Requests of the urgent and basic routes come from two organisations, a
 * quarter of them from the small one. */
static void
generate_quote (Caller *c, CallerRequest *r)
{
  const char *route = r->class == SOAK_URGENT    ? "urgent"
                      : g_rand_boolean (c->rand) ? "basic"
                                                 : "quote";

  if (strcmp (route, "quote") != 0)
    r->org = g_rand_int_range (c->rand, 0, 4) == 0 ? "small" : "large";
  g_snprintf (r->method_and_path, sizeof r->method_and_path, "GET /%s/%s",
              route, r->id);
}

/* @n_classes: how many of the classes are drawn from */
static void
generate_request (Caller *c, CallerRequest *r, int n_classes)
{
  r->class = (SoakRequestClass)g_rand_int_range (c->rand, 0, n_classes);
  r->org = "museum";
  r->events = g_rand_int_range (c->rand, EVENTS_MIN, EVENTS_MAX);
  assign_id (c, r);
  switch (r->class)
    {
    case SOAK_QUOTE:
    case SOAK_URGENT:
      generate_quote (c, r);
      break;
    case SOAK_ORDER:
      g_snprintf (r->method_and_path, sizeof r->method_and_path,
                  "POST /order/%s", r->id);
      break;
    case SOAK_STREAM:
      g_snprintf (r->method_and_path, sizeof r->method_and_path,
                  "POST /chat/%s", r->id);
      break;
    case SOAK_VERSION:
      r->version = soak_newest_config ()
                   - g_rand_int_range (c->rand, 0, VERSIONS_USED);
      g_snprintf (r->method_and_path, sizeof r->method_and_path, "GET /v/%d/%s",
                  r->version, r->id);
      break;
    case SOAK_N_CLASSES:
      break;
    }
}

static const char *
request_body (const CallerRequest *r)
{
  return r->class == SOAK_ORDER ? r->id : "";
}

static char *
build_request (const CallerRequest *r)
{
  g_autofree char *token_count = g_strdup_printf (
      "Comfreypost-Token-Count: 10,%d\r\n", r->events * TOKENS_PER_EVENT);
  g_autofree char *request = p_build_request (
      r->method_and_path, r->id, r->class == SOAK_STREAM ? token_count : NULL,
      request_body (r));
  g_autofree char *key = g_strdup_printf ("Token key-%s", r->org);
  g_auto (GStrv) parts = g_strsplit (request, "Token key-museum", 2);

  return g_strjoinv (key, parts);
}

/* Decodes a body in chunked transfer encoding, up to the first malformed chunk.
 * Sets @ended if it ends with the last chunk.  NULL if bytes follow the last
 * chunk. */
static char *
decode_chunks (const char *pos, gboolean *ended)
{
  GString *s = g_string_new (NULL);
  const char *end = pos + strlen (pos);

  *ended = FALSE;
  while (pos < end)
    {
      char *data;
      gsize n = strtoul (pos, &data, 16);

      if (data == pos || !g_str_has_prefix (data, "\r\n"))
        break;
      data += 2;
      if (n == 0)
        {
          *ended = strcmp (data, "\r\n") == 0;
          if (!*ended && strlen (data) > 2)
            return g_string_free (s, TRUE);
          break;
        }
      g_string_append_len (s, data, (gssize)MIN (n, (gsize)(end - data)));
      pos = data + MIN (n + 2, (gsize)(end - data));
    }
  return g_string_free (s, FALSE);
}

/* The number of complete events in @body; -1 if they are not numbered 1, 2, 3
 * and so on. */
static int
count_events (const char *body)
{
  int n = 0;

  while (strstr (body, "\n\n"))
    {
      g_autofree char *expected
          = g_strdup_printf ("id: %d\ndata: token-%d\n\n", n + 1, n + 1);

      if (!g_str_has_prefix (body, expected))
        return -1;
      body += strlen (expected);
      n++;
    }
  return n;
}

/* Whether the stream is complete.  The events of an incomplete stream have to
 * be in order, too. */
static gboolean
check_stream (const CallerRequest *r, const char *body)
{
  gboolean ended;
  g_autofree char *text = decode_chunks (body, &ended);
  int n = text ? count_events (text) : -1;

  if (n < 0)
    soak_report_violation ("stream-order",
                           "id=%s events=%d, malformed stream: %s", r->id,
                           r->events, body);
  else if (ended && n != r->events)
    soak_report_violation ("stream-order", "id=%s ended after %d of %d events",
                           r->id, n, r->events);
  return ended && n == r->events;
}

static gboolean
check_plain (const CallerRequest *r, const char *head, const char *body)
{
  const char *content_length = strstr (head, "Content-Length: ");
  gsize n
      = content_length
            ? strtoul (content_length + strlen ("Content-Length: "), NULL, 10)
            : 0;
  g_autofree char *expected
      = g_strdup_printf (" %s org=%s key=hidden body=%s", r->method_and_path,
                         r->org, request_body (r));

  if (!content_length || strlen (body) < n)
    return FALSE;
  if (strlen (body) > n || !g_str_has_prefix (body, "desk-")
      || !g_str_has_suffix (body, expected))
    soak_report_violation ("own-answer", "id=%s got: %s%s", r->id, head, body);
  return TRUE;
}

/* The target that signed the answer. */
static char *
read_signer (const char *head)
{
  const char *at = strstr (head, SIGNATURE);

  at = at ? at + strlen (SIGNATURE) : "";
  return g_strndup (at, strcspn (at, "\r"));
}

/* Whether the document is complete.  What was received of it has to be what its
 * one target sent. */
static gboolean
check_document (const CallerRequest *r, const char *head, const char *body,
                const char *signer)
{
  g_autofree char *whole = fake_text_make (signer, r->id, SOAK_DOCUMENT_BYTES);
  gboolean is_chunked = strstr (head, "Transfer-Encoding: chunked") != NULL;
  gboolean ended = strlen (body) == SOAK_DOCUMENT_BYTES;
  g_autofree char *text
      = is_chunked ? decode_chunks (body, &ended) : g_strdup (body);

  if (!text || !g_str_has_prefix (whole, text)
      || (ended && strcmp (text, whole) != 0))
    soak_report_violation ("own-answer",
                           "id=%s %zu bytes, ended=%d, are not those of %s",
                           r->id, text ? strlen (text) : 0, ended, signer);
  return ended;
}

static gboolean
is_document (const char *signer)
{
  return g_str_has_prefix (signer, "desk-")
         && atoi (signer + strlen ("desk-")) == SOAK_DOCUMENT_TARGET;
}

/* Whether an answer with status 200 is complete.  What was received of it has
 * to belong to this request. */
static gboolean
check_success (const CallerRequest *r, const char *answer)
{
  const char *end = strstr (answer, "\r\n\r\n");
  g_autofree char *expected
      = g_strdup_printf ("Comfreypost-Request-Id: %s\r\n", r->id);
  g_autofree char *head = NULL;
  g_autofree char *signer = NULL;

  if (!end)
    return FALSE;
  head = g_strndup (answer, (gsize)(end + 4 - answer));
  if (!strstr (head, expected)
      || !strstr (head, "Comfreypost-Server-Signature: "))
    soak_report_violation ("own-answer", "id=%s got: %s", r->id, head);
  if (r->class == SOAK_STREAM)
    return check_stream (r, end + 4);
  signer = read_signer (head);
  return is_document (signer) ? check_document (r, head, end + 4, signer)
                              : check_plain (r, head, end + 4);
}

/* Whether the status refuses a request that is valid in every configuration
 * version. */
static gboolean
is_wrong_refusal (const CallerRequest *r, int status)
{
  if (r->class == SOAK_VERSION && status == 404)
    return FALSE;
  return status >= 300 && status < 500 && status != 408 && status != 421
         && status != 429;
}

/* Checks that a gateway process does not go back to an older configuration
 * version.  The connection goes to one process as long as it is open. */
static void
check_version (Caller *c, const CallerRequest *r, gint64 sent_ms)
{
  if (r->version < c->version
      && sent_ms > c->version_ms + SOAK_VERSION_OVERLAP_MS)
    soak_report_violation ("config-back",
                           "id=%s gateway=%d version=%d after %d", r->id,
                           c->gateway, r->version, c->version);
  if (r->version <= c->version)
    return;
  c->version = r->version;
  c->version_ms = soak_now_ms ();
}

/* Checks and records what was received; TRUE if the connection can be used
 * again. */
static gboolean
take_answer (const CallerRequest *r, const char *answer, gboolean was_closed)
{
  int status = p_parse_status (answer);
  gboolean is_complete;

  /* Up to 12 bytes may be an incomplete status line. */
  if (*answer && !status && strlen (answer) > 12)
    soak_report_violation ("own-answer", "id=%s answer is not HTTP: %s", r->id,
                           answer);
  is_complete = status == 200 ? check_success (r, answer)
                              : strstr (answer, "\r\n\r\n") != NULL;
  if (is_complete)
    soak_record_answer (r->id, status);
  else if (was_closed)
    soak_record_close (r->id);
  if (is_complete && is_wrong_refusal (r, status))
    soak_report_violation ("not-denied", "id=%s status=%d", r->id, status);
  if (is_complete && status == 200)
    g_atomic_int_inc (&n_served[r->class]);
  return is_complete && !strstr (answer, "Connection: close");
}

/* The wait that a refusal asks for. */
static gulong
parse_return_us (const char *answer)
{
  const char *at = strstr (answer, RETRY_AFTER);

  at = at ? at + strlen (RETRY_AFTER) : "0";
  return (gulong)(g_ascii_strtod (at, NULL) * G_USEC_PER_SEC);
}

/* Sends the request and checks its answer; returns the status. */
static int
send_request (Caller *c, const CallerRequest *r)
{
  g_autofree char *request = NULL;
  g_autofree char *answer = NULL;
  gint64 sent_ms = soak_now_ms ();
  int status;

  request = build_request (r);
  g_atomic_int_inc (&n_sent[r->class]);
  soak_record_sent (r->id, r->class, c->gateway, r->version);
  p_send (c->fd, request);
  answer = p_read_answer (c->fd, ANSWER_TIMEOUT_MS);
  status = p_parse_status (answer);
  c->return_us = parse_return_us (answer);
  if (r->class == SOAK_VERSION && status == 200)
    check_version (c, r, sent_ms);
  if (!take_answer (r, answer, soak_now_ms () - sent_ms < ANSWER_TIMEOUT_MS))
    disconnect (c);
  return status;
}

/* Sends a plain request; if it is refused, returns with it at the time told or
 * at once, to another gateway. */
static void
send_until_served (Caller *c)
{
  CallerRequest r = { 0 };

  generate_request (c, &r, SOAK_URGENT + 1);
  for (int i = 0; i < REFUSALS_MAX && ensure_connection (c); i++)
    {
      int status = send_request (c, &r);

      if (status != 429 && status != 503)
        break;
      if (g_rand_int_range (c->rand, 0, RETURN_AT_ONCE_EVERY) != 0)
        g_usleep (c->return_us);
      c->refused_by = c->gateway;
      disconnect (c);
      assign_id (c, &r);
    }
  c->refused_by = 0;
  disconnect (c);
}

/* Sends plain requests in bursts: as often as a usual caller has done so far,
 * or up to twice as often. */
static gpointer
run_burst_caller (gpointer data)
{
  Caller *c = data;

  while (!g_atomic_int_get (&is_stopping))
    {
      const SoakFault *burst = current_load (SOAK_BURST);
      double factor = 1 + (burst ? burst->variant % 11 / 10.0 : 0);
      double usual_ms = (double)(soak_now_ms () - start_ms) * plan->callers
                        / (1 + g_atomic_int_get (&n_usual));

      g_usleep (
          (gulong)g_rand_double_range (c->rand, 0, 2000 * usual_ms / factor));
      if (current_load (SOAK_BURST))
        send_until_served (c);
    }
  g_rand_free (c->rand);
  return NULL;
}

static gpointer
run_caller (gpointer data)
{
  Caller *c = data;

  while (!g_atomic_int_get (&is_stopping))
    {
      CallerRequest r = { 0 };

      if (ensure_connection (c))
        {
          generate_request (c, &r, SOAK_N_CLASSES);
          g_atomic_int_add (&n_usual, r.class != SOAK_STREAM);
          send_request (c, &r);
        }
      g_usleep ((gulong)g_rand_int_range (c->rand, 5, 40) * 1000);
    }
  disconnect (c);
  g_rand_free (c->rand);
  return NULL;
}

void
soak_callers_start (const SoakPlan *p, int base)
{
  plan = p;
  base_port = base;
  callers = g_array_new (FALSE, TRUE, sizeof (Caller));
  start_ms = soak_now_ms ();
  /* As many callers again send only in bursts. */
  g_array_set_size (callers, 2 * (guint)p->callers);
  for (int i = 0; i < 2 * p->callers; i++)
    {
      Caller *c = &g_array_index (callers, Caller, i);

      c->index = i;
      c->fd = -1;
      c->rand = g_rand_new_with_seed (p->seed * 1000 + (guint32)i);
      c->thread = g_thread_new (
          "caller", i < p->callers ? run_caller : run_burst_caller, c);
    }
}

/* Waits a second; whether a quarter of the requests of each class but
 * SOAK_VERSION was served in it. */
static gboolean
is_served_in_next_second (void)
{
  gint sent[SOAK_N_CLASSES];
  gint served[SOAK_N_CLASSES];
  gboolean is_served = TRUE;

  for (int i = 0; i < SOAK_VERSION; i++)
    {
      sent[i] = g_atomic_int_get (&n_sent[i]);
      served[i] = g_atomic_int_get (&n_served[i]);
    }
  g_usleep (G_USEC_PER_SEC);
  for (int i = 0; i < SOAK_VERSION; i++)
    {
      gint n = g_atomic_int_get (&n_sent[i]) - sent[i];

      is_served
          &= n > 0 && (g_atomic_int_get (&n_served[i]) - served[i]) * 4 >= n;
    }
  return is_served;
}

void
soak_callers_wait_for_recovery (void)
{
  gint64 deadline_ms = soak_now_ms () + SOAK_RECOVERY_MS;

  while (!is_served_in_next_second ())
    if (soak_now_ms () > deadline_ms)
      {
        soak_report_violation ("recovery",
                               "callers are not served again within %d ms",
                               SOAK_RECOVERY_MS);
        return;
      }
}

void
soak_callers_stop (SoakResult *r)
{
  g_atomic_int_set (&is_stopping, 1);
  for (guint i = 0; i < callers->len; i++)
    g_thread_join (g_array_index (callers, Caller, i).thread);
  for (int i = 0; i < SOAK_N_CLASSES; i++)
    {
      r->requests += (guint)n_sent[i];
      r->served += (guint)n_served[i];
    }
  g_array_free (callers, TRUE);
}
