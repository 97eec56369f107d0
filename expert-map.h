#pragma once

#include <glib.h>

/**
 * CfExpertMap:
 * Which rank of a group holds each expert, for one version of the map.
 * All ranks of a group step on one version at a time.
 */
typedef struct
{
  gint64 version;
  int experts;
  int ranks;
  int *rank_of; /**< experts entries, each in [0, ranks) */
} CfExpertMap;

/** cf_expert_map_new: expert e on rank e % ranks, version 1. */
CfExpertMap *cf_expert_map_new (int experts, int ranks);
void cf_expert_map_free (CfExpertMap *m);

/**
 * cf_expert_map_step_load:
 * @tokens_per_expert: experts entries, tokens routed to each this step
 * @load: (out): ranks entries, tokens each rank computes this step
 *
 * Returns: the largest rank load, which sets the group's step time since
 * every rank waits for the slowest.
 */
int cf_expert_map_step_load (const CfExpertMap *m, const int *tokens_per_expert,
                             int *load);
