#include "claim.h"

#include "net.h"
#include "route.h"

/* A guard that does not answer in this time counts as not granting. */
#define GUARD_TIMEOUT_MS 300

/* What one guard said. */
typedef enum
{
  SAID_GRANTED,
  SAID_HELD,
  SAID_NOTHING, /* abstains, is down, or did not answer */
} Said;

static Said
ask (CfLinkTable *links, const char *guard, CfClaim *claim, long long deadline)
{
  CfMsg m = { .kind = CF_MSG_CLAIM };
  CfMsg r = { 0 };
  Said said = SAID_NOTHING;

  m.u.claim.key = (char *)claim->key;
  m.u.claim.token = (char *)claim->token;
  m.u.claim.runner = (char *)claim->runner;
  if (cf_link_call (cf_link_table_get (links, guard), &m,
                    MIN (deadline, cf_now_ms () + GUARD_TIMEOUT_MS), &r)
      != CF_CALL_REPLY)
    return SAID_NOTHING;
  if (r.kind == CF_MSG_CLAIMED)
    switch (r.u.claimed.verdict)
      {
      case CF_VERDICT_GRANTED:
        said = SAID_GRANTED;
        break;
      case CF_VERDICT_HELD:
        said = SAID_HELD;
        g_free (claim->holder);
        claim->holder = g_steal_pointer (&r.u.claimed.runner);
        break;
      case CF_VERDICT_ABSTAIN:
        claim->retry_ms = MAX (claim->retry_ms, r.load.quiet_remaining_ms);
        break;
      }
  cf_msg_clear (&r);
  return said;
}

static CfClaimResult
take_in (CfLinkTable *links, const CfConfig *c, CfClaim *claim,
         long long deadline)
{
  const char *guards[CF_GUARDS_PER_KEY];
  guint n = cf_route_find_guards (c, claim->key, guards);
  guint majority = n / 2 + 1;

  claim->guards = n;
  claim->granted = 0;
  for (guint i = 0; i < n && claim->granted < majority; i++)
    switch (ask (links, guards[i], claim, deadline))
      {
      case SAID_GRANTED:
        claim->granted++;
        break;
      case SAID_HELD:
        return CF_CLAIM_HELD_ELSEWHERE;
      case SAID_NOTHING:
        break;
      }
  return n > 0 && claim->granted == majority ? CF_CLAIM_ACQUIRED
                                             : CF_CLAIM_NO_MAJORITY;
}

/* Most changes of the configuration leave the agents as they are: then the
 * version before has the same guards, and need not be asked as well. */
static const CfConfig *
unless_same_guards (const CfConfig *c, const CfConfig *prev, const char *key)
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
  CfClaimResult res = take_in (links, c, claim, deadline_ms);

  prev = unless_same_guards (c, prev, claim->key);
  if (res == CF_CLAIM_ACQUIRED && prev)
    res = take_in (links, prev, claim, deadline_ms);
  if (res != CF_CLAIM_ACQUIRED)
    cf_claim_release (links, c, prev, claim);
  return res;
}

static void
release_in (CfLinkTable *links, const CfConfig *c, const CfClaim *claim)
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
  release_in (links, c, claim);
  prev = unless_same_guards (c, prev, claim->key);
  if (prev)
    release_in (links, prev, claim);
}
