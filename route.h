#pragma once

#include "records.h"

#include <glib.h>

/**
 * CfCandidate:
 * A target an entry may send a request to, as the entry sees it now.
 */
typedef struct
{
  const char *addr;  /**< the agent's "IP:PORT" */
  gint64 load;       /**< in flight and queued, as last reported, plus ours */
  gboolean excluded; /**< leaving, draining, unreachable or tried already */
} CfCandidate;

/**
 * cf_route_pick:
 * @c: @n candidates
 * @key: (nullable): the idempotency key of a non-repeatable call
 * @req_id: the request's id
 *
 * A non-repeatable call goes by rendezvous (highest random weight) hashing
 * of @key alone, so that every entry, and every retry of the caller, picks
 * the same agent first and meets the same kept answer.  Other calls go to
 * the least loaded candidate, ties broken by rendezvous hashing of
 * @req_id.
 *
 * Returns: (nullable): the candidate to try; %NULL if all are excluded.
 */
CfCandidate *cf_route_pick (CfCandidate *c, size_t n, const char *key,
                            const char *req_id);

/** How many agents guard one idempotency key. */
#define CF_GUARDS_PER_KEY 3

/**
 * cf_route_find_guards:
 * @c: the configuration whose agents, of every group, may be guards
 * @key: an idempotency key
 * @out: (out): up to %CF_GUARDS_PER_KEY addresses, owned by @c
 *
 * The key's guards: the agents that come first by rendezvous hashing,
 * whether up or not, so that every entry on one version agrees on them.
 *
 * Returns: how many there are; fewer only if @c has fewer agents.
 */
guint cf_route_find_guards (const CfConfig *c, const char *key,
                            const char *out[CF_GUARDS_PER_KEY]);
