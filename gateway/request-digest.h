#pragma once

#include <glib.h>

#define CF_REQUEST_DIGEST_BYTES 16
/** Size of a digest in hexadecimal, with the terminating zero byte. */
#define CF_REQUEST_DIGEST_TEXT_SIZE (2 * CF_REQUEST_DIGEST_BYTES + 1)

/**
 * CfRequestDigest:
 * Identifies a request across attempts and gateways: attempts of the same
 * organisation with the same path and body have the same digest, whatever
 * their request ids.  The hash is cryptographic, so that no caller can craft a
 * request with the digest of another caller's.
 */
typedef struct
{
  guint8 bytes[CF_REQUEST_DIGEST_BYTES];
} CfRequestDigest;

/**
 * cf_request_digest:
 * @org: (nullable): the caller's organisation
 * @path: the request target
 * @body: @n bytes
 */
CfRequestDigest cf_request_digest (const char *org, const char *path,
                                   const char *body, gsize n);

/** cf_prompt_part_digest: identifies the part @id of prompts; no request has
 * the same digest. */
CfRequestDigest cf_prompt_part_digest (const char *id);

/** cf_request_digest_print: writes @d in hexadecimal to @out. */
void cf_request_digest_print (const CfRequestDigest *d,
                              char out[CF_REQUEST_DIGEST_TEXT_SIZE]);

/** cf_request_digest_hash, cf_request_digest_equal: functions for a GHashTable
 * whose keys are digests. */
guint cf_request_digest_hash (gconstpointer d);
gboolean cf_request_digest_equal (gconstpointer a, gconstpointer b);
