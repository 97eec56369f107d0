#include "fake-group.h"

#include "gateway/map-plan.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Fraction of a balanced pass's duration that the experts take.  The time of
 * the experts grows with the skew; the rest does not depend on the map. */
#define EXPERT_TIME_FRACTION 0.85
/** Experts of one set that a streaming request chooses in a pass.  In each
 * pass, each rank counts the choices of 100 requests, however many it runs. */
#define CHOICES_PER_PASS 32

/* The relative demand for @expert.  A few experts of each set are popular;
 * every shape.shift_s seconds the demand moves to others. */
static double
popularity (const FakeGroup *g, int set, int expert)
{
  double elapsed_s = ev_now (g->loop) - g->start_s;
  int offset
      = g->shape.shift_s > 0 ? (int)(elapsed_s / g->shape.shift_s) * 7 : 0;

  return 1.0 / (1 + (expert * 5 + offset + set * 3) % g->shape.experts);
}

/* The index of @expert in an array of sets x experts. */
static gsize
expert_index (const FakeGroup *g, int set, int expert)
{
  return (gsize)set * g->shape.experts + expert;
}

/* The load of the busiest rank relative to an even load, as the mean over the
 * sets, under the map in use and the current demand. */
static double
current_skew (FakeGroup *g)
{
  gsize n = (gsize)g->shape.sets * g->shape.experts;
  g_autofree double *tokens = g_new (double, n);

  for (int s = 0; s < g->shape.sets; s++)
    for (int e = 0; e < g->shape.experts; e++)
      tokens[expert_index (g, s, e)] = popularity (g, s, e);
  return cf_group_map_skew (g->map, tokens, NULL);
}

static void
count_choices (FakeGroup *g, FakeRank *r)
{
  double sum = 0;

  for (int e = 0; e < g->shape.experts; e++)
    sum += 1.0 / (1 + e);
  for (int s = 0; s < g->shape.sets; s++)
    for (int e = 0; e < g->shape.experts; e++)
      r->expert_counts[expert_index (g, s, e)] += (gint64)lround (
          CHOICES_PER_PASS * 100 * popularity (g, s, e) / sum);
}

/* Switches @rank to its armed map: copies its rows into the map in use. */
static void
switch_rank_map (FakeGroup *g, int rank)
{
  FakeRank *r = &g->ranks[rank];

  for (int s = 0; s < g->shape.sets; s++)
    memcpy (cf_group_map_row (g->map, s, rank),
            cf_group_map_row (r->next_map, s, rank),
            sizeof (gint16) * g->shape.places);
  r->status.map = r->status.armed;
  r->status.armed = 0;
}

/* Event @n; without an id if it is @unnumbered_from or a later one. */
static char *
format_event (int n, int unnumbered_from)
{
  if (unnumbered_from > 0 && n >= unnumbered_from)
    return g_strdup_printf ("data: token-%d\n\n", n);
  return g_strdup_printf ("id: %d\ndata: token-%d\n\n", n, n);
}

gsize
fake_stream_length (int first, int last, int unnumbered_from)
{
  gsize n = 0;

  for (int i = first; i <= last; i++)
    {
      g_autofree char *event = format_event (i, unnumbered_from);

      n += strlen (event);
    }
  return n;
}

/* Frees @st and breaks its answer off. */
static void
cut_stream (FakeStream *st)
{
  FakeConn *c = st->conn;
  FakeCut cut = st->cut;

  c->on_disconnect (c);
  c->pending = NULL;
  switch (cut)
    {
    case FAKE_CUT_NONE:
    case FAKE_CUT_RESET:
      fake_http_reset (c);
      break;
    case FAKE_CUT_CLOSE:
      fake_http_close (c);
      break;
    case FAKE_CUT_END:
      fake_http_end (c);
      break;
    }
}

/* The length that the head of @st announces, if its framing is that. */
static gsize
announced_length (const FakeStream *st)
{
  return st->cut == FAKE_CUT_END
             ? st->cut_at
             : fake_stream_length (st->next_event, st->last_event,
                                   st->unnumbered_from);
}

/* Sends the next event of @st, and frees @st after its last event or if it
 * breaks off. */
static void
send_event (FakeStream *st)
{
  g_autofree char *event = format_event (st->next_event, st->unnumbered_from);
  gsize n = strlen (event);
  gboolean is_cut = st->cut != FAKE_CUT_NONE && st->n_sent + n > st->cut_at;

  if (!st->is_begun)
    fake_http_begin (st->conn, 200, st->headers, st->framing,
                     announced_length (st));
  st->is_begun = TRUE;
  if (is_cut)
    n = st->cut_at - st->n_sent;
  if (n > 0)
    fake_http_send_part (st->conn, event, n);
  st->n_sent += n;
  if (is_cut)
    cut_stream (st);
  else if (st->next_event++ >= st->last_event)
    {
      FakeConn *c = st->conn;

      c->on_disconnect (c);
      c->pending = NULL;
      fake_http_end (c);
    }
}

/* Duration of a pass with the current number of streams, if the load of the
 * experts is even. */
static double
balanced_pass_ms (const FakeGroup *g)
{
  const FakeStream *st;
  int n_streams = 0;

  for (int i = 0; i < g->shape.ranks; i++)
    TAILQ_FOREACH (st, &g->ranks[i].streams, link)
  n_streams++;
  return g->shape.step_ms + g->shape.per_seq_ms * n_streams / g->shape.ranks;
}

static gboolean
has_no_streams (const FakeGroup *g)
{
  for (int i = 0; i < g->shape.ranks; i++)
    if (!TAILQ_EMPTY (&g->ranks[i].streams))
      return FALSE;
  return TRUE;
}

/* Begins the next pass: ranks that are armed for it switch their maps. */
static void
begin_pass (FakeGroup *g)
{
  gint64 step = g->ranks[0].status.step + 1;

  for (int i = 0; i < g->shape.ranks; i++)
    {
      FakeRank *r = &g->ranks[i];

      r->status.step = step;
      if (r->status.armed && r->armed_step == step)
        switch_rank_map (g, i);
      count_choices (g, r);
    }
  for (int i = 1; i < g->shape.ranks; i++)
    if (g->ranks[i].status.map != g->ranks[0].status.map)
      {
        g->n_mixed++;
        break;
      }
  g->n_passes++;
}

static gboolean
is_next_pass_held (const FakeGroup *g)
{
  for (int i = 0; i < g->shape.ranks; i++)
    if (g->ranks[i].status.held == g->ranks[0].status.step + 1)
      return TRUE;
  return FALSE;
}

/* Ends a pass: sends the next event of each stream, and begins the next pass.
 * If a rank holds the next pass, tries to begin it again after another pass
 * duration.  The passes stop when there are no streams. */
static void
on_pass_end (struct ev_loop *loop, ev_timer *t, int revents)
{
  FakeGroup *g = t->data;
  double skew;

  for (int i = 0; i < g->shape.ranks; i++)
    {
      FakeStream *st = TAILQ_FIRST (&g->ranks[i].streams);

      while (st)
        {
          FakeStream *next = TAILQ_NEXT (st, link);

          if (st->passes_to_start > 0)
            st->passes_to_start--;
          else
            send_event (st);
          st = next;
        }
    }
  if (has_no_streams (g))
    {
      ev_timer_stop (loop, t);
      return;
    }
  skew = current_skew (g);
  if (!is_next_pass_held (g))
    begin_pass (g);
  g->skew_sum += skew;
  ev_timer_set (t, 0,
                balanced_pass_ms (g) / 1000
                    * (1 - EXPERT_TIME_FRACTION + EXPERT_TIME_FRACTION * skew));
  ev_timer_again (loop, t);
}

void
fake_group_start_passes (FakeGroup *g)
{
  if (ev_is_active (&g->pass_timer) || fake_group_is_closed (g))
    return;
  ev_timer_set (&g->pass_timer, 0, g->shape.step_ms / 1000);
  ev_timer_again (g->loop, &g->pass_timer);
}

static void
on_copy_done (struct ev_loop *loop, ev_timer *t, int revents)
{
  FakeRank *r = t->data;

  r->status.prepared = r->copying_version;
  r->copying_version = 0;
}

/* Parses @sets, a JSON array that lists the experts of each set and rank.
 * Returns NULL if some expert is on no rank. */
static CfGroupMap *
parse_map (const FakeGroup *g, const json_t *sets)
{
  const CfGroupShape shape = g->map->shape;
  CfGroupMap *m = cf_group_map_new (&shape);

  for (int s = 0; s < shape.sets; s++)
    for (int r = 0; r < shape.ranks; r++)
      {
        const json_t *row = json_array_get (json_array_get (sets, s), r);

        for (int p = 0; p < shape.places && p < (int)json_array_size (row); p++)
          cf_group_map_row (m, s, r)[p]
              = (gint16)json_integer_value (json_array_get (row, p));
      }
  if (!cf_group_map_is_complete (m))
    g_clear_pointer (&m, cf_group_map_free);
  return m;
}

/* Each of the following functions executes one kind of order and returns the
 * HTTP status of the answer: 200 if the rank is already in the ordered state,
 * 202 if it accepts the order, 409 if its state does not allow the order. */

static int
prepare_map (FakeGroup *g, FakeRank *r, gint64 version, const json_t *sets)
{
  CfGroupMap *m;
  int n_added = 0;

  if (version == r->highest_version && r->next_map)
    return r->status.prepared == version ? 200 : 202;
  if (version <= r->highest_version || r->status.armed)
    return 409;
  m = parse_map (g, sets);
  if (!m)
    return 409;
  for (int s = 0; s < g->shape.sets; s++)
    {
      int n_set_added = 0;

      for (int p = 0; p < g->shape.places; p++)
        {
          int e = cf_group_map_row (m, s, r->status.rank)[p];

          if (e >= 0 && !cf_group_map_holds (g->map, s, r->status.rank, e))
            n_set_added++;
        }
      n_added += n_set_added;
      if (n_set_added > g->shape.spare)
        {
          cf_group_map_free (m);
          return 409;
        }
    }
  r->highest_version = version;
  cf_group_map_free (r->next_map);
  r->next_map = m;
  r->status.prepared = 0;
  r->copying_version = version;
  ev_timer_stop (g->loop, &r->copy_timer);
  ev_timer_set (&r->copy_timer, g->shape.copy_ms * n_added / 1000, 0);
  ev_timer_start (g->loop, &r->copy_timer);
  return 202;
}

static int
arm_map (FakeRank *r, gint64 version, gint64 step)
{
  if (r->status.armed == version && r->armed_step == step)
    return 200;
  if (r->status.armed || r->status.prepared != version
      || step <= r->status.step)
    return 409;
  r->status.armed = version;
  r->armed_step = step;
  return 202;
}

static int
hold_pass (FakeRank *r, gint64 step)
{
  if (r->status.held == step)
    return 200;
  if (r->status.held || step <= r->status.step)
    return 409;
  r->status.held = step;
  return 202;
}

static int
execute_order (FakeGroup *g, FakeRank *r, const char *op, const json_t *o)
{
  gint64 version = json_integer_value (json_object_get (o, "version"));
  gint64 step = json_integer_value (json_object_get (o, "step"));

  if (strcmp (op, "prepare") == 0)
    return prepare_map (g, r, version, json_object_get (o, "map"));
  if (strcmp (op, "arm") == 0)
    return arm_map (r, version, step);
  if (strcmp (op, "hold") == 0)
    return hold_pass (r, step);
  if (strcmp (op, "disarm") == 0)
    {
      if (r->status.map == version)
        return 409;
      if (r->status.armed == version)
        r->status.armed = 0;
      return 200;
    }
  if (strcmp (op, "go") == 0)
    {
      if (r->status.held == step)
        r->status.held = 0;
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
      status = execute_order (g, r, op, o);
    }
  json_decref (o);
  return status;
}

/* Map 0 assigns the experts to the ranks round-robin. */
/* Exits the program if the ranks have not enough places for all experts. */
static void
check_places (const FakeGroupShape *shape)
{
  if (shape->experts <= shape->ranks * shape->places)
    return;
  fprintf (stderr, "%d experts need more than %d ranks of %d places\n",
           shape->experts, shape->ranks, shape->places);
  exit (1);
}

static void
assign_initial_map (FakeGroup *g)
{
  const FakeGroupShape *shape = &g->shape;
  gsize n = (gsize)shape->sets * shape->ranks * shape->places;

  for (gsize i = 0; i < n; i++)
    g->map->held[i] = -1;
  for (int s = 0; s < shape->sets; s++)
    for (int e = 0; e < shape->experts; e++)
      cf_group_map_row (g->map, s, e % shape->ranks)[e / shape->ranks]
          = (gint16)e;
}

void
fake_group_restart_rank (FakeGroup *g, int rank)
{
  FakeRank *r = &g->ranks[rank];

  g->epoch++;
  assign_initial_map (g);
  memset (r->expert_counts, 0,
          sizeof *r->expert_counts * (gsize)(g->shape.sets * g->shape.experts));
  r->fence = 0;
  for (int i = 0; i < g->shape.ranks; i++)
    {
      FakeRank *other = &g->ranks[i];

      ev_timer_stop (g->loop, &other->copy_timer);
      g_clear_pointer (&other->next_map, cf_group_map_free);
      other->copying_version = 0;
      other->highest_version = 0;
      other->status.epoch = g->epoch;
      other->status.map = 0;
      other->status.prepared = 0;
      other->status.armed = 0;
      other->status.held = 0;
    }
  fake_group_start_passes (g);
}

/* The group has formed again: the streams that waited for it are reset. */
static void
on_open (struct ev_loop *loop, ev_timer *t, int revents)
{
  FakeGroup *g = t->data;

  for (int i = 0; i < g->shape.ranks; i++)
    while (!TAILQ_EMPTY (&g->ranks[i].streams))
      {
        FakeStream *st = TAILQ_FIRST (&g->ranks[i].streams);

        st->cut = FAKE_CUT_RESET;
        cut_stream (st);
      }
  fake_group_restart_rank (g, g->lost_rank);
}

void
fake_group_close (FakeGroup *g, int rank, const char *addr)
{
  if (g->shape.form_ms <= 0)
    return;
  g->lost_rank = rank;
  g->lost_addr = addr;
  ev_timer_stop (g->loop, &g->pass_timer);
  ev_timer_stop (g->loop, &g->open_timer);
  ev_timer_set (&g->open_timer, g->shape.form_ms / 1000, 0);
  ev_timer_start (g->loop, &g->open_timer);
}

gboolean
fake_group_is_closed (const FakeGroup *g)
{
  return ev_is_active (&g->open_timer);
}

FakeGroup *
fake_group_new (struct ev_loop *loop, const char *name,
                const FakeGroupShape *shape)
{
  FakeGroup *g = g_new0 (FakeGroup, 1);
  const CfGroupShape map_shape = { .sets = shape->sets,
                                   .experts = shape->experts,
                                   .ranks = shape->ranks,
                                   .places = shape->places,
                                   .spare = shape->spare };

  check_places (shape);
  g->loop = loop;
  g->shape = *shape;
  g->epoch = 1;
  g->start_s = ev_now (loop);
  g->map = cf_group_map_new (&map_shape);
  assign_initial_map (g);
  g->ranks = g_new0 (FakeRank, shape->ranks);
  for (int i = 0; i < shape->ranks; i++)
    {
      FakeRank *r = &g->ranks[i];

      g_strlcpy (r->status.group, name, sizeof r->status.group);
      r->status.rank = i;
      r->status.size = shape->ranks;
      r->status.epoch = 1;
      r->status.open = TRUE;
      r->expert_counts = g_new0 (gint64, (gsize)shape->sets * shape->experts);
      TAILQ_INIT (&r->streams);
      ev_timer_init (&r->copy_timer, on_copy_done, 0, 0);
      r->copy_timer.data = r;
    }
  ev_timer_init (&g->pass_timer, on_pass_end, 0, 0);
  g->pass_timer.data = g;
  ev_timer_init (&g->open_timer, on_open, 0, 0);
  g->open_timer.data = g;
  return g;
}
