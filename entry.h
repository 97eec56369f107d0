#pragma once

#include "admission.h"
#include "config-watch.h"
#include "http-server.h"
#include "link-table.h"
#include "retry-budget.h"
#include "settings.h"
#include "vm-list.h"

#include <ck_pr.h>

/** The longest deadline that a caller may set, in ms. */
#define CF_DEADLINE_MAX_MS 600000

/** CfEntrySettings: the entry daemon's settings; see docs/SETTINGS.md. */
typedef struct
{
  char *name;   /**< prefix of request ids, unique per entry */
  char *listen; /**< the address for callers' HTTP, "IP:PORT" */
  char *datacentre;
  char *config_url;
  GPtrArray *peers;  /**< the other entries' peer URLs; may be empty */
  char *peer_listen; /**< the address for the other entries, or "off" */
  char *vmlist_url;
  gint64 max_in_flight;  /**< the admission limit on requests */
  gint64 deadline_ms;    /**< the default if the caller sets none */
  gint64 key_horizon_ms; /**< longest deadline of a keyed call; docs/API.md */
  gint64 max_attempts;   /**< the most targets to try for one request */
  gint64 retry_after_ms; /**< the least retry_after_ms of refusals with one */
  gint64 low_priority_share; /**< percent of max_in_flight for priorities < 5 */
  gint64 fair_reserve;       /**< percent of it for organisations below
                                their fair share */
  gint64 retry_percent;      /**< retries allowed for 100 requests */
  gint64 retry_slack;        /**< retries allowed beyond that share */
  gint64 drain_grace_ms;     /**< how long a shutdown waits for replies */
  gint64 watch_wait_ms;      /**< as wait_ms of #CfConfigWatch */
  gint64 vmlist_poll_ms;     /**< as poll_ms of #CfVmList */
} CfEntrySettings;

/**
 * CfEntry:
 * The state of the entry daemon, which admits callers' requests, routes them
 * by intent, enforces deadlines and retries where that is safe.  It lives as
 * long as the process.
 */
typedef struct
{
  CfEntrySettings settings;
  CfHttpServer *http;
  CfHttpServer *peer_http; /**< %NULL if peer_listen is "off" */
  CfConfigWatch watch;
  CfVmList vms;
  CfLinkTable links;
  guint64 start_id; /**< random; different at each start of the process */
  CfAdmission admission;
  CfRetryBudget retry_budget;
  gint in_flight; /**< requests being handled, admitted or not */
  gint draining;
  gint64 drain_deadline_ms; /**< when a shutdown closes connections; else 0 */
  guint64 seq;              /**< the number of the latest request */
  uint64_t answered;
  uint64_t refused;
  uint64_t retries;
} CfEntry;

/** The default settings, in TOML; --settings overrides them. */
extern const char cf_entry_defaults[];

/** cf_entry_settings_read: reads and checks all settings. */
CfStatus cf_entry_settings_read (CfSettings *s, CfEntrySettings *out);

/** cf_entry_start: starts the watch, the VM list poll and the HTTP servers. */
CfStatus cf_entry_start (CfEntry *e);

/**
 * cf_entry_drain:
 * Shuts down gracefully: accepts no new connections and refuses new requests
 * on open ones, stating that they did not run.  Returns 200 ms after the last
 * reply, so that requests that are on their way are refused too, or once
 * drain_grace_ms have passed.
 */
void cf_entry_drain (CfEntry *e);
