#pragma once

#include "error.h"

#include <glib.h>
#include <jansson.h>

/**
 * CfExpertMap:
 * Which experts each rank of a group holds, for one version of the map.
 * Every rank has the same number of places; an expert may be held by
 * several ranks, which then share its tokens evenly.
 */
typedef struct
{
  gint64 version;
  int experts;
  int ranks;
  int places;  /**< per rank */
  int *held;   /**< ranks x places; an expert, or -1 for an empty place */
  int *copies; /**< experts entries: how many ranks hold each */
} CfExpertMap;

/**
 * cf_expert_map_new:
 * Version 1: expert e on rank e % ranks, spare places empty.  @places is
 * raised to what the experts need if it is less.
 */
CfExpertMap *cf_expert_map_new (int experts, int ranks, int places);
CfExpertMap *cf_expert_map_copy (const CfExpertMap *m);
void cf_expert_map_free (CfExpertMap *m);

/** cf_expert_map_rank_has: whether @rank holds @expert. */
gboolean cf_expert_map_rank_has (const CfExpertMap *m, int rank, int expert);

/**
 * cf_expert_map_set:
 * Puts @expert (or -1) in @place of @rank, keeping @m->copies right.
 */
void cf_expert_map_set (CfExpertMap *m, int rank, int place, int expert);

/**
 * cf_expert_map_count_added:
 * Returns: how many (rank, expert) pairs @to holds that @from does not:
 * the experts to copy for the change.
 */
int cf_expert_map_count_added (const CfExpertMap *from, const CfExpertMap *to);

/**
 * cf_expert_map_compute_load:
 * @tokens: experts entries: the tokens routed to each
 * @load: (out): ranks entries: the tokens each rank computes
 *
 * Returns: the largest rank's load, which sets the group's step time since
 * every rank waits for the slowest.
 */
double cf_expert_map_compute_load (const CfExpertMap *m, const double *tokens,
                                   double *load);

/** cf_expert_map_to_json: an array of ranks, each an array of experts. */
json_t *cf_expert_map_to_json (const CfExpertMap *m);

/**
 * cf_expert_map_from_json:
 * @places: the places a rank has
 * Returns: %CF_OK, or %CF_ERR_RECORD naming what is wrong: each expert must
 * be on one rank or more, and at most @places on a rank, none twice.
 */
CfStatus cf_expert_map_from_json (const json_t *ranks, int experts, int places,
                                  gint64 version, CfExpertMap **out);
