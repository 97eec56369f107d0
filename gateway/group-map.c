#include "group-map.h"

#include <string.h>

CfGroupMap *
cf_group_map_new (const CfGroupShape *shape)
{
  CfGroupMap *m = g_new0 (CfGroupMap, 1);
  gsize n = (gsize)shape->sets * shape->ranks * shape->places;

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
  gsize n = (gsize)m->shape.sets * m->shape.ranks * m->shape.places;

  memcpy (c->held, m->held, n * sizeof *c->held);
  return c;
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
cf_group_map_at (const CfGroupMap *m, int set, int rank)
{
  return m->held + ((gsize)set * m->shape.ranks + rank) * m->shape.places;
}

gboolean
cf_group_map_holds (const CfGroupMap *m, int set, int rank, int expert)
{
  const gint16 *at = cf_group_map_at (m, set, rank);

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
        int e = cf_group_map_at (m, set, r)[p];

        if (e >= 0 && e < m->shape.experts)
          copies[e]++;
      }
}

gboolean
cf_group_map_whole (const CfGroupMap *m)
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
cf_group_map_rank_added (const CfGroupMap *from, const CfGroupMap *to, int set,
                         int rank)
{
  int n = 0;

  for (int p = 0; p < to->shape.places; p++)
    {
      int e = cf_group_map_at (to, set, rank)[p];

      if (e >= 0 && !cf_group_map_holds (from, set, rank, e))
        n++;
    }
  return n;
}

int
cf_group_map_added (const CfGroupMap *from, const CfGroupMap *to)
{
  int n = 0;

  for (int s = 0; s < to->shape.sets; s++)
    for (int r = 0; r < to->shape.ranks; r++)
      n += cf_group_map_rank_added (from, to, s, r);
  return n;
}
