#include "seed-order.h"

static gboolean
is_local (const CfSeedOrder *o, guint seed)
{
  return o->group_data_centre
         && g_strcmp0 (o->data_centres[seed], o->group_data_centre) == 0;
}

guint
cf_seed_order_ahead (const CfSeedOrder *o, guint seed)
{
  guint own_place = (seed + o->n - o->first) % o->n;
  guint ahead = 0;

  for (guint i = 0; i < o->n; i++)
    {
      guint other = (o->first + i) % o->n;
      gboolean precedes = is_local (o, other) == is_local (o, seed)
                              ? i < own_place
                              : is_local (o, other);

      if (precedes)
        ahead |= 1U << other;
    }
  return ahead;
}

guint
cf_seed_order_local (const CfSeedOrder *o)
{
  guint local = 0;

  for (guint i = 0; i < o->n; i++)
    if (is_local (o, i))
      local |= 1U << i;
  return local;
}

gboolean
cf_seed_order_may_change (const CfSeedOrder *o, guint seed)
{
  if (!o->group_data_centre || is_local (o, seed))
    return FALSE;
  for (guint i = 0; i < o->n; i++)
    if (i != seed && !o->data_centres[i])
      return TRUE;
  return FALSE;
}
