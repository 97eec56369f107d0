#pragma once

#include <syslog.h>

/**
 * CfEvent:
 * Numbered log events, described in docs/EVENTS.md.  A number never changes its
 * meaning.
 */
typedef enum
{
  CF_EV_START = 1001,    /**< process started */
  CF_EV_STOP = 1002,     /**< process stopped */
  CF_EV_SETTINGS = 1003, /**< settings rejected */
  CF_EV_LISTEN = 1004,   /**< listening on an address */
  /* 1005, log-dropped, is written by the log writer. */
  CF_EV_RELOAD = 1006,         /**< settings were reloaded */
  CF_EV_READY = 1007,          /**< readiness changed */
  CF_EV_LONG_ITERATION = 1008, /**< an event loop iteration took long */
  CF_EV_CONFIG_ACCEPT = 1101,  /**< a configuration version was activated */
  CF_EV_CONFIG_OLDER = 1102,   /**< an older or equal version was ignored */
  CF_EV_CONFIG_DOWN = 1103,    /**< the configuration service did not answer */
  CF_EV_CONFIG_BAD = 1104,     /**< a configuration version was rejected */
  CF_EV_ADMIT_REFUSE = 1202,   /**< admission refused a request */
  CF_EV_ROUTE = 1203,          /**< a request was routed to a target */
  CF_EV_RETRY = 1204,          /**< an attempt failed; whether it is retried */
  CF_EV_ANSWER = 1205,         /**< a request got its final answer */
  CF_EV_NO_ROUTE = 1207,       /**< no route, intent or target for a request */
  CF_EV_CLAIM = 1208,          /**< the claim for an at-most-once request */
  CF_EV_OUTLIER_EJECT = 1209,  /**< a failing target was ejected for a while */
  CF_EV_QUEUE = 1210,          /**< a request was queued for a free target */
  CF_EV_CALLER_GONE = 1211,    /**< a caller left before its answer */
  CF_EV_RESUME = 1212,         /**< a stream was resumed at another target */
  CF_EV_OUTAGE = 1213,         /**< an outage of a service began or ended */
  CF_EV_STOP_ESTIMATE = 1214,  /**< whether a request can end before shutdown */
  CF_EV_CALLERS_FULL = 1215, /**< the limit of caller connections is reached */
  CF_EV_OVERLOAD = 1216,     /**< a concurrency limit was set or removed */
  CF_EV_QUARANTINE = 1217,   /**< a request that crashes targets */
  CF_EV_RATE_LIMIT = 1218,   /**< a target's rate limit changed */
  CF_EV_TARGET_PAUSE = 1220, /**< a target wants no requests for a while */
  CF_EV_SLOW_PASS = 1219,    /**< a pass delayed streams beyond the objective */
  CF_EV_SHARE = 1221,        /**< this gateway's share of a service changed */
  CF_EV_RETURN = 1222,       /**< a caller was told when to return, or did */
  CF_EV_PASS_LIMIT = 1223,   /**< the pass limit of a service changed */
  CF_EV_RETRY_BUDGET = 1224, /**< retries of a service, and what is left */
  CF_EV_STORE_LOST = 1105,   /**< the metadata store does not answer */
  CF_EV_STORE_BACK = 1106,   /**< the metadata store answers again */
  CF_EV_STORE_READ = 1107,   /**< all keys under a prefix were read */
  CF_EV_STORE_RESTORED = 1108, /**< the store was restored from a copy */
  CF_EV_TARGET_LIST = 1305,    /**< a target was added, changed or removed */
  CF_EV_PEER = 1306, /**< a peer was found, lost or rejected, or sent data */
  CF_EV_EVACUATION = 1307,   /**< a data centre was evacuated or taken back */
  CF_EV_VM_LEAVING = 1301,   /**< the VM list marks a target as leaving */
  CF_EV_LINK_DOWN = 1302,    /**< a connection to an agent was lost */
  CF_EV_LINK_UP = 1303,      /**< a connection to an agent was opened */
  CF_EV_VMLIST_DOWN = 1304,  /**< the VM list did not answer */
  CF_EV_AGENT_REFUSE = 1402, /**< the agent refused to run a request */
  CF_EV_FENCE_STALE = 1403,  /**< an order with a stale fencing token */
  CF_EV_GUARD_DUP = 1404,    /**< a duplicate of an at-most-once request */
  CF_EV_DRAIN_BEGIN = 1405,  /**< drain began */
  CF_EV_DRAIN_DONE = 1406,   /**< drain finished, nothing in flight */
  CF_EV_TARGET_FAIL = 1407,  /**< a request failed at the target */
  CF_EV_ORDER = 1408,        /**< an order was forwarded to the target */
  CF_EV_GUARD_CLAIM = 1409,  /**< a duplicate guard's verdict on a claim */
  CF_EV_PLACEMENT = 1501,    /**< an expert placement decision */
  CF_EV_MAP_CHANGE = 1502,   /**< an expert map change ended */
  CF_EV_MAP_SETTLE = 1503,   /**< a new leader settles a group's map */
  CF_EV_RANK_ORDER = 1504,   /**< an order to a rank was not executed */
  CF_EV_READING_DROPPED = 1505, /**< something received was not used */
  CF_EV_NO_DEMAND = 1506,       /**< a leader gets no demand from its ranks */
} CfEvent;

/**
 * cf_log_init:
 * @prog: the program name shown in each line; not copied
 *
 * A line has the form `<PRI>prog[pid]: Ennnn name k=v ...`.  Lines go to
 * standard error, or to the log writer if it is running.
 */
void cf_log_init (const char *prog);

/**
 * cf_log:
 * @prio: a syslog priority (LOG_ERR, LOG_INFO, ...)
 * @ev: the event number
 * @fmt: printf-style `key=value` pairs, space separated
 *
 * Queues the line for the log writer if it is running (log-writer.h), with the
 * time of the call.  Otherwise writes the line with a single write(2), so that
 * lines of concurrent threads do not interleave.
 */
void cf_log (int prio, CfEvent ev, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/** cf_event_name: the short name of @ev, as in docs/EVENTS.md. */
const char *cf_event_name (CfEvent ev);
