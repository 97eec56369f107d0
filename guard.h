#pragma once

#include "wire.h"

#include <glib.h>
#include <pthread.h>

/**
 * CfGuardState:
 * What the at-most-once guard knows of a non-repeatable call.
 */
typedef enum
{
  CF_GUARD_NEW,     /**< never seen: the caller may run it now */
  CF_GUARD_RUNNING, /**< running now: do not run it again */
  CF_GUARD_DONE,    /**< ran, and the answer is kept */
  CF_GUARD_UNKNOWN, /**< sent to the target, fate unknown: never run again */
  CF_GUARD_FULL,    /**< the table is full: refuse without running */
  CF_GUARD_QUIET,   /**< started too lately to know: refuse as unknown */
} CfGuardState;

/**
 * CfGuard:
 * The at-most-once guard beside one target: a table of idempotency keys
 * with the state of each call and its kept answer, for @ttl_ms after it
 * ended, and a table of the claims entries made with it for calls that
 * may run beside other targets (claim.h).
 *
 * Both live in the agent's memory only.  A restart loses them, so a guard
 * is quiet until @quiet_until_ms: it grants no claim and vouches for no
 * key until no caller may still retry a key it could have known, as a
 * restarted lease holder waits out one lease.
 */
typedef struct
{
  pthread_mutex_t lock;
  GHashTable *calls;  /**< key -> Call */
  GHashTable *claims; /**< key -> Claim */
  gint64 ttl_ms;
  gint64 quiet_until_ms;
  guint max_calls; /**< the most entries of each table */
} CfGuard;

/**
 * cf_guard_init:
 * @quiet_until_ms: the end of the quiet time, on the clock of @now_ms below
 */
void cf_guard_init (CfGuard *g, gint64 ttl_ms, guint max_calls,
                    gint64 quiet_until_ms);
void cf_guard_clear (CfGuard *g);

/**
 * cf_guard_claim:
 * @token: tells one sending of a call from any other
 * @runner: the agent that the call is to run at
 * @holder: (out): for %CF_VERDICT_HELD, a copy of the holder's runner
 *
 * Claims @key for one sending of a call.  The same @token may claim again
 * with another @runner.  A claim asked for in the quiet time is kept too,
 * but never granted.
 */
CfVerdict cf_guard_claim (CfGuard *g, const char *key, const char *token,
                          const char *runner, gint64 now_ms, char **holder);

/** cf_guard_release: gives @key back, if @token is what holds it. */
void cf_guard_release (CfGuard *g, const char *key, const char *token);

/** cf_guard_quiet_ms: how much of the quiet time is left, in ms. */
gint64 cf_guard_quiet_ms (CfGuard *g, gint64 now_ms);

/**
 * cf_guard_begin:
 * @keyed: what the sender knows of the key: without a claim the key is
 *   refused in the quiet time, and a replay never becomes a new call
 * @now_ms: the monotonic clock, in ms
 * @code: (out): for %CF_GUARD_DONE, the kept HTTP status
 * @body: (out): for %CF_GUARD_DONE, a copy of the kept answer
 *
 * Begins the call of @key here.  Only a %CF_GUARD_NEW result lets the caller
 * run the call, and the caller must then end it with cf_guard_finish() or
 * cf_guard_forget().
 */
CfGuardState cf_guard_begin (CfGuard *g, const char *key, CfKeyState keyed,
                             gint64 now_ms, gint64 *code, char **body);

/**
 * cf_guard_finish:
 * Keeps the answer of a claimed call; with @known %FALSE (the target may
 * or may not have run it) the key stays %CF_GUARD_UNKNOWN instead.
 */
void cf_guard_finish (CfGuard *g, const char *key, gboolean known, gint64 code,
                      const char *body, gint64 now_ms);

/** cf_guard_forget: the call surely did not run; the key is free again. */
void cf_guard_forget (CfGuard *g, const char *key);

/** cf_guard_size: how many keys the table holds now. */
guint cf_guard_size (CfGuard *g);
