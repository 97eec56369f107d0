#pragma once

#include "store-position.h"

#include <glib.h>

/** CfEvacuations: the data centres whose targets are to get no requests, as
 * the operator asks. */
typedef struct
{
  GHashTable *data_centres; /**< set of names */
  CfStorePosition pos;     /**< of the operator's records that the set reflects;
                                revision 0: none were read */
  gint64 missing_until_ms; /**< a restored store lacked some of the set; they
                                are kept until then; 0: it lacks none */
  CfStorePosition peer_pos; /**< the latest of a peer's set that differs */
  gint64 behind_since_ms; /**< since when a peer has had another, newer set; 0:
                               none has */
} CfEvacuations;

void cf_evacuations_init (CfEvacuations *e);
void cf_evacuations_clear (CfEvacuations *e);

/** cf_evacuations_contains: whether @data_centre (nullable) is evacuated. */
gboolean cf_evacuations_contains (const CfEvacuations *e,
                                  const char *data_centre);

/** cf_evacuations_set: adds or removes @data_centre; %FALSE if nothing
 * changed. */
gboolean cf_evacuations_set (CfEvacuations *e, const char *data_centre,
                             gboolean evacuated);

/**
 * cf_evacuations_is_equal:
 * @names: (nullable): set of names
 */
gboolean cf_evacuations_is_equal (const CfEvacuations *e, GHashTable *names);

/**
 * cf_evacuations_note_restored:
 * The store was restored from a copy, which may lack evacuations that were
 * requested since.  They are kept for a while, in which the operator is
 * expected to request them again.
 * @keeps_order: whether positions from before are older than those that follow
 */
void cf_evacuations_note_restored (CfEvacuations *e, gboolean keeps_order,
                                   gint64 now_ms);

/** cf_evacuations_keeps_missing: whether data centres that the store does not
 * list are kept for now. */
gboolean cf_evacuations_keeps_missing (const CfEvacuations *e, gint64 now_ms);

/**
 * cf_evacuations_may_adopt:
 * Whether a peer's set replaces this one: it is newer, and the store cannot be
 * reached or has not delivered it within a grace period.
 * @is_equal: whether the peer's set is the same
 * @pos: of the peer's set
 * @store_up: whether the store answers this gateway
 */
gboolean cf_evacuations_may_adopt (CfEvacuations *e, gboolean is_equal,
                                   CfStorePosition pos, gboolean store_up,
                                   gint64 now_ms);
