#include "claim.h"

#include "net.h"
#include "route.h"

/* A guard that does not answer within this time counts as not granting. */
#define GUARD_TIMEOUT_MS 300

/* One guard's reply to a claim. */
typedef enum
{
  REPLY_GRANTED,
  REPLY_HELD,
  REPLY_NONE, /* the guard abstains, is down, or did not answer */
} GuardReply;

static GuardReply
claim_at_guard (CfLinkTable *links, const char *guard, CfClaim *claim,
                long long deadline_ms)
{
  CfMsg m = { .kind = CF_MSG_CLAIM };
  CfMsg r = { 0 };
  GuardReply reply = REPLY_NONE;

  m.u.claim.key = (char *)claim->key;
  m.u.claim.token = (char *)claim->token;
  m.u.claim.runner = (char *)claim->runner;
  if (cf_link_call (cf_link_table_get (links, guard), &m,
                    MIN (deadline_ms, cf_now_ms () + GUARD_TIMEOUT_MS), &r)
      != CF_CALL_REPLY)
    return REPLY_NONE;
  if (r.kind == CF_MSG_CLAIMED)
    switch (r.u.claimed.verdict)
      {
      case CF_VERDICT_GRANTED:
        reply = REPLY_GRANTED;
        break;
      case CF_VERDICT_HELD:
        reply = REPLY_HELD;
        g_free (claim->holder);
        claim->holder = g_steal_pointer (&r.u.claimed.runner);
        break;
      case CF_VERDICT_ABSTAIN:
        claim->retry_ms = MAX (claim->retry_ms, r.load.quiet_remaining_ms);
        break;
      }
  cf_msg_clear (&r);
  return reply;
}

/* Claims the key from the guards of configuration @c. */
static CfClaimResult
claim_at_majority (CfLinkTable *links, const CfConfig *c, CfClaim *claim,
                   long long deadline_ms)
{
  const char *guards[CF_GUARDS_PER_KEY];
  guint n = cf_route_find_guards (c, claim->key, guards);
  guint majority = n / 2 + 1;

  claim->guards = n;
  claim->granted = 0;
  for (guint i = 0; i < n && claim->granted < majority; i++)
    switch (claim_at_guard (links, guards[i], claim, deadline_ms))
      {
      case REPLY_GRANTED:
        claim->granted++;
        break;
      case REPLY_HELD:
        return CF_CLAIM_HELD_ELSEWHERE;
      case REPLY_NONE:
        break;
      }
  return n > 0 && claim->granted == majority ? CF_CLAIM_ACQUIRED
                                             : CF_CLAIM_NO_MAJORITY;
}

/* Returns @prev if its guards for @key are not those of @c, else NULL.  Most
 * changes of the configuration leave the agents as they are, so that the
 * guards of the previous version need no second claim. */
static const CfConfig *
prev_if_guards_differ (const CfConfig *c, const CfConfig *prev, const char *key)
{
  const char *a[CF_GUARDS_PER_KEY];
  const char *b[CF_GUARDS_PER_KEY];
  guint n;

  if (prev == NULL)
    return NULL;
  n = cf_route_find_guards (c, key, a);
  if (n != cf_route_find_guards (prev, key, b))
    return prev;
  for (guint i = 0; i < n; i++)
    if (!g_str_equal (a[i], b[i]))
      return prev;
  return NULL;
}

CfClaimResult
cf_claim_acquire (CfLinkTable *links, const CfConfig *c, const CfConfig *prev,
                  CfClaim *claim, long long deadline_ms)
{
  CfClaimResult res = claim_at_majority (links, c, claim, deadline_ms);

  prev = prev_if_guards_differ (c, prev, claim->key);
  if (res == CF_CLAIM_ACQUIRED && prev)
    res = claim_at_majority (links, prev, claim, deadline_ms);
  if (res != CF_CLAIM_ACQUIRED)
    cf_claim_release (links, c, prev, claim);
  return res;
}

static void
release_at_guards (CfLinkTable *links, const CfConfig *c, const CfClaim *claim)
{
  const char *guards[CF_GUARDS_PER_KEY];
  guint n = cf_route_find_guards (c, claim->key, guards);
  CfMsg m = { .kind = CF_MSG_RELEASE };

  m.u.claim.key = (char *)claim->key;
  m.u.claim.token = (char *)claim->token;
  m.u.claim.runner = (char *)claim->runner;
  for (guint i = 0; i < n; i++)
    cf_link_send (cf_link_table_get (links, guards[i]), &m);
}

void
cf_claim_release (CfLinkTable *links, const CfConfig *c, const CfConfig *prev,
                  const CfClaim *claim)
{
  release_at_guards (links, c, claim);
  prev = prev_if_guards_differ (c, prev, claim->key);
  if (prev)
    release_at_guards (links, prev, claim);
}
