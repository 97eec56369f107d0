#pragma once

#include "gateway/target.h"

/** TTarget: what the platform's list says of a target; what a test leaves
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
} TTarget;

/** t_put_target: the list says @what. */
CfTargetChange t_put_target (CfTargetTable *t, const TTarget *what);

/** t_put_row: @n targets "r0", "r1" and so on, of @slots slots, each at an
 * address of its own. */
void t_put_row (CfTargetTable *t, int n, gint64 slots);

/** t_get_target: (nullable): the target @id. */
CfTarget *t_get_target (const CfTargetTable *t, const char *id);

/** t_give_work: @t gets or ends requests of ours at @now_ms, so that it has
 * @n. */
void t_give_work (CfTarget *t, guint n, gint64 now_ms);
