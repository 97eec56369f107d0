#pragma once

#include <glib.h>

/**
 * CfEventStream:
 * Cuts a text/event-stream into whole events, so that a stream which
 * breaks off in the middle of one can be taken up elsewhere without a torn
 * event, and drops events that the caller already has.
 */
typedef struct
{
  GString *partial;  /**< the event that is not whole yet */
  gint64 last_id;    /**< of the last event given out; -1: none */
  guint64 n_events;  /**< given out so far */
  guint64 n_dropped; /**< dropped, since their id was not higher */
} CfEventStream;

void cf_event_stream_init (CfEventStream *s);
void cf_event_stream_clear (CfEventStream *s);

/**
 * cf_event_stream_feed:
 * @out: whole events are appended here, byte for byte
 * Returns: how many were.
 */
guint cf_event_stream_feed (CfEventStream *s, const char *data, gsize n,
                            GString *out);

/** cf_event_stream_restart: another target goes on after last_id. */
void cf_event_stream_restart (CfEventStream *s);

/** cf_event_stream_has_partial: whether an event has begun and is not whole. */
gboolean cf_event_stream_has_partial (const CfEventStream *s);
