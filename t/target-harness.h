#pragma once

#include "gateway/target.h"

/** TTargetSpec: what the platform's list says of a target; what a test leaves
 * out is as t_put_target() says. */
typedef struct
{
  const char *id;
  const char *service;     /**< %NULL: "s" */
  const char *data_centre; /**< %NULL: "dc1" */
  const char *addr;        /**< %NULL: "1.1.1.1:1" */
  gint64 slots;            /**< 0: 4 */
  gboolean leaving;
  gint64 incarnation;
  gint64 rev;    /**< of the record, and of the first listing */
  gint64 now_ms; /**< when it is heard */
} TTargetSpec;

/** t_put_target: the list says @what. */
CfTargetChange t_put_target (CfTargetTable *t, const TTargetSpec *what);

/** t_put_targets: @n targets "r0", "r1" and so on, of @slots slots, each at an
 * address of its own. */
void t_put_targets (CfTargetTable *t, int n, gint64 slots);

/** t_get_target: (nullable): the target @id. */
CfTarget *t_get_target (const CfTargetTable *t, const char *id);

/** t_set_in_flight: @t gets or ends requests of ours at @now_ms, so that it has
 * @n. */
void t_set_in_flight (CfTarget *t, guint n, gint64 now_ms);
