#pragma once

#include <glib.h>

/**
 * Parses log lines: "... PROGRAM[pid]: E1203 name key=value ... t=S".
 * A log collector may have put a prefix before PROGRAM.
 */

/** cf_log_line_event: (nullable): the part of @line that begins with the event
 * number; %NULL if there is none. */
const char *cf_log_line_event (const char *line);

/** cf_log_line_field: (nullable): the value of field @name without quotes, or
 * %NULL if there is no such field; free with g_free(). */
char *cf_log_line_field (const char *line, const char *name);

/** cf_log_line_number: the value of field @name as a number; @missing if there
 * is no such field. */
double cf_log_line_number (const char *line, const char *name, double missing);
