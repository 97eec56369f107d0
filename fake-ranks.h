#pragma once

#include "expert-map.h"
#include "http-server.h"
#include "map-change.h"

#include <pthread.h>

/**
 * FakeRanks:
 * The ranks of comfrey-fake-engine's group: each has its own expert map
 * and obeys orders on its own, as real ranks do; nothing here compares
 * maps but the count of steps in which they differed, for tests.
 */
typedef struct FakeRank FakeRank;

typedef struct
{
  pthread_mutex_t *lock; /**< the engine's; held around every call below */
  pthread_cond_t moved;  /**< a hold ended */
  FakeRank *ranks;
  int n;
  int experts;
  int places;
  gint64 copy_ms;    /**< to copy one expert to a rank, without a store */
  char *weights_url; /**< the weight store to copy from, or %NULL */
  gint64 expert_mb;
  gint64 step;  /**< the last step begun */
  gint64 mixed; /**< steps in which two ranks used different maps */
  gint64 switches;
  double slowest; /**< tokens of the slowest rank, summed over the steps */
  double mean;    /**< tokens of a rank on average, summed likewise */
  gboolean check_fence;
  gint64 fence;
} FakeRanks;

void fake_ranks_init (FakeRanks *f, pthread_mutex_t *lock, int experts, int n,
                      int places, gint64 copy_ms);

/** fake_ranks_copy_from: copies come from a weight store from now on. */
void fake_ranks_copy_from (FakeRanks *f, const char *url, gint64 expert_mb);

/**
 * fake_ranks_begin_step:
 * Waits while any rank holds the next step, begins it, and switches the
 * ranks that are armed for it.
 * @stall_ms: (out): how much longer a stalled rank makes this step
 * Returns: the map of rank 0.
 */
const CfExpertMap *fake_ranks_begin_step (FakeRanks *f, gint64 *stall_ms);

/**
 * fake_ranks_obey:
 * @o: an order's JSON object, as /v1/ranks/N/order takes it
 * Returns: %NULL once carried out, or why it is refused.
 */
const char *fake_ranks_obey (FakeRanks *f, int rank, json_t *o);

/** fake_ranks_read: what /v1/ranks/N/report says of @rank. */
void fake_ranks_read (const FakeRanks *f, int rank, CfRankReport *out);

/** fake_ranks_map: the map in use at rank 0. */
const CfExpertMap *fake_ranks_map (const FakeRanks *f);

/** fake_ranks_clear: frees what fake_ranks_init() took. */
void fake_ranks_clear (FakeRanks *f);

/** fake_ranks_version: the version of rank 0's map. */
gint64 fake_ranks_version (const FakeRanks *f);

/**
 * fake_ranks_http:
 * Serves /v1/ranks/N/order, /v1/ranks/N/report, /test/rank and
 * /test/steps; takes the lock itself.
 * @waiting: requests waiting or running, for the reports
 * Returns: %FALSE if the path is none of these.
 */
gboolean fake_ranks_http (FakeRanks *f, const CfHttpRequest *req, int waiting,
                          CfHttpReply *rep);
