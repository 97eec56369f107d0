#pragma once

#include <glib.h>

/**
 * CfEventStream:
 * Splits a text/event-stream into complete events, so that a stream that
 * breaks off in the middle of an event can be resumed at another target
 * without forwarding a truncated event.  Drops events that were forwarded
 * before.
 */
typedef struct
{
  GString *partial;     /**< bytes of the incomplete event */
  gint64 last_id;       /**< id of the last event returned; -1: none */
  guint64 n_events;     /**< events returned so far */
  guint64 n_unnumbered; /**< those of them without an id */
  gboolean is_resumed;
  gboolean lacks_id; /**< an event after the resumption has no id; it and those
                          after it were dropped */
  guint64 n_dropped; /**< events dropped: their id was not above @last_id */
} CfEventStream;

void cf_event_stream_init (CfEventStream *s);
void cf_event_stream_clear (CfEventStream *s);

/**
 * cf_event_stream_feed:
 * @out: complete events, and the comments between them, are appended to it
 *   unchanged
 * Returns: the number of events appended.
 */
guint cf_event_stream_feed (CfEventStream *s, const char *data, gsize n,
                            GString *out);

/** cf_event_stream_is_too_long: whether the incomplete event is longer than an
 * event may be. */
gboolean cf_event_stream_is_too_long (const CfEventStream *s);

/** cf_event_stream_can_resume: whether another target can resume the stream:
 * all events returned so far, one at least, have ids. */
gboolean cf_event_stream_can_resume (const CfEventStream *s);

/** cf_event_stream_restart: discards the incomplete event; another target
 * resumes the stream after @last_id. */
void cf_event_stream_restart (CfEventStream *s);

/** cf_event_stream_is_inside_event: whether an event has begun and is
 * incomplete.  Blank lines and comments are no part of an event. */
gboolean cf_event_stream_is_inside_event (const CfEventStream *s);
