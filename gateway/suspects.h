#pragma once

#include "platform/platform-headers.h"
#include "request-digest.h"

/** Parts of a prompt that are looked at; further ones are ignored. */
#define CF_SUSPECT_PARTS_MAX 32

/**
 * CfSuspect:
 * What may be to blame if a target crashes during a request: the request
 * itself, or a part of its prompt that other prompts share.
 */
typedef struct
{
  CfRequestDigest digest;
  char part_id[CF_PROMPT_PART_ID_MAX + 1]; /**< empty: the request itself */
} CfSuspect;

/** Size of the text of a suspect, with the terminating zero byte. */
#define CF_SUSPECT_TEXT_SIZE 64

/**
 * cf_suspects_new:
 * @org: (nullable): the caller's organisation
 * @path: the request target
 * @body: @n bytes
 * @parts: (nullable): the value of a %CF_HDR_PROMPT_PARTS header
 * Returns: a new array of #CfSuspect: the request, then the shared parts of its
 *   prompt in order.
 */
GArray *cf_suspects_new (const char *org, const char *path, const char *body,
                         gsize n, const char *parts);

/** cf_suspects_new_parts: like cf_suspects_new(), without the request. */
GArray *cf_suspects_new_parts (const char *parts);

/** cf_suspect_print: writes @s to @out for the log: "request=DIGEST" or
 * "part=ID". */
void cf_suspect_print (const CfSuspect *s, char out[CF_SUSPECT_TEXT_SIZE]);
