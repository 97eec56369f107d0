#pragma once

#include "wire.h"

#include <glib.h>
#include <pthread.h>

/**
 * CfGuardState:
 * What the at-most-once guard knows of a non-repeatable call, one that must
 * not run twice.
 */
typedef enum
{
  CF_GUARD_NEW,     /**< unknown key: the call may run now */
  CF_GUARD_RUNNING, /**< running now: do not run it again */
  CF_GUARD_DONE,    /**< ran, and the answer is stored */
  CF_GUARD_UNKNOWN, /**< it may or may not have run: do not run it again */
  CF_GUARD_FULL,    /**< the table is full: refuse without running */
  CF_GUARD_QUIET,   /**< in the quiet period: refuse as unknown */
} CfGuardState;

/**
 * CfGuard:
 * The at-most-once guard of one target's agent.  One table maps idempotency
 * keys to the state of their calls and keeps the answer for @ttl_ms after a
 * call ended.  A second table holds the claims that entries make for calls
 * that may run at any agent (claim.h).
 *
 * Both tables are in memory only and lost at a restart.  A guard therefore
 * begins with a quiet period, until @quiet_until_ms, in which it grants no
 * claim and does not report a key as unused.  The period ends when no caller
 * may still retry a key from before the restart, just as a restarted lease
 * holder waits for the duration of one lease.
 */
typedef struct
{
  pthread_mutex_t lock;
  GHashTable *calls;  /**< key -> Call */
  GHashTable *claims; /**< key -> Claim */
  gint64 ttl_ms;
  gint64 quiet_until_ms;
  guint max_entries; /**< limit of each table */
} CfGuard;

/**
 * cf_guard_init:
 * @max_entries: the limit of each table
 * @quiet_until_ms: the end of the quiet period, on the monotonic clock that
 *   @now_ms is read from in all functions below
 */
void cf_guard_init (CfGuard *g, gint64 ttl_ms, guint max_entries,
                    gint64 quiet_until_ms);
void cf_guard_clear (CfGuard *g);

/**
 * cf_guard_claim:
 * @token: identifies one attempt to send a call
 * @runner: the address of the agent that will run the call
 * @holder: (out): for %CF_VERDICT_HELD, a copy of the holder's @runner
 *
 * Claims @key for one attempt to send a call.  The same @token may claim
 * again with another @runner.  A claim made in the quiet period is recorded
 * but never granted.
 */
CfVerdict cf_guard_claim (CfGuard *g, const char *key, const char *token,
                          const char *runner, gint64 now_ms, char **holder);

/** cf_guard_release: ends the claim of @key if @token holds it. */
void cf_guard_release (CfGuard *g, const char *key, const char *token);

/**
 * cf_guard_remaining_quiet_ms:
 * Returns: the time until the quiet period ends; 0 once it is over.
 */
gint64 cf_guard_remaining_quiet_ms (CfGuard *g, gint64 now_ms);

/**
 * cf_guard_begin:
 * @key_state: what the sender knows of the key.  An unclaimed key is refused
 *   in the quiet period, and a replay is never run as a new call.
 * @now_ms: the monotonic clock, in ms
 * @code: (out): for %CF_GUARD_DONE, the stored HTTP status
 * @body: (out): for %CF_GUARD_DONE, a copy of the stored answer
 *
 * Registers the call of @key at this agent.  Only after %CF_GUARD_NEW may
 * the caller of this function run the call; it must then end it with
 * cf_guard_finish() or cf_guard_remove().
 */
CfGuardState cf_guard_begin (CfGuard *g, const char *key, CfKeyState key_state,
                             gint64 now_ms, gint64 *code, char **body);

/**
 * cf_guard_finish:
 * @has_answer: %FALSE if the target may or may not have run the call
 *
 * Ends a registered call and stores its answer.  Without one the key becomes
 * %CF_GUARD_UNKNOWN.
 */
void cf_guard_finish (CfGuard *g, const char *key, gboolean has_answer,
                      gint64 code, const char *body, gint64 now_ms);

/** cf_guard_remove: frees @key, since its call certainly did not run. */
void cf_guard_remove (CfGuard *g, const char *key);

/** cf_guard_size: the number of keys in the table of calls. */
guint cf_guard_size (CfGuard *g);
