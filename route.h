#pragma once

#include "records.h"

#include <glib.h>

/**
 * CfCandidate:
 * A target that an entry may send a request to, with its state as the entry
 * knows it.
 */
typedef struct
{
  const char *addr; /**< the agent's "IP:PORT" */
  gint64 load; /**< requests in flight and queued, as last reported, or this
                    entry's own outstanding requests if they are more */
  gboolean excluded; /**< leaving, draining, unreachable, ejected or tried */
} CfCandidate;

/**
 * cf_route_pick:
 * @c: @n candidates
 * @key: (nullable): the idempotency key of a non-repeatable call
 * @req_id: the request's id
 *
 * A non-repeatable call is routed by rendezvous (highest random weight)
 * hashing of @key alone, so that every entry, and every retry of the caller,
 * picks the same agent first and finds its stored answer.  Other calls go
 * to the least loaded candidate; rendezvous hashing of @req_id breaks ties.
 *
 * Returns: (nullable): the candidate to try; %NULL if all are excluded.
 */
CfCandidate *cf_route_pick (CfCandidate *c, size_t n, const char *key,
                            const char *req_id);

/** The number of agents that guard one idempotency key. */
#define CF_GUARDS_PER_KEY 3

/**
 * cf_route_find_guards:
 * @c: the configuration; the agents of all its groups may be guards
 * @key: an idempotency key
 * @out: (out): up to %CF_GUARDS_PER_KEY addresses, owned by @c
 *
 * Finds the key's guards: the agents with the highest rendezvous hashes,
 * whether up or not, so that all entries on one configuration version agree
 * on them.
 *
 * Returns: the number of guards; less than %CF_GUARDS_PER_KEY only if @c has
 *   fewer agents.
 */
guint cf_route_find_guards (const CfConfig *c, const char *key,
                            const char *out[CF_GUARDS_PER_KEY]);
