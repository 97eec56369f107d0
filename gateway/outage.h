#pragma once

#include <glib.h>

/**
 * CfOutage:
 * Tracks whether the targets of a service refuse all work because one that they
 * depend on is missing, as the ranks of a group do while a rank is down or
 * while the group re-forms.  Each request sent then would use up its attempts
 * on refusals, so requests wait, and one at a time is sent as a probe.
 */
typedef struct
{
  gint64 since_ms;      /**< when the first such refusal came; 0: no outage */
  gint64 last_probe_ms; /**< when a probe was last sent */
  gint64 ended_ms;      /**< when the last outage ended; 0: there was none */
} CfOutage;

/**
 * cf_outage_record_refusal:
 * Records that a target refused because another one is at fault.
 * Returns: %TRUE if this begins an outage.
 */
gboolean cf_outage_record_refusal (CfOutage *o, gint64 now_ms);

/**
 * cf_outage_record_answer:
 * Records that a target of the service processes a request.
 * Returns: the duration of the outage that this ends, in ms; 0 if there was
 *   none.
 */
gint64 cf_outage_record_answer (CfOutage *o, gint64 now_ms);

/** cf_outage_is_blocking: whether requests have to wait until the next probe is
 * due. */
gboolean cf_outage_is_blocking (const CfOutage *o, gint64 now_ms);

/** cf_outage_is_long: whether the outage has lasted longer than a group takes
 * to re-form, so that waiting requests will most likely be refused in the end.
 */
gboolean cf_outage_is_long (const CfOutage *o, gint64 now_ms);

/** cf_outage_has_ended_recently: whether the last outage ended so recently that
 * the group still uses the expert map that it formed with. */
gboolean cf_outage_has_ended_recently (const CfOutage *o, gint64 now_ms);

/** cf_outage_record_send: records that a request was sent; during an outage it
 * is the probe. */
void cf_outage_record_send (CfOutage *o, gint64 now_ms);
