#pragma once

#include "group-map.h"

/** Longest name of a rank group that is kept. */
#define CF_GROUP_NAME_MAX 64

/** Ranks of a group, at most; what claims more is no report of a rank. */
#define CF_RANKS_MAX 4096

/** CfRankStatus: what a rank reports of itself; 0 stands for none. */
typedef struct
{
  char group[CF_GROUP_NAME_MAX]; /**< "" if it is in no group */
  gint64 epoch;                  /**< rises when the group forms anew */
  int rank;
  int size;           /**< ranks of the group */
  gint64 incarnation; /**< of the target that reports; 0: it does not say */
  gboolean open;      /**< the group makes passes */
  gint64 step;        /**< the last pass begun */
  gint64 map;         /**< version of the expert map in use */
  gint64 prepared;    /**< version whose copy is complete */
  gint64 armed;       /**< version it will switch to */
  gint64 held;        /**< pass that it holds back */
  gint64 running;
  gint64 waiting;
  double pace; /**< how many times as long as usual its work takes */
} CfRankStatus;

/**
 * cf_rank_routing_pace:
 * @broken_ms: for how long its group has made no passes; 0: it does
 * Returns: the pace by which requests are routed to a rank.  One of a group
 *   that stays broken refuses at once, so that it would always look the least
 *   loaded.
 */
double cf_rank_routing_pace (const CfRankStatus *s, gint64 broken_ms);

/** CfRankOrderKind: the tag of a #CfRankOrder. */
typedef enum
{
  CF_ORDER_PREPARE, /**< copy the experts of @version's map */
  CF_ORDER_ARM,     /**< switch to @version as pass @step begins */
  CF_ORDER_DISARM,  /**< do not switch to @version after all */
  CF_ORDER_HOLD,    /**< do not begin pass @step before a go */
  CF_ORDER_GO,      /**< end the hold of pass @step */
} CfRankOrderKind;

const char *cf_rank_order_name (CfRankOrderKind k);

/** cf_rank_order_is_blocking: whether all ranks wait from one such order to
 * another: a hold, and the go that ends it. */
gboolean cf_rank_order_is_blocking (CfRankOrderKind k);

/** CfRankOrder: an order to one rank. */
typedef struct
{
  CfRankOrderKind kind;
  gint64 version;        /**< of prepare, arm and disarm */
  gint64 step;           /**< of arm, hold and go */
  gint64 epoch;          /**< refused in any other epoch */
  gint64 fence;          /**< fencing token of who orders */
  const CfGroupMap *map; /**< of prepare */
} CfRankOrder;

/** CfRankAck: what is known of an order that was sent. */
typedef enum
{
  CF_RANK_ACK_DONE,    /**< carried out, or its state already holds */
  CF_RANK_ACK_REFUSED, /**< it does not fit, and will not be carried out */
  CF_RANK_ACK_FENCED,  /**< someone with a higher token ordered before */
  CF_RANK_ACK_UNKNOWN, /**< no answer: done, or not, or yet to be done */
} CfRankAck;

const char *cf_rank_ack_name (CfRankAck a);
