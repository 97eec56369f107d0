#pragma once

#include "watch-batcher.h"
#include "gateway.h"
#include "http-reader.h"
#include "platform/platform-store.h"
#include "store-poll.h"
#include "store-position.h"

/** CfWatchState: the state of a watch. */
typedef enum
{
  CF_WATCH_BACKOFF, /**< waits after a failure before it retries */
  CF_WATCH_CONNECTING,
  CF_WATCH_RANGE,    /**< reads all keys, page by page */
  CF_WATCH_CHANGES,  /**< long-polls for changes */
  CF_WATCH_BATCHING, /**< got events; delays the next poll so that more can
                        arrive */
} CfWatchState;

/** CfStoreReachability: whether the store answers this watch. */
typedef enum
{
  CF_STORE_UNKNOWN, /**< no answer and no failure yet */
  CF_STORE_UP,
  CF_STORE_DOWN,
} CfStoreReachability;

typedef struct CfStoreWatch CfStoreWatch;

/** CfStoreRecord: a key that was read or has changed, and where. */
typedef struct
{
  const CfStoreItem *item;
  CfStorePosition pos;     /**< of this change */
  CfStorePosition created; /**< where the key was created */
  gboolean is_change;      /**< it changed after all keys were read, and was not
                                merely found then */
} CfStoreRecord;

/** CfStoreWatchCallbacks: events reported to the owner of a watch. */
typedef struct
{
  /** A key was read or has changed.  If it has no value, it was removed, or its
   * value is unreadable. */
  void (*item) (CfGateway *g, const CfStoreRecord *r);
  /** All keys have been read as of @as_of; keys not in @seen_keys no longer
   * exist. */
  void (*snapshot) (CfGateway *g, GHashTable *seen_keys, CfStorePosition as_of);
  /** The store confirmed that the known state is current as of @as_of. */
  void (*confirmed) (CfGateway *g, CfStorePosition as_of);
  /** The store started or stopped answering. */
  void (*reachability_changed) (CfGateway *g, gboolean up);
  /** The store was restored from a copy; all keys are read again.  With
   * @keeps_order, positions from before are older than those that follow; else
   * they cannot be compared. */
  void (*restored) (CfGateway *g, gboolean keeps_order);
} CfStoreWatchCallbacks;

/** CfStoreWatchSettings: how a watch reads its keys. */
typedef struct
{
  gboolean may_read_stale; /**< reads of all keys may be some seconds old, which
                                is cheaper; the changes since follow at once */
} CfStoreWatchSettings;

/**
 * CfStoreWatch:
 * Watches the keys under a prefix of the metadata store: reads all keys, then
 * long-polls for changes after that revision, over one persistent connection.
 * If the store no longer has the history after that revision, or was restored
 * from a copy, reads all keys again.  A read of all keys may be of a replica of
 * the store that is some seconds behind, except after a restoration.
 */
struct CfStoreWatch
{
  CfGateway *g;
  const char *prefix;
  const CfStoreWatchCallbacks *callbacks;
  CfWatchState state;
  ev_io io;
  ev_timer timer;
  CfHttpReader reader;
  GString *output;
  gsize output_sent;
  GString *body;
  gboolean is_body_too_long; /**< @body lacks what is beyond the limit */
  GHashTable *seen_keys;     /**< keys read so far by the range in progress */
  char *page_after;   /**< last key of the previous page; %NULL for the first */
  gint64 era;         /**< of the store, as its answers state it */
  gboolean has_era;   /**< the last answer stated it */
  gint64 as_of;       /**< changes are requested after this revision */
  gint64 range_as_of; /**< revision of the first page.  Later pages may be
                         newer, so changes are requested from this one on. */
  gboolean has_snapshot; /**< all keys were read since the last 410 Gone */
  CfStoreReachability reachability;
  gint64 newest_rev; /**< highest revision of a record that was read; 0: none */
  gboolean accepts_stale;  /**< as #CfStoreWatchSettings.may_read_stale */
  gboolean may_read_stale; /**< the range in progress may be some seconds old:
                                the changes since follow with the first poll */
  gboolean is_snapshot_stale; /**< no changes have followed the last range,
                                   which may be stale, yet */
  gint64 call_sent_ms;        /**< when the last call was sent */
  gint64 call_wait_ms;        /**< how long the store may hold it */
  gint64 heard_ms;     /**< when the store last answered; at first, when the
                            watch was started */
  gboolean is_in_step; /**< the store has just answered all gateways: with a
                            change, or after it was down */
  gboolean is_overdue; /**< an answer seems to be lost, and none came since */
  CfStoreLag lag;      /**< to the changes that peers have read */
  CfWatchBatcher batcher;
  gint64 backoff_ms; /**< delay before the next retry */
};

/**
 * cf_store_watch_start:
 * @prefix: of the keys to watch; not copied
 * @settings: how it is read
 */
void cf_store_watch_start (CfStoreWatch *w, CfGateway *g, const char *prefix,
                           const CfStoreWatchSettings *settings,
                           const CfStoreWatchCallbacks *callbacks);

/**
 * cf_store_watch_note_peer_change:
 * A peer has read a change from the store.
 * @own: up to where this gateway knows the keys under the prefix
 * @peer: position of the change
 */
void cf_store_watch_note_peer_change (CfStoreWatch *w, CfStorePosition own,
                                      CfStorePosition peer);

/** cf_store_watch_tick: called several times a second; repeats a poll whose
 * answer seems to be lost. */
void cf_store_watch_tick (CfStoreWatch *w, CfStorePosition own);

/** cf_store_watch_position: up to where the watch has read. */
CfStorePosition cf_store_watch_position (const CfStoreWatch *w);

/** cf_store_watch_newest_change: of the newest record that was read. */
CfStorePosition cf_store_watch_newest_change (const CfStoreWatch *w);

/** cf_store_watch_print_metrics: appends how old the gateway's knowledge is,
 * and which call it waits for. */
void cf_store_watch_print_metrics (const CfStoreWatch *w, GString *out);

/** cf_store_watch_read_all: reads all keys again. */
void cf_store_watch_read_all (CfStoreWatch *w);

void cf_store_watch_stop (CfStoreWatch *w);
