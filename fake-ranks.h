#pragma once

#include "expert-map.h"
#include "http-server.h"
#include "map-change.h"

#include <pthread.h>

typedef struct FakeRank FakeRank;

/**
 * FakeRanks:
 * The ranks of the group that comfrey-fake-engine simulates.  As with real
 * ranks, each rank has its own expert map and carries out orders
 * independently of the others.  The maps are compared only to count the
 * passes in which they differed, for tests.
 *
 * A pass is one lock-step forward pass of the group; the keys of the
 * protocol call it a step.
 */
typedef struct
{
  pthread_mutex_t *lock; /**< the engine's lock */
  pthread_cond_t hold_ended;
  FakeRank *ranks;
  int n_ranks;
  int experts;
  int places;            /**< places for experts on each rank */
  gint64 copy_ms;        /**< time to copy one expert if there is no store */
  char *weights_url;     /**< URL of the weight store, or %NULL */
  gint64 expert_mb;      /**< size of one expert */
  gint64 pass;           /**< the last pass begun */
  gint64 mixed_passes;   /**< passes in which two ranks used different maps */
  gint64 switches;       /**< times rank 0 switched to a new map */
  double slowest_tokens; /**< the slowest rank's tokens, sum of all passes */
  double mean_tokens;    /**< mean tokens per rank, sum of all passes */
  gboolean check_fence;  /**< refuse orders with an outdated fencing token */
  gint64 highest_fence;  /**< the highest fencing token received */
} FakeRanks;

/**
 * fake_ranks_init:
 * @lock: the caller holds it in every call except fake_ranks_init(),
 *   fake_ranks_set_weight_store(), fake_ranks_handle_http() and
 *   fake_ranks_clear()
 * @n: the number of ranks
 * @places: places for experts on each rank
 * @copy_ms: time to copy one expert if there is no weight store
 */
void fake_ranks_init (FakeRanks *f, pthread_mutex_t *lock, int experts, int n,
                      int places, gint64 copy_ms);

/**
 * fake_ranks_set_weight_store:
 * Makes ranks download the experts they copy from the weight store at @url.
 */
void fake_ranks_set_weight_store (FakeRanks *f, const char *url,
                                  gint64 expert_mb);

/**
 * fake_ranks_begin_pass:
 * Waits while any rank holds the next pass, begins it, and switches the
 * maps of the ranks that are armed for it.
 * @stall_ms: (out): the time that a stalled rank adds to this pass
 * Returns: the map of rank 0.
 */
const CfExpertMap *fake_ranks_begin_pass (FakeRanks *f, gint64 *stall_ms);

/**
 * fake_ranks_apply_order:
 * Carries out an order at @rank.
 * @o: the JSON object that /v1/ranks/N/order accepts
 * Returns: %NULL if carried out, or the reason for the refusal.
 */
const char *fake_ranks_apply_order (FakeRanks *f, int rank, json_t *o);

/** fake_ranks_read_report: the state of @rank, as in /v1/ranks/N/report. */
void fake_ranks_read_report (const FakeRanks *f, int rank, CfRankReport *out);

/** fake_ranks_map: the map that rank 0 uses. */
const CfExpertMap *fake_ranks_map (const FakeRanks *f);

/** fake_ranks_clear: frees the contents of @f, but not @f itself. */
void fake_ranks_clear (FakeRanks *f);

/** fake_ranks_map_version: the version of the map that rank 0 uses. */
gint64 fake_ranks_map_version (const FakeRanks *f);

/**
 * fake_ranks_handle_http:
 * Serves /v1/ranks/N/order, /v1/ranks/N/report, /test/rank and
 * /test/steps.  Locks the engine's lock itself.
 * @waiting: the number of requests waiting or running, for the reports
 * Returns: %FALSE if the path is none of these.
 */
gboolean fake_ranks_handle_http (FakeRanks *f, const CfHttpRequest *req,
                                 int waiting, CfHttpReply *rep);
