#include "fake-ranks.h"

#include "http-client.h"
#include "net.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* The fault that a test injects into the next order to a rank. */
typedef enum
{
  FAULT_NONE,
  FAULT_DROP_ORDER, /* neither carried out nor answered */
  FAULT_DROP_REPLY, /* carried out but not answered */
  FAULT_DELAY,      /* carried out and answered after a delay */
} Fault;

struct FakeRank
{
  CfExpertMap *map;
  CfExpertMap *prepared;
  long long copy_ready_ms; /* when all experts of @prepared are copied */
  gint64 highest_version;  /* highest version it was told to prepare */
  gint64 armed_version;    /* 0 if not armed */
  gint64 armed_pass;       /* the pass that switches to @armed_version */
  gint64 held_pass;        /* 0 if no pass is held */
  Fault fault;
  gint64 delay_ms; /* of FAULT_DELAY */
  gint64 stall_ms; /* added to the next pass */
};

void
fake_ranks_init (FakeRanks *f, pthread_mutex_t *lock, int experts, int n,
                 int places, gint64 copy_ms)
{
  f->lock = lock;
  pthread_cond_init (&f->hold_ended, NULL);
  f->n_ranks = n;
  f->experts = experts;
  f->copy_ms = copy_ms;
  f->ranks = g_new0 (FakeRank, n);
  for (int r = 0; r < n; r++)
    {
      f->ranks[r].map = cf_expert_map_new (experts, n, places);
      f->places = f->ranks[r].map->places;
      f->ranks[r].highest_version = 1;
    }
}

void
fake_ranks_set_weight_store (FakeRanks *f, const char *url, gint64 expert_mb)
{
  f->weights_url = g_strdup (url);
  f->expert_mb = expert_mb;
}

/* One copy of experts from the weight store to a rank. */
typedef struct
{
  FakeRanks *ranks;
  int rank;
  gint64 version;
  int experts;
} CopyJob;

#define COPY_TIMEOUT_MS 60000
#define COPY_RETRY_MS 200

/* Requests the copy until it succeeds or the rank is told to prepare another
 * version. */
static void *
copy_thread (void *data)
{
  CopyJob *c = data;
  g_autofree char *url = g_strdup_printf ("%s/v1/weights?mb=%" G_GINT64_FORMAT,
                                          c->ranks->weights_url,
                                          c->experts * c->ranks->expert_mb);
  FakeRank *rk = &c->ranks->ranks[c->rank];
  gboolean wanted = TRUE;
  long code = 0;

  while (wanted)
    {
      gboolean complete
          = cf_http_call ("GET", url, NULL, NULL, COPY_TIMEOUT_MS, &code, NULL)
                == CF_OK
            && code == 200;

      pthread_mutex_lock (c->ranks->lock);
      wanted = rk->prepared && rk->prepared->version == c->version;
      if (wanted && complete)
        rk->copy_ready_ms = cf_now_ms ();
      pthread_mutex_unlock (c->ranks->lock);
      if (complete)
        break;
      usleep (COPY_RETRY_MS * 1000);
    }
  g_free (c);
  return NULL;
}

/* Starts to copy the @experts that @rank lacks for its prepared version. */
static void
start_copy (FakeRanks *f, int rank, int experts)
{
  FakeRank *rk = &f->ranks[rank];
  pthread_t t;
  CopyJob *c;

  if (f->weights_url == NULL || experts == 0)
    {
      rk->copy_ready_ms = cf_now_ms () + experts * f->copy_ms;
      return;
    }
  rk->copy_ready_ms = G_MAXINT64;
  c = g_new0 (CopyJob, 1);
  c->ranks = f;
  c->rank = rank;
  c->version = rk->prepared->version;
  c->experts = experts;
  pthread_create (&t, NULL, copy_thread, c);
  pthread_detach (t);
}

static gboolean
is_pass_held (const FakeRanks *f, gint64 pass)
{
  for (int r = 0; r < f->n_ranks; r++)
    if (f->ranks[r].held_pass == pass)
      return TRUE;
  return FALSE;
}

const CfExpertMap *
fake_ranks_begin_pass (FakeRanks *f, gint64 *stall_ms)
{
  gboolean mixed = FALSE;

  while (is_pass_held (f, f->pass + 1))
    pthread_cond_wait (&f->hold_ended, f->lock);
  f->pass++;
  *stall_ms = 0;
  for (int r = 0; r < f->n_ranks; r++)
    {
      FakeRank *rk = &f->ranks[r];

      *stall_ms = MAX (*stall_ms, rk->stall_ms);
      rk->stall_ms = 0;
      if (rk->armed_version && rk->armed_pass == f->pass)
        {
          cf_expert_map_free (rk->map);
          rk->map = g_steal_pointer (&rk->prepared);
          rk->armed_version = 0;
          f->switches += r == 0;
        }
      mixed |= rk->map->version != f->ranks[0].map->version;
    }
  f->mixed_passes += mixed;
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
  for (int r = 0; r < f->n_ranks; r++)
    {
      cf_expert_map_free (f->ranks[r].map);
      cf_expert_map_free (f->ranks[r].prepared);
    }
  g_free (f->ranks);
  g_free (f->weights_url);
  pthread_cond_destroy (&f->hold_ended);
}

gint64
fake_ranks_map_version (const FakeRanks *f)
{
  return f->ranks[0].map->version;
}

static gint64
prepared_version (const FakeRank *rk)
{
  return rk->prepared && cf_now_ms () >= rk->copy_ready_ms
             ? rk->prepared->version
             : 0;
}

static gint64
int_field (json_t *o, const char *name)
{
  return json_integer_value (json_object_get (o, name));
}

/* Starts to copy the experts of a new map version.  Returns NULL, or the
 * reason for the refusal. */
static const char *
prepare (FakeRanks *f, int rank, json_t *o)
{
  FakeRank *rk = &f->ranks[rank];
  CfExpertMap *m = NULL;
  int added = 0;

  if (int_field (o, "version") <= rk->highest_version)
    return "the version is not higher than all before";
  if (rk->armed_version)
    return "the rank is armed";
  if (cf_expert_map_from_json (json_object_get (o, "map"), f->experts,
                               f->places, int_field (o, "version"), &m)
      != CF_OK)
    return cf_last_error ();
  if (m->ranks != f->n_ranks)
    {
      cf_expert_map_free (m);
      return "the map is for another number of ranks";
    }
  for (int p = 0; p < f->places; p++)
    {
      int e = m->held[rank * f->places + p];

      added += e >= 0 && !cf_expert_map_rank_has (rk->map, rank, e);
    }
  cf_expert_map_free (rk->prepared);
  rk->prepared = m;
  rk->highest_version = m->version;
  start_copy (f, rank, added);
  return NULL;
}

const char *
fake_ranks_apply_order (FakeRanks *f, int rank, json_t *o)
{
  const char *op = json_string_value (json_object_get (o, "op"));
  gint64 version = int_field (o, "version");
  gint64 pass = int_field (o, "step");
  FakeRank *rk = &f->ranks[rank];

  if (f->check_fence && int_field (o, "fence") < f->highest_fence)
    return "the fencing token is older than one seen";
  f->highest_fence = MAX (f->highest_fence, int_field (o, "fence"));
  if (op == NULL)
    return "the order has no 'op'";
  if (g_str_equal (op, "prepare"))
    return prepare (f, rank, o);
  if (g_str_equal (op, "arm"))
    {
      if (prepared_version (rk) != version || version == 0)
        return "that version is not prepared";
      if (pass <= f->pass)
        return "that step has begun";
      rk->armed_version = version;
      rk->armed_pass = pass;
      return NULL;
    }
  if (g_str_equal (op, "disarm"))
    {
      if (rk->map->version == version)
        return "that version is in use";
      if (rk->armed_version == version)
        rk->armed_version = 0;
      return NULL;
    }
  if (g_str_equal (op, "hold"))
    {
      if (pass <= f->pass)
        return "that step has begun";
      if (rk->held_pass && rk->held_pass != pass)
        return "another step is held";
      rk->held_pass = pass;
      return NULL;
    }
  if (g_str_equal (op, "go"))
    {
      if (rk->held_pass != pass)
        return "that step is not held";
      rk->held_pass = 0;
      pthread_cond_broadcast (&f->hold_ended);
      return NULL;
    }
  return "no such order";
}

static void
handle_order (FakeRanks *f, int rank, const CfHttpRequest *req,
              CfHttpReply *rep)
{
  json_t *o = json_loads (req->body, 0, NULL);
  FakeRank *rk = &f->ranks[rank];
  Fault fault = rk->fault;
  gint64 delay_ms = rk->delay_ms;
  const char *refusal = NULL;

  rk->fault = FAULT_NONE;
  if (fault == FAULT_DELAY)
    {
      pthread_mutex_unlock (f->lock);
      usleep (delay_ms * 1000);
      pthread_mutex_lock (f->lock);
    }
  if (fault != FAULT_DROP_ORDER)
    refusal = fake_ranks_apply_order (f, rank, o);
  rep->drop = fault == FAULT_DROP_ORDER || fault == FAULT_DROP_REPLY;
  if (refusal)
    cf_http_reply_error (rep, 409, "refused", refusal);
  else
    rep->body = g_strdup ("{\"done\":true}");
  json_decref (o);
}

void
fake_ranks_read_report (const FakeRanks *f, int rank, CfRankReport *out)
{
  const FakeRank *rk = &f->ranks[rank];

  *out = (CfRankReport){ .step = f->pass,
                         .map = rk->map->version,
                         .prepared = prepared_version (rk),
                         .newest = rk->highest_version,
                         .armed = rk->armed_version,
                         .armed_step = rk->armed_pass,
                         .held = rk->held_pass };
}

static void
reply_report (FakeRanks *f, int rank, int waiting, CfHttpReply *rep)
{
  json_t *all = cf_expert_map_to_json (f->ranks[rank].map);
  CfRankReport r;
  json_t *o;

  fake_ranks_read_report (f, rank, &r);
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

/* Handles /test/rank?rank=N&fault=drop|lose|late|stall&ms=M. */
static void
set_fault (FakeRanks *f, const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *rank = cf_http_query_arg (req, "rank");
  const char *fault = cf_http_query_arg (req, "fault");
  const char *ms = cf_http_query_arg (req, "ms");
  gint64 r = rank ? g_ascii_strtoll (rank, NULL, 10) : -1;
  FakeRank *rk;

  if (r < 0 || r >= f->n_ranks || fault == NULL)
    {
      cf_http_reply_error (rep, 400, "bad-request", "give rank and fault");
      return;
    }
  rk = &f->ranks[r];
  if (g_str_equal (fault, "stall"))
    rk->stall_ms = ms ? g_ascii_strtoll (ms, NULL, 10) : 0;
  else
    {
      rk->fault = g_str_equal (fault, "drop")   ? FAULT_DROP_ORDER
                  : g_str_equal (fault, "lose") ? FAULT_DROP_REPLY
                                                : FAULT_DELAY;
      rk->delay_ms = ms ? g_ascii_strtoll (ms, NULL, 10) : 0;
    }
  rep->body = g_strdup ("{\"ok\":true}");
}

gboolean
fake_ranks_handle_http (FakeRanks *f, const CfHttpRequest *req, int waiting,
                        CfHttpReply *rep)
{
  gboolean handled = TRUE;
  char endpoint[16] = "";
  int rank = -1;

  pthread_mutex_lock (f->lock);
  if (sscanf (req->path, "/v1/ranks/%d/%15s", &rank, endpoint) == 2 && rank >= 0
      && rank < f->n_ranks && g_str_equal (endpoint, "order"))
    handle_order (f, rank, req, rep);
  else if (rank >= 0 && rank < f->n_ranks && g_str_equal (endpoint, "report"))
    reply_report (f, rank, waiting, rep);
  else if (g_str_equal (req->path, "/test/rank"))
    set_fault (f, req, rep);
  else if (g_str_equal (req->path, "/test/steps"))
    rep->body = g_strdup_printf (
        "{\"steps\":%" G_GINT64_FORMAT ",\"switches\":%" G_GINT64_FORMAT
        ",\"mixed\":%" G_GINT64_FORMAT ",\"map\":%" G_GINT64_FORMAT
        ",\"slowest\":%.0f,\"mean\":%.0f}",
        f->pass, f->switches, f->mixed_passes, f->ranks[0].map->version,
        f->slowest_tokens, f->mean_tokens);
  else
    handled = FALSE;
  pthread_mutex_unlock (f->lock);
  return handled;
}
