#pragma once

#include <glib.h>

/**
 * The log writer: a thread that takes whole log lines from a bounded ring
 * and writes them, many at a time, so that whoever logs never waits for
 * the reader of the log.  Lines that find the ring full, or that exceed
 * the rate, are dropped and counted.
 */

/** Lines that can wait for the writer. */
#define CF_LOG_RING_SIZE 4096
/** Lines a second at most: a request writes three or four, and ten times that
 * in a storm of errors.  Above this a log explains nothing more. */
#define CF_LOG_MAX_LINES_PER_S 3000

/**
 * cf_log_writer_start:
 * @fd: where lines go; may be a pipe that nobody reads
 * Returns: %FALSE if no thread could be made; lines are then dropped.
 */
gboolean cf_log_writer_start (int fd);

/** cf_log_writer_stop: writes what waits, for at most @ms, and ends. */
void cf_log_writer_stop (gint64 ms);

/** cf_log_writer_is_running: whether lines go through the writer. */
gboolean cf_log_writer_is_running (void);

/** cf_log_writer_put: takes a copy of the line; never blocks. */
void cf_log_writer_put (const char *line, gsize n);

/** cf_log_writer_dropped_lines: lines dropped since the start. */
guint64 cf_log_writer_dropped_lines (void);
