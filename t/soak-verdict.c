/*
 * What callers and targets saw, and whether it keeps the promises.
 */
#include "soak.h"

#include <stdarg.h>
#include <stdio.h>

/** Of one promise, how many cases are written out. */
#define SHOWN_MAX 5

/** More than the faults of a plan. */
#define VERSIONS_MAX 64

/** Seen: a request. */
typedef struct
{
  SoakClass class;
  int gateway;
  int version; /**< the one that has its route; 0: all have */
  gint64 sent_ms;
  gint64 end_ms;
  int status; /**< 0: none yet */
  int runs;
  gboolean is_closed;
} Seen;

/** Span: a time in which an unplanned fault lasted. */
typedef struct
{
  gint64 from_ms;
  gint64 to_ms;
} Span;

/** Stop: a planned one. */
typedef struct
{
  int gateway;
  gint64 at_ms;
} Stop;

static GMutex lock;
static GHashTable *requests; /* id -> Seen */
static GArray *unplanned;    /* of Span */
static GArray *stops;        /* of Stop */
static guint n_broken;
static gint64 written_ms[VERSIONS_MAX]; /* versions of the configuration */
static gint version_written = 1;

gint64
soak_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
soak_broken (const char *promise, const char *format, ...)
{
  g_autofree char *what = NULL;
  va_list ap;

  va_start (ap, format);
  what = g_strdup_vprintf (format, ap);
  va_end (ap);
  if ((guint)g_atomic_int_add ((gint *)&n_broken, 1) < SHOWN_MAX)
    printf ("broken promise=%s at_ms=%" G_GINT64_FORMAT " %s\n", promise,
            soak_now_ms (), what);
}

void
soak_unplanned (gint64 from_ms, gint64 to_ms)
{
  Span s = { from_ms, to_ms };

  g_mutex_lock (&lock);
  if (!unplanned)
    unplanned = g_array_new (FALSE, FALSE, sizeof (Span));
  g_array_append_val (unplanned, s);
  g_mutex_unlock (&lock);
}

void
soak_stopping (int gateway)
{
  Stop s = { gateway, soak_now_ms () };

  if (!stops)
    stops = g_array_new (FALSE, FALSE, sizeof (Stop));
  g_array_append_val (stops, s);
}

gboolean
soak_is_calm (void)
{
  return unplanned == NULL;
}

void
soak_config (int version)
{
  written_ms[version] = soak_now_ms ();
  g_atomic_int_set (&version_written, version);
}

int
soak_config_written (void)
{
  return g_atomic_int_get (&version_written);
}

void
soak_sent (const char *id, SoakClass class, int gateway, int version)
{
  Seen *s = g_new0 (Seen, 1);

  s->class = class;
  s->gateway = gateway;
  s->version = version;
  s->sent_ms = soak_now_ms ();
  g_mutex_lock (&lock);
  if (!requests)
    requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (requests, g_strdup (id), s);
  g_mutex_unlock (&lock);
}

static void
end_of (const char *id, int status, gboolean is_closed)
{
  Seen *s;

  g_mutex_lock (&lock);
  s = g_hash_table_lookup (requests, id);
  s->status = status;
  s->is_closed = is_closed;
  s->end_ms = soak_now_ms ();
  g_mutex_unlock (&lock);
}

void
soak_answered (const char *id, int status)
{
  end_of (id, status, FALSE);
}

void
soak_closed (const char *id)
{
  end_of (id, 0, TRUE);
}

void
soak_ran (const char *id, int times)
{
  Seen *s;

  g_mutex_lock (&lock);
  s = requests ? g_hash_table_lookup (requests, id) : NULL;
  if (s)
    s->runs += times;
  g_mutex_unlock (&lock);
  if (!s)
    soak_broken ("unasked", "id=%s ran, and no caller sent it", id);
}

/* Whether an unplanned fault excuses what became of a request. */
static gboolean
is_excused (const Seen *s)
{
  for (guint i = 0; unplanned && i < unplanned->len; i++)
    {
      const Span *u = &g_array_index (unplanned, Span, i);

      if (u->from_ms <= s->end_ms && s->sent_ms <= u->to_ms + SOAK_CONTACT_MS)
        return TRUE;
    }
  return FALSE;
}

/* Whether the end of its gateway's grace excuses that it was cut. */
static gboolean
met_the_end (const Seen *s)
{
  for (guint i = 0; stops && i < stops->len; i++)
    {
      const Stop *p = &g_array_index (stops, Stop, i);

      if (p->gateway == s->gateway && s->sent_ms <= p->at_ms + SOAK_STOP_SENT_MS
          && s->end_ms >= p->at_ms + SOAK_STOP_CUT_MS
          && s->end_ms <= p->at_ms + SOAK_STOP_MS)
        return TRUE;
    }
  return FALSE;
}

static gboolean
says_not_run (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Whether a request was served by a version that another has replaced. */
static gboolean
is_out_of_date (const Seen *s)
{
  return s->version && s->status == 200 && s->version < version_written
         && s->sent_ms > written_ms[s->version + 1] + SOAK_APPLY_MS
         && !is_excused (s);
}

static void
check_one (const char *id, const Seen *s)
{
  gint64 took_ms = s->end_ms - s->sent_ms;

  if (s->class == SOAK_ORDER && s->runs > 1)
    soak_broken ("at-most-once", "id=%s gateway=%d runs=%d", id, s->gateway,
                 s->runs);
  if (s->class == SOAK_ORDER && s->runs > 0 && says_not_run (s->status))
    soak_broken ("true-refusal", "id=%s gateway=%d status=%d runs=%d", id,
                 s->gateway, s->status, s->runs);
  if (s->status == 200 && s->runs == 0)
    soak_broken ("own-answer", "id=%s status=200 and no target ran it", id);
  if (is_out_of_date (s))
    soak_broken ("config-in-force",
                 "id=%s gateway=%d version=%d sent_ms=%" G_GINT64_FORMAT, id,
                 s->gateway, s->version, s->sent_ms);
  if (s->is_closed && (s->runs > 0 || took_ms > SOAK_LOSS_SLACK_MS)
      && !is_excused (s) && !met_the_end (s))
    soak_broken ("not-closed",
                 "id=%s gateway=%d class=%d sent_ms=%" G_GINT64_FORMAT
                 " took_ms=%" G_GINT64_FORMAT " runs=%d",
                 id, s->gateway, s->class, s->sent_ms, took_ms, s->runs);
}

guint
soak_verdict (void)
{
  GHashTableIter it;
  gpointer id;
  gpointer seen;

  g_mutex_lock (&lock);
  g_hash_table_iter_init (&it, requests);
  while (g_hash_table_iter_next (&it, &id, &seen))
    check_one (id, seen);
  g_mutex_unlock (&lock);
  return (guint)g_atomic_int_get ((gint *)&n_broken);
}
