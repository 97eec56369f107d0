#include "map-history.h"

#include <string.h>

void
cf_map_history_clear (CfMapHistory *h)
{
  cf_group_map_free (h->in_use);
  cf_group_map_free (h->newest);
  memset (h, 0, sizeof *h);
}

static const CfGroupMap *
find_map (const CfMapHistory *h, gint64 version)
{
  if (h->newest && h->newest_version == version)
    return h->newest;
  return h->in_use && h->in_use_version == version ? h->in_use : NULL;
}

static gboolean
has_shape (const CfGroupMap *m, const CfGroupShape *shape)
{
  return m->shape.sets == shape->sets && m->shape.experts == shape->experts
         && m->shape.ranks == shape->ranks && m->shape.places == shape->places;
}

CfGroupMap *
cf_map_history_build_map (const CfMapHistory *h, const CfGroupShape *shape,
                          gint64 base, const GArray *rows)
{
  const CfGroupMap *from = base ? find_map (h, base) : NULL;
  CfGroupMap *m;

  if ((gint64)shape->sets * shape->ranks * shape->places > CF_MAP_PLACES_MAX)
    return NULL;
  if (base && (!from || !has_shape (from, shape)))
    return NULL;
  m = from ? cf_group_map_copy (from) : cf_group_map_round_robin (shape);
  if (!cf_group_map_apply_diff (m, rows))
    g_clear_pointer (&m, cf_group_map_free);
  return m;
}

void
cf_map_history_add (CfMapHistory *h, CfGroupMap *map, gint64 version)
{
  cf_group_map_free (h->newest);
  h->newest = map;
  h->newest_version = version;
}

void
cf_map_history_set_in_use (CfMapHistory *h, gint64 version)
{
  if (!h->newest || h->newest_version != version)
    return;
  cf_group_map_free (h->in_use);
  h->in_use = g_steal_pointer (&h->newest);
  h->in_use_version = version;
  h->newest_version = 0;
}
