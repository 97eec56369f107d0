#pragma once

#include "group-map.h"

/** Places of a whole map, at most: what claims more is no group's. */
#define CF_MAP_PLACES_MAX 1048576

/**
 * CfMapHistory:
 * The whole maps that a rank's agent was told of, so that a leader may name
 * the next one by what it changes.  One that is neither in use nor the newest
 * is dropped.
 */
typedef struct
{
  CfGroupMap *in_use;
  gint64 in_use_version;
  CfGroupMap *newest;
  gint64 newest_version;
} CfMapHistory;

void cf_map_history_clear (CfMapHistory *h);

/**
 * cf_map_history_build_map:
 * @base: the version that @rows change; 0: experts in turn, by which a group
 *   begins
 * Returns: (nullable): a new map, or %NULL if @base is not known or @rows do
 *   not fit @shape.
 */
CfGroupMap *cf_map_history_build_map (const CfMapHistory *h,
                                      const CfGroupShape *shape, gint64 base,
                                      const GArray *rows);

/** cf_map_history_add: @map, taken over, is @version. */
void cf_map_history_add (CfMapHistory *h, CfGroupMap *map, gint64 version);

/** cf_map_history_set_in_use: the rank uses @version from now on. */
void cf_map_history_set_in_use (CfMapHistory *h, gint64 version);
