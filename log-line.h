#pragma once

#include <glib.h>

/**
 * Reading log lines back: "... PROGRAM[pid]: E1203 name key=value ... t=S".
 * What stands before the program is whoever's collected them.
 */

/** cf_log_line_event: (nullable): where the event's number begins. */
const char *cf_log_line_event (const char *line);

/** cf_log_line_field: (nullable): the value of @name, without quotes; free
 * with g_free(). */
char *cf_log_line_field (const char *line, const char *name);

/** cf_log_line_number: the value of @name as a number; @missing if there is
 * none. */
double cf_log_line_number (const char *line, const char *name, double missing);
