#pragma once

#include <glib.h>

/**
 * CfSentIds:
 * The ids of the requests that were sent on a connection to a target.  A target
 * may send an answer a second time, where the answer to a later request is due,
 * and only the request's id tells them apart.  All attempts at a request bear
 * the same id, so a connection may carry each id only once.
 */
typedef struct
{
  GArray *hashes; /**< (nullable): of guint */
} CfSentIds;

/** cf_sent_ids_add: records that a request with @id (nullable) is sent. */
void cf_sent_ids_add (CfSentIds *s, const char *id);

/** cf_sent_ids_may_contain: whether a request with @id (nullable) may have been
 * sent.  Never %FALSE if it was; seldom %TRUE if it was not. */
gboolean cf_sent_ids_may_contain (const CfSentIds *s, const char *id);

/** cf_sent_ids_is_full: whether no more ids can be recorded, so that the
 * connection must not carry another request. */
gboolean cf_sent_ids_is_full (const CfSentIds *s);

void cf_sent_ids_clear (CfSentIds *s);
