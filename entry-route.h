#pragma once

#include "entry-request.h"

/**
 * cf_entry_route:
 * Tries the groups of the intent of @r in the operators' order of preference
 * until a target answers, or until another attempt would be unsafe or
 * useless.  Always fills in @rep.  @r must have its configuration, its intent
 * and, with a key, its token.
 */
void cf_entry_route (CfEntry *e, CfRequest *r, CfHttpReply *rep);
