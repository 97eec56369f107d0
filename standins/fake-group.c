#include "fake-group.h"

#include "gateway/map-plan.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

/** The part of a pass that the experts take; the rest is each rank's own. */
#define EXPERT_SHARE 0.85
/** How often a writing request chooses an expert of a set in a pass. */
#define PICKS 32

/* Demand: a few experts are popular, others after each shift. */
static double
popularity (const FakeGroup *g, int set, int expert)
{
  double t = ev_now (g->loop) - g->started;
  int shift = g->shape.shift_s > 0 ? (int)(t / g->shape.shift_s) * 7 : 0;

  return 1.0 / (1 + (expert * 5 + shift + set * 3) % g->shape.experts);
}

static gsize
at (const FakeGroup *g, int set, int expert)
{
  return (gsize)set * g->shape.experts + expert;
}

static double
skew (FakeGroup *g)
{
  gsize n = (gsize)g->shape.sets * g->shape.experts;
  g_autofree double *tokens = g_new (double, n);

  for (int s = 0; s < g->shape.sets; s++)
    for (int e = 0; e < g->shape.experts; e++)
      tokens[at (g, s, e)] = popularity (g, s, e);
  return cf_group_map_skew (g->map, tokens, NULL);
}

static void
count_picks (FakeGroup *g, FakeRank *r)
{
  double sum = 0;

  for (int e = 0; e < g->shape.experts; e++)
    sum += 1.0 / (1 + e);
  for (int s = 0; s < g->shape.sets; s++)
    for (int e = 0; e < g->shape.experts; e++)
      r->counts[at (g, s, e)]
          += (gint64)lround (PICKS * 100 * popularity (g, s, e) / sum);
}

/* Rows of the map that a rank switches to. */
static void
switch_rank (FakeGroup *g, int rank)
{
  FakeRank *r = &g->ranks[rank];

  for (int s = 0; s < g->shape.sets; s++)
    memcpy (cf_group_map_at (g->map, s, rank),
            cf_group_map_at (r->next, s, rank),
            sizeof (gint16) * g->shape.places);
  r->s.map = r->s.armed;
  r->s.armed = 0;
}

static void
send_event (FakeRank *r, FakeStream *st)
{
  char *ev = g_strdup_printf ("id: %d\ndata: token-%d\n\n", st->next_event,
                              st->next_event);

  if (!st->begun)
    fake_http_begin_chunked (st->c, 200, st->head);
  st->begun = TRUE;
  if (st->next_event == st->cut_after)
    {
      FakeConn *c = st->c;

      fake_http_send_chunk (c, ev, strlen (ev) / 2);
      g_free (ev);
      c->gone (c);
      c->work = NULL;
      fake_http_reset (c);
      return;
    }
  fake_http_send_chunk (st->c, ev, strlen (ev));
  g_free (ev);
  if (st->next_event++ >= st->last_event)
    {
      FakeConn *c = st->c;

      c->gone (c);
      c->work = NULL;
      fake_http_end_chunked (c);
    }
}

/* A pass at even load, with the streams that its ranks write now. */
static double
even_pass_ms (const FakeGroup *g)
{
  const FakeStream *st;
  int n = 0;

  for (int i = 0; i < g->shape.ranks; i++)
    TAILQ_FOREACH (st, &g->ranks[i].streams, link)
  n++;
  return g->shape.step_ms + g->shape.per_seq_ms * n / g->shape.ranks;
}

static gboolean
is_idle (const FakeGroup *g)
{
  for (int i = 0; i < g->shape.ranks; i++)
    if (!TAILQ_EMPTY (&g->ranks[i].streams))
      return FALSE;
  return TRUE;
}

static void
begin_pass (FakeGroup *g)
{
  gint64 step = g->ranks[0].s.step + 1;

  for (int i = 0; i < g->shape.ranks; i++)
    {
      FakeRank *r = &g->ranks[i];

      r->s.step = step;
      if (r->s.armed && r->armed_step == step)
        switch_rank (g, i);
      count_picks (g, r);
    }
  for (int i = 1; i < g->shape.ranks; i++)
    if (g->ranks[i].s.map != g->ranks[0].s.map)
      {
        g->mixed++;
        break;
      }
  g->passes++;
}

static gboolean
is_held (const FakeGroup *g)
{
  for (int i = 0; i < g->shape.ranks; i++)
    if (g->ranks[i].s.held == g->ranks[0].s.step + 1)
      return TRUE;
  return FALSE;
}

/* The end of a pass: what it made goes out, and the next begins. */
static void
on_pass (struct ev_loop *loop, ev_timer *t, int revents)
{
  FakeGroup *g = t->data;
  double x;

  for (int i = 0; i < g->shape.ranks; i++)
    {
      FakeStream *st = TAILQ_FIRST (&g->ranks[i].streams);

      while (st)
        {
          FakeStream *next = TAILQ_NEXT (st, link);

          if (st->idle_passes > 0)
            st->idle_passes--;
          else
            send_event (&g->ranks[i], st);
          st = next;
        }
    }
  if (is_idle (g))
    {
      ev_timer_stop (loop, t);
      return;
    }
  x = skew (g);
  if (!is_held (g))
    begin_pass (g);
  g->skew_sum += x;
  ev_timer_set (
      t, 0, even_pass_ms (g) / 1000 * (1 - EXPERT_SHARE + EXPERT_SHARE * x));
  ev_timer_again (loop, t);
}

void
fake_group_start_passes (FakeGroup *g)
{
  if (ev_is_active (&g->pass))
    return;
  ev_timer_set (&g->pass, 0, g->shape.step_ms / 1000);
  ev_timer_again (g->loop, &g->pass);
}

static void
on_copied (struct ev_loop *loop, ev_timer *t, int revents)
{
  FakeRank *r = t->data;

  r->s.prepared = r->copying;
  r->copying = 0;
}

/* Reads the rows of "map"; NULL if an expert is on no rank. */
static CfGroupMap *
read_map (const FakeGroup *g, const json_t *sets)
{
  const CfGroupShape shape = g->map->shape;
  CfGroupMap *m = cf_group_map_new (&shape);

  for (int s = 0; s < shape.sets; s++)
    for (int r = 0; r < shape.ranks; r++)
      {
        const json_t *row = json_array_get (json_array_get (sets, s), r);

        for (int p = 0; p < shape.places && p < (int)json_array_size (row); p++)
          cf_group_map_at (m, s, r)[p]
              = (gint16)json_integer_value (json_array_get (row, p));
      }
  if (!cf_group_map_whole (m))
    g_clear_pointer (&m, cf_group_map_free);
  return m;
}

static int
prepare (FakeGroup *g, FakeRank *r, gint64 version, const json_t *sets)
{
  CfGroupMap *m;
  int added = 0;

  if (version == r->had && r->next)
    return r->s.prepared == version ? 200 : 202;
  if (version <= r->had || r->s.armed)
    return 409;
  m = read_map (g, sets);
  if (!m)
    return 409;
  for (int s = 0; s < g->shape.sets; s++)
    {
      int here = 0;

      for (int p = 0; p < g->shape.places; p++)
        {
          int e = cf_group_map_at (m, s, r->s.rank)[p];

          if (e >= 0 && !cf_group_map_holds (g->map, s, r->s.rank, e))
            here++;
        }
      added += here;
      if (here > g->shape.spare)
        {
          cf_group_map_free (m);
          return 409;
        }
    }
  r->had = version;
  cf_group_map_free (r->next);
  r->next = m;
  r->s.prepared = 0;
  r->copying = version;
  ev_timer_stop (g->loop, &r->copy);
  ev_timer_set (&r->copy, g->shape.copy_ms * added / 1000, 0);
  ev_timer_start (g->loop, &r->copy);
  return 202;
}

static int
arm (FakeRank *r, gint64 version, gint64 step)
{
  if (r->s.armed == version && r->armed_step == step)
    return 200;
  if (r->s.armed || r->s.prepared != version || step <= r->s.step)
    return 409;
  r->s.armed = version;
  r->armed_step = step;
  return 202;
}

static int
hold (FakeRank *r, gint64 step)
{
  if (r->s.held == step)
    return 200;
  if (r->s.held || step <= r->s.step)
    return 409;
  r->s.held = step;
  return 202;
}

static int
carry_out (FakeGroup *g, FakeRank *r, const char *op, const json_t *o)
{
  gint64 version = json_integer_value (json_object_get (o, "version"));
  gint64 step = json_integer_value (json_object_get (o, "step"));

  if (strcmp (op, "prepare") == 0)
    return prepare (g, r, version, json_object_get (o, "map"));
  if (strcmp (op, "arm") == 0)
    return arm (r, version, step);
  if (strcmp (op, "hold") == 0)
    return hold (r, step);
  if (strcmp (op, "disarm") == 0)
    {
      if (r->s.map == version)
        return 409;
      if (r->s.armed == version)
        r->s.armed = 0;
      return 200;
    }
  if (strcmp (op, "go") == 0)
    {
      if (r->s.held == step)
        r->s.held = 0;
      return 200;
    }
  return 400;
}

int
fake_group_handle_order (FakeGroup *g, int rank, const char *json, gsize n)
{
  json_t *o = json_loadb (json, n, 0, NULL);
  const char *op = json_string_value (json_object_get (o, "op"));
  const json_t *epoch = json_object_get (o, "epoch");
  gint64 fence = json_integer_value (json_object_get (o, "fence"));
  FakeRank *r = &g->ranks[rank];
  int status = 400;

  if (op && fence < r->fence)
    status = 412;
  else if (op && epoch && json_integer_value (epoch) != g->epoch)
    status = 409;
  else if (op)
    {
      r->fence = fence;
      status = carry_out (g, r, op, o);
    }
  json_decref (o);
  return status;
}

/* Map 0 assigns experts in turn. */
static void
first_map (FakeGroup *g)
{
  const FakeGroupShape *shape = &g->shape;
  gsize n = (gsize)shape->sets * shape->ranks * shape->places;

  for (gsize i = 0; i < n; i++)
    g->map->held[i] = -1;
  for (int s = 0; s < shape->sets; s++)
    for (int e = 0; e < shape->experts; e++)
      cf_group_map_at (g->map, s, e % shape->ranks)[e / shape->ranks]
          = (gint16)e;
}

void
fake_group_restart_rank (FakeGroup *g, int rank)
{
  FakeRank *r = &g->ranks[rank];

  g->epoch++;
  first_map (g);
  memset (r->counts, 0,
          sizeof *r->counts * (gsize)(g->shape.sets * g->shape.experts));
  r->fence = 0;
  for (int i = 0; i < g->shape.ranks; i++)
    {
      FakeRank *o = &g->ranks[i];

      ev_timer_stop (g->loop, &o->copy);
      g_clear_pointer (&o->next, cf_group_map_free);
      o->copying = 0;
      o->had = 0;
      o->s.epoch = g->epoch;
      o->s.map = 0;
      o->s.prepared = 0;
      o->s.armed = 0;
      o->s.held = 0;
    }
  fake_group_start_passes (g);
}

FakeGroup *
fake_group_new (struct ev_loop *loop, const FakeGroupShape *shape)
{
  FakeGroup *g = g_new0 (FakeGroup, 1);
  const CfGroupShape map = { .sets = shape->sets,
                             .experts = shape->experts,
                             .ranks = shape->ranks,
                             .places = shape->places,
                             .spare = shape->spare };

  g->loop = loop;
  g->shape = *shape;
  g->epoch = 1;
  g->started = ev_now (loop);
  g->map = cf_group_map_new (&map);
  first_map (g);
  g->ranks = g_new0 (FakeRank, shape->ranks);
  for (int i = 0; i < shape->ranks; i++)
    {
      FakeRank *r = &g->ranks[i];

      g_strlcpy (r->s.group, "g0", sizeof r->s.group);
      r->s.rank = i;
      r->s.size = shape->ranks;
      r->s.epoch = 1;
      r->s.open = TRUE;
      r->counts = g_new0 (gint64, (gsize)shape->sets * shape->experts);
      TAILQ_INIT (&r->streams);
      ev_timer_init (&r->copy, on_copied, 0, 0);
      r->copy.data = r;
    }
  ev_timer_init (&g->pass, on_pass, 0, 0);
  g->pass.data = g;
  return g;
}
