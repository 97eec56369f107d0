#pragma once

#include <glib.h>

/**
 * CfRetrySafety: what may be done with a request that a target may have run.
 */
typedef enum
{
  CF_RETRY_UNSAFE,    /**< it runs at most once */
  CF_RETRY_SAFE,      /**< it is idempotent */
  CF_RETRY_RESUMABLE, /**< a stream that another target can go on with */
} CfRetrySafety;

/** CfSplit: one service's share of a route's requests. */
typedef struct
{
  char *service;
  guint weight;
} CfSplit;

/** CfRoute: which service answers requests for a host and path prefix. */
typedef struct
{
  char *name;
  char *host;
  char *prefix; /**< begins and ends with a slash */
  CfRetrySafety retry_safety;
  gboolean stream;   /**< answers are event streams */
  gboolean keyless;  /**< requests need no API key */
  gint64 timeout_ms; /**< the longest a caller may be kept waiting */
  gint64 aim_ms;     /**< latency objective: first event, or whole answer */
  gint64 gap_aim_ms; /**< objective for the pause between events; 0: none */
  gint64 priority;   /**< 0 is the most urgent */
  guint max_attempts;
  CfSplit *splits;
  guint n_splits;
  guint total_weight;
} CfRoute;

/**
 * CfEngineModel:
 * The published speed of a service's engines; 0 where none is published.
 */
typedef struct
{
  double step_ms;              /**< fixed part of a step */
  double per_seq_ms;           /**< added by each request that writes */
  double prompt_tokens_per_ms; /**< prompt tokens read in a ms */
  double stride;               /**< steps in a pass that has writers */
  double report_lag_ms;        /**< age of a report that another VM asks for */
  double slots;                /**< requests that one engine works on at once */
  double mean_prompt_tokens;   /**< mean prompt tokens */
  double mean_answer_tokens;   /**< mean answer tokens */
  int sets;                    /**< layers of experts; 0: no rank groups */
  int experts;                 /**< in a set */
  int places;                  /**< experts that a rank can hold of a set */
  int spare;      /**< new ones it can take of a set in one change */
  double copy_ms; /**< for which a rank copies one expert */
  double form_ms; /**< a rank group opens so long after its last rank */
} CfEngineModel;

/** CfService: a group of like targets. */
typedef struct
{
  char *name;
  gint64 max_conns; /**< connections one target takes from all callers */
  CfEngineModel engine;
} CfService;

/** CfCallerLimits: what a caller may send, and how slowly. */
typedef struct
{
  gint64 max_header_bytes;
  gint64 max_body_bytes;
  gint64 header_timeout_ms;
  gint64 idle_timeout_ms;
} CfCallerLimits;

/**
 * CfPolicy:
 * One version of the configuration, immutable once built and shared by
 * reference: a request keeps the version it was routed by.
 */
typedef struct
{
  gint ref_count;
  gint64 version;
  GPtrArray *routes;          /**< of #CfRoute, owned */
  GHashTable *by_host_prefix; /**< "host prefix" -> #CfRoute */
  GHashTable *services;       /**< name -> #CfService, owned */
  GHashTable *tenants;        /**< API key -> organisation's name, owned */
  GHashTable *org_priority; /**< organisation -> priority + 1, if it has one */
  gboolean requires_api_key;
  CfCallerLimits limits;
} CfPolicy;

CfPolicy *cf_policy_new (void);
CfPolicy *cf_policy_ref (CfPolicy *p);
void cf_policy_unref (CfPolicy *p);

/** cf_policy_add_route: takes @r, made with g_new0(). */
void cf_policy_add_route (CfPolicy *p, CfRoute *r);

/**
 * cf_policy_route:
 * @host: the Host header; a port after it is ignored
 * @path: the request's path, with or without a query
 * Returns: the route of @host with the longest prefix of @path, or %NULL.
 */
const CfRoute *cf_policy_route (const CfPolicy *p, const char *host,
                                const char *path);

/** cf_policy_service: (nullable): the service called @name. */
const CfService *cf_policy_service (const CfPolicy *p, const char *name);

/**
 * cf_route_pick:
 * @hash: spreads requests over the route's services by their weights
 * Returns: the service's name.
 */
const char *cf_route_pick (const CfRoute *r, guint hash);

/** cf_policy_gap_aim_ms: the shortest pause between events that routes to
 * @service promise; each pass of its engines is one.  0: none does. */
gint64 cf_policy_gap_aim_ms (const CfPolicy *p, const char *service);
