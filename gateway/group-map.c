#include "group-map.h"

#include <string.h>

static gsize
n_places (const CfGroupShape *shape)
{
  return (gsize)shape->sets * shape->ranks * shape->places;
}

CfGroupMap *
cf_group_map_new (const CfGroupShape *shape)
{
  CfGroupMap *m = g_new0 (CfGroupMap, 1);
  gsize n = n_places (shape);

  m->shape = *shape;
  m->held = g_new (gint16, n);
  for (gsize i = 0; i < n; i++)
    m->held[i] = -1;
  return m;
}

CfGroupMap *
cf_group_map_copy (const CfGroupMap *m)
{
  CfGroupMap *c = cf_group_map_new (&m->shape);

  memcpy (c->held, m->held, n_places (&m->shape) * sizeof *c->held);
  return c;
}

CfGroupMap *
cf_group_map_round_robin (const CfGroupShape *shape)
{
  CfGroupMap *m = cf_group_map_new (shape);

  for (int s = 0; s < shape->sets; s++)
    for (int e = 0; e < shape->experts; e++)
      if (e / shape->ranks < shape->places)
        cf_group_map_row (m, s, e % shape->ranks)[e / shape->ranks] = (gint16)e;
  return m;
}

/* Whether @other contains all experts of @row. */
static gboolean
contains_all (const gint16 *row, const gint16 *other, int places)
{
  for (int i = 0; i < places; i++)
    {
      int p = 0;

      while (p < places && row[i] >= 0 && other[p] != row[i])
        p++;
      if (p == places)
        return FALSE;
    }
  return TRUE;
}

GArray *
cf_group_map_diff (const CfGroupMap *from, const CfGroupMap *to)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (gint64));
  int places = to->shape.places;

  for (gint64 row = 0; row < (gint64)to->shape.sets * to->shape.ranks; row++)
    {
      const gint16 *a = from->held + row * places;
      const gint16 *b = to->held + row * places;

      if (contains_all (a, b, places) && contains_all (b, a, places))
        continue;
      g_array_append_val (rows, row);
      for (int p = 0; p < places; p++)
        {
          gint64 expert = b[p];

          g_array_append_val (rows, expert);
        }
    }
  return rows;
}

gboolean
cf_group_map_apply_diff (CfGroupMap *m, const GArray *rows)
{
  const CfGroupShape *sh = &m->shape;
  guint width = (guint)sh->places + 1;

  for (guint i = 0; i + width <= rows->len; i += width)
    {
      gint64 row = g_array_index (rows, gint64, i);

      if (row < 0 || row >= (gint64)sh->sets * sh->ranks)
        return FALSE;
      for (int p = 0; p < sh->places; p++)
        {
          gint64 expert = g_array_index (rows, gint64, i + 1 + p);

          if (expert < -1 || expert >= sh->experts)
            return FALSE;
          m->held[row * sh->places + p] = (gint16)expert;
        }
    }
  return rows->len % width == 0;
}

void
cf_group_map_free (CfGroupMap *m)
{
  if (!m)
    return;
  g_free (m->held);
  g_free (m);
}

gint16 *
cf_group_map_row (const CfGroupMap *m, int set, int rank)
{
  return m->held + ((gsize)set * m->shape.ranks + rank) * m->shape.places;
}

gboolean
cf_group_map_holds (const CfGroupMap *m, int set, int rank, int expert)
{
  const gint16 *at = cf_group_map_row (m, set, rank);

  for (int p = 0; p < m->shape.places; p++)
    if (at[p] == expert)
      return TRUE;
  return FALSE;
}

void
cf_group_map_count_copies (const CfGroupMap *m, int set, int *copies)
{
  memset (copies, 0, sizeof *copies * m->shape.experts);
  for (int r = 0; r < m->shape.ranks; r++)
    for (int p = 0; p < m->shape.places; p++)
      {
        int e = cf_group_map_row (m, set, r)[p];

        if (e >= 0 && e < m->shape.experts)
          copies[e]++;
      }
}

gboolean
cf_group_map_is_complete (const CfGroupMap *m)
{
  g_autofree int *copies = g_new (int, m->shape.experts);

  for (int s = 0; s < m->shape.sets; s++)
    {
      cf_group_map_count_copies (m, s, copies);
      for (int e = 0; e < m->shape.experts; e++)
        if (copies[e] == 0)
          return FALSE;
    }
  return TRUE;
}

int
cf_group_map_count_rank_added (const CfGroupMap *from, const CfGroupMap *to,
                               int set, int rank)
{
  int n = 0;

  for (int p = 0; p < to->shape.places; p++)
    {
      int e = cf_group_map_row (to, set, rank)[p];

      if (e >= 0 && !cf_group_map_holds (from, set, rank, e))
        n++;
    }
  return n;
}

int
cf_group_map_count_added (const CfGroupMap *from, const CfGroupMap *to)
{
  int n = 0;

  for (int s = 0; s < to->shape.sets; s++)
    for (int r = 0; r < to->shape.ranks; r++)
      n += cf_group_map_count_rank_added (from, to, s, r);
  return n;
}
