#pragma once

#include "link-table.h"
#include "records.h"

/**
 * Before an entry sends a non-repeatable call, it claims the call's key: a
 * majority of the key's guards (cf_route_find_guards()) must grant the claim.
 * Any two majorities share a guard, so two entries can never both hold a
 * key.  A guard that restarted, and so lost its claims, abstains until no
 * caller may retry a key that it could have known (guard.h).  See
 * docs/INVARIANTS.md, point 4.
 */

/** CfClaimResult: how cf_claim_acquire() ended. */
typedef enum
{
  CF_CLAIM_ACQUIRED,       /**< a majority granted it: the call may run */
  CF_CLAIM_HELD_ELSEWHERE, /**< another request holds the key: do not run it */
  CF_CLAIM_NO_MAJORITY,    /**< too few guards granted it: some were down or
                                abstained */
} CfClaimResult;

/** CfClaim: one request's claim of a key; it borrows @key, @token, @runner. */
typedef struct
{
  const char *key;
  const char *token;  /**< unique to this request across entries and restarts */
  const char *runner; /**< the agent that is to run the call */
  /** (out): for %CF_CLAIM_HELD_ELSEWHERE, the holder's runner; owned */
  char *holder;
  gint64 retry_ms; /**< (out): for %CF_CLAIM_NO_MAJORITY, the longest
                        remaining quiet period of a guard that abstained, or
                        0 */
  guint granted;   /**< (out): grants in the guard set asked last */
  guint guards;    /**< (out): guards in that set */
} CfClaim;

/**
 * cf_claim_acquire:
 * @c: the current configuration
 * @prev: (nullable): the one before, while some entry may still use it;
 *   the claim must then win a majority in both guard sets
 * @deadline_ms: the caller's deadline on cf_now_ms()'s clock
 *
 * A second claim with the same token replaces the runner.  On any result but
 * %CF_CLAIM_ACQUIRED the grants that were given are released.
 */
CfClaimResult cf_claim_acquire (CfLinkTable *links, const CfConfig *c,
                                const CfConfig *prev, CfClaim *claim,
                                long long deadline_ms);

/** cf_claim_release: frees the key of a call that certainly did not run. */
void cf_claim_release (CfLinkTable *links, const CfConfig *c,
                       const CfConfig *prev, const CfClaim *claim);
