#pragma once

#include "store-position.h"

/**
 * How soon a lost answer of the store is noticed.
 *
 * To the gateway that waits for it, a lost answer looks like one that is not
 * due yet, so the time for which the store may hold a poll bounds how long a
 * change is missed.  The seeds take turns, so that the store answers one of
 * them every second, and tell the gateways that are linked to them of changes
 * at once. From that, the others notice that their own poll was lost.  So
 * theirs may be held for long, and the calls of the fleet do not grow with it.
 */

/** CfStorePollTurn: which polls a gateway makes for the fleet. */
typedef struct
{
  gboolean relies_on_seed; /**< none: a seed, another gateway, tells it of
                                changes */
  guint n_seeds;   /**< seeds that take turns, or 1 if it has to poll alone */
  guint seed_rank; /**< of this gateway among them, from 0 */
} CfStorePollTurn;

/**
 * cf_store_poll_wait_ms:
 * How long the store may hold a poll of this gateway.
 * @fleet_size: number of gateways
 * @is_in_step: the seeds make their polls at the same time, as the store has
 *   just answered all of them
 */
gint64 cf_store_poll_wait_ms (const CfStorePollTurn *turn, guint fleet_size,
                              gboolean is_in_step);

/** CfStoreLag: a change that a peer has read from the store, and this gateway
 * has not. */
typedef struct
{
  CfStorePosition pos;    /**< the latest of such changes */
  gint64 behind_since_ms; /**< 0: there is none */
} CfStoreLag;

/**
 * cf_store_lag_note:
 * Records that a peer has read a change.
 * @own: up to where this gateway has read
 * @peer: position of the change
 */
void cf_store_lag_note (CfStoreLag *l, CfStorePosition own,
                        CfStorePosition peer, gint64 now_ms);

/** cf_store_lag_is_overdue: whether the answer with the change should have
 * arrived by now.  If so, it is overdue again only after as long a time. */
gboolean cf_store_lag_is_overdue (CfStoreLag *l, CfStorePosition own,
                                  gint64 now_ms);
