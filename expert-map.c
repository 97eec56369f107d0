#include "expert-map.h"

#include <string.h>

CfExpertMap *
cf_expert_map_new (int experts, int ranks)
{
  CfExpertMap *m = g_new0 (CfExpertMap, 1);

  m->version = 1;
  m->experts = experts;
  m->ranks = ranks;
  m->rank_of = g_new (int, experts);
  for (int e = 0; e < experts; e++)
    m->rank_of[e] = e % ranks;
  return m;
}

void
cf_expert_map_free (CfExpertMap *m)
{
  if (m == NULL)
    return;
  g_free (m->rank_of);
  g_free (m);
}

int
cf_expert_map_step_load (const CfExpertMap *m, const int *tokens_per_expert,
                         int *load)
{
  int max = 0;

  memset (load, 0, sizeof *load * m->ranks);
  for (int e = 0; e < m->experts; e++)
    load[m->rank_of[e]] += tokens_per_expert[e];
  for (int r = 0; r < m->ranks; r++)
    max = MAX (max, load[r]);
  return max;
}
