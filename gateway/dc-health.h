#pragma once

#include "target.h"

/** Most data centres that are told apart. */
#define CF_DC_SET_MAX 16

/** CfDcSet: some data centres. */
typedef struct
{
  const char *names[CF_DC_SET_MAX]; /**< not owned */
  guint n;
} CfDcSet;

/** cf_dc_set_contains: whether @data_centre (nullable) is in @s (nullable). */
gboolean cf_dc_set_contains (const CfDcSet *s, const char *data_centre);

/**
 * CfDcHealth:
 * The data centres in which targets of a service refuse or stall because one
 * that they depend on is missing.  Where a service has several rank groups,
 * requests go to the others in the meantime.  A gateway does not know which
 * targets make up a group; most groups are in one data centre or two.
 */
typedef struct
{
  GHashTable *refusals; /**< (nullable): data centre -> the refusals there */
} CfDcHealth;

void cf_dc_health_clear (CfDcHealth *h);

/** cf_dc_health_record_refusal: a target in @data_centre refused because
 * another one is missing, or ended its work for that. */
void cf_dc_health_record_refusal (CfDcHealth *h, const char *data_centre,
                                  gint64 now_ms);

/** cf_dc_health_record_answer: a target in @data_centre does work. */
void cf_dc_health_record_answer (CfDcHealth *h, const char *data_centre);

/**
 * cf_dc_health_get_avoided:
 * @targets: (nullable): of the service
 * @stall_timeout_ms: silence of a target after which it has stalled
 * @out: (out): the data centres to avoid now: those that refused a short time
 *   ago, and those in which all requests of this gateway have stalled
 */
void cf_dc_health_get_avoided (const CfDcHealth *h, const GPtrArray *targets,
                               gint64 stall_timeout_ms, gint64 now_ms,
                               CfDcSet *out);
