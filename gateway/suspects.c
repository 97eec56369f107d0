#include "suspects.h"

#include <stdio.h>
#include <string.h>

static void
append_parts (GArray *suspects, const char *value)
{
  CfPromptPart parts[CF_SUSPECT_PARTS_MAX];
  guint n = cf_platform_parse_shared_parts (value, parts, CF_SUSPECT_PARTS_MAX);

  for (guint i = 0; i < n; i++)
    {
      CfSuspect s = { .digest = cf_prompt_part_digest (parts[i].id) };

      memcpy (s.part_id, parts[i].id, sizeof s.part_id);
      g_array_append_val (suspects, s);
    }
}

GArray *
cf_suspects_new_parts (const char *parts)
{
  GArray *suspects = g_array_new (FALSE, FALSE, sizeof (CfSuspect));

  append_parts (suspects, parts);
  return suspects;
}

GArray *
cf_suspects_new (const char *org, const char *path, const char *body, gsize n,
                 const char *parts)
{
  GArray *suspects = g_array_new (FALSE, FALSE, sizeof (CfSuspect));
  CfSuspect request = { .digest = cf_request_digest (org, path, body, n) };

  g_array_append_val (suspects, request);
  append_parts (suspects, parts);
  return suspects;
}

void
cf_suspect_print (const CfSuspect *s, char out[CF_SUSPECT_TEXT_SIZE])
{
  char digest[CF_REQUEST_DIGEST_TEXT_SIZE];

  cf_request_digest_print (&s->digest, digest);
  if (s->part_id[0])
    snprintf (out, CF_SUSPECT_TEXT_SIZE, "part=%s", s->part_id);
  else
    snprintf (out, CF_SUSPECT_TEXT_SIZE, "request=%s", digest);
}
