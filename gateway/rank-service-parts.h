#pragma once

#include "demand-watch.h"
#include "map-coordinator.h"
#include "hold-lease.h"
#include "order-watch.h"
#include "rank-service.h"

#include <sys/queue.h>

/**
 * Internal interface between the parts of the rank service: links of rank
 * agents, and groups (rank-service.c), leadership of groups
 * (rank-service-lead.c), and orders to ranks (rank-service-order.c).
 */

typedef struct CfLedGroup CfLedGroup;

/** CfAgentLink: the link of one rank's agent. */
typedef struct CfAgentLink
{
  TAILQ_ENTRY (CfAgentLink) entry;
  CfRankService *service;
  CfPeerLink *link;
  char *target_addr;
  CfLedGroup *group; /**< %NULL until its first status */
  int rank;
  guint seeds_up;      /**< seeds that it can reach, by its last status; bit i:
                           seed i */
  gint64 leader_fence; /**< token of the leader that the agent follows; 0:
                            none */
  gint64 status_seen_ms;
  gboolean lacks_base;      /**< it lacks the base map of the diffs */
  guint64 readings_dropped; /**< by the agent, as it last said */
  gint64 broken_since_ms;   /**< since when its group runs no passes; 0: it runs
                                 them */
} CfAgentLink;

/** CfPrepareOrder: the order to prepare one version, in the forms in which it
 * is sent to ranks.  Each form is made once, when first needed. */
typedef struct
{
  gint64 version; /**< 0: none */
  gint64 fence;
  gint64 base_version;  /**< version of the map in use; 0: none common to all
                     ranks */
  GArray *changed_rows; /**< (nullable): diff against the map in use */
  GArray *full_rows;    /**< (nullable): diff against the round-robin map */
  char *json;           /**< (nullable): as ranks accept it */
} CfPrepareOrder;

/** CfRankToken: the last fencing token that a rank itself, not its agent, is
 * known to have checked and accepted. */
typedef struct
{
  gint64 fence; /**< 0: none is known */
  gint64
      epoch; /**< in which it was accepted; a rank that restarts forgets it */
  gint64 since_ms;
} CfRankToken;

/** CfLedGroup: a rank group that this gateway leads, or may come to lead. */
struct CfLedGroup
{
  CfRankService *service;
  char name[CF_GROUP_NAME_MAX];
  CfMapCoordinator coordinator;
  CfAgentLink **agents;        /**< by rank */
  char **target_addrs;         /**< by rank: the last one known */
  CfOrderWatch *order_watches; /**< by rank */
  CfPrepareOrder prepare_order;
  gint64 *probed_ms;        /**< by rank: when it was last probed directly; 0:
                                never */
  CfRankToken *rank_tokens; /**< by rank */
  gint64 report_lag_ms;     /**< age of the reports that ranks give to other
                                 VMs than their own */
  gint64 highest_fence;     /**< highest token of any leader */
  gint64 policy_version;    /**< configuration version from which the
                                 coordinator's pass_objective_ms was read */
  gboolean leads;           /**< this gateway leads the group */
  gint64 lead_since_ms;     /**< when it last took the lead */
  gboolean lead_announced;  /**< the last heartbeat announced that this gateway
                               leads... */
  gboolean settling_announced; /**< ...and that it settles */
  CfHoldLease lease;           /**< another leader's */
  gboolean lease_announced; /**< a lease has announced to the other seeds that
                                 this gateway holds a pass */
  gint64 lease_sent_ms;
  CfDemandWatch demand_watch;
  char *data_centre;              /**< (nullable): of most of its ranks */
  gboolean is_in_one_data_centre; /**< all ranks whose target is known are in
                                       @data_centre */
  gint64 data_centre_ms; /**< when @data_centre was determined; 0: not since a
                              rank moved */
  gint64 local_seed_since_ms; /**< since when most ranks have reached a seed of
                                   @data_centre while this gateway, which is
                                   elsewhere, leads; 0: not now */
  gint64 leaderless_since_ms; /**< since when most ranks have followed no
                                   leader; 0: they follow one */
};

struct CfRankService
{
  CfGateway *gateway;
  int seed; /**< index of this gateway among the seeds; -1: it is none */
  ev_timer timer;
  gint64 heartbeat_sent_ms;
  gint64 seq;                       /**< of the last order */
  GHashTable *groups;               /**< name -> #CfLedGroup */
  CfRankServiceNotify notify_seeds; /**< (nullable) */
  void *notify_data;
  TAILQ_HEAD (, CfAgentLink) agents;
};

/** cf_rank_service_target: (nullable): the target at @addr. */
CfTarget *cf_rank_service_target (const CfRankService *s, const char *addr);

/** cf_led_group_update_data_centre: determines at intervals which data centre
 * the ranks of @g are in. */
void cf_led_group_update_data_centre (CfLedGroup *g);

/** cf_led_group_decide_lead: takes the lead of @g if this gateway should have
 * it, and gives it up if not. */
void cf_led_group_decide_lead (CfLedGroup *g);

/** cf_led_group_renew_lease: sends the other seeds a lease that says that this
 * gateway holds a pass of @g, at intervals while it does, and once when the
 * hold has ended. */
void cf_led_group_renew_lease (CfLedGroup *g);

/** cf_led_group_on_order: sends a coordinator's order to a rank, through its
 * agent or, if cf_order_watch_is_sent_direct() says so, to the rank itself.
 * @data: the #CfLedGroup */
void cf_led_group_on_order (void *data, int rank, const CfRankOrder *o);

/** cf_led_group_send_direct: sends an order to the rank itself and then
 * requests the rank's report.
 * @wants_ack: whether the coordinator waits for the outcome */
void cf_led_group_send_direct (CfLedGroup *g, int rank, const CfRankOrder *o,
                               gboolean wants_ack);
