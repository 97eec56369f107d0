#pragma once

#include <glib.h>

/**
 * CfOutage:
 * Whether the targets of a service refuse all work because one that they
 * depend on is missing, as the ranks of a group do while a rank is away or
 * the group forms anew.  Sent on, each request would use up its attempts on
 * refusals; so requests wait, and one at a time is sent to see.
 */
typedef struct
{
  gint64 since_ms; /**< the first such refusal; 0: no outage */
  gint64 probe_ms; /**< when a request was last sent to see */
  gint64 over_ms;  /**< when the last one ended; 0: none has */
} CfOutage;

/**
 * cf_outage_record_refusal:
 * A target refused since another one is at fault.
 * Returns: %TRUE if an outage begins by it.
 */
gboolean cf_outage_record_refusal (CfOutage *o, gint64 now_ms);

/**
 * cf_outage_record_answer:
 * A target of the service does its work.
 * Returns: how long the outage took that ends by it, in ms; 0 if none did.
 */
gint64 cf_outage_record_answer (CfOutage *o, gint64 now_ms);

/** cf_outage_is_blocking: whether a request has to wait now. */
gboolean cf_outage_is_blocking (const CfOutage *o, gint64 now_ms);

/** cf_outage_is_long: whether it lasts for longer than a group takes to form
 * anew, so that what waits would most likely wait in vain. */
gboolean cf_outage_is_long (const CfOutage *o, gint64 now_ms);

/** cf_outage_has_ended_recently: whether one has ended so lately that its group
 * still uses the map that it formed with. */
gboolean cf_outage_has_ended_recently (const CfOutage *o, gint64 now_ms);

/** cf_outage_record_send: a request was sent; in an outage it is the probe. */
void cf_outage_record_send (CfOutage *o, gint64 now_ms);
