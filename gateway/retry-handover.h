#pragma once

#include <glib.h>

/**
 * How retry tokens pass from a process to its successor at the same address.
 *
 * The retry budget is a promise of the fleet over any window of time, so a
 * process begins without tokens: its predecessor may just have spent them.  A
 * running gateway therefore reserves tokens for its successor and states the
 * reserve in its hellos.  It does not spend them until a seed has acknowledged
 * a statement of a smaller reserve.  Seeds keep the latest statement of each
 * gateway and pass it on to the process that follows.  The successor takes the
 * smallest reserve that any other seed knows, and nothing unless all of them
 * answer: the seed that acknowledged the latest statement is among them, or has
 * forgotten it.
 *
 * None of this needs a network or a clock.
 */

/** CfRetryReserve: the tokens of one service that a process reserves. */
typedef struct
{
  double bound;       /**< the most that a seed may know; it is not spent */
  double pending;     /**< stated last, less than @bound */
  gint64 pending_seq; /**< of the statement of @pending; 0: none */
} CfRetryReserve;

/** cf_retry_reserve_state: states @tokens in the message @seq, which is higher
 * than that of any earlier message. */
void cf_retry_reserve_state (CfRetryReserve *r, double tokens, gint64 seq);

/** cf_retry_reserve_acknowledge: a seed has received the message @seq, the
 * highest from this process so far. */
void cf_retry_reserve_acknowledge (CfRetryReserve *r, gint64 seq);

/** CfRetryReserveItem: what a gateway reserves at one service. */
typedef struct
{
  char *service;
  double tokens;
} CfRetryReserveItem;

/** cf_retry_reserve_list_new: creates an empty list of #CfRetryReserveItem,
 * which owns their names. */
GArray *cf_retry_reserve_list_new (void);

/** cf_retry_reserve_list_add: appends a service and its reserve. */
void cf_retry_reserve_list_add (GArray *list, const char *service,
                                double tokens);

/**
 * CfRetryLedger:
 * What each gateway has reserved, as a seed knows it.
 */
typedef struct CfRetryLedger CfRetryLedger;

CfRetryLedger *cf_retry_ledger_new (void);

void cf_retry_ledger_free (CfRetryLedger *l);

/**
 * cf_retry_ledger_put:
 * @run: identifies the process at @addr
 * @seq: rises with each of its statements
 * @reserves: (transfer full): its reserves
 *
 * Replaces what the gateway at @addr has stated.  An earlier statement than the
 * latest, which may arrive on another connection, is ignored, and so is one of
 * a process that another one has followed.
 * Returns: (transfer full) (nullable): the reserves of the process that @run
 *   follows, if this is its first statement; they are returned only once.
 */
GArray *cf_retry_ledger_put (CfRetryLedger *l, const char *addr, gint64 run,
                             gint64 seq, GArray *reserves, gint64 now_ms);

/** cf_retry_ledger_size: the number of gateways in the ledger. */
guint cf_retry_ledger_size (const CfRetryLedger *l);

/** Most other seeds of a gateway. */
#define CF_RETRY_SEEDS_MAX 8

/** CfRetryInheritance: what the seeds say of a process's predecessor. */
typedef struct
{
  char *seeds[CF_RETRY_SEEDS_MAX]; /**< those that have answered */
  guint n_seeds;
  GArray *smallest; /**< (nullable): of #CfRetryReserveItem */
} CfRetryInheritance;

void cf_retry_inheritance_clear (CfRetryInheritance *i);

/**
 * cf_retry_inheritance_add:
 * @reserves: as the seed at @seed returned them
 * @n_seeds: number of the other seeds
 * Returns: %TRUE if all of these have answered now, so that @smallest holds.
 */
gboolean cf_retry_inheritance_add (CfRetryInheritance *i, const char *seed,
                                   const GArray *reserves, guint n_seeds);
