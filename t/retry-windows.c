#include "retry-windows.h"

/** Attempt: the arrival of a request at a target. */
typedef struct
{
  char *id;
  gint64 at_ms;
} Attempt;

struct RetryWindows
{
  double ratio;
  int slack;
  gint64 window_ms;
  GArray *requests; /* of gint64: when they were sent */
  GArray *attempts; /* of Attempt */
};

static void
clear_attempt (gpointer a)
{
  g_free (((Attempt *)a)->id);
}

RetryWindows *
retry_windows_new (double ratio, int slack, gint64 window_ms)
{
  RetryWindows *w = g_new0 (RetryWindows, 1);

  w->ratio = ratio;
  w->slack = slack;
  w->window_ms = window_ms;
  w->requests = g_array_new (FALSE, FALSE, sizeof (gint64));
  w->attempts = g_array_new (FALSE, FALSE, sizeof (Attempt));
  g_array_set_clear_func (w->attempts, clear_attempt);
  return w;
}

void
retry_windows_free (RetryWindows *w)
{
  g_array_unref (w->requests);
  g_array_unref (w->attempts);
  g_free (w);
}

void
retry_windows_add_request (RetryWindows *w, gint64 at_ms)
{
  g_array_append_val (w->requests, at_ms);
}

void
retry_windows_add_attempt (RetryWindows *w, const char *id, gint64 at_ms)
{
  const Attempt a = { g_strdup (id), at_ms };

  g_array_append_val (w->attempts, a);
}

static int
compare_attempts (gconstpointer a, gconstpointer b)
{
  const Attempt *x = a;
  const Attempt *y = b;

  return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/* Returns when requests arrived that had arrived before, in order. */
static GArray *
list_repeats (RetryWindows *w)
{
  GArray *repeats = g_array_new (FALSE, FALSE, sizeof (gint64));
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  g_array_sort (w->attempts, compare_attempts);
  for (guint i = 0; i < w->attempts->len; i++)
    {
      const Attempt *a = &g_array_index (w->attempts, Attempt, i);

      if (!g_hash_table_add (seen, a->id))
        g_array_append_val (repeats, a->at_ms);
    }
  g_hash_table_unref (seen);
  return repeats;
}

static guint
count_in_window (const RetryWindows *w, const GArray *times_ms, gint64 from_ms)
{
  guint n = 0;

  for (guint i = 0; i < times_ms->len; i++)
    {
      gint64 ms = g_array_index (times_ms, gint64, i);

      n += ms >= from_ms && ms < from_ms + w->window_ms;
    }
  return n;
}

static guint
count_requests (const RetryWindows *w, gint64 from_ms)
{
  guint n = count_in_window (w, w->requests, from_ms);

  n = MAX (n, count_in_window (w, w->requests, from_ms - w->window_ms / 2));
  return MAX (n, count_in_window (w, w->requests, from_ms - w->window_ms));
}

gboolean
retry_windows_find_worst (RetryWindows *w, RetryWindow *worst)
{
  GArray *repeats = list_repeats (w);
  gboolean found = repeats->len > 0;

  worst->excess = -G_MAXDOUBLE;
  for (guint i = 0; i < repeats->len; i++)
    {
      RetryWindow one = { .from_ms = g_array_index (repeats, gint64, i) };

      one.n_repeats = count_in_window (w, repeats, one.from_ms);
      one.n_requests = count_requests (w, one.from_ms);
      one.excess = one.n_repeats - w->ratio * one.n_requests - w->slack;
      if (one.excess > worst->excess)
        *worst = one;
    }
  g_array_unref (repeats);
  return found;
}
