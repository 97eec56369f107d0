#pragma once

#include "http-reader.h"
#include "policy.h"

/** CfAnswerKind: what a target's answer says of its request. */
typedef enum
{
  CF_ANSWER_GOOD,     /**< a signed success */
  CF_ANSWER_FAILURE,  /**< a signed failure: the target ran it */
  CF_ANSWER_NOT_RUN,  /**< the target did not run it and never will */
  CF_ANSWER_UNSIGNED, /**< it may have run; the answer cannot be passed on */
} CfAnswerKind;

const char *cf_answer_kind_name (CfAnswerKind k);

/** cf_answer_kind: judges the answer whose head @r has read. */
CfAnswerKind cf_answer_kind (const CfHttpReader *r);

/**
 * cf_answer_passes:
 * Whether a signed failure goes to the caller as it is.  The statuses that
 * promise "not run" do not, for a request that ran and must not run again.
 */
gboolean cf_answer_passes (int status, CfRetrySafety retry_safety);

/** cf_answer_headers: appends the lines of @r that are passed on. */
void cf_answer_headers (const CfHttpReader *r, GString *out);
