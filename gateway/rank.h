#pragma once

#include "group-map.h"
#include "optional-int.h"

/** Size of the buffer for a rank group's name, in bytes. */
#define CF_GROUP_NAME_MAX 64

/** Limit on the ranks of a group; a report that claims more is invalid. */
#define CF_RANKS_MAX 4096

/** CfRankStatus: the state of a rank, as parsed from the report that the rank
 * serves; a number is 0 if there is no such pass or version. */
typedef struct
{
  char group[CF_GROUP_NAME_MAX]; /**< "" if it is in no group */
  gint64 epoch;                  /**< increases each time the group re-forms */
  int rank;
  int size;                  /**< ranks of the group */
  CfOptionalInt incarnation; /**< of the reporting target */
  gboolean open;             /**< the group is complete and runs passes */
  gint64 step;               /**< the last pass that began */
  gint64 map;                /**< version of the expert map in use */
  gint64 prepared; /**< version of which all experts have been copied */
  gint64 armed;    /**< version to which it will switch */
  gint64 held;     /**< pass that it will not begin until released */
  gint64 running;  /**< requests */
  gint64 waiting;  /**< requests */
  double slowdown; /**< slowdown factor: 1 is the usual speed, 2 means that
                    its work takes twice as long */
} CfRankStatus;

/**
 * cf_rank_routing_slowdown:
 * @broken_ms: how long its group has run no passes; 0: it runs them
 * Returns: the slowdown factor by which requests are routed to a rank.  A
 *   group that stays broken gets a very high one: its ranks refuse requests
 *   at once and would otherwise always look the least loaded.
 */
double cf_rank_routing_slowdown (const CfRankStatus *s, gint64 broken_ms);

/** CfRankOrderKind: the tag of a #CfRankOrder. */
typedef enum
{
  CF_ORDER_PREPARE, /**< copy the experts that @map, version @version, needs */
  CF_ORDER_ARM,     /**< switch to @version when pass @step begins */
  CF_ORDER_DISARM,  /**< cancel the switch to @version */
  CF_ORDER_HOLD,    /**< do not begin pass @step before its release */
  CF_ORDER_RELEASE, /**< end the hold of pass @step */
} CfRankOrderKind;

const char *cf_rank_order_name (CfRankOrderKind k);

/** cf_rank_order_is_blocking: whether the whole group may be waiting until
 * such an order is carried out, as with a hold and the release that ends it. */
gboolean cf_rank_order_is_blocking (CfRankOrderKind k);

/** CfRankOrder: an order to one rank. */
typedef struct
{
  CfRankOrderKind kind;
  gint64 version;        /**< for prepare, arm and disarm */
  gint64 step;           /**< for arm, hold and release */
  gint64 epoch;          /**< the rank refuses it in any other epoch */
  gint64 fence;          /**< fencing token of the leader that sends it */
  const CfGroupMap *map; /**< for prepare */
} CfRankOrder;

/** CfRankAck: the outcome of an order that was sent. */
typedef enum
{
  CF_RANK_ACK_DONE,    /**< carried out, now or before */
  CF_RANK_ACK_REFUSED, /**< does not fit the rank's state; not carried out */
  CF_RANK_ACK_FENCED,  /**< a leader with a higher token has sent an order */
  CF_RANK_ACK_UNKNOWN, /**< no answer: it may or may not have been carried
                            out, and may still be */
} CfRankAck;

const char *cf_rank_ack_name (CfRankAck a);
