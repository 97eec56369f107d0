#pragma once

#include "error.h"

#include <glib.h>

/**
 * The story of one request, from the log lines that processes wrote of it.
 */

/** CfTimelineEntry: one line of the story. */
typedef struct
{
  double time_s; /**< of day, as the process that wrote it had it */
  char *file;    /**< the log it stands in */
  char *event;   /**< such as "E1203" */
  char *text;    /**< the event's name and fields, as logged */
} CfTimelineEntry;

/** CfTimeline: its lines in order of time, and what they come to. */
typedef struct
{
  GPtrArray *lines; /**< of #CfTimelineEntry */
  char *cause;      /**< why it ended as it did, in a sentence */
  char *input;      /**< the inputs that decided, with their age or version */
} CfTimeline;

/**
 * cf_timeline_read_log:
 * @id: the request's id
 * @file: a log's name, for the story
 * @text: what the log holds
 * Adds the lines of @id to @s, which begins zeroed.
 */
void cf_timeline_read_log (CfTimeline *s, const char *id, const char *file,
                           const char *text);

/** cf_timeline_finish: puts the lines in order and finds the cause. */
void cf_timeline_finish (CfTimeline *s);

/** cf_timeline_print: the story, for people. */
void cf_timeline_print (const CfTimeline *s, const char *id, GString *out);

void cf_timeline_clear (CfTimeline *s);
