#pragma once

#include "fake-target.h"
#include "gateway/group-map.h"
#include "gateway/rank.h"

#include <sys/queue.h>

/** FakeStream: an event stream that a rank sends, one event per pass. */
typedef struct FakeStream FakeStream;

struct FakeStream
{
  TAILQ_ENTRY (FakeStream) link;
  FakeConn *conn;
  int next_event;
  int last_event;
  int unnumbered_from; /**< the first event without an id; 0: all have one */
  gboolean is_begun;   /**< the head of the answer was sent */
  char *headers;       /**< header lines of the answer */
  FakeFraming framing;
  FakeCut cut;
  gsize cut_at;        /**< it breaks off after this many bytes of its body */
  gsize n_sent;        /**< bytes of its body sent so far */
  int passes_to_start; /**< passes until it writes its first event */
  gboolean is_fatal;   /**< crashes the rank */
};

/** fake_stream_length: the bytes of the events from @first to @last, of which
 * those from @unnumbered_from on, if it is not 0, have no id. */
gsize fake_stream_length (int first, int last, int unnumbered_from);

/** FakeRank: the state of one rank of the group. */
typedef struct
{
  CfRankStatus status;
  gint64 armed_step;      /**< first pass that uses the armed map */
  gint64 highest_version; /**< of the maps that it was ordered to prepare */
  gint64 fence;           /**< highest fencing token of an order */
  gint64 copying_version; /**< 0: none */
  ev_timer copy_timer;
  CfGroupMap *next_map; /**< of @copying_version or status.prepared */
  TAILQ_HEAD (, FakeStream) streams;
  gint64 *expert_counts; /**< sets x experts; times each was chosen */
} FakeRank;

/** FakeGroup: a rank group, whose ranks run their passes in lock step. */
struct FakeGroup
{
  struct ev_loop *loop;
  FakeGroupShape shape;
  CfGroupMap *map; /**< in use; a rank that switches replaces its own rows */
  FakeRank *ranks;
  ev_timer pass_timer;
  ev_timer open_timer;   /**< active while the group forms again */
  int lost_rank;         /**< the rank that it forms again for */
  const char *lost_addr; /**< of @lost_rank */
  double start_s;        /**< on the loop's clock */
  gint64 epoch;
  guint64 n_mixed; /**< passes begun while two ranks had different maps */
  guint64 n_passes;
  double skew_sum; /**< sum of the load skew at the end of each pass */
};

/**
 * fake_group_handle_order: executes an order to @rank.
 * @json: the body of the order, of @n bytes
 * Returns: the HTTP status of the answer
 */
int fake_group_handle_order (FakeGroup *g, int rank, const char *json, gsize n);

/** fake_group_restart_rank: simulates a restart of @rank.  The group
 * re-forms under the next epoch, with map 0 and nothing prepared, armed or
 * held. */
void fake_group_restart_rank (FakeGroup *g, int rank);

/** fake_group_close: @rank at @addr has crashed: if the shape of the group says
 * so, it is closed until it has formed again. */
void fake_group_close (FakeGroup *g, int rank, const char *addr);

/** fake_group_is_closed: whether the group forms again. */
gboolean fake_group_is_closed (const FakeGroup *g);

/** fake_group_start_passes: starts the group's passes unless they are running;
 * they stop by themselves once no rank has a stream. */
void fake_group_start_passes (FakeGroup *g);
