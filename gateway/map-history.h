#pragma once

#include "group-map.h"

/** Maximum places of a whole map (sets x ranks x places of a rank); a message
 * that claims more is invalid. */
#define CF_MAP_PLACES_MAX 1048576

/**
 * CfMapHistory:
 * The whole maps that a rank's agent has received, so that a leader may send
 * the next one as a diff.  It keeps the map in use and the newest one; all
 * others are dropped.
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
 * @base: version that @rows change; 0: the map that a group starts with, which
 *   places the experts round-robin
 * Returns: (nullable): a new map, or %NULL if @base is not known or @rows do
 *   not fit @shape.
 */
CfGroupMap *cf_map_history_build_map (const CfMapHistory *h,
                                      const CfGroupShape *shape, gint64 base,
                                      const GArray *rows);

/** cf_map_history_add: adds @map as @version, the newest; takes ownership. */
void cf_map_history_add (CfMapHistory *h, CfGroupMap *map, gint64 version);

/** cf_map_history_set_in_use: the rank now uses @version. */
void cf_map_history_set_in_use (CfMapHistory *h, gint64 version);
