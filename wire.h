#pragma once

#include "error.h"

#include <glib.h>

/** The version of the frames between comfreypost processes; docs/WIRE.md. */
#define CF_WIRE_VERSION 1
/** The largest frame body that is sent or accepted, in bytes. */
#define CF_FRAME_MAX_BYTES (1024 * 1024)

/**
 * CfRanState:
 * What a refusal says about whether the request ran.  %CF_RAN_NO is sent
 * only when the sender knows that the target never received the request.
 */
typedef enum
{
  CF_RAN_NO = 0,
  CF_RAN_UNKNOWN = 1,
  CF_RAN_YES = 2,
} CfRanState;

/** CfLoad: an agent's load, sent with every answer, refusal and status. */
typedef struct
{
  gint64 in_flight; /**< requests at the target */
  gint64 queued;    /**< requests waiting for a worker */
  gboolean draining;
  /** how much longer the agent's guard abstains after its start; guard.h */
  gint64 quiet_remaining_ms;
} CfLoad;

/** CfVerdict: a guard's answer to a claim of an idempotency key. */
typedef enum
{
  CF_VERDICT_GRANTED = 0,
  CF_VERDICT_HELD = 1,    /**< another request has claimed the key */
  CF_VERDICT_ABSTAIN = 2, /**< the guard started too recently, or is full */
} CfVerdict;

/** CfKeyState: what an entry knows about a request's idempotency key. */
typedef enum
{
  CF_KEY_UNCLAIMED = 0, /**< nothing: the agent's own guard decides */
  CF_KEY_CLAIMED = 1,   /**< a majority of guards granted the claim */
  CF_KEY_REPLAY = 2,    /**< another request holds it: stored answers only */
} CfKeyState;

/** CfMsgKind: the tag of a #CfMsg. */
typedef enum
{
  CF_MSG_REQUEST = 1, /**< entry to agent: a request to run */
  CF_MSG_ANSWER,      /**< agent to entry: the target's complete answer */
  CF_MSG_REFUSAL,     /**< agent to entry: the reason why there is no answer */
  CF_MSG_PING,        /**< to agent: heartbeat that asks for a status */
  CF_MSG_STATUS,      /**< agent's reply to a ping */
  CF_MSG_DRAIN,       /**< operator to agent: accept no new requests */
  CF_MSG_ORDER,       /**< to agent: an order for the target, with a fencing
                          token */
  CF_MSG_CLAIM,       /**< entry to agent as guard: claims a key */
  CF_MSG_CLAIMED,     /**< the guard's verdict on a claim */
  CF_MSG_RELEASE,     /**< entry to guard: releases a claim, as the call did
                          not run; no reply */
  CF_MSG_CANCEL,      /**< entry to agent: abandons a request; no reply */
} CfMsgKind;

/**
 * CfMsg:
 * One frame between comfreypost processes, a union tagged by @kind.  @id
 * pairs a reply with its request within one connection.  The message owns
 * its strings; cf_msg_clear() frees them.
 */
typedef struct
{
  CfMsgKind kind;
  guint64 id;
  gint64 config; /**< the sender's configuration version; 0 if none */
  CfLoad load;
  union
  {
    struct
    {
      char *org;
      char *service;
      char *model;
      char *key; /**< idempotency key; %NULL if the call may be repeated */
      char *body;
      char *path;           /**< the target's path, such as "/v1/generate" */
      char *rid;            /**< the entry's request id, for logs and cancel */
      CfKeyState key_state; /**< with a key: what the entry knows about it */
      gint64 priority;
      gint64 deadline_ms; /**< remaining time when sent, in ms */
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
      gint64 fence; /**< highest fencing token received */
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
      char *token;  /**< unique to the request that claims the key */
      char *runner; /**< the agent that is to run the call */
    } claim;        /**< for a claim and for a release */
    struct
    {
      CfVerdict verdict;
      char *runner; /**< for %CF_VERDICT_HELD, the holder's runner */
    } claimed;
    struct
    {
      char *rid; /**< the rid of the request to cancel */
    } cancel;
  } u;
} CfMsg;

/**
 * cf_msg_encode:
 * Packs @m with msgpack after a 4-byte big-endian length.
 * Returns: a new byte array with the complete frame.
 */
GByteArray *cf_msg_encode (const CfMsg *m);

/**
 * cf_msg_decode:
 * @buf: a frame body (without its length)
 * @len: its size in bytes
 * @m: (out): the message; clear it with cf_msg_clear()
 *
 * Returns: %CF_OK, or %CF_ERR_PROTO with the fault as the error's text.
 */
CfStatus cf_msg_decode (const char *buf, size_t len, CfMsg *m);

/**
 * cf_msg_write:
 * Encodes and writes @m; callers must serialise their writes to @fd.
 * Returns: %CF_OK; %CF_ERR_FULL, with nothing written, if the frame would
 * be larger than %CF_FRAME_MAX_BYTES; or %CF_ERR_NET.
 */
CfStatus cf_msg_write (int fd, const CfMsg *m);

/** cf_msg_read: reads one frame from @fd; blocks until it is complete. */
CfStatus cf_msg_read (int fd, CfMsg *m);

/** cf_msg_clear: frees the strings of @m and sets it to zero. */
void cf_msg_clear (CfMsg *m);

/** The refusal reason when the sender's configuration version is too old. */
#define CF_REASON_CONFIG_BEHIND "config-behind"
/** The refusal reasons when the target cannot be reached or fails. */
#define CF_REASON_TARGET_UNREACHABLE "target-unreachable"
#define CF_REASON_TARGET_FAILED "target-failed"
/** The refusal reason when an order's fencing token is too old. */
#define CF_REASON_STALE_FENCE "stale-fencing-token"

/** cf_verdict_name: "granted", "held" or "abstain". */
const char *cf_verdict_name (CfVerdict v);

/** cf_ran_name: "no", "unknown" or "yes". */
const char *cf_ran_name (CfRanState ran);
