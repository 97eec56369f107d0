#pragma once

#include "error.h"

#include <glib.h>
#include <jansson.h>

/**
 * CfExpertMap:
 * One version of the assignment of experts to the ranks of a group.  Every
 * rank has the same number of places, each for one copy of an expert.  An
 * expert may have copies on several ranks, which share its tokens evenly.
 */
typedef struct
{
  gint64 version;
  int experts;
  int ranks;
  int places;  /**< number of places on each rank */
  int *held;   /**< [ranks * places]: an expert, or -1 for an empty place */
  int *copies; /**< [experts]: the number of ranks that hold each */
} CfExpertMap;

/**
 * cf_expert_map_new:
 * Creates map version 1, with expert e on rank e % ranks and the remaining
 * places empty.  Raises @places if it is too small for all experts.
 */
CfExpertMap *cf_expert_map_new (int experts, int ranks, int places);
CfExpertMap *cf_expert_map_copy (const CfExpertMap *m);
void cf_expert_map_free (CfExpertMap *m);

/**
 * cf_expert_map_rank_has: whether @rank holds @expert, or has an empty place
 * if @expert is -1.
 */
gboolean cf_expert_map_rank_has (const CfExpertMap *m, int rank, int expert);

/**
 * cf_expert_map_set:
 * Puts @expert, or -1 for none, in @place of @rank and updates @m->copies.
 */
void cf_expert_map_set (CfExpertMap *m, int rank, int place, int expert);

/**
 * cf_expert_map_count_added:
 * Returns: the number of copies that a change to @to has to make, that is of
 * (rank, expert) pairs in @to but not in @from.
 */
int cf_expert_map_count_added (const CfExpertMap *from, const CfExpertMap *to);

/**
 * cf_expert_map_compute_load:
 * @tokens: [experts]: the tokens routed to each expert
 * @load: (out): [ranks]: the tokens that each rank computes
 *
 * Returns: the load of the most loaded rank, which determines how long a step
 * takes, since every rank waits for the slowest.
 */
double cf_expert_map_compute_load (const CfExpertMap *m, const double *tokens,
                                   double *load);

/** cf_expert_map_to_json: returns an array of experts for each rank. */
json_t *cf_expert_map_to_json (const CfExpertMap *m);

/**
 * cf_expert_map_from_json:
 * @ranks: an array of experts for each rank
 * @places: the number of places of a rank
 *
 * Returns: %CF_OK, or %CF_ERR_RECORD if an expert is on no rank, or a rank
 * has more than @places experts or one of them twice.
 */
CfStatus cf_expert_map_from_json (const json_t *ranks, int experts, int places,
                                  gint64 version, CfExpertMap **out);
