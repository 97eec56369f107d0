#pragma once

#include "watch-batcher.h"
#include "gateway.h"
#include "http-reader.h"
#include "platform/platform-store.h"

/** CfWatchState: what a watch is doing. */
typedef enum
{
  CF_WATCH_BACKOFF, /**< waits before it tries again */
  CF_WATCH_CONNECTING,
  CF_WATCH_RANGE,    /**< reads all keys, page by page */
  CF_WATCH_CHANGES,  /**< waits for changes */
  CF_WATCH_BATCHING, /**< had events; more may join them before it asks */
} CfWatchState;

/** CfStoreReachability: whether the store answers this watch. */
typedef enum
{
  CF_STORE_UNKNOWN, /**< neither an answer nor a failure yet */
  CF_STORE_UP,
  CF_STORE_DOWN,
} CfStoreReachability;

typedef struct CfStoreWatch CfStoreWatch;

/** CfStoreWatchCallbacks: what the owner of a watch is told. */
typedef struct
{
  /** A key was written, or removed if it has no value. */
  void (*item) (CfGateway *g, const CfStoreItem *it);
  /** All keys have been read: those not in @seen are gone. */
  void (*snapshot) (CfGateway *g, GHashTable *seen, gint64 as_of);
  /** The store confirmed what is known, as of its revision @as_of. */
  void (*fresh) (CfGateway *g, gint64 as_of);
  /** The store stopped or began to answer. */
  void (*contact) (CfGateway *g, gboolean up);
} CfStoreWatchCallbacks;

/**
 * CfStoreWatch:
 * Follows the keys under a prefix of the metadata store: reads all, then
 * asks for changes from there, over one kept connection.  When the store
 * has forgotten the history it reads all again.
 */
struct CfStoreWatch
{
  CfGateway *g;
  const char *prefix;
  const CfStoreWatchCallbacks *calls;
  CfWatchState state;
  ev_io io;
  ev_timer timer;
  CfHttpReader reader;
  GString *out;
  gsize out_sent;
  GString *body;
  GHashTable *seen;   /**< keys of the range in progress */
  char *page_after;   /**< last key of the page before; %NULL for the first */
  gint64 as_of;       /**< changes are wanted after this revision */
  gint64 range_as_of; /**< of the first page: pages are no snapshot */
  gboolean has_all;   /**< a range has been read since the last 410 */
  CfStoreReachability contact;
  gint64 wait_ms; /**< how long the store waits for a change */
  CfWatchBatcher batcher;
  gint64 pause_ms; /**< before the next try */
};

/**
 * cf_store_watch_start:
 * @prefix: not copied
 */
void cf_store_watch_start (CfStoreWatch *w, CfGateway *g, const char *prefix,
                           const CfStoreWatchCallbacks *calls);

void cf_store_watch_stop (CfStoreWatch *w);
