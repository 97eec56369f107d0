#pragma once

#include <glib.h>

/**
 * The log writer: a thread that writes log lines from a bounded ring in
 * batches, so that logging never blocks on the reader of the log.  Lines that
 * find the ring full, or that exceed the rate limit, are dropped and counted.
 */

/** Capacity of the ring, in lines. */
#define CF_LOG_RING_SIZE 4096
/** Lines per second that are logged at most.  A request logs three or four
 * lines, and ten times as many during a burst of errors; more lines than this
 * add no information. */
#define CF_LOG_MAX_LINES_PER_S 3000

/**
 * cf_log_writer_start:
 * @fd: the output; may be a pipe that nobody reads
 * Returns: %FALSE if the thread could not be created; cf_log() then writes each
 *   line itself.
 */
gboolean cf_log_writer_start (int fd);

/** cf_log_writer_stop: stops the writer after it has written the queued lines,
 * or after @ms. */
void cf_log_writer_stop (gint64 ms);

/** cf_log_writer_is_running: whether the writer has been started and not
 * stopped. */
gboolean cf_log_writer_is_running (void);

/** cf_log_writer_put: queues a copy of a line, or drops it; never blocks. */
void cf_log_writer_put (const char *line, gsize n);

/** cf_log_writer_dropped_lines: number of lines dropped since the process
 * started. */
guint64 cf_log_writer_dropped_lines (void);
