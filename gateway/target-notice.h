#pragma once

#include "http-reader.h"
#include "target.h"

/**
 * cf_target_take_notice:
 * Records what the head of an answer says of the target that sent it: that the
 * target leaves, or wants no requests of this gateway for a while.
 * @t: the target; not changed if the answer says nothing of it
 * @r: has read the head of the answer
 */
void cf_target_take_notice (CfTarget *t, const CfHttpReader *r, gint64 now_ms);
