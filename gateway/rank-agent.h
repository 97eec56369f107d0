#pragma once

#include "expert-counts.h"
#include "map-history.h"
#include "peer-link.h"
#include "peer-msg.h"
#include "platform/platform-settings.h"
#include "target.h"

typedef struct CfRankAgent CfRankAgent;

/** CfSeed: one of the gateways that may lead the group. */
typedef struct
{
  CfRankAgent *a;
  int index;
  struct sockaddr_in addr;
  gboolean valid;
  CfPeerLink *link;
  gboolean up;               /**< the link is made */
  gint64 heard_ms;           /**< when it last ticked */
  gint64 fence;              /**< as it last ticked; 0: it stands by */
  gint64 report_interval_ms; /**< how often it wants to be told, if it leads */
  gint64 told_ms;            /**< when it last got a status */
} CfSeed;

/**
 * CfRankAgent:
 * The process beside a rank: it reads its rank's state and counts, which is
 * free only from the rank's own VM, tells the gateway that leads the group,
 * and gives the rank that gateway's orders.  It decides nothing but which
 * fencing token is too old.
 */
struct CfRankAgent
{
  struct ev_loop *loop;
  CfPlatformSettings set;
  CfTarget *target; /**< the rank on this VM */
  CfSeed seeds[CF_SEEDS_MAX];
  int n_seeds;
  gint64 fence_seen;
  CfRankStatus status;
  CfRankStatus told; /**< as last sent to the leader */
  gboolean has_status;
  CfMapHistory maps;        /**< of its group */
  CfQuarantine *quarantine; /**< replica for gateways that restart */
  CfExpertCounts counts;
  gint64 awaited;     /**< version whose copy is being waited for */
  gint64 awaited_ms;  /**< since when */
  gboolean reading;   /**< a reading of report and counts is on its way */
  gboolean rank_lost; /**< the rank did not answer the last reading */
  guint looks_alone;  /**< for seeds, in a row, while none had a link */
  ev_timer poll;
};

/** cf_rank_agent_start: @a->loop and @a->set are filled. */
CfStatus cf_rank_agent_start (CfRankAgent *a);
