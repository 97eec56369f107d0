#pragma once

#include "gateway/target.h"

/** TTargetSpec: a target as the platform lists it, with defaults for the fields
 * that a test leaves out. */
typedef struct
{
  const char *id;
  const char *service;     /**< %NULL: "s" */
  const char *data_centre; /**< %NULL: "dc1" */
  const char *addr;        /**< %NULL: "1.1.1.1:1" */
  gint64 slots;            /**< 0: 4 */
  gboolean leaving;
  gint64 incarnation;
  gint64 seq;
  gboolean is_change; /**< written after the list was read */
  gint64 era;         /**< of the store */
  gint64 rev;         /**< of the record, and of its first listing */
  gint64 now_ms;      /**< when the record is received */
} TTargetSpec;

/** t_put_target: adds or updates the target as the list would. */
CfTargetChange t_put_target (CfTargetTable *t, const TTargetSpec *spec);

/** t_put_targets: adds @n targets "r0", "r1" and so on with @slots slots each,
 * at different addresses. */
void t_put_targets (CfTargetTable *t, int n, gint64 slots);

/** t_get_target: (nullable): the target @id. */
CfTarget *t_get_target (const CfTargetTable *t, const char *id);

/** t_set_in_flight: starts or ends requests at @t at @now_ms, so that it has @n
 * in flight. */
void t_set_in_flight (CfTarget *t, guint n, gint64 now_ms);
