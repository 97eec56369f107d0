#pragma once

#include "demand.h"
#include "error.h"
#include "peer-link.h"
#include "quarantine.h"
#include "rank.h"
#include "store-position.h"

#include <msgpack.h>

/** CfPeerMsgKind: the type of a #CfPeerMsg; values are sent on the wire. */
typedef enum
{
  CF_PEER_AGENT_HELLO = 1,   /**< rank agent: identifies itself */
  CF_PEER_RANK_STATUS = 2,   /**< rank agent: state and counts of its rank */
  CF_PEER_HEARTBEAT = 3,     /**< gateway: alive; its token, if it leads */
  CF_PEER_ORDER = 4,         /**< gateway: an order for the agent's rank */
  CF_PEER_ORDER_ACK = 5,     /**< rank agent: the outcome of an order */
  CF_PEER_REQUEST_LISTS = 6, /**< gateway: asks which experts the rank holds */
  CF_PEER_LISTS = 7,         /**< rank agent: the experts its rank holds */
  CF_PEER_GATEWAY_HELLO = 8, /**< gateway: its address and revisions */
  CF_PEER_POLICY = 9,        /**< gateway: its newest configuration */
  CF_PEER_TARGETS = 10,      /**< gateway: its list of targets */
  CF_PEER_PREPARE = 11,      /**< gateway: an order to prepare an expert map */
  CF_PEER_CRASHES = 12,      /**< requests during which targets crashed */
  CF_PEER_HOLD_LEASE = 13,   /**< leading gateway: it holds a pass of a group */
  CF_PEER_STORE_CHANGE = 14, /**< seed: it has read a change from the store */
} CfPeerMsgKind;

/** Number of units that the ring of targets is divided into; positions on it
 * are sent in these units. */
#define CF_PEER_RING_UNITS 65536

/** CfPeerBytes: bytes that a message does not own; in a received message they
 * are part of its frame. */
typedef struct
{
  const char *data;
  gsize n;
} CfPeerBytes;

/** CfPeerRetries: the retry tokens that a gateway reserves for the process that
 * follows it; see retry-handover.h. */
typedef struct
{
  gint64 run; /**< identifies the sender's process; 0: its release has none */
  gint64 seq; /**< of this message, rising; 0: unknown */
  gint64 ack; /**< highest @seq that came from the receiver; 0: none */
  GArray *reserves;  /**< (nullable): of #CfPeerRetryReserve: the sender's;
                          owned */
  GArray *inherited; /**< (nullable): likewise: those of the process that the
                          receiver follows; owned */
} CfPeerRetries;

/** CfPeerMsg: a message between two gateways, or a gateway and a rank agent. */
typedef struct
{
  CfPeerMsgKind kind;
  union
  {
    struct
    {
      CfPeerBytes target_addr; /**< of the target on the agent's VM */
    } agent_hello;
    struct
    {
      CfRankStatus status;
      gint64 highest_fence; /**< highest fencing token the agent has accepted */
      guint seeds_up;       /**< bit i: a recent heartbeat came from seed i */
      gint64 leader_fence;  /**< fencing token of the leader that sends the
                                    agent heartbeats; 0: none */
      GArray *expert_counts; /**< (nullable): of gint64, by expert: how often it
                                was chosen since the previous report; owned */
      guint64 readings_dropped; /**< readings of its rank that the agent has not
                                     used since it started */
    } rank_status;
    struct
    {
      gint64 fence; /**< the sender's fencing token; 0 if it does not lead */
      gint64 report_interval_ms; /**< at which the leader wants reports */
    } heartbeat;
    struct
    {
      gint64 seq;
      gint64 fence;
      CfRankOrderKind order;
      gint64 version;
      CfPeerBytes body;
    } order;
    struct
    {
      gint64 seq;
      gint64 fence;
      gint64 epoch;
      gint64 version; /**< reported as prepared once its copy is complete */
      gint64 base_version; /**< version that @rows change; 0: the map that
                                assigns experts to ranks round-robin */
      CfGroupShape shape;  /**< without the number of ranks, which is not sent:
                                the agent knows it */
      GArray *rows;        /**< as returned by cf_group_map_diff(); owned */
    } prepare;
    struct
    {
      gint64 seq;
      gint64 http_status;   /**< the rank's; 0: no answer; or
                                 %CF_PEER_STATUS_UNKNOWN_BASE */
      gint64 highest_fence; /**< highest fencing token the agent has accepted */
      CfRankStatus status;
    } order_ack;
    struct
    {
      gint64 epoch;
      gint64 version;  /**< of the map in use */
      GArray *experts; /**< of gint64: the experts of each set, followed by -1;
                            owned */
    } lists;
    struct
    {
      CfPeerBytes addr; /**< where the sender accepts links */
      CfStorePosition policy_pos;
      CfStorePosition targets_pos;
      guint fleet_size; /**< gateways known to the sender, including itself */
      guint want; /**< CF_PEER_WANT_ bits: what the receiver should send */
      GArray *slowdowns; /**< (nullable): of #CfPeerSlowdown: slow targets that
                               agents reported to the sender; owned */
      CfPeerBytes data_centre; /**< the sender's */
      gint64 ring_start;     /**< where the receiver should start on the ring of
                                  targets, in 1 / %CF_PEER_RING_UNITS; negative:
                                  unknown */
      GArray *rate_limits;   /**< (nullable): of #CfPeerRateLimit: limits that
                                targets announced; owned */
      guint n_ring_members;  /**< gateways that @ring_start was computed for; 0:
                                 unknown */
      gint64 policy_version; /**< of its configuration; 0: unknown */
      GArray *leaving;       /**< (nullable): of #CfPeerInstance: targets that
                                said in answers that they leave; owned */
      GArray *evacuated;     /**< (nullable): of #CfPeerBytes: evacuated data
                                centres; owned */
      guint n_rank_groups;   /**< rank groups known to the sender; 0: unknown */
      CfStorePosition targets_change_pos; /**< of the newest record of a target
                                               that the sender has read */
      CfStorePosition evacuated_pos;      /**< of the operator's records that
                                               @evacuated reflects */
      GArray *demand;  /**< (nullable): of #CfPeerDemand, by service; owned */
      GArray *returns; /**< (nullable): of #CfPeerReturn; owned */
      guint n_local_rank_groups; /**< rank groups known to the sender that are
                                      in one data centre each; 0: unknown */
      CfPeerRetries retries;
      CfStorePosition operator_change_pos; /**< of the newest record of the
                                                operator that the sender has
                                                read; revision 0: unknown */
    } gateway_hello;
    struct
    {
      CfStorePosition pos;
      CfPeerBytes json;
    } policy;
    struct
    {
      CfStorePosition as_of; /**< that the list is current for */
      GArray *items;         /**< of #CfPeerTarget, owned */
    } targets;
    GArray *crashes; /**< of #CfPeerCrash, owned */
    struct
    {
      CfPeerBytes group;
      gint64 fence;  /**< fencing token of the leader */
      gboolean held; /**< %FALSE: the hold has ended */
    } hold_lease;
    struct
    {
      CfStorePosition operator_pos; /**< of the newest record of the operator */
      CfStorePosition targets_pos;  /**< of the newest record of a target */
    } store_change;
  } u;
} CfPeerMsg;

/** Sent as @http_status if the agent does not have the map of @base_version.
 * It does accept rows that change the initial map, with @base_version 0. */
#define CF_PEER_STATUS_UNKNOWN_BASE 1

/** Bits of @want in a gateway's hello. */
#define CF_PEER_WANT_POLICY 1U
#define CF_PEER_WANT_TARGETS 2U
#define CF_PEER_WANT_ACK                                                       \
  4U /**< a hello at once, which acknowledges this one                         \
      */

/** Fractions are sent in thousandths. */
#define CF_PEER_THOUSANDTHS 1000.0

/** CfPeerSlowdown: a target that takes longer than usual for its work. */
typedef struct
{
  CfPeerBytes addr;
  gint64 thousandths; /**< the time it takes, in 1/1000 of the usual time */
  gint64 incarnation; /**< of the target; 0: unknown */
} CfPeerSlowdown;

/** Rates are sent in millionths of a request per second. */
#define CF_PEER_MILLIONTHS 1e6

/** CfPeerRateLimit: the rate that a target accepts from all gateways together.
 */
typedef struct
{
  CfPeerBytes id;
  gint64 incarnation;
  gint64 millionths; /**< 0: the target no longer announces a limit */
  gint64 age_ms;     /**< since the answer that announced it was received */
} CfPeerRateLimit;

/** CfPeerInstance: one incarnation of a target. */
typedef struct
{
  CfPeerBytes id;
  gint64 incarnation; /**< 0: unknown */
} CfPeerInstance;

/** Services in the demand of a hello. */
#define CF_PEER_DEMAND_MAX 4
/** Services in each list of retry tokens of a hello. */
#define CF_PEER_RETRIES_MAX 8
/** Places in the returns of a hello. */
#define CF_PEER_RETURNS_MAX 64

/** CfPeerDemand: demand at one service, as the sender knows it. */
typedef struct
{
  CfPeerBytes service;
  CfDemandTable own;    /**< the sender's */
  CfDemandTable others; /**< of the gateways that the sender knows directly,
                             without the receiver */
  guint n_others;       /**< how many gateways these are */
} CfPeerDemand;

/** CfPeerRetryReserve: retry tokens reserved at one service. */
typedef struct
{
  CfPeerBytes service;
  gint64 thousandths; /**< of a token */
} CfPeerRetryReserve;

/** CfPeerReturn: a time at which a refused caller may return. */
typedef struct
{
  CfPeerBytes service;
  guint64 key; /**< first bytes of the digest of its request */
  gint64 due_in_ms;
  gint64 urgency;
} CfPeerReturn;

/** CfPeerTarget: a target's record as it is in the store. */
typedef struct
{
  CfPeerBytes id;
  CfPeerBytes json;
  CfStorePosition pos;     /**< of the record */
  CfStorePosition created; /**< of the first record under its key */
} CfPeerTarget;

/** CfPeerCrash: a request during which targets crashed. */
typedef struct
{
  CfRequestDigest digest;
  gint64 age_ms; /**< since the last crash or attempt */
  guint n;       /**< number of @crashes; 0: the request has been answered */
  struct
  {
    CfPeerBytes target; /**< the incarnation that crashed */
    gint64 sent_age_ms; /**< since the request was sent to it */
    gint64 lost_age_ms; /**< since it crashed */
  } crashes[CF_QUARANTINE_CRASH_THRESHOLD];
} CfPeerCrash;

/** cf_peer_msg_pack: appends the encoded @m to @out. */
void cf_peer_msg_pack (const CfPeerMsg *m, msgpack_sbuffer *out);

/** cf_peer_msg_send: sends @m over @l. */
void cf_peer_msg_send (CfPeerLink *l, const CfPeerMsg *m);

/**
 * cf_peer_msg_unpack:
 * Decodes the frame @data into @m.
 * @zone: (out): holds what @m points to; free it with
 *   msgpack_unpacked_destroy(), also after a failure
 * Returns: %CF_ERR_PROTO if the frame is no valid message.
 */
CfStatus cf_peer_msg_unpack (const char *data, gsize n, msgpack_unpacked *zone,
                             CfPeerMsg *m);

/** CfPeerMsgHandler: handles a message, which is valid until it returns. */
typedef void (*CfPeerMsgHandler) (void *owner, const CfPeerMsg *m);

/**
 * cf_peer_msg_receive:
 * Decodes a frame and passes the message to @handler; logs an invalid frame.
 * @role: kind of sender, used as the key of @name in the log
 * @name: (nullable): name of the sender
 */
void cf_peer_msg_receive (const char *data, gsize n, const char *role,
                          const char *name, CfPeerMsgHandler handler,
                          void *owner);

/** cf_peer_msg_clear: frees the arrays that @m owns. */
void cf_peer_msg_clear (CfPeerMsg *m);
