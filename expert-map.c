#include "expert-map.h"

#include <string.h>

static CfExpertMap *
new_empty_map (int experts, int ranks, int places)
{
  CfExpertMap *m = g_new0 (CfExpertMap, 1);
  gsize n_places = (gsize)ranks * (gsize)places;

  m->version = 1;
  m->experts = experts;
  m->ranks = ranks;
  m->places = places;
  m->copies = g_new0 (int, experts);
  m->held = g_new (int, n_places);
  /* All bits set makes each int -1, an empty place. */
  memset (m->held, 0xff, n_places * sizeof *m->held);
  return m;
}

CfExpertMap *
cf_expert_map_new (int experts, int ranks, int places)
{
  int min_places = (experts + ranks - 1) / ranks;
  CfExpertMap *m = new_empty_map (experts, ranks, MAX (places, min_places));

  for (int e = 0; e < experts; e++)
    cf_expert_map_set (m, e % ranks, e / ranks, e);
  return m;
}

CfExpertMap *
cf_expert_map_copy (const CfExpertMap *m)
{
  CfExpertMap *c = new_empty_map (m->experts, m->ranks, m->places);

  c->version = m->version;
  memcpy (c->held, m->held, sizeof *m->held * m->ranks * m->places);
  memcpy (c->copies, m->copies, sizeof *m->copies * m->experts);
  return c;
}

void
cf_expert_map_free (CfExpertMap *m)
{
  if (m == NULL)
    return;
  g_free (m->held);
  g_free (m->copies);
  g_free (m);
}

gboolean
cf_expert_map_rank_has (const CfExpertMap *m, int rank, int expert)
{
  for (int p = 0; p < m->places; p++)
    if (m->held[rank * m->places + p] == expert)
      return TRUE;
  return FALSE;
}

void
cf_expert_map_set (CfExpertMap *m, int rank, int place, int expert)
{
  int *at = &m->held[rank * m->places + place];

  if (*at >= 0)
    m->copies[*at]--;
  *at = expert;
  if (expert >= 0)
    m->copies[expert]++;
}

int
cf_expert_map_count_added (const CfExpertMap *from, const CfExpertMap *to)
{
  int added = 0;

  for (int r = 0; r < to->ranks; r++)
    for (int p = 0; p < to->places; p++)
      {
        int e = to->held[r * to->places + p];

        added += e >= 0 && !cf_expert_map_rank_has (from, r, e);
      }
  return added;
}

double
cf_expert_map_compute_load (const CfExpertMap *m, const double *tokens,
                            double *load)
{
  double max = 0;

  for (int r = 0; r < m->ranks; r++)
    {
      load[r] = 0;
      for (int p = 0; p < m->places; p++)
        {
          int e = m->held[r * m->places + p];

          if (e >= 0)
            load[r] += tokens[e] / m->copies[e];
        }
      max = MAX (max, load[r]);
    }
  return max;
}

json_t *
cf_expert_map_to_json (const CfExpertMap *m)
{
  json_t *ranks = json_array ();

  for (int r = 0; r < m->ranks; r++)
    {
      json_t *held = json_array ();

      for (int p = 0; p < m->places; p++)
        if (m->held[r * m->places + p] >= 0)
          json_array_append_new (held,
                                 json_integer (m->held[r * m->places + p]));
      json_array_append_new (ranks, held);
    }
  return ranks;
}

CfStatus
cf_expert_map_from_json (const json_t *ranks, int experts, int places,
                         gint64 version, CfExpertMap **out)
{
  CfExpertMap *m
      = new_empty_map (experts, (int)json_array_size (ranks), places);
  CfStatus st = CF_OK;
  json_t *held;
  json_t *v;
  size_t r, p;

  m->version = version;
  json_array_foreach (ranks, r, held)
  {
    if (json_array_size (held) > (size_t)places)
      {
        st = cf_fail (CF_ERR_RECORD, "put fewer experts on that rank",
                      "rank %zu has %zu experts for %d places", r,
                      json_array_size (held), places);
        goto out;
      }
    json_array_foreach (held, p, v)
    {
      gint64 e = json_is_integer (v) ? json_integer_value (v) : -1;

      if (e < 0 || e >= experts || cf_expert_map_rank_has (m, (int)r, (int)e))
        {
          st = cf_fail (CF_ERR_RECORD,
                        "list each expert once per rank, by its number",
                        "rank %zu place %zu: not an expert from 0 to %d, or a "
                        "repeated one",
                        r, p, experts - 1);
          goto out;
        }
      cf_expert_map_set (m, (int)r, (int)p, (int)e);
    }
  }
  for (int e = 0; e < experts && st == CF_OK; e++)
    if (m->copies[e] == 0)
      st = cf_fail (CF_ERR_RECORD, "put every expert on at least one rank",
                    "expert %d is on no rank", e);
out:
  if (st == CF_OK)
    *out = m;
  else
    cf_expert_map_free (m);
  return st;
}
