/*
 * A load generator: sends the requests of a session file to entries, or
 * directly to a target to measure the latency that the entries and agents
 * add.  It checks that every answer belongs to its request and that no call of
 * a plain service ran twice, and prints the totals.
 */
#include "daemon.h"
#include "http-client.h"
#include "net.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

static char *session_path;
static char **entry_urls;
static char **service_urls;
static char *direct_url;
static gint threads = 8;
static gint repeat = 1;

typedef struct
{
  json_t *requests;
  gint next_request;
  pthread_mutex_t lock;
  GArray *latencies_ms;
  gint64 answered, refused, lost, wrong_answers;
} Session;

/* Returns whether @reply is a complete answer with its request's prompt or
 * note.  If it has another, it answers another request.  The stand-ins answer
 * with objects: a string is part of one, as an entry passes it on. */
static gboolean
is_own_answer (json_t *req, const char *reply)
{
  json_t *body = json_object_get (req, "body");
  const char *marker = json_string_value (json_object_get (body, "prompt"));
  json_t *r = json_loads (reply, 0, NULL);
  json_t *answer = direct_url ? r : json_object_get (r, "answer");
  g_autofree char *text = NULL;
  gboolean found;

  if (marker == NULL)
    marker = json_string_value (json_object_get (body, "note"));
  text = json_is_object (answer) ? json_dumps (answer, 0) : NULL;
  found = marker && text && strstr (text, marker) != NULL;
  json_decref (r);
  return found;
}

static void *
run_caller (void *data)
{
  Session *session = data;

  for (;;)
    {
      g_autofree char *url = NULL;
      g_autofree char *body = NULL;
      g_autofree char *reply = NULL;
      gint64 start_us;
      json_t *req;
      long code = 0;
      double ms;
      gint i;

      pthread_mutex_lock (&session->lock);
      i = session->next_request++;
      pthread_mutex_unlock (&session->lock);
      if (i >= (gint)json_array_size (session->requests) * repeat)
        return NULL;
      req = json_array_get (session->requests,
                            i % json_array_size (session->requests));
      if (direct_url)
        {
          url = g_strdup_printf ("%s/v1/generate", direct_url);
          body = json_dumps (json_object_get (req, "body"), JSON_COMPACT);
        }
      else
        {
          json_t *e = json_object_get (req, "entry");
          gint n = (gint)g_strv_length (entry_urls);

          url = g_strdup_printf ("%s/v1/requests",
                                 entry_urls[(json_integer_value (e)) % n]);
          body = json_dumps (req, JSON_COMPACT);
        }
      start_us = g_get_monotonic_time ();
      if (cf_http_call ("POST", url, body, NULL, 60000, &code, &reply) != CF_OK)
        code = 0;
      ms = (double)(g_get_monotonic_time () - start_us) / 1000.0;
      pthread_mutex_lock (&session->lock);
      g_array_append_val (session->latencies_ms, ms);
      if (code == 0)
        session->lost++;
      else if (code == 200 && is_own_answer (req, reply))
        session->answered++;
      else if (code == 200)
        session->wrong_answers++;
      else
        session->refused++;
      pthread_mutex_unlock (&session->lock);
    }
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* Returns the number of idempotency keys that ran more than once, or -1 on
 * failure. */
static gint64
count_doubled_keys (void)
{
  gint64 doubled = 0;

  for (char **s = service_urls; s && *s; s++)
    {
      g_autofree char *url = g_strdup_printf ("%s/test/counts", *s);
      g_autofree char *reply = NULL;
      const char *key;
      json_t *o;
      json_t *v;
      long code = 0;

      if (cf_http_call ("GET", url, NULL, NULL, 5000, &code, &reply) != CF_OK)
        {
          fprintf (stderr, "comfrey-load: %s\n", cf_last_error ());
          return -1;
        }
      o = json_loads (reply, 0, NULL);
      if (code != 200 || !json_is_object (o))
        {
          fprintf (stderr, "comfrey-load: %s: status %ld, no counts in '%s'\n",
                   url, code, reply);
          json_decref (o);
          return -1;
        }
      json_object_foreach (o, key, v) if (json_integer_value (v) > 1) doubled++;
      json_decref (o);
    }
  return doubled;
}

int
main (int argc, char **argv)
{
  GOptionEntry opts[] = {
    { "session", 0, 0, G_OPTION_ARG_FILENAME, &session_path,
      "Requests to send, one JSON object per line", "FILE" },
    { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &entry_urls,
      "Base URL of an entry (may be repeated)", "URL" },
    { "service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &service_urls,
      "Base URL of a fake service, to count calls that ran twice", "URL" },
    { "direct", 0, 0, G_OPTION_ARG_STRING, &direct_url,
      "Send the request bodies directly to this engine instead", "URL" },
    { "threads", 0, 0, G_OPTION_ARG_INT, &threads,
      "Number of concurrent callers", "N" },
    { "repeat", 0, 0, G_OPTION_ARG_INT, &repeat, "Send the session N times",
      "N" },
    { NULL },
  };
  int rc;
  g_autoptr (GError) err = NULL;
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  g_autofree pthread_t *tids = NULL;
  Session session = { 0 };
  gint64 doubled;
  double p50_ms = 0, p99_ms = 0;

  rc = cf_daemon_parse_options (
      &argc, &argv, "comfrey-load",
      "Sends the requests of a session and prints one line: "
      "answered refused lost doubled p99_ms.",
      opts);
  if (rc >= 0)
    return rc;
  if (!session_path || (!entry_urls && !direct_url) || threads < 1
      || repeat < 1)
    {
      fprintf (stderr, "comfrey-load: give --session and --entry or --direct "
                       "(try --help)\n");
      return 2;
    }
  if (!g_file_get_contents (session_path, &text, NULL, &err))
    {
      fprintf (stderr, "comfrey-load: %s\n", err->message);
      return 2;
    }
  session.requests = json_array ();
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l; l++)
    if (**l && **l != '#')
      json_array_append_new (session.requests, json_loads (*l, 0, NULL));
  session.latencies_ms = g_array_new (FALSE, FALSE, sizeof (double));
  pthread_mutex_init (&session.lock, NULL);
  tids = g_new (pthread_t, threads);
  for (gint i = 0; i < threads; i++)
    pthread_create (&tids[i], NULL, run_caller, &session);
  for (gint i = 0; i < threads; i++)
    pthread_join (tids[i], NULL);

  g_array_sort (session.latencies_ms, compare_doubles);
  if (session.latencies_ms->len)
    {
      p50_ms = g_array_index (session.latencies_ms, double,
                              session.latencies_ms->len / 2);
      p99_ms = g_array_index (session.latencies_ms, double,
                              (session.latencies_ms->len * 99) / 100);
    }
  doubled = count_doubled_keys ();
  printf ("answered=%" G_GINT64_FORMAT " refused=%" G_GINT64_FORMAT
          " lost=%" G_GINT64_FORMAT " doubled=%" G_GINT64_FORMAT
          " p99_ms=%.0f\n",
          session.answered, session.refused,
          session.lost + session.wrong_answers, doubled, p99_ms);
  fprintf (stderr,
           "comfrey-load: requests=%u p50_ms=%.2f p99_ms=%.2f "
           "wrong_answers=%" G_GINT64_FORMAT "\n",
           session.latencies_ms->len, p50_ms, p99_ms, session.wrong_answers);
  return session.lost + session.wrong_answers + (doubled != 0) ? 1 : 0;
}
