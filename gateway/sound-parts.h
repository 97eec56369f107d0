#pragma once

#include "request-digest.h"

/** Number of parts that are remembered; the one that was seen least recently is
 * dropped for another. */
#define CF_SOUND_PARTS_MAX 4096
/** How long a part is remembered after it was last seen. */
#define CF_SOUND_PARTS_RETENTION_MS 600000

/**
 * CfSoundParts:
 * The prompt parts that targets have worked on without crashing.  A target that
 * crashes has them in most of its requests too, and that says little about
 * them.
 */
typedef struct CfSoundParts CfSoundParts;

CfSoundParts *cf_sound_parts_new (void);
void cf_sound_parts_free (CfSoundParts *s);

/** cf_sound_parts_add: a target has worked on part @d. */
void cf_sound_parts_add (CfSoundParts *s, const CfRequestDigest *d,
                         gint64 now_ms);

/** cf_sound_parts_contains: whether a target has worked on part @d within the
 * retention time. */
gboolean cf_sound_parts_contains (const CfSoundParts *s,
                                  const CfRequestDigest *d, gint64 now_ms);
