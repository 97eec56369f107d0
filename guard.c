#include "guard.h"

typedef struct
{
  CfGuardState state;
  gint64 code;
  char *body;
  gint64 expires_ms; /* 0 while running */
} Call;

typedef struct
{
  char *token;
  char *runner;
  gboolean granted; /* FALSE if made in the quiet period */
  gint64 expires_ms;
} Claim;

static void
free_claim (gpointer p)
{
  Claim *c = p;

  g_free (c->token);
  g_free (c->runner);
  g_free (c);
}

static void
free_call (gpointer p)
{
  Call *c = p;

  g_free (c->body);
  g_free (c);
}

void
cf_guard_init (CfGuard *g, gint64 ttl_ms, guint max_entries,
               gint64 quiet_until_ms)
{
  pthread_mutex_init (&g->lock, NULL);
  g->calls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_call);
  g->claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_claim);
  g->quiet_until_ms = quiet_until_ms;
  g->ttl_ms = ttl_ms;
  g->max_entries = max_entries;
}

void
cf_guard_clear (CfGuard *g)
{
  g_hash_table_unref (g->calls);
  g_hash_table_unref (g->claims);
  pthread_mutex_destroy (&g->lock);
}

static gboolean
is_call_expired (gpointer key, gpointer value, gpointer now)
{
  const Call *c = value;

  return c->expires_ms != 0 && c->expires_ms <= *(gint64 *)now;
}

static gboolean
is_claim_expired (gpointer key, gpointer value, gpointer now)
{
  return ((Claim *)value)->expires_ms <= *(gint64 *)now;
}

/* Whether @table can take one more entry; removes expired entries if it is
 * full. */
static gboolean
has_room (CfGuard *g, GHashTable *table, GHRFunc expired, gint64 now_ms)
{
  if (g_hash_table_size (table) >= g->max_entries)
    g_hash_table_foreach_remove (table, expired, &now_ms);
  return g_hash_table_size (table) < g->max_entries;
}

CfVerdict
cf_guard_claim (CfGuard *g, const char *key, const char *token,
                const char *runner, gint64 now_ms, char **holder)
{
  CfVerdict verdict;
  Claim *c;

  pthread_mutex_lock (&g->lock);
  c = g_hash_table_lookup (g->claims, key);
  if (c && c->expires_ms > now_ms && !g_str_equal (c->token, token))
    {
      *holder = g_strdup (c->runner);
      verdict = CF_VERDICT_HELD;
      goto out;
    }
  if (c == NULL || c->expires_ms <= now_ms)
    {
      if (!has_room (g, g->claims, is_claim_expired, now_ms))
        {
          verdict = CF_VERDICT_ABSTAIN;
          goto out;
        }
      c = g_new0 (Claim, 1);
      c->token = g_strdup (token);
      c->granted = now_ms >= g->quiet_until_ms;
      g_hash_table_replace (g->claims, g_strdup (key), c);
    }
  g_free (c->runner);
  c->runner = g_strdup (runner);
  c->expires_ms = now_ms + g->ttl_ms;
  verdict = c->granted ? CF_VERDICT_GRANTED : CF_VERDICT_ABSTAIN;
out:
  pthread_mutex_unlock (&g->lock);
  return verdict;
}

void
cf_guard_release (CfGuard *g, const char *key, const char *token)
{
  Claim *c;

  pthread_mutex_lock (&g->lock);
  c = g_hash_table_lookup (g->claims, key);
  if (c && g_str_equal (c->token, token))
    g_hash_table_remove (g->claims, key);
  pthread_mutex_unlock (&g->lock);
}

gint64
cf_guard_remaining_quiet_ms (CfGuard *g, gint64 now_ms)
{
  return MAX (g->quiet_until_ms - now_ms, 0);
}

CfGuardState
cf_guard_begin (CfGuard *g, const char *key, CfKeyState key_state,
                gint64 now_ms, gint64 *code, char **body)
{
  CfGuardState st;
  Call *c;

  pthread_mutex_lock (&g->lock);
  c = g_hash_table_lookup (g->calls, key);
  if (c && c->expires_ms != 0 && c->expires_ms <= now_ms)
    {
      g_hash_table_remove (g->calls, key);
      c = NULL;
    }
  if (c)
    {
      st = c->state;
      if (st == CF_GUARD_DONE)
        {
          *code = c->code;
          *body = g_strdup (c->body);
        }
      goto out;
    }
  if (key_state == CF_KEY_REPLAY
      || (key_state == CF_KEY_UNCLAIMED && now_ms < g->quiet_until_ms))
    {
      st = key_state == CF_KEY_REPLAY ? CF_GUARD_UNKNOWN : CF_GUARD_QUIET;
      goto out;
    }
  if (!has_room (g, g->calls, is_call_expired, now_ms))
    {
      st = CF_GUARD_FULL;
      goto out;
    }
  c = g_new0 (Call, 1);
  c->state = CF_GUARD_RUNNING;
  g_hash_table_insert (g->calls, g_strdup (key), c);
  st = CF_GUARD_NEW;
out:
  pthread_mutex_unlock (&g->lock);
  return st;
}

void
cf_guard_finish (CfGuard *g, const char *key, gboolean has_answer, gint64 code,
                 const char *body, gint64 now_ms)
{
  Call *c;

  pthread_mutex_lock (&g->lock);
  c = g_hash_table_lookup (g->calls, key);
  if (c)
    {
      c->state = has_answer ? CF_GUARD_DONE : CF_GUARD_UNKNOWN;
      c->code = code;
      c->body = g_strdup (body);
      c->expires_ms = now_ms + g->ttl_ms;
    }
  pthread_mutex_unlock (&g->lock);
}

void
cf_guard_remove (CfGuard *g, const char *key)
{
  pthread_mutex_lock (&g->lock);
  g_hash_table_remove (g->calls, key);
  pthread_mutex_unlock (&g->lock);
}

guint
cf_guard_size (CfGuard *g)
{
  guint n;

  pthread_mutex_lock (&g->lock);
  n = g_hash_table_size (g->calls);
  pthread_mutex_unlock (&g->lock);
  return n;
}
