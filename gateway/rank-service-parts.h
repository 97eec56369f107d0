#pragma once

#include "map-coordinator.h"
#include "hold-lease.h"
#include "order-watch.h"
#include "rank-service.h"

#include <sys/queue.h>

/**
 * What the parts of the rank service share: agents' links and groups
 * (rank-service.c), who leads them (rank-service-lead.c), and the orders to
 * ranks (rank-service-order.c).
 */

typedef struct CfLedGroup CfLedGroup;

/** CfRankLink: the link of one rank's agent. */
typedef struct CfRankLink
{
  TAILQ_ENTRY (CfRankLink) link;
  CfRankService *s;
  CfPeerLink *peer;
  char *target_addr;
  CfLedGroup *group; /**< %NULL until its first status */
  int rank;
  guint seeds_up;      /**< as its last status says */
  gint64 leader_fence; /**< token of the leader that the agent hears; 0: none */
  gint64 seen_ms;
  gboolean lacks_base; /**< it was never told the map that is in use */
  gint64 broken_ms;    /**< since when its group makes no passes; 0: it does */
} CfRankLink;

/** CfPreparedOrder: the order to prepare one version, in the forms that go
 * out to all ranks; each is made when first needed. */
typedef struct
{
  gint64 version; /**< 0: none */
  gint64 fence;
  gint64 base_version; /**< version in use, which @rows change */
  GArray *rows;        /**< (nullable) */
  GArray *in_whole;    /**< (nullable): against experts in turn */
  char *json;          /**< (nullable): as a rank takes it */
} CfPreparedOrder;

/** CfRankGuard: the token that a rank itself has taken, not its agent. */
typedef struct
{
  gint64 fence; /**< 0: none is known */
  gint64 epoch; /**< in which it was taken; a rank that restarts forgets it */
  gint64 since_ms;
} CfRankGuard;

/** CfLedGroup: one rank group, and this gateway's part in it. */
struct CfLedGroup
{
  CfRankService *s;
  char name[CF_GROUP_NAME_MAX];
  CfMapCoordinator c;
  CfRankLink **agents;  /**< by rank */
  char **addrs;         /**< by rank: where it was last */
  CfOrderWatch *orders; /**< by rank */
  CfPreparedOrder prepare;
  gint64 *direct_ms;    /**< by rank: when it was last asked directly */
  CfRankGuard *guards;  /**< by rank */
  gint64 report_lag_ms; /**< age of a report that is asked for directly */
  gint64 fence_seen;
  gint64 policy_version; /**< that the coordinator's aim for passes is of */
  gboolean leads;
  gint64 lead_ms;       /**< when it took the lead last */
  gboolean led_told;    /**< its agents were told that this gateway leads... */
  gboolean settle_told; /**< ...and that it settles */
  CfHoldLease lease;    /**< of another leader */
  gboolean lease_told;  /**< standbys believe that this gateway holds a pass */
  gint64 lease_told_ms;
};

struct CfRankService
{
  CfGateway *g;
  int seed; /**< which seed this gateway is; -1: none */
  ev_timer timer;
  gint64 ticked_ms;
  gint64 seq;
  GHashTable *groups;               /**< name -> #CfLedGroup */
  CfRankServiceNotify notify_seeds; /**< (nullable) */
  void *notify_data;
  TAILQ_HEAD (, CfRankLink) agents;
};

/** cf_rank_service_target: (nullable): the target at @addr. */
CfTarget *cf_rank_service_target (const CfRankService *s, const char *addr);

/** cf_led_group_decide_lead: takes the lead of @g if this gateway should have
 * it, and gives it up if not. */
void cf_led_group_decide_lead (CfLedGroup *g);

/** cf_led_group_renew_lease: tells the other seeds that a pass of @g is held,
 * while it is, and once when it is not any more. */
void cf_led_group_renew_lease (CfLedGroup *g);

/** cf_led_group_on_order: the coordinator's order to a rank goes out, as
 * cf_order_watch_goes_direct() says; @data is the #CfLedGroup. */
void cf_led_group_on_order (void *data, int rank, const CfRankOrder *o);

/** cf_led_group_send_direct: an order straight to a rank, and then the
 * question for its report.
 * @is_order: the coordinator waits for what comes of it */
void cf_led_group_send_direct (CfLedGroup *g, int rank, const CfRankOrder *o,
                               gboolean is_order);
