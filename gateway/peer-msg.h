#pragma once

#include "error.h"
#include "peer-link.h"
#include "quarantine.h"
#include "rank.h"

#include <msgpack.h>

/** CfPeerMsgKind: the tag of a #CfPeerMsg; the numbers go over the wire. */
typedef enum
{
  CF_PEER_AGENT_HELLO = 1,   /**< rank agent: who I am */
  CF_PEER_RANK_STATUS = 2,   /**< rank agent: my rank's state, and counts */
  CF_PEER_HEARTBEAT = 3,     /**< gateway: I live, and lead or not */
  CF_PEER_ORDER = 4,         /**< gateway: give your rank this order */
  CF_PEER_ORDER_ACK = 5,     /**< rank agent: what came of it */
  CF_PEER_REQUEST_LISTS = 6, /**< gateway: which experts does it hold? */
  CF_PEER_LISTS = 7,         /**< rank agent: these */
  CF_PEER_GATEWAY_HELLO = 8, /**< gateway: where I am, and what I know */
  CF_PEER_POLICY = 9,        /**< gateway: the newest configuration I have */
  CF_PEER_TARGETS = 10,      /**< gateway: the targets as I know them */
  CF_PEER_PREPARE = 11,      /**< gateway: have your rank prepare this map */
  CF_PEER_CRASHES = 12,      /**< requests during which targets crashed */
  CF_PEER_HOLD_LEASE = 13,   /**< gateway: I hold a pass of a group I lead */
} CfPeerMsgKind;

/** Units of a place on the ring of targets. */
#define CF_PEER_RING_UNITS 65536

/** CfPeerBytes: bytes within a frame that was read. */
typedef struct
{
  const char *data;
  gsize n;
} CfPeerBytes;

/** CfPeerMsg: a message between two of our processes. */
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
      gint64 fence_seen; /**< the highest token the agent has obeyed */
      guint seeds_up;    /**< bit i: seed i was heard from lately */
      gint64
          leader_fence; /**< token of the leader it hears; 0: it hears none */
      GArray *expert_counts; /**< (nullable): of gint64, by expert: how often it
                          was chosen since it was last told; owned */
    } rank_status;
    struct
    {
      gint64 fence; /**< of the leader; 0 if this gateway stands by */
      gint64 report_interval_ms; /**< how often the leader wants to be told */
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
      gint64 version;      /**< told of again once its copy is whole */
      gint64 base_version; /**< version that @rows change; 0: in turn */
      CfGroupShape shape;  /**< without ranks, which the agent knows */
      GArray *rows;        /**< as cf_group_map_rows() gives them; owned */
    } prepare;
    struct
    {
      gint64 seq;
      gint64 http_status; /**< 0: no answer; %CF_PEER_STATUS_UNKNOWN_BASE */
      gint64 fence_seen;  /**< the highest token the agent has obeyed */
      CfRankStatus status;
    } order_ack;
    struct
    {
      gint64 epoch;
      gint64 version;  /**< of the map in use */
      GArray *experts; /**< of gint64, sets ended by -1; owned */
    } lists;
    struct
    {
      CfPeerBytes addr; /**< where the gateway takes links */
      gint64 policy_rev;
      gint64 targets_rev;
      guint fleet;  /**< gateways that the sender knows of, itself too */
      guint want;   /**< CF_PEER_WANT_ bits: what the sender lacks */
      GArray *slow; /**< (nullable): of #CfPeerSlowdown: slow targets that
                       agents tell the sender of; owned */
      CfPeerBytes data_centre; /**< the sender's */
      gint64 ring_start; /**< where the receiver begins on the ring of targets,
                              in 1 / %CF_PEER_RING_UNITS; negative: not known */
      GArray *limits; /**< (nullable): of #CfPeerRateLimit: rates that targets
                           take; owned */
      guint members;  /**< gateways that @ring_start was worked out for; 0:
                           not known */
    } gateway_hello;
    struct
    {
      gint64 rev;
      CfPeerBytes json;
    } policy;
    struct
    {
      gint64 as_of;  /**< the store's revision of the whole list */
      GArray *items; /**< of #CfPeerTarget, owned */
    } targets;
    GArray *crashes; /**< of #CfPeerCrash, owned */
    struct
    {
      CfPeerBytes group;
      gint64 fence;  /**< of the leader */
      gboolean held; /**< %FALSE: the hold has ended */
    } hold_lease;
  } u;
} CfPeerMsg;

/** In place of a rank's status: the agent was never told the map that the one
 * to prepare is named by; it takes one by what a group begins with. */
#define CF_PEER_STATUS_UNKNOWN_BASE 1

/** Bits of a greeting's want. */
#define CF_PEER_WANT_POLICY 1U
#define CF_PEER_WANT_TARGETS 2U

/** Fractions go over the wire in thousandths. */
#define CF_PEER_THOUSANDTHS 1000.0

/** CfPeerSlowdown: a target whose work takes longer than usual. */
typedef struct
{
  CfPeerBytes addr;
  gint64 thousandths; /**< of its usual time */
  gint64 incarnation; /**< of the target that is slow; 0 if it does not say */
} CfPeerSlowdown;

/** Rates go over the wire in millionths of a request a second. */
#define CF_PEER_MILLIONTHS 1e6

/** CfPeerRateLimit: the rate that a target takes from all gateways. */
typedef struct
{
  CfPeerBytes id;
  gint64 incarnation;
  gint64 millionths; /**< 0: it names none any more */
  gint64 age_ms;     /**< since the answer that says so came */
} CfPeerRateLimit;

/** CfPeerTarget: a target's record as the store holds it. */
typedef struct
{
  CfPeerBytes id;
  CfPeerBytes json;
  gint64 rev;
  gint64 created; /**< 0 if the peer does not say */
} CfPeerTarget;

/** CfPeerCrash: a request during which targets crashed. */
typedef struct
{
  CfRequestDigest digest;
  gint64 age_ms; /**< since its last crash or attempt */
  guint n;       /**< number of @crashes; 0: it was answered since */
  struct
  {
    CfPeerBytes target; /**< the incarnation that crashed */
    gint64 sent_age_ms; /**< since the request was sent to it */
    gint64 lost_age_ms; /**< since it crashed */
  } crashes[CF_QUARANTINE_CRASHES];
} CfPeerCrash;

/** cf_peer_msg_pack: appends the frame of @m to @out. */
void cf_peer_msg_pack (const CfPeerMsg *m, msgpack_sbuffer *out);

/** cf_peer_msg_send: sends @m over @l. */
void cf_peer_msg_send (CfPeerLink *l, const CfPeerMsg *m);

/**
 * cf_peer_msg_unpack:
 * @zone: (out): holds what @m points to; free it with
 * msgpack_unpacked_destroy() Returns: %CF_ERR_PROTO if the frame is no message;
 * @zone is to be freed all the same.
 */
CfStatus cf_peer_msg_unpack (const char *data, gsize n, msgpack_unpacked *zone,
                             CfPeerMsg *m);

/** CfPeerMsgHandler: takes a message, which holds until it returns. */
typedef void (*CfPeerMsgHandler) (void *owner, const CfPeerMsg *m);

/**
 * cf_peer_msg_receive:
 * @role: what the sender is, and @name: (nullable): which one; for the log
 * Has @take take the message of a frame; one that is no message is logged.
 */
void cf_peer_msg_receive (const char *data, gsize n, const char *role,
                          const char *name, CfPeerMsgHandler take, void *owner);

/** cf_peer_msg_clear: frees the arrays of @m. */
void cf_peer_msg_clear (CfPeerMsg *m);
