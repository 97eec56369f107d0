#include "request-digest.h"

#include <stdio.h>
#include <string.h>

CfRequestDigest
cf_request_digest (const char *org, const char *path, const char *body, gsize n)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 all[32];
  gsize len = sizeof all;
  CfRequestDigest d;

  /* The separating zero bytes distinguish "ab" + "c" from "a" + "bc". */
  if (org)
    g_checksum_update (sum, (const guchar *)org, (gssize)strlen (org));
  g_checksum_update (sum, (const guchar *)"", 1);
  g_checksum_update (sum, (const guchar *)path, (gssize)strlen (path) + 1);
  g_checksum_update (sum, (const guchar *)body, (gssize)n);
  g_checksum_get_digest (sum, all, &len);
  g_checksum_free (sum);
  memcpy (d.bytes, all, sizeof d.bytes);
  return d;
}

CfRequestDigest
cf_prompt_part_digest (const char *id)
{
  /* The path of a request is never empty. */
  return cf_request_digest (NULL, "", id, strlen (id));
}

void
cf_request_digest_print (const CfRequestDigest *d,
                         char out[CF_REQUEST_DIGEST_TEXT_SIZE])
{
  for (gsize i = 0; i < sizeof d->bytes; i++)
    snprintf (out + 2 * i, 3, "%02x", d->bytes[i]);
}

guint
cf_request_digest_hash (gconstpointer d)
{
  guint h;

  memcpy (&h, ((const CfRequestDigest *)d)->bytes, sizeof h);
  return h;
}

gboolean
cf_request_digest_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (CfRequestDigest)) == 0;
}
