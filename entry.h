#pragma once

#include "admission.h"
#include "config-watch.h"
#include "http-server.h"
#include "link-table.h"
#include "retry-budget.h"
#include "settings.h"
#include "vm-list.h"

#include <ck_pr.h>

/** The longest deadline a caller may ask for, in ms. */
#define CF_DEADLINE_MAX_MS 600000

/** CfEntrySettings: the [entry] table and its neighbours; docs/SETTINGS.md. */
typedef struct
{
  char *name;   /**< prefix of request ids, unique per entry */
  char *listen; /**< caller HTTP, "IP:PORT" */
  char *datacentre;
  char *config_url;
  GPtrArray *peers;  /**< the other entries' peer URLs; may be empty */
  char *peer_listen; /**< where this entry answers its peers, or "off" */
  char *vmlist_url;
  gint64 max_in_flight;      /**< admission limit, requests */
  gint64 deadline_ms;        /**< when the caller gives none */
  gint64 key_horizon_ms;     /**< longest deadline of a keyed call; API.md */
  gint64 max_attempts;       /**< targets tried for one request */
  gint64 retry_after_ms;     /**< told to callers refused for load */
  gint64 low_priority_share; /**< percent of max_in_flight open to prio < 5 */
  gint64 fair_reserve;       /**< percent of it kept for fair shares */
  gint64 retry_percent;      /**< retries for 100 requests */
  gint64 retry_slack;        /**< retries beyond that share */
  gint64 drain_grace_ms;     /**< how long a stop waits for replies */
  gint64 watch_wait_ms;
  gint64 vmlist_poll_ms;
} CfEntrySettings;

/**
 * CfEntry:
 * The entry daemon's state for the life of the process: admission,
 * routing by intent, deadlines and retries where safe.
 */
typedef struct
{
  CfEntrySettings set;
  CfHttpServer *http;
  CfHttpServer *peer_http; /**< %NULL if peer_listen is "off" */
  CfConfigWatch watch;
  CfVmList vms;
  CfLinkTable links;
  guint64 start_id; /**< random, tells this start from any other */
  CfAdmission admission;
  CfRetryBudget retry_budget;
  gint in_flight; /**< requests whose answer is not ready yet, refused too */
  gint draining;
  gint64 drain_deadline_ms; /**< when a stop closes connections; 0: no stop */
  guint64 seq;
  uint64_t answered;
  uint64_t refused;
  uint64_t retries;
} CfEntry;

/** The defaults, in TOML, that --settings overrides. */
extern const char cf_entry_defaults[];

/** cf_entry_settings_read: reads and checks every key. */
CfStatus cf_entry_settings_read (CfSettings *s, CfEntrySettings *out);

/** cf_entry_start: starts the watch, the VM list and the HTTP server. */
CfStatus cf_entry_start (CfEntry *e);

/**
 * cf_entry_drain:
 * A graceful shutdown: takes no new connections, refuses new requests on
 * open ones as not run, and returns 200 ms after nothing is in flight, so
 * that requests on their way are refused too, or once drain_grace_ms have
 * passed.
 */
void cf_entry_drain (CfEntry *e);
