#pragma once

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
} CfGuardState;

/**
 * CfGuard:
 * The at-most-once guard beside one target: a table of idempotency keys
 * with the state of each call and its kept answer, for @ttl_ms after it
 * ended.  It lives in the agent's memory only; docs/INVARIANTS.md says
 * what that covers and what it does not.
 */
typedef struct
{
  pthread_mutex_t lock;
  GHashTable *calls; /**< key -> Call */
  gint64 ttl_ms;
  guint max_calls;
} CfGuard;

void cf_guard_init (CfGuard *g, gint64 ttl_ms, guint max_calls);
void cf_guard_clear (CfGuard *g);

/**
 * cf_guard_begin:
 * @now_ms: the monotonic clock, in ms
 * @code: (out): for %CF_GUARD_DONE, the kept HTTP status
 * @body: (out): for %CF_GUARD_DONE, a copy of the kept answer
 *
 * Claims @key.  Only a %CF_GUARD_NEW result lets the caller run the call,
 * and the caller must then end it with cf_guard_finish() or
 * cf_guard_forget().
 */
CfGuardState cf_guard_begin (CfGuard *g, const char *key, gint64 now_ms,
                             gint64 *code, char **body);

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
