#pragma once

#include "entry-request.h"

/**
 * cf_entry_route:
 * Tries the intent's groups in the operators' order of preference until a
 * target answers, or no other try is safe or useful; fills in @rep in any
 * case.  @r has its configuration, intent and, with a key, its token.
 */
void cf_entry_route (CfEntry *e, CfRequest *r, CfHttpReply *rep);
