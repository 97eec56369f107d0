#pragma once

#include "http-reader.h"
#include "policy.h"

/** CfAnswerKind: whether the request ran, by the head of the answer. */
typedef enum
{
  CF_ANSWER_SUCCESS,  /**< a signed success */
  CF_ANSWER_FAILURE,  /**< a signed failure: the target ran the request */
  CF_ANSWER_NOT_RUN,  /**< the target did not run the request and never will */
  CF_ANSWER_UNSIGNED, /**< not signed, so it is not forwarded; the request may
                           have run */
} CfAnswerKind;

const char *cf_answer_kind_name (CfAnswerKind k);

/** CfAnswerFraming: what marks the end of an answer's body. */
typedef enum
{
  CF_FRAMING_NONE,    /**< no head was received, or it says there is no body */
  CF_FRAMING_LENGTH,  /**< the length in its head */
  CF_FRAMING_CHUNKED, /**< the last chunk */
  CF_FRAMING_CLOSE,   /**< the end of the connection */
} CfAnswerFraming;

const char *cf_answer_framing_name (CfAnswerFraming f);

/** cf_answer_framing: the framing of the answer whose head @r has read. */
CfAnswerFraming cf_answer_framing (const CfHttpReader *r);

/** cf_answer_is_event_stream: whether the body may be an event stream, i.e.
 * whether the head names no other media type. */
gboolean cf_answer_is_event_stream (const CfHttpReader *r);

/** cf_answer_classify: classifies the answer whose head @r has read. */
CfAnswerKind cf_answer_classify (const CfHttpReader *r);

/**
 * cf_answer_may_forward:
 * Whether a signed failure may be forwarded to the caller unchanged.  Statuses
 * that promise "not run" may not if the request must not run again, since it
 * has run.
 */
gboolean cf_answer_may_forward (int status, CfRetrySafety retry_safety);

/** cf_answer_append_headers: appends the header lines of @r that are
 * forwarded to the caller. */
void cf_answer_append_headers (const CfHttpReader *r, GString *out);
