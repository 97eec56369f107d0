#pragma once

#include <glib.h>

/**
 * RetryWindows:
 * Requests for a service and their attempts at its targets, to check how many
 * attempts after the first there were in any window of time.
 */
typedef struct RetryWindows RetryWindows;

/** retry_windows_new: a window of @window_ms allows @ratio repeats for each
 * request and @slack more. */
RetryWindows *retry_windows_new (double ratio, int slack, gint64 window_ms);

void retry_windows_free (RetryWindows *w);

/** retry_windows_add_request: a caller sent a request at @at_ms. */
void retry_windows_add_request (RetryWindows *w, gint64 at_ms);

/** retry_windows_add_attempt: request @id arrived at a target at @at_ms; to be
 * called in any order. */
void retry_windows_add_attempt (RetryWindows *w, const char *id, gint64 at_ms);

/** RetryWindow: the window with the most repeats beyond what is allowed. */
typedef struct
{
  gint64 from_ms;
  guint n_repeats;
  guint n_requests; /**< in it, the one before or the one half a window before,
                         whichever has most */
  double excess;    /**< repeats beyond those allowed; may be negative */
} RetryWindow;

/** retry_windows_find_worst: %FALSE if nothing was repeated. */
gboolean retry_windows_find_worst (RetryWindows *w, RetryWindow *worst);
