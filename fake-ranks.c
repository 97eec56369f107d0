#include "fake-ranks.h"

#include "http-client.h"
#include "net.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* What a test makes the next order at a rank meet. */
typedef enum
{
  FAULT_NONE,
  FAULT_DROP, /* not carried out, not answered */
  FAULT_LOSE, /* carried out, not answered */
  FAULT_LATE, /* carried out and answered, but only later */
} Fault;

struct FakeRank
{
  CfExpertMap *map;
  CfExpertMap *prepared;
  long long copied_at; /* when the copy of @prepared is whole */
  gint64 newest;
  gint64 armed;
  gint64 armed_step;
  gint64 held;
  Fault fault;
  gint64 late_ms;
  gint64 stall_ms;
};

void
fake_ranks_init (FakeRanks *f, pthread_mutex_t *lock, int experts, int n,
                 int places, gint64 copy_ms)
{
  f->lock = lock;
  pthread_cond_init (&f->moved, NULL);
  f->n = n;
  f->experts = experts;
  f->copy_ms = copy_ms;
  f->ranks = g_new0 (FakeRank, n);
  for (int r = 0; r < n; r++)
    {
      f->ranks[r].map = cf_expert_map_new (experts, n, places);
      f->places = f->ranks[r].map->places;
      f->ranks[r].newest = 1;
    }
}

void
fake_ranks_copy_from (FakeRanks *f, const char *url, gint64 expert_mb)
{
  f->weights_url = g_strdup (url);
  f->expert_mb = expert_mb;
}

/* What lives for one copy of experts from the weight store to a rank. */
typedef struct
{
  FakeRanks *ranks;
  int rank;
  gint64 version;
  int experts;
} Copy;

#define COPY_MS 60000
#define COPY_AGAIN_MS 200

static void *
copy_thread (void *data)
{
  Copy *c = data;
  g_autofree char *url = g_strdup_printf ("%s/v1/weights?mb=%" G_GINT64_FORMAT,
                                          c->ranks->weights_url,
                                          c->experts * c->ranks->expert_mb);
  FakeRank *k = &c->ranks->ranks[c->rank];
  gboolean wanted = TRUE;
  long code = 0;

  while (wanted)
    {
      gboolean whole
          = cf_http_call ("GET", url, NULL, NULL, COPY_MS, &code, NULL) == CF_OK
            && code == 200;

      pthread_mutex_lock (c->ranks->lock);
      wanted = k->prepared && k->prepared->version == c->version;
      if (wanted && whole)
        k->copied_at = cf_now_ms ();
      pthread_mutex_unlock (c->ranks->lock);
      if (whole)
        break;
      usleep (COPY_AGAIN_MS * 1000);
    }
  g_free (c);
  return NULL;
}

/* Starts to copy @experts of the version just prepared at @rank. */
static void
start_copy (FakeRanks *f, int rank, int experts)
{
  FakeRank *k = &f->ranks[rank];
  pthread_t t;
  Copy *c;

  if (f->weights_url == NULL || experts == 0)
    {
      k->copied_at = cf_now_ms () + experts * f->copy_ms;
      return;
    }
  k->copied_at = G_MAXINT64;
  c = g_new0 (Copy, 1);
  c->ranks = f;
  c->rank = rank;
  c->version = k->prepared->version;
  c->experts = experts;
  pthread_create (&t, NULL, copy_thread, c);
  pthread_detach (t);
}

static gboolean
is_held (const FakeRanks *f, gint64 step)
{
  for (int r = 0; r < f->n; r++)
    if (f->ranks[r].held == step)
      return TRUE;
  return FALSE;
}

const CfExpertMap *
fake_ranks_begin_step (FakeRanks *f, gint64 *stall_ms)
{
  gboolean mixed = FALSE;

  while (is_held (f, f->step + 1))
    pthread_cond_wait (&f->moved, f->lock);
  f->step++;
  *stall_ms = 0;
  for (int r = 0; r < f->n; r++)
    {
      FakeRank *k = &f->ranks[r];

      *stall_ms = MAX (*stall_ms, k->stall_ms);
      k->stall_ms = 0;
      if (k->armed && k->armed_step == f->step)
        {
          cf_expert_map_free (k->map);
          k->map = g_steal_pointer (&k->prepared);
          k->armed = 0;
          f->switches += r == 0;
        }
      mixed |= k->map->version != f->ranks[0].map->version;
    }
  f->mixed += mixed;
  return f->ranks[0].map;
}

const CfExpertMap *
fake_ranks_map (const FakeRanks *f)
{
  return f->ranks[0].map;
}

void
fake_ranks_clear (FakeRanks *f)
{
  for (int r = 0; r < f->n; r++)
    {
      cf_expert_map_free (f->ranks[r].map);
      cf_expert_map_free (f->ranks[r].prepared);
    }
  g_free (f->ranks);
  g_free (f->weights_url);
  pthread_cond_destroy (&f->moved);
}

gint64
fake_ranks_version (const FakeRanks *f)
{
  return f->ranks[0].map->version;
}

static gint64
prepared_version (const FakeRank *k)
{
  return k->prepared && cf_now_ms () >= k->copied_at ? k->prepared->version : 0;
}

static gint64
int_field (json_t *o, const char *name)
{
  return json_integer_value (json_object_get (o, name));
}

/* Starts a copy; NULL, or why the order is refused. */
static const char *
prepare (FakeRanks *f, int rank, json_t *o)
{
  FakeRank *k = &f->ranks[rank];
  CfExpertMap *m = NULL;
  int added = 0;

  if (int_field (o, "version") <= k->newest)
    return "the version is not higher than all before";
  if (k->armed)
    return "the rank is armed";
  if (cf_expert_map_from_json (json_object_get (o, "map"), f->experts,
                               f->places, int_field (o, "version"), &m)
      != CF_OK)
    return cf_last_error ();
  if (m->ranks != f->n)
    {
      cf_expert_map_free (m);
      return "the map is for another number of ranks";
    }
  for (int p = 0; p < f->places; p++)
    {
      int e = m->held[rank * f->places + p];

      added += e >= 0 && !cf_expert_map_rank_has (k->map, rank, e);
    }
  cf_expert_map_free (k->prepared);
  k->prepared = m;
  k->newest = m->version;
  start_copy (f, rank, added);
  return NULL;
}

const char *
fake_ranks_obey (FakeRanks *f, int rank, json_t *o)
{
  const char *op = json_string_value (json_object_get (o, "op"));
  gint64 version = int_field (o, "version");
  gint64 step = int_field (o, "step");
  FakeRank *k = &f->ranks[rank];

  if (f->check_fence && int_field (o, "fence") < f->fence)
    return "the fencing token is older than one seen";
  f->fence = MAX (f->fence, int_field (o, "fence"));
  if (op == NULL)
    return "the order has no 'op'";
  if (g_str_equal (op, "prepare"))
    return prepare (f, rank, o);
  if (g_str_equal (op, "arm"))
    {
      if (prepared_version (k) != version || version == 0)
        return "that version is not prepared";
      if (step <= f->step)
        return "that step has begun";
      k->armed = version;
      k->armed_step = step;
      return NULL;
    }
  if (g_str_equal (op, "disarm"))
    {
      if (k->map->version == version)
        return "that version is in use";
      if (k->armed == version)
        k->armed = 0;
      return NULL;
    }
  if (g_str_equal (op, "hold"))
    {
      if (step <= f->step)
        return "that step has begun";
      if (k->held && k->held != step)
        return "another step is held";
      k->held = step;
      return NULL;
    }
  if (g_str_equal (op, "go"))
    {
      if (k->held != step)
        return "that step is not held";
      k->held = 0;
      pthread_cond_broadcast (&f->moved);
      return NULL;
    }
  return "no such order";
}

static void
order (FakeRanks *f, int rank, const CfHttpRequest *req, CfHttpReply *rep)
{
  json_t *o = json_loads (req->body, 0, NULL);
  FakeRank *k = &f->ranks[rank];
  Fault fault = k->fault;
  gint64 late_ms = k->late_ms;
  const char *why = NULL;

  k->fault = FAULT_NONE;
  if (fault == FAULT_LATE)
    {
      pthread_mutex_unlock (f->lock);
      usleep (late_ms * 1000);
      pthread_mutex_lock (f->lock);
    }
  if (fault != FAULT_DROP)
    why = fake_ranks_obey (f, rank, o);
  rep->drop = fault == FAULT_DROP || fault == FAULT_LOSE;
  if (why)
    cf_http_reply_error (rep, 409, "refused", why);
  else
    rep->body = g_strdup ("{\"done\":true}");
  json_decref (o);
}

void
fake_ranks_read (const FakeRanks *f, int rank, CfRankReport *out)
{
  const FakeRank *k = &f->ranks[rank];

  *out = (CfRankReport){ .step = f->step,
                         .map = k->map->version,
                         .prepared = prepared_version (k),
                         .newest = k->newest,
                         .armed = k->armed,
                         .armed_step = k->armed_step,
                         .held = k->held };
}

static void
report (FakeRanks *f, int rank, int waiting, CfHttpReply *rep)
{
  json_t *all = cf_expert_map_to_json (f->ranks[rank].map);
  CfRankReport r;
  json_t *o;

  fake_ranks_read (f, rank, &r);
  o = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i, s:i, s:O}", "step",
      (json_int_t)r.step, "map", (json_int_t)r.map, "prepared",
      (json_int_t)r.prepared, "newest", (json_int_t)r.newest, "armed",
      (json_int_t)r.armed, "armed_step", (json_int_t)r.armed_step, "held",
      (json_int_t)r.held, "waiting", waiting, "places", f->places,
      "experts_total", f->experts, "experts", json_array_get (all, rank));
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  json_decref (all);
}

/* /test/rank?rank=N&fault=drop|lose|late|stall&ms=M */
static void
set_fault (FakeRanks *f, const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *rank = cf_http_query_arg (req, "rank");
  const char *fault = cf_http_query_arg (req, "fault");
  const char *ms = cf_http_query_arg (req, "ms");
  gint64 r = rank ? g_ascii_strtoll (rank, NULL, 10) : -1;
  FakeRank *k;

  if (r < 0 || r >= f->n || fault == NULL)
    {
      cf_http_reply_error (rep, 400, "bad-request", "give rank and fault");
      return;
    }
  k = &f->ranks[r];
  if (g_str_equal (fault, "stall"))
    k->stall_ms = ms ? g_ascii_strtoll (ms, NULL, 10) : 0;
  else
    {
      k->fault = g_str_equal (fault, "drop")   ? FAULT_DROP
                 : g_str_equal (fault, "lose") ? FAULT_LOSE
                                               : FAULT_LATE;
      k->late_ms = ms ? g_ascii_strtoll (ms, NULL, 10) : 0;
    }
  rep->body = g_strdup ("{\"ok\":true}");
}

gboolean
fake_ranks_http (FakeRanks *f, const CfHttpRequest *req, int waiting,
                 CfHttpReply *rep)
{
  gboolean ours = TRUE;
  char what[16] = "";
  int rank = -1;

  pthread_mutex_lock (f->lock);
  if (sscanf (req->path, "/v1/ranks/%d/%15s", &rank, what) == 2 && rank >= 0
      && rank < f->n && g_str_equal (what, "order"))
    order (f, rank, req, rep);
  else if (rank >= 0 && rank < f->n && g_str_equal (what, "report"))
    report (f, rank, waiting, rep);
  else if (g_str_equal (req->path, "/test/rank"))
    set_fault (f, req, rep);
  else if (g_str_equal (req->path, "/test/steps"))
    rep->body = g_strdup_printf (
        "{\"steps\":%" G_GINT64_FORMAT ",\"switches\":%" G_GINT64_FORMAT
        ",\"mixed\":%" G_GINT64_FORMAT ",\"map\":%" G_GINT64_FORMAT
        ",\"slowest\":%.0f,\"mean\":%.0f}",
        f->step, f->switches, f->mixed, f->ranks[0].map->version, f->slowest,
        f->mean);
  else
    ours = FALSE;
  pthread_mutex_unlock (f->lock);
  return ours;
}
