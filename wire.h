#pragma once

#include "error.h"

#include <glib.h>

/** The version of the frames between our processes; see docs/WIRE.md. */
#define CF_WIRE_VERSION 1
/** The largest frame body we send or accept, in bytes. */
#define CF_FRAME_MAX_BYTES (1024 * 1024)

/**
 * CfRanState:
 * What a refusal says of whether the request ran.  %CF_RAN_NO is sent only
 * when the sender knows the target never saw the request.
 */
typedef enum
{
  CF_RAN_NO = 0,
  CF_RAN_UNKNOWN = 1,
  CF_RAN_YES = 2,
} CfRanState;

/** CfLoad: an agent's load, sent on every answer, refusal and status. */
typedef struct
{
  gint64 in_flight; /**< requests at the target now */
  gint64 queued;    /**< requests waiting for a worker */
  gboolean draining;
  gint64 quiet_remaining_ms; /**< how much longer its guard abstains, in ms;
                                guard.h */
} CfLoad;

/** CfVerdict: a guard's answer to a claim of an idempotency key. */
typedef enum
{
  CF_VERDICT_GRANTED = 0,
  CF_VERDICT_HELD = 1,    /**< another sending claimed the key before */
  CF_VERDICT_ABSTAIN = 2, /**< started too lately to know, or full */
} CfVerdict;

/** CfKeyState: what an entry knows of a request's idempotency key. */
typedef enum
{
  CF_KEY_UNCLAIMED = 0, /**< nothing: the agent's own guard decides */
  CF_KEY_CLAIMED = 1,   /**< a majority of guards granted the claim */
  CF_KEY_REPLAY = 2,    /**< held by another sending: kept answers only */
} CfKeyState;

/** CfMsgKind: the tag of a #CfMsg. */
typedef enum
{
  CF_MSG_REQUEST = 1, /**< entry to agent: run this */
  CF_MSG_ANSWER,      /**< agent to entry: the target's whole answer */
  CF_MSG_REFUSAL,     /**< agent to entry: not answered, and why */
  CF_MSG_PING,        /**< either way: heartbeat, asks for a status */
  CF_MSG_STATUS,      /**< agent's reply to a ping */
  CF_MSG_DRAIN,       /**< operator to agent: take no new work */
  CF_MSG_ORDER,       /**< to agent: an order for the target, fenced */
  CF_MSG_CLAIM,       /**< entry to agent as guard: may this key run? */
  CF_MSG_CLAIMED,     /**< the guard's verdict */
  CF_MSG_RELEASE,     /**< entry to guard: it did not run; no reply */
  CF_MSG_CANCEL,      /**< entry to agent: nobody waits for it; no reply */
} CfMsgKind;

/**
 * CfMsg:
 * One frame between our processes, a tagged union on @kind.  @id pairs a
 * reply with its request on one connection.  Strings are owned by the
 * message and freed by cf_msg_clear().
 */
typedef struct
{
  CfMsgKind kind;
  guint64 id;
  gint64 config; /**< the sender's configuration version; 0 if it has none */
  CfLoad load;
  union
  {
    struct
    {
      char *org;
      char *service;
      char *model;
      char *key; /**< idempotency key; %NULL if the call is repeatable */
      char *body;
      char *path;           /**< the target's path, such as "/v1/generate" */
      char *rid;            /**< the entry's request id, for logs and cancel */
      CfKeyState key_state; /**< with a key: what the entry knows of it */
      gint64 priority;
      gint64 deadline_ms; /**< time left when sent, in ms */
    } request;
    struct
    {
      gint64 code; /**< the target's HTTP status */
      char *body;
    } answer;
    struct
    {
      CfRanState ran;
      char *reason;
      gint64 retry_after_ms;
    } refusal;
    struct
    {
      gint64 fence; /**< highest fencing token seen */
      gint64 served;
      gint64 refused;
    } status;
    struct
    {
      gint64 fence;
      char *op;
      char *args; /**< a JSON object for the target, or %NULL */
    } order;
    struct
    {
      char *key;
      char *token;  /**< tells one sending of the call from any other */
      char *runner; /**< the agent the call is to run at */
    } claim;        /**< of a claim and of a release */
    struct
    {
      CfVerdict verdict;
      char *runner; /**< for %CF_VERDICT_HELD, where the other was to run */
    } claimed;
    struct
    {
      char *rid; /**< the request's rid */
    } cancel;
  } u;
} CfMsg;

/**
 * cf_msg_encode:
 * Packs @m with msgpack behind a 4-byte big-endian length.
 * Returns: a new byte array holding the whole frame.
 */
GByteArray *cf_msg_encode (const CfMsg *m);

/**
 * cf_msg_decode:
 * @buf: a frame body (without its length)
 * @len: its size in bytes
 * @m: (out): the message; clear it with cf_msg_clear()
 *
 * Returns: %CF_OK, or %CF_ERR_PROTO naming what was wrong.
 */
CfStatus cf_msg_decode (const char *buf, size_t len, CfMsg *m);

/**
 * cf_msg_write:
 * Encodes and writes @m; the caller serialises writers.
 * Returns: %CF_OK; %CF_ERR_FULL, with nothing written, if the frame would
 * be larger than %CF_FRAME_MAX_BYTES; or %CF_ERR_NET.
 */
CfStatus cf_msg_write (int fd, const CfMsg *m);

/** cf_msg_read: reads one whole frame from @fd, blocking. */
CfStatus cf_msg_read (int fd, CfMsg *m);

/** cf_msg_clear: frees the strings of @m and zeroes it. */
void cf_msg_clear (CfMsg *m);

/** The reason of a refusal for a configuration version long replaced. */
#define CF_REASON_CONFIG_BEHIND "config-behind"
/** The reasons of a refusal for a target that cannot be reached or fails. */
#define CF_REASON_TARGET_UNREACHABLE "target-unreachable"
#define CF_REASON_TARGET_FAILED "target-failed"
/** The reason of a refusal for an old fencing token. */
#define CF_REASON_STALE_FENCE "stale-fencing-token"

/** cf_verdict_name: "granted", "held" or "abstain". */
const char *cf_verdict_name (CfVerdict v);

/** cf_ran_name: "no", "unknown" or "yes". */
const char *cf_ran_name (CfRanState ran);
