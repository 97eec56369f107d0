#pragma once

#include "entry.h"
#include "wire.h"

/** CfRequest: what lives for one caller request at an entry. */
typedef struct
{
  char id[64];
  char *org;
  char *service;
  char *model;
  char *key;
  char *body;
  gint64 priority;
  long long deadline_at;
  gboolean admitted;       /**< counts in the entry's admission */
  gboolean may_have_run;   /**< sent once with no reply: fate unknown */
  gboolean reached_target; /**< the last try put load on a target */
  gint64 attempts;
  const char *last_reason; /**< why the last try did not end it */
  gint64 retry_hint_ms;
  const CfHttpRequest *http; /**< the caller's own, for whether it left */
  const CfConfig *config;
  CfConfig *prev_config; /**< what other entries may still route by */
  const CfIntent *intent;
  const CfGroup *group;
  char token[96];   /**< this sending, to the key's guards */
  gboolean claimed; /**< a majority of the guards granted the key */
} CfRequest;

/**
 * cf_request_parse:
 * Reads the caller's JSON (docs/API.md) into @r; on a fault refuses it
 * with a message that names the field, and returns %FALSE.
 */
gboolean cf_request_parse (CfEntry *e, const CfHttpRequest *req, CfRequest *r,
                           CfHttpReply *rep);

/** cf_request_clear: frees what @r owns. */
void cf_request_clear (CfRequest *r);

/**
 * cf_request_refuse:
 * @code: the HTTP status
 * @what: the error's short name, as in docs/API.md
 * @ran: what is known of whether @r ran
 * @retry_ms: when to come back, in ms; 0 to say nothing
 * @message: for the caller's operator, naming the remedy
 *
 * Makes a refusal @r's final answer.
 */
void cf_request_refuse (CfEntry *e, CfRequest *r, CfHttpReply *rep, int code,
                        const char *what, CfRanState ran, gint64 retry_ms,
                        const char *message);

/** cf_request_answer: makes @m, from the agent at @addr, @r's final answer. */
void cf_request_answer (CfEntry *e, CfRequest *r, CfHttpReply *rep, CfMsg *m,
                        const char *addr);
