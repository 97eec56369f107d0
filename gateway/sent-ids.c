#include "sent-ids.h"

/** Bounds the memory of a connection, and the time to search it. */
#define SENT_IDS_MAX 256

void
cf_sent_ids_add (CfSentIds *s, const char *id)
{
  guint hash;

  if (!id)
    return;
  hash = g_str_hash (id);
  if (!s->hashes)
    s->hashes = g_array_new (FALSE, FALSE, sizeof (guint));
  g_array_append_val (s->hashes, hash);
}

gboolean
cf_sent_ids_may_contain (const CfSentIds *s, const char *id)
{
  guint hash;

  if (!id || !s->hashes)
    return FALSE;
  hash = g_str_hash (id);
  for (guint i = 0; i < s->hashes->len; i++)
    if (g_array_index (s->hashes, guint, i) == hash)
      return TRUE;
  return FALSE;
}

gboolean
cf_sent_ids_is_full (const CfSentIds *s)
{
  return s->hashes && s->hashes->len >= SENT_IDS_MAX;
}

void
cf_sent_ids_clear (CfSentIds *s)
{
  g_clear_pointer (&s->hashes, g_array_unref);
}
