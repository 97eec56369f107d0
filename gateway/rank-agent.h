#pragma once

#include "expert-counts.h"
#include "map-history.h"
#include "peer-link.h"
#include "peer-msg.h"
#include "platform/platform-settings.h"
#include "reading-log.h"
#include "target.h"

typedef struct CfRankAgent CfRankAgent;

/** CfSeed: a gateway that the settings name as seed; each may lead the
 * group. */
typedef struct
{
  CfRankAgent *agent;
  int index;
  struct sockaddr_in addr;
  gboolean has_addr; /**< @addr could be parsed */
  CfPeerLink *link;
  gboolean up;              /**< the link is connected */
  gint64 heartbeat_seen_ms; /**< when its last heartbeat came; 0: none on this
                               link */
  gint64 fence; /**< its token, by that heartbeat; 0: it does not lead */
  gint64 read_interval_ms; /**< interval, by that heartbeat, at which the rank
                                is to be read while this seed leads */
  gint64 status_sent_ms;   /**< when a status was last sent to it */
} CfSeed;

/**
 * CfRankAgent:
 * The process beside a rank.  It reads the rank's state and counters, which
 * only the rank's own VM can do at no cost to the group, sends them to the
 * gateway that leads the group, and passes that gateway's orders on to the
 * rank.  Its only decision is which fencing tokens are too old.
 */
struct CfRankAgent
{
  struct ev_loop *loop;
  CfPlatformSettings settings;
  CfTarget *target; /**< the rank on this VM */
  CfSeed seeds[CF_SEEDS_MAX];
  int n_seeds;
  gint64 highest_fence; /**< highest token of a leader */
  CfRankStatus status;
  CfRankStatus sent_status; /**< the one last sent to the leader */
  gboolean has_status;
  CfMapHistory maps;        /**< of its group */
  CfQuarantine *quarantine; /**< replica for gateways that restart */
  CfExpertCounts counts;
  CfReadingLog dropped;    /**< of its rank */
  gint64 copying_version;  /**< version the rank is copying; 0: none */
  gint64 copying_since_ms; /**< when that copy began */
  gboolean read_pending;   /**< a read of report and counters is in progress */
  gboolean rank_unreachable; /**< the rank did not answer the last read */
  guint isolated_reconnects; /**< reconnect attempts in a row while no seed had
                                a link */
  ev_timer read_timer;
};

/** cf_rank_agent_start: starts the agent; @a->loop and @a->settings have to be
 * set. */
CfStatus cf_rank_agent_start (CfRankAgent *a);
