#pragma once

#include "error.h"

#include <glib.h>

/**
 * The story of one request, from the log lines that processes wrote of it.
 */

/** CfStoryLine: one line of the story. */
typedef struct
{
  double time_s; /**< of day, as the process that wrote it had it */
  char *file;    /**< the log it stands in */
  char *event;   /**< such as "E1203" */
  char *text;    /**< the event's name and fields, as logged */
} CfStoryLine;

/** CfStory: its lines in order of time, and what they come to. */
typedef struct
{
  GPtrArray *lines; /**< of #CfStoryLine */
  char *cause;      /**< why it ended as it did, in a sentence */
  char *input;      /**< the inputs that decided, with their age or version */
} CfStory;

/**
 * cf_story_read:
 * @id: the request's id
 * @file: a log's name, for the story
 * @text: what the log holds
 * Adds the lines of @id to @s, which begins zeroed.
 */
void cf_story_read (CfStory *s, const char *id, const char *file,
                    const char *text);

/** cf_story_end: puts the lines in order and finds the cause. */
void cf_story_end (CfStory *s);

/** cf_story_print: the story, for people. */
void cf_story_print (const CfStory *s, const char *id, GString *out);

void cf_story_clear (CfStory *s);
