/*
 * A stand-in for a model engine group: ranks that step in lock-step on an
 * expert map (fake-ranks.c).  Each step every running request makes one
 * token, routed to an expert by a skewed popularity; the step lasts as long
 * as the most loaded rank needs.  It is met over HTTP, as a real engine
 * would be.
 */
#include "daemon.h"
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
/* What lives for one generation request. */
typedef struct Gen
{
  struct Gen *next; /* intrusive: waiting queue or batch */
  guint64 seq;
  char *rid; /* the caller's X-Request-Id, for cancel */
  char *prompt;
  gint64 priority;
  int want;
  int made;
  gboolean done;
  gboolean cancelled;
} Gen;

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t done;
  pthread_cond_t work;
  Gen *waiting;
  Gen *batch;
  GHashTable *by_rid; /* rid -> Gen, while waiting or running */
  GHashTable *seen;   /* prompts ever taken, for tests' oracles */
  int running;
  guint64 seq;
  FakeRanks ranks;
  double *popularity; /* cumulative */
  gint64 shift;       /* which expert is the most popular */
  GRand *rand;
  gint64 fence;
  gint64 batch_max, base_us, per_token_us, lag_ms, n_ranks, experts, places,
      copy_ms;
  gboolean check_fence;
  char *listen;
  char *weights_url; /* of the weight store, or "off" */
  gint64 expert_mb;
  gint64 seed;
  int reported_running; /* load as the lagging report shows it */
  double *counts;       /* tokens each expert drew since the start */
  double *reported;     /* the same, as the lagging report shows it */
  long long reported_at;
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
  { CF_SETTING_INT, "engine", "step_base_us", offsetof (Engine, base_us), 0,
    1000000 },
  { CF_SETTING_INT, "engine", "step_per_token_us",
    offsetof (Engine, per_token_us), 0, 100000 },
  { CF_SETTING_INT, "engine", "load_lag_ms", offsetof (Engine, lag_ms), 0,
    60000 },
  { CF_SETTING_BOOL, "engine", "check_fence", offsetof (Engine, check_fence), 0,
    0 },
  { CF_SETTING_INT, "engine", "seed", offsetof (Engine, seed), 0, G_MAXINT32 },
};

static Engine eng;

static void
admit_waiting (void)
{
  while (eng.waiting && eng.running < eng.batch_max)
    {
      Gen *g = eng.waiting;

      eng.waiting = g->next;
      g->next = eng.batch;
      eng.batch = g;
      eng.running++;
    }
}

static int
pick_expert (void)
{
  double u = g_rand_double (eng.rand);
  int lo = 0;
  int hi = (int)eng.experts - 1;

  while (lo < hi)
    {
      int mid = (lo + hi) / 2;

      if (eng.popularity[mid] < u)
        lo = mid + 1;
      else
        hi = mid;
    }
  return (lo + (int)eng.shift) % (int)eng.experts;
}

/* The load report moves on every lag_ms only, also while no step is begun;
 * call with the lock held. */
static void
refresh_report (void)
{
  if (cf_now_ms () - eng.reported_at < eng.lag_ms)
    return;
  eng.reported_running = eng.running;
  memcpy (eng.reported, eng.counts, sizeof *eng.counts * eng.experts);
  eng.reported_at = cf_now_ms ();
}

static void *
step_thread (void *unused)
{
  g_autofree double *tokens = g_new0 (double, eng.experts);
  g_autofree double *load = g_new0 (double, eng.n_ranks);

  for (;;)
    {
      const CfExpertMap *map;
      gint64 stall_ms;
      double max;

      pthread_mutex_lock (&eng.lock);
      while (eng.batch == NULL && eng.waiting == NULL)
        pthread_cond_wait (&eng.work, &eng.lock);
      map = fake_ranks_begin_pass (&eng.ranks, &stall_ms);
      admit_waiting ();
      memset (tokens, 0, sizeof *tokens * eng.experts);
      for (Gen *g = eng.batch; g; g = g->next)
        {
          int e = pick_expert ();

          tokens[e]++;
          eng.counts[e]++;
        }
      max = cf_expert_map_load (map, tokens, load);
      eng.ranks.slowest_tokens += max;
      eng.ranks.mean_tokens += (double)eng.running / (double)eng.n_ranks;
      pthread_mutex_unlock (&eng.lock);

      usleep (eng.base_us + (gint64)((double)eng.per_token_us * max)
              + stall_ms * 1000);

      pthread_mutex_lock (&eng.lock);
      for (Gen **p = &eng.batch; *p;)
        {
          Gen *g = *p;

          if (!g->cancelled)
            g->made++;
          if (g->made >= g->want || g->cancelled)
            {
              *p = g->next;
              g->done = TRUE;
              eng.running--;
              continue;
            }
          p = &g->next;
        }
      refresh_report ();
      pthread_cond_broadcast (&eng.done);
      pthread_mutex_unlock (&eng.lock);
    }
  return NULL;
}

/* Higher priority first; equal priorities keep their order of arrival. */
static void
enqueue (Gen *g)
{
  Gen **p = &eng.waiting;

  while (*p && (*p)->priority >= g->priority)
    p = &(*p)->next;
  g->next = *p;
  *p = g;
}

static void
generate (const CfHttpRequest *req, CfHttpReply *rep)
{
  json_t *o = json_loads (req->body, 0, NULL);
  const char *prompt = json_string_value (json_object_get (o, "prompt"));
  json_t *mt = json_object_get (o, "max_tokens");
  const char *prio = cf_http_header (req, "X-Comfrey-Priority");
  const char *rid = cf_http_header (req, "X-Request-Id");
  const char *left = cf_http_header (req, "X-Comfrey-Deadline-Ms");
  long long deadline
      = left ? cf_now_ms () + g_ascii_strtoll (left, NULL, 10) : G_MAXINT64;
  struct timespec ts;
  gint64 map_version;
  Gen g = { 0 };
  json_t *r;

  if (prompt == NULL)
    {
      cf_http_reply_error (rep, 400, "bad-request",
                           "'prompt' must be a string");
      json_decref (o);
      return;
    }
  g.prompt = g_strdup (prompt);
  g.want = json_is_integer (mt) ? CLAMP (json_integer_value (mt), 1, 4096) : 8;
  g.priority = prio ? g_ascii_strtoll (prio, NULL, 10) : 0;
  json_decref (o);

  pthread_mutex_lock (&eng.lock);
  g.seq = ++eng.seq;
  g_hash_table_add (eng.seen, g_strdup (g.prompt));
  g.rid = rid ? g_strdup (rid) : NULL;
  if (g.rid)
    g_hash_table_insert (eng.by_rid, g.rid, &g);
  enqueue (&g);
  pthread_cond_signal (&eng.work);
  while (!g.done)
    {
      /* Past its deadline nobody waits for it: stop at the next step. */
      if (cf_now_ms () >= deadline)
        g.cancelled = TRUE;
      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_sec += 1;
      pthread_cond_timedwait (&eng.done, &eng.lock, &ts);
    }
  if (g.rid)
    g_hash_table_remove (eng.by_rid, g.rid);
  map_version = fake_ranks_map_version (&eng.ranks);
  pthread_mutex_unlock (&eng.lock);

  if (g.cancelled)
    r = json_pack ("{s:s, s:i}", "error", "cancelled", "tokens", g.made);
  else
    r = json_pack ("{s:s, s:i, s:I}", "text", g.prompt, "tokens", g.made,
                   "map_version", (json_int_t)map_version);
  rep->code = g.cancelled ? 499 : 200;
  rep->body = json_dumps (r, JSON_COMPACT);
  json_decref (r);
  g_free (g.prompt);
  g_free (g.rid);
}

static void
cancel (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *rid = cf_http_query (req, "request");
  Gen *g;

  pthread_mutex_lock (&eng.lock);
  g = rid ? g_hash_table_lookup (eng.by_rid, rid) : NULL;
  if (g)
    g->cancelled = TRUE;
  pthread_mutex_unlock (&eng.lock);
  rep->body = g_strdup_printf ("{\"cancelled\":%s}", g ? "true" : "false");
}

static void
order (const CfHttpRequest *req, CfHttpReply *rep)
{
  json_t *o = json_loads (req->body, 0, NULL);
  json_t *f = json_object_get (o, "fence");
  gint64 fence = json_is_integer (f) ? json_integer_value (f) : 0;
  gboolean stale;

  pthread_mutex_lock (&eng.lock);
  stale = eng.check_fence && fence < eng.fence;
  if (!stale)
    eng.fence = MAX (eng.fence, fence);
  pthread_mutex_unlock (&eng.lock);
  json_decref (o);
  if (stale)
    cf_http_reply_error (rep, 409, "stale-fence",
                         "the order's fencing token is older than one seen");
  else
    rep->body = g_strdup_printf (
        "{\"accepted\":true,\"fence\":%" G_GINT64_FORMAT "}", fence);
}

/* Every prompt the engine ever took, so that a test can check that a
 * request answered "not run" never reached it. */
static void
seen (CfHttpReply *rep)
{
  json_t *a = json_array ();
  GHashTableIter it;
  gpointer k;

  pthread_mutex_lock (&eng.lock);
  g_hash_table_iter_init (&it, eng.seen);
  while (g_hash_table_iter_next (&it, &k, NULL))
    json_array_append_new (a, json_string (k));
  pthread_mutex_unlock (&eng.lock);
  rep->body = json_dumps (a, JSON_COMPACT);
  json_decref (a);
}

static void
picked (CfHttpReply *rep)
{
  json_t *o;
  json_t *counts = json_array ();

  pthread_mutex_lock (&eng.lock);
  refresh_report ();
  for (gint64 e = 0; e < eng.experts; e++)
    json_array_append_new (counts, json_integer ((json_int_t)eng.reported[e]));
  o = json_pack ("{s:I, s:o}", "step", (json_int_t)eng.ranks.pass, "counts",
                 counts);
  pthread_mutex_unlock (&eng.lock);
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
}

static int
unfinished (void)
{
  int n;

  pthread_mutex_lock (&eng.lock);
  n = eng.running;
  for (Gen *g = eng.waiting; g; g = g->next)
    n++;
  pthread_mutex_unlock (&eng.lock);
  return n;
}

/* /test/drift?shift=N: other experts are in demand from now on. */
static void
drift (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *shift = cf_http_query (req, "shift");

  pthread_mutex_lock (&eng.lock);
  eng.shift = shift ? g_ascii_strtoll (shift, NULL, 10) % eng.experts : 0;
  eng.shift = MAX (eng.shift, 0);
  pthread_mutex_unlock (&eng.lock);
  rep->body = g_strdup ("{\"ok\":true}");
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  if (fake_ranks_handle_http (&eng.ranks, req, unfinished (), rep))
    return;
  if (g_str_equal (req->path, "/v1/generate"))
    generate (req, rep);
  else if (g_str_equal (req->path, "/v1/cancel"))
    cancel (req, rep);
  else if (g_str_equal (req->path, "/v1/order"))
    order (req, rep);
  else if (g_str_equal (req->path, "/test/seen"))
    seen (rep);
  else if (g_str_equal (req->path, "/test/drift"))
    drift (req, rep);
  else if (g_str_equal (req->path, "/v1/picked"))
    picked (rep);
  else if (g_str_equal (req->path, "/v1/load"))
    {
      pthread_mutex_lock (&eng.lock);
      refresh_report ();
      rep->body = g_strdup_printf ("{\"running\":%d,\"steps\":%" G_GINT64_FORMAT
                                   ",\"map_version\":%" G_GINT64_FORMAT "}",
                                   eng.reported_running, eng.ranks.pass,
                                   fake_ranks_map_version (&eng.ranks));
      pthread_mutex_unlock (&eng.lock);
    }
  else
    cf_http_reply_error (rep, 404, "not-found",
                         "use /v1/generate, /v1/cancel, /v1/order, /v1/load, "
                         "/v1/picked or /v1/ranks/N/order and report");
}

static void
set_popularity (double skew)
{
  double sum = 0;

  eng.popularity = g_new (double, eng.experts);
  for (int e = 0; e < eng.experts; e++)
    sum += 1.0 / pow (e + 1, skew);
  for (int e = 0; e < eng.experts; e++)
    eng.popularity[e]
        = (e ? eng.popularity[e - 1] : 0) + 1.0 / pow (e + 1, skew) / sum;
}

int
main (int argc, char **argv)
{
  pthread_t t;
  int rc;

  rc = cf_daemon_begin (&argc, &argv, "comfrey-fake-engine",
                        "A stand-in for a model engine group of lock-step "
                        "ranks on an expert map, for tests and the demo.",
                        defaults, fields, G_N_ELEMENTS (fields), &eng);
  if (rc >= 0)
    return rc;
  pthread_mutex_init (&eng.lock, NULL);
  pthread_cond_init (&eng.done, NULL);
  pthread_cond_init (&eng.work, NULL);
  eng.by_rid = g_hash_table_new (g_str_hash, g_str_equal);
  eng.seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fake_ranks_init (&eng.ranks, &eng.lock, (int)eng.experts, (int)eng.n_ranks,
                   (int)eng.places, eng.copy_ms);
  eng.ranks.check_fence = eng.check_fence;
  if (!g_str_equal (eng.weights_url, "off"))
    fake_ranks_set_weight_store (&eng.ranks, eng.weights_url, eng.expert_mb);
  eng.counts = g_new0 (double, eng.experts);
  eng.reported = g_new0 (double, eng.experts);
  eng.rand = g_rand_new_with_seed ((guint32)eng.seed);
  set_popularity (1.0);
  pthread_create (&t, NULL, step_thread, NULL);
  cf_log (LOG_INFO, CF_EV_START,
          "ranks=%" G_GINT64_FORMAT " experts=%" G_GINT64_FORMAT, eng.n_ranks,
          eng.experts);
  return cf_daemon_serve_http (eng.listen, on_http, NULL);
}
