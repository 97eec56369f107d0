/*
 * The load and experiment tool: plays a session of requests against
 * entries (or straight at a target, to measure what the path adds) and
 * prints what callers received, checked against what they sent and what
 * the plain services counted.
 */
#include "daemon.h"
#include "http-client.h"
#include "net.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

static char *session_path;
static char **entries;
static char **services;
static char *direct;
static gint threads = 8;
static gint repeat = 1;

typedef struct
{
  json_t *reqs;
  gint next;
  pthread_mutex_t lock;
  GArray *ms;
  gint64 answered, refused, lost, wrong;
} Run;

/* An answer is the caller's own only if it carries the caller's marker. */
static gboolean
is_own (json_t *req, const char *reply)
{
  json_t *body = json_object_get (req, "body");
  const char *marker = json_string_value (json_object_get (body, "prompt"));
  json_t *r = json_loads (reply, 0, NULL);
  g_autofree char *text = NULL;
  gboolean own;

  if (marker == NULL)
    marker = json_string_value (json_object_get (body, "note"));
  text = json_dumps (json_object_get (r, "answer"), JSON_ENCODE_ANY);
  own = marker && text && strstr (text, marker) != NULL;
  json_decref (r);
  return own;
}

static void *
player (void *data)
{
  Run *run = data;

  for (;;)
    {
      g_autofree char *url = NULL;
      g_autofree char *body = NULL;
      g_autofree char *reply = NULL;
      gint64 t0;
      json_t *req;
      long code = 0;
      double ms;
      gint i;

      pthread_mutex_lock (&run->lock);
      i = run->next++;
      pthread_mutex_unlock (&run->lock);
      if (i >= (gint)json_array_size (run->reqs) * repeat)
        return NULL;
      req = json_array_get (run->reqs, i % json_array_size (run->reqs));
      if (direct)
        {
          url = g_strdup_printf ("%s/v1/generate", direct);
          body = json_dumps (json_object_get (req, "body"), JSON_COMPACT);
        }
      else
        {
          json_t *e = json_object_get (req, "entry");
          gint n = (gint)g_strv_length (entries);

          url = g_strdup_printf ("%s/v1/requests",
                                 entries[(json_integer_value (e)) % n]);
          body = json_dumps (req, JSON_COMPACT);
        }
      t0 = g_get_monotonic_time ();
      if (cf_http_call ("POST", url, body, NULL, 60000, &code, &reply) != CF_OK)
        code = 0;
      ms = (double)(g_get_monotonic_time () - t0) / 1000.0;
      pthread_mutex_lock (&run->lock);
      g_array_append_val (run->ms, ms);
      if (code == 0)
        run->lost++;
      else if (code == 200 && (direct || is_own (req, reply)))
        run->answered++;
      else if (code == 200)
        run->wrong++;
      else
        run->refused++;
      pthread_mutex_unlock (&run->lock);
    }
}

static int
compare_double (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static gint64
doubled_calls (void)
{
  gint64 doubled = 0;

  for (char **s = services; s && *s; s++)
    {
      g_autofree char *url = g_strdup_printf ("%s/test/counts", *s);
      g_autofree char *reply = NULL;
      const char *key;
      json_t *o;
      json_t *v;
      long code;

      if (cf_http_call ("GET", url, NULL, NULL, 5000, &code, &reply) != CF_OK)
        {
          fprintf (stderr, "comfrey-load: %s\n", cf_last_error ());
          return -1;
        }
      o = json_loads (reply, 0, NULL);
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
      "Requests to play, one JSON object a line", "FILE" },
    { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &entries,
      "An entry's base URL (repeat for several)", "URL" },
    { "service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &services,
      "A fake service's base URL, to count doubled calls", "URL" },
    { "direct", 0, 0, G_OPTION_ARG_STRING, &direct,
      "Send request bodies straight to this engine instead", "URL" },
    { "threads", 0, 0, G_OPTION_ARG_INT, &threads, "Callers at once", "N" },
    { "repeat", 0, 0, G_OPTION_ARG_INT, &repeat, "Play the session N times",
      "N" },
    { NULL },
  };
  int rc;
  g_autoptr (GError) err = NULL;
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  g_autofree pthread_t *tids = NULL;
  Run run = { 0 };
  gint64 doubled;
  double p50 = 0, p99 = 0;

  rc = cf_daemon_parse_options (&argc, &argv, "comfrey-load",
                                "Plays a session and prints one line: "
                                "answered refused lost doubled p99_ms.",
                                opts);
  if (rc >= 0)
    return rc;
  if (!session_path || (!entries && !direct) || threads < 1 || repeat < 1)
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
  run.reqs = json_array ();
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l; l++)
    if (**l && **l != '#')
      json_array_append_new (run.reqs, json_loads (*l, 0, NULL));
  run.ms = g_array_new (FALSE, FALSE, sizeof (double));
  pthread_mutex_init (&run.lock, NULL);
  tids = g_new (pthread_t, threads);
  for (gint i = 0; i < threads; i++)
    pthread_create (&tids[i], NULL, player, &run);
  for (gint i = 0; i < threads; i++)
    pthread_join (tids[i], NULL);

  g_array_sort (run.ms, compare_double);
  if (run.ms->len)
    {
      p50 = g_array_index (run.ms, double, run.ms->len / 2);
      p99 = g_array_index (run.ms, double, (run.ms->len * 99) / 100);
    }
  doubled = doubled_calls ();
  printf ("answered=%" G_GINT64_FORMAT " refused=%" G_GINT64_FORMAT
          " lost=%" G_GINT64_FORMAT " doubled=%" G_GINT64_FORMAT
          " p99_ms=%.0f\n",
          run.answered, run.refused, run.lost + run.wrong, doubled, p99);
  fprintf (stderr,
           "comfrey-load: requests=%u p50_ms=%.2f p99_ms=%.2f "
           "wrong_answers=%" G_GINT64_FORMAT "\n",
           run.ms->len, p50, p99, run.wrong);
  return run.lost + run.wrong + (doubled != 0) ? 1 : 0;
}
