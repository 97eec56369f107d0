#pragma once

#include "link-table.h"
#include "records.h"

/**
 * The claim of a non-repeatable call, made by an entry before it sends the
 * call: a majority of the key's guards (cf_route_find_guards()) must grant it.
 * Any two majorities share a guard, so two entries can never both hold a
 * key, and a guard that lost its memory abstains until nobody may retry a
 * key it could have known (guard.h).  docs/INVARIANTS.md, point 4.
 */

/** CfClaimResult: how cf_claim_acquire() ended. */
typedef enum
{
  CF_CLAIM_ACQUIRED,       /**< a majority granted it: the call may run */
  CF_CLAIM_HELD_ELSEWHERE, /**< another sending holds the key: never run it */
  CF_CLAIM_NO_MAJORITY,    /**< too few guards answered or remember */
} CfClaimResult;

/** CfClaim: one sending's claim of a key; strings are borrowed. */
typedef struct
{
  const char *key;
  const char *token;  /**< tells this sending from any other, ever */
  const char *runner; /**< the agent the call is to run at */
  char *holder;    /**< (out): for %CF_CLAIM_HELD_ELSEWHERE, that one's agent */
  gint64 retry_ms; /**< (out): for %CF_CLAIM_NO_MAJORITY, when to come back */
  guint granted;   /**< (out): grants in the set that decided */
  guint guards;    /**< (out): guards in that set */
} CfClaim;

/**
 * cf_claim_acquire:
 * @c: the configuration in force
 * @prev: (nullable): the one before, while some entry may still use it;
 *   the claim must then win a majority in both guard sets
 * @deadline_ms: the caller's deadline on cf_now_ms()'s clock
 *
 * Taking a claim again with the same token names a new runner.  On any
 * result but %CF_CLAIM_ACQUIRED the grants won are given back.
 */
CfClaimResult cf_claim_acquire (CfLinkTable *links, const CfConfig *c,
                                const CfConfig *prev, CfClaim *claim,
                                long long deadline_ms);

/** cf_claim_release: the call surely did not run; frees the key again. */
void cf_claim_release (CfLinkTable *links, const CfConfig *c,
                       const CfConfig *prev, const CfClaim *claim);
