#pragma once

#include "optional-int.h"

#include <glib.h>

/**
 * CfRetrySafety: whether a request that a target may have run may be sent
 * again.
 */
typedef enum
{
  CF_RETRY_UNSAFE,    /**< not idempotent: runs at most once */
  CF_RETRY_SAFE,      /**< idempotent */
  CF_RETRY_RESUMABLE, /**< a stream that another target can resume */
} CfRetrySafety;

/** CfSplit: a service that a route sends part of its requests to. */
typedef struct
{
  char *service;
  guint weight;
} CfSplit;

/** CfRoute: the services that answer requests for a host and path prefix. */
typedef struct
{
  char *name;
  char *host;
  char *prefix; /**< begins and ends with a slash */
  CfRetrySafety retry_safety;
  gboolean stream;     /**< the answers are event streams */
  gboolean keyless;    /**< requests need no API key */
  gint64 timeout_ms;   /**< longest time until the answer is complete */
  gint64 objective_ms; /**< latency objective: first event, or whole answer */
  gint64 gap_objective_ms; /**< objective for the pause between two events; 0:
                              none */
  gint64 priority;         /**< 0 is the most urgent */
  guint max_attempts;
  char **home_regions; /**< (nullable): regions that may run its requests */
  CfSplit *splits;
  guint n_splits;
  guint total_weight;
} CfRoute;

/**
 * CfEngineModel:
 * The published performance of a service's inference engines; 0 where a value
 * is not published.
 */
typedef struct
{
  double step_ms;    /**< fixed cost of an engine step */
  double per_seq_ms; /**< added to a step by each generating request */
  double prompt_tokens_per_ms; /**< speed of processing prompts */
  double stride;        /**< steps (tokens per request) in a generating pass */
  double report_lag_ms; /**< age of a load report when another VM gets it */
  double slots;         /**< requests that one engine processes concurrently */
  double mean_prompt_tokens; /**< per request */
  double mean_answer_tokens; /**< per request */
  int sets;       /**< layers with experts; 0: there are no rank groups */
  int experts;    /**< experts of a set */
  int places;     /**< experts of a set that a rank can hold */
  int spare;      /**< new experts of a set that a rank can load in one map
                       change */
  double copy_ms; /**< time in which a rank copies one expert */
  double form_ms; /**< time that a group takes to form: from its last rank to
                     its first work */
} CfEngineModel;

/** CfService: interchangeable targets under one name. */
typedef struct
{
  char *name;
  gint64 max_conns; /**< connections that one target accepts in total */
  gint64 warmup_ms; /**< how long a target is cold after its start */
  CfOptionalInt warmup_thousandths_per_s; /**< requests that a cold target
                                                tolerates, in 1/1000 per s */
  CfEngineModel engine;
} CfService;

/** CfCallerLimits: limits on the size and duration of callers' requests. */
typedef struct
{
  gint64 max_header_bytes;
  gint64 max_body_bytes;
  gint64 header_timeout_ms;
  gint64 idle_timeout_ms;
} CfCallerLimits;

/**
 * CfPolicy:
 * One version of the configuration.  Immutable once built and reference
 * counted: a request keeps the version that routed it.
 */
typedef struct
{
  gint ref_count;
  gint64 version;
  GPtrArray *routes;            /**< of #CfRoute, owned */
  GHashTable *by_host_prefix;   /**< "host prefix" -> #CfRoute */
  GHashTable *services;         /**< name -> #CfService, owned */
  GHashTable *urgency_services; /**< set of names: services that routes with
                                     different priorities lead to */
  GHashTable *org_by_api_key; /**< API key -> name of the organisation, owned */
  GHashTable *org_priority;   /**< organisation -> priority + 1; 0: not set */
  GHashTable *org_home_regions; /**< organisation -> GStrv, if it has any */
  guint n_orgs;
  gboolean requires_api_key; /**< on routes that are not @keyless */
  CfCallerLimits limits;
} CfPolicy;

CfPolicy *cf_policy_new (void);
CfPolicy *cf_policy_ref (CfPolicy *p);
void cf_policy_unref (CfPolicy *p);

/** cf_policy_add_route: takes ownership of @r, allocated with g_new0(). */
void cf_policy_add_route (CfPolicy *p, CfRoute *r);

/**
 * cf_policy_route:
 * @host: value of the Host header; a port is ignored
 * @path: path of the request, with or without a query
 * Returns: the route of @host with the longest prefix of @path, or %NULL.
 */
const CfRoute *cf_policy_route (const CfPolicy *p, const char *host,
                                const char *path);

/** cf_policy_service: (nullable): the service named @name. */
const CfService *cf_policy_service (const CfPolicy *p, const char *name);

/**
 * cf_route_pick:
 * Picks one of the route's services according to their weights.
 * @hash: uniformly distributed over requests
 * Returns: the name of the service.
 */
const char *cf_route_pick (const CfRoute *r, guint hash);

/** cf_policy_has_several_orgs: whether there are organisations among which the
 * slots of a service are shared. */
gboolean cf_policy_has_several_orgs (const CfPolicy *p);

/** cf_policy_find_urgency_services: determines which services are reached by
 * routes with different priorities; called once all routes are complete. */
void cf_policy_find_urgency_services (CfPolicy *p);

/** cf_policy_has_urgency_levels: whether routes with different priorities lead
 * to @service. */
gboolean cf_policy_has_urgency_levels (const CfPolicy *p, const char *service);

/** cf_policy_gap_objective_ms: the lowest objective for the pause between
 * events among the routes to @service; 0: none has one.  An engine writes an
 * event per pass, so the objective applies to each pass. */
gint64 cf_policy_gap_objective_ms (const CfPolicy *p, const char *service);
