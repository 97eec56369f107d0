/*
 * A stand-in for a model engine group: ranks that run lock-step passes on an
 * expert map (fake-ranks.c).  In each pass every running request generates
 * one token, which is routed to an expert at random, weighted by a skewed
 * popularity.  A pass takes as long as the most loaded rank needs.  Like a
 * real engine, it serves HTTP.
 */
#include "daemon.h"
#include "fake-break.h"
#include "fake-ranks.h"
#include "http-server.h"
#include "log.h"
#include "net.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const char defaults[] = "[engine]\n"
                               "listen = \"127.0.0.1:7201\"\n"
                               "ranks = 8\n"
                               "experts = 128\n"
                               "places = 0\n"
                               "copy_ms = 10\n"
                               "weights_url = \"off\"\n"
                               "expert_mb = 24\n"
                               "batch_max = 64\n"
                               "step_base_us = 2000\n"
                               "step_per_token_us = 100\n"
                               "load_lag_ms = 500\n"
                               "check_fence = true\n"
                               "seed = 1\n";

/* One generation request. */
typedef struct Generation
{
  struct Generation *next; /* in the waiting queue or the batch */
  guint64 seq;
  char *request_id; /* the caller's X-Request-Id, for /v1/cancel */
  char *prompt;
  gint64 priority;
  int max_tokens;
  int tokens; /* generated so far */
  gboolean done;
  gboolean cancelled;
} Generation;

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t pass_done;
  pthread_cond_t work_added;
  Generation *waiting;
  Generation *batch;
  GHashTable *by_request_id; /* request ID -> Generation, waiting or running */
  GHashTable *seen_prompts;  /* every prompt received, for tests */
  int running;
  guint64 seq;
  FakeRanks ranks;
  double *cumulative_popularity; /* most popular expert first; ends with 1 */
  gint64 hottest_expert;
  GRand *rand;
  gint64 highest_fence;
  gint64 batch_max, pass_base_us, pass_us_per_token, load_lag_ms, n_ranks,
      experts, places, copy_ms;
  gboolean check_fence;
  char *listen;
  char *weights_url; /* URL of the weight store, or "off" */
  gint64 expert_mb;
  gint64 seed;
  int reported_running;  /* @running as of the last report */
  double *expert_tokens; /* tokens routed to each expert since the start */
  double *reported_expert_tokens; /* @expert_tokens as of the last report */
  long long reported_at_ms;
} Engine;

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "engine", "listen", offsetof (Engine, listen), 0, 0 },
  { CF_SETTING_INT, "engine", "ranks", offsetof (Engine, n_ranks), 1, 1024 },
  { CF_SETTING_INT, "engine", "experts", offsetof (Engine, experts), 1, 4096 },
  { CF_SETTING_INT, "engine", "places", offsetof (Engine, places), 0, 4096 },
  { CF_SETTING_INT, "engine", "copy_ms", offsetof (Engine, copy_ms), 0, 60000 },
  { CF_SETTING_STRING, "engine", "weights_url", offsetof (Engine, weights_url),
    0, 0 },
  { CF_SETTING_INT, "engine", "expert_mb", offsetof (Engine, expert_mb), 1,
    100000 },
  { CF_SETTING_INT, "engine", "batch_max", offsetof (Engine, batch_max), 1,
    4096 },
  { CF_SETTING_INT, "engine", "step_base_us", offsetof (Engine, pass_base_us),
    0, 1000000 },
  { CF_SETTING_INT, "engine", "step_per_token_us",
    offsetof (Engine, pass_us_per_token), 0, 100000 },
  { CF_SETTING_INT, "engine", "load_lag_ms", offsetof (Engine, load_lag_ms), 0,
    60000 },
  { CF_SETTING_BOOL, "engine", "check_fence", offsetof (Engine, check_fence), 0,
    0 },
  { CF_SETTING_INT, "engine", "seed", offsetof (Engine, seed), 0, G_MAXINT32 },
};

static Engine engine;

static void
admit_waiting (void)
{
  while (engine.waiting && engine.running < engine.batch_max)
    {
      Generation *g = engine.waiting;

      engine.waiting = g->next;
      g->next = engine.batch;
      engine.batch = g;
      engine.running++;
    }
}

static int
pick_expert (void)
{
  double u = g_rand_double (engine.rand);
  int lo = 0;
  int hi = (int)engine.experts - 1;

  while (lo < hi)
    {
      int mid = (lo + hi) / 2;

      if (engine.cumulative_popularity[mid] < u)
        lo = mid + 1;
      else
        hi = mid;
    }
  return (lo + (int)engine.hottest_expert) % (int)engine.experts;
}

/* Updates the load report if it is older than load_lag_ms, also when no pass
 * begins.  The caller holds the lock. */
static void
refresh_report (void)
{
  if (cf_now_ms () - engine.reported_at_ms < engine.load_lag_ms)
    return;
  engine.reported_running = engine.running;
  memcpy (engine.reported_expert_tokens, engine.expert_tokens,
          sizeof *engine.expert_tokens * engine.experts);
  engine.reported_at_ms = cf_now_ms ();
}

static void *
run_passes (void *unused)
{
  g_autofree double *tokens = g_new0 (double, engine.experts);
  g_autofree double *load = g_new0 (double, engine.n_ranks);

  for (;;)
    {
      const CfExpertMap *map;
      gint64 stall_ms;
      double slowest;

      pthread_mutex_lock (&engine.lock);
      while (engine.batch == NULL && engine.waiting == NULL)
        pthread_cond_wait (&engine.work_added, &engine.lock);
      map = fake_ranks_begin_pass (&engine.ranks, &stall_ms);
      admit_waiting ();
      memset (tokens, 0, sizeof *tokens * engine.experts);
      for (Generation *g = engine.batch; g; g = g->next)
        {
          int e = pick_expert ();

          tokens[e]++;
          engine.expert_tokens[e]++;
        }
      slowest = cf_expert_map_compute_load (map, tokens, load);
      engine.ranks.slowest_tokens += slowest;
      engine.ranks.mean_tokens
          += (double)engine.running / (double)engine.n_ranks;
      pthread_mutex_unlock (&engine.lock);

      usleep (engine.pass_base_us
              + (gint64)((double)engine.pass_us_per_token * slowest)
              + stall_ms * 1000);

      pthread_mutex_lock (&engine.lock);
      for (Generation **p = &engine.batch; *p;)
        {
          Generation *g = *p;

          if (!g->cancelled)
            g->tokens++;
          if (g->tokens >= g->max_tokens || g->cancelled)
            {
              *p = g->next;
              g->done = TRUE;
              engine.running--;
              continue;
            }
          p = &g->next;
        }
      refresh_report ();
      pthread_cond_broadcast (&engine.pass_done);
      pthread_mutex_unlock (&engine.lock);
    }
  return NULL;
}

/* Orders by priority, highest first, and then by arrival. */
static void
enqueue (Generation *g)
{
  Generation **p = &engine.waiting;

  while (*p && (*p)->priority >= g->priority)
    p = &(*p)->next;
  g->next = *p;
  *p = g;
}

static void
handle_generate (const CfHttpRequest *req, CfHttpReply *rep)
{
  json_t *o = json_loads (req->body, 0, NULL);
  const char *prompt = json_string_value (json_object_get (o, "prompt"));
  json_t *max_tokens = json_object_get (o, "max_tokens");
  const char *priority = cf_http_header (req, "X-Comfrey-Priority");
  const char *request_id = cf_http_header (req, "X-Request-Id");
  const char *remaining = cf_http_header (req, "X-Comfrey-Deadline-Ms");
  long long deadline_ms
      = remaining ? cf_now_ms () + g_ascii_strtoll (remaining, NULL, 10)
                  : G_MAXINT64;
  struct timespec ts;
  gint64 map_version;
  Generation g = { 0 };
  json_t *r;

  if (prompt == NULL)
    {
      cf_http_reply_error (rep, 400, "bad-request",
                           "'prompt' must be a string");
      json_decref (o);
      return;
    }
  g.prompt = g_strdup (prompt);
  g.max_tokens = json_is_integer (max_tokens)
                     ? CLAMP (json_integer_value (max_tokens), 1, 4096)
                     : 8;
  g.priority = priority ? g_ascii_strtoll (priority, NULL, 10) : 0;
  json_decref (o);

  pthread_mutex_lock (&engine.lock);
  g.seq = ++engine.seq;
  g_hash_table_add (engine.seen_prompts, g_strdup (g.prompt));
  g.request_id = request_id ? g_strdup (request_id) : NULL;
  if (g.request_id)
    g_hash_table_insert (engine.by_request_id, g.request_id, &g);
  enqueue (&g);
  pthread_cond_signal (&engine.work_added);
  while (!g.done)
    {
      /* Stop at the next pass after the deadline: no caller waits any more. */
      if (cf_now_ms () >= deadline_ms)
        g.cancelled = TRUE;
      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_sec += 1;
      pthread_cond_timedwait (&engine.pass_done, &engine.lock, &ts);
    }
  if (g.request_id)
    g_hash_table_remove (engine.by_request_id, g.request_id);
  map_version = fake_ranks_map_version (&engine.ranks);
  pthread_mutex_unlock (&engine.lock);

  if (g.cancelled)
    r = json_pack ("{s:s, s:i}", "error", "cancelled", "tokens", g.tokens);
  else
    r = json_pack ("{s:s, s:i, s:I}", "text", g.prompt, "tokens", g.tokens,
                   "map_version", (json_int_t)map_version);
  rep->code = g.cancelled ? 499 : 200;
  rep->body = json_dumps (r, JSON_COMPACT);
  json_decref (r);
  g_free (g.prompt);
  g_free (g.request_id);
}

static void
handle_cancel (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *request_id = cf_http_query_arg (req, "request");
  Generation *g;

  pthread_mutex_lock (&engine.lock);
  g = request_id ? g_hash_table_lookup (engine.by_request_id, request_id)
                 : NULL;
  if (g)
    g->cancelled = TRUE;
  pthread_mutex_unlock (&engine.lock);
  rep->body = g_strdup_printf ("{\"cancelled\":%s}", g ? "true" : "false");
}

static void
handle_order (const CfHttpRequest *req, CfHttpReply *rep)
{
  json_t *o = json_loads (req->body, 0, NULL);
  json_t *f = json_object_get (o, "fence");
  gint64 fence = json_is_integer (f) ? json_integer_value (f) : 0;
  gboolean stale;

  pthread_mutex_lock (&engine.lock);
  stale = engine.check_fence && fence < engine.highest_fence;
  if (!stale)
    engine.highest_fence = MAX (engine.highest_fence, fence);
  pthread_mutex_unlock (&engine.lock);
  json_decref (o);
  if (stale)
    cf_http_reply_error (rep, 409, "stale-fence",
                         "the order's fencing token is older than one seen");
  else
    rep->body = g_strdup_printf (
        "{\"accepted\":true,\"fence\":%" G_GINT64_FORMAT "}", fence);
}

/* Returns every prompt received, so that a test can check that a request
 * reported as not run never reached the engine. */
static void
reply_seen_prompts (CfHttpReply *rep)
{
  json_t *a = json_array ();
  GHashTableIter it;
  gpointer k;

  pthread_mutex_lock (&engine.lock);
  g_hash_table_iter_init (&it, engine.seen_prompts);
  while (g_hash_table_iter_next (&it, &k, NULL))
    json_array_append_new (a, json_string (k));
  pthread_mutex_unlock (&engine.lock);
  rep->body = json_dumps (a, JSON_COMPACT);
  json_decref (a);
}

static void
reply_expert_counts (CfHttpReply *rep)
{
  json_t *o;
  json_t *counts = json_array ();

  pthread_mutex_lock (&engine.lock);
  refresh_report ();
  for (gint64 e = 0; e < engine.experts; e++)
    json_array_append_new (
        counts, json_integer ((json_int_t)engine.reported_expert_tokens[e]));
  o = json_pack ("{s:I, s:o}", "step", (json_int_t)engine.ranks.pass, "counts",
                 counts);
  pthread_mutex_unlock (&engine.lock);
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
}

static int
count_unfinished (void)
{
  int n;

  pthread_mutex_lock (&engine.lock);
  n = engine.running;
  for (Generation *g = engine.waiting; g; g = g->next)
    n++;
  pthread_mutex_unlock (&engine.lock);
  return n;
}

/* Handles /test/drift?shift=N: makes expert N the most popular one. */
static void
shift_popularity (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *shift = cf_http_query_arg (req, "shift");

  pthread_mutex_lock (&engine.lock);
  engine.hottest_expert
      = shift ? g_ascii_strtoll (shift, NULL, 10) % engine.experts : 0;
  engine.hottest_expert = MAX (engine.hottest_expert, 0);
  pthread_mutex_unlock (&engine.lock);
  rep->body = g_strdup ("{\"ok\":true}");
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  if (fake_ranks_handle_http (&engine.ranks, req, count_unfinished (), rep))
    return;
  if (g_str_equal (req->path, "/v1/generate"))
    handle_generate (req, rep);
  else if (g_str_equal (req->path, "/v1/cancel"))
    handle_cancel (req, rep);
  else if (g_str_equal (req->path, "/v1/order"))
    handle_order (req, rep);
  else if (g_str_equal (req->path, "/test/seen"))
    reply_seen_prompts (rep);
  else if (g_str_equal (req->path, "/test/drift"))
    shift_popularity (req, rep);
  else if (g_str_equal (req->path, "/v1/picked"))
    reply_expert_counts (rep);
  else if (g_str_equal (req->path, "/v1/load"))
    {
      pthread_mutex_lock (&engine.lock);
      refresh_report ();
      rep->body = g_strdup_printf ("{\"running\":%d,\"steps\":%" G_GINT64_FORMAT
                                   ",\"map_version\":%" G_GINT64_FORMAT "}",
                                   engine.reported_running, engine.ranks.pass,
                                   fake_ranks_map_version (&engine.ranks));
      pthread_mutex_unlock (&engine.lock);
    }
  else
    cf_http_reply_error (rep, 404, "not-found",
                         "use /v1/generate, /v1/cancel, /v1/order, /v1/load, "
                         "/v1/picked or /v1/ranks/N/order and report");
}

static void
init_popularity (double exponent)
{
  double sum = 0;

  engine.cumulative_popularity = g_new (double, engine.experts);
  for (int e = 0; e < engine.experts; e++)
    sum += 1.0 / pow (e + 1, exponent);
  for (int e = 0; e < engine.experts; e++)
    engine.cumulative_popularity[e]
        = (e ? engine.cumulative_popularity[e - 1] : 0)
          + 1.0 / pow (e + 1, exponent) / sum;
}

int
main (int argc, char **argv)
{
  pthread_t t;
  int rc;

  rc = cf_daemon_init_fields (
      &argc, &argv, "comfrey-fake-engine",
      "A stand-in for a model engine group of lock-step "
      "ranks with an expert map, for tests and the demo.",
      defaults, fields, G_N_ELEMENTS (fields), &engine);
  if (rc >= 0)
    return rc;
  pthread_mutex_init (&engine.lock, NULL);
  pthread_cond_init (&engine.pass_done, NULL);
  pthread_cond_init (&engine.work_added, NULL);
  engine.by_request_id = g_hash_table_new (g_str_hash, g_str_equal);
  engine.seen_prompts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fake_ranks_init (&engine.ranks, &engine.lock, (int)engine.experts,
                   (int)engine.n_ranks, (int)engine.places, engine.copy_ms);
  engine.ranks.check_fence = engine.check_fence;
  if (!g_str_equal (engine.weights_url, "off"))
    fake_ranks_set_weight_store (&engine.ranks, engine.weights_url,
                                 engine.expert_mb);
  engine.expert_tokens = g_new0 (double, engine.experts);
  engine.reported_expert_tokens = g_new0 (double, engine.experts);
  engine.rand = g_rand_new_with_seed ((guint32)engine.seed);
  init_popularity (1.0);
  pthread_create (&t, NULL, run_passes, NULL);
  cf_log (LOG_INFO, CF_EV_START,
          "ranks=%" G_GINT64_FORMAT " experts=%" G_GINT64_FORMAT,
          engine.n_ranks, engine.experts);
  return fake_break_serve (engine.listen, on_http);
}
