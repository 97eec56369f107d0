#pragma once

#include "fake-target.h"
#include "gateway/group-map.h"
#include "gateway/rank.h"

#include <sys/queue.h>

/** FakeStream: a stream that a rank writes; embedded in the rank's own. */
typedef struct FakeStream FakeStream;

struct FakeStream
{
  TAILQ_ENTRY (FakeStream) link;
  FakeConn *c;
  int next_event;
  int last_event;
  gboolean begun;
  char *head;      /**< the answer's header lines */
  int cut_after;   /**< breaks off in the middle of this event; -1: not */
  int idle_passes; /**< passes that it does not write in yet */
};

/** FakeRank: one rank's part of the group. */
typedef struct
{
  CfRankStatus s;
  gint64 armed_step;
  gint64 had; /**< highest version it was told to prepare */
  gint64 fence;
  gint64 copying; /**< version being copied; 0: none */
  ev_timer copy;
  CfGroupMap *next; /**< the map of @copying or of s.prepared */
  TAILQ_HEAD (, FakeStream) streams;
  gint64 *counts; /**< sets x experts */
} FakeRank;

struct FakeGroup
{
  struct ev_loop *loop;
  FakeGroupShape shape;
  CfGroupMap *map; /**< in use: each rank switches its own rows */
  FakeRank *ranks;
  ev_timer pass;
  double started; /**< on the loop's clock */
  gint64 epoch;
  guint64 mixed; /**< passes begun while two ranks had different maps */
  guint64 passes;
  double skew_sum;
};

/** fake_group_handle_order: what a rank does with an order; the HTTP status. */
int fake_group_handle_order (FakeGroup *g, int rank, const char *json, gsize n);

/** fake_group_restart_rank: the target of @rank started anew: the group forms
 * anew too, with its first map and nothing prepared, armed or held. */
void fake_group_restart_rank (FakeGroup *g, int rank);

/** fake_group_start_passes: work came; passes begin if none is running. */
void fake_group_start_passes (FakeGroup *g);
