#include "sound-parts.h"

#include <sys/queue.h>

/** SoundPart: a part that a target has worked on. */
typedef struct SoundPart SoundPart;

struct SoundPart
{
  TAILQ_ENTRY (SoundPart) link;
  CfRequestDigest digest;
  gint64 seen_ms;
};

struct CfSoundParts
{
  GHashTable *by_digest;           /* digest -> #SoundPart */
  TAILQ_HEAD (, SoundPart) by_age; /* least recently seen first */
};

CfSoundParts *
cf_sound_parts_new (void)
{
  CfSoundParts *s = g_new0 (CfSoundParts, 1);

  s->by_digest = g_hash_table_new_full (cf_request_digest_hash,
                                        cf_request_digest_equal, NULL, g_free);
  TAILQ_INIT (&s->by_age);
  return s;
}

void
cf_sound_parts_free (CfSoundParts *s)
{
  g_hash_table_destroy (s->by_digest);
  g_free (s);
}

static void
drop_oldest (CfSoundParts *s)
{
  SoundPart *p = TAILQ_FIRST (&s->by_age);

  TAILQ_REMOVE (&s->by_age, p, link);
  g_hash_table_remove (s->by_digest, &p->digest);
}

void
cf_sound_parts_add (CfSoundParts *s, const CfRequestDigest *d, gint64 now_ms)
{
  SoundPart *p = g_hash_table_lookup (s->by_digest, d);

  if (p)
    TAILQ_REMOVE (&s->by_age, p, link);
  else
    {
      if (g_hash_table_size (s->by_digest) >= CF_SOUND_PARTS_MAX)
        drop_oldest (s);
      p = g_new0 (SoundPart, 1);
      p->digest = *d;
      g_hash_table_insert (s->by_digest, &p->digest, p);
    }
  p->seen_ms = now_ms;
  TAILQ_INSERT_TAIL (&s->by_age, p, link);
}

gboolean
cf_sound_parts_contains (const CfSoundParts *s, const CfRequestDigest *d,
                         gint64 now_ms)
{
  const SoundPart *p = g_hash_table_lookup (s->by_digest, d);

  return p && now_ms - p->seen_ms <= CF_SOUND_PARTS_RETENTION_MS;
}
