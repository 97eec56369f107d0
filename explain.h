#pragma once

#include "error.h"

#include <glib.h>

/**
 * The timeline of one request, collected from the logs of several processes.
 */

/** CfTimelineEntry: one log line about the request. */
typedef struct
{
  double time_s; /**< Unix time by the clock of the logging process */
  char *file;    /**< name of the log that holds the line */
  char *event;   /**< event number, such as "E1203" */
  char *text;    /**< the event's name and fields, as logged */
} CfTimelineEntry;

/** CfTimeline: the lines in order of time, and the cause of the outcome. */
typedef struct
{
  GPtrArray *lines;  /**< of #CfTimelineEntry */
  GPtrArray *shares; /**< of #CfTimelineEntry: changes of gateways' shares
                        (E1221), which concern many requests */
  char *cause;       /**< a sentence that explains the outcome */
  char *decision;    /**< last decision line, with the data it was based on */
} CfTimeline;

/**
 * cf_timeline_read_log:
 * @id: the request's id
 * @file: the log's name, shown beside each line
 * @text: the log's content
 * Adds the lines about @id to @t, which has to be zero-initialized.
 */
void cf_timeline_read_log (CfTimeline *t, const char *id, const char *file,
                           const char *text);

/** cf_timeline_finish: sorts the lines and determines the cause. */
void cf_timeline_finish (CfTimeline *t);

/** cf_timeline_print: appends the timeline to @out as readable text. */
void cf_timeline_print (const CfTimeline *t, const char *id, GString *out);

void cf_timeline_clear (CfTimeline *t);
