#pragma once

#include "entry.h"
#include "wire.h"

/** CfRequest: the state of one caller's request at an entry. */
typedef struct
{
  char id[64];
  char *org;
  char *service;
  char *model;
  char *key;
  char *body;
  gint64 priority;
  long long deadline_at_ms; /**< on the cf_now_ms() clock */
  gboolean admitted;        /**< counts as in progress in the admission */
  gboolean may_have_run;    /**< an attempt was sent and got no reply */
  gboolean reached_target;  /**< the last attempt was sent to a target */
  gint64 attempts;          /**< targets tried so far */
  const char *last_reason;  /**< why the last attempt failed */
  gint64 retry_hint_ms; /**< the largest retry_after_ms that a target gave */
  const CfHttpRequest *http; /**< the caller's HTTP request */
  const CfConfig *config;    /**< the configuration it is routed by */
  CfConfig *prev_config;     /**< with a key: the version before, while other
                                  entries may still route by it; or %NULL */
  const CfIntent *intent;    /**< the intent it is routed by */
  const CfGroup *group;      /**< the group being tried */
  char token[96];            /**< with a key: identifies this request's claim */
  gboolean claimed;          /**< a majority of the guards granted the key */
} CfRequest;

/**
 * cf_request_parse:
 * Parses the caller's JSON (docs/API.md) into @r.  If it is invalid, refuses
 * the request with a message that names the field, and returns %FALSE.
 */
gboolean cf_request_parse (CfEntry *e, const CfHttpRequest *req, CfRequest *r,
                           CfHttpReply *rep);

/** cf_request_clear: frees what @r owns. */
void cf_request_clear (CfRequest *r);

/**
 * cf_request_refuse:
 * @code: the HTTP status
 * @error: the error's short name, as in docs/API.md
 * @ran: what is known about whether @r ran
 * @retry_ms: after how many ms to retry; 0 to leave it out
 * @message: the cause and the remedy, for the caller's operator
 *
 * Sets a refusal as the final answer to @r.
 */
void cf_request_refuse (CfEntry *e, CfRequest *r, CfHttpReply *rep, int code,
                        const char *error, CfRanState ran, gint64 retry_ms,
                        const char *message);

/** cf_request_answer: sets @m, from the agent at @addr, as the final answer. */
void cf_request_answer (CfEntry *e, CfRequest *r, CfHttpReply *rep, CfMsg *m,
                        const char *addr);
