#include "gateway/caller.h"
#include "gateway/control.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"
#include "gateway/operator-feed.h"
#include "gateway/ops.h"
#include "gateway/peer-crashes.h"
#include "gateway/service-retries.h"
#include "gateway/service-share.h"
#include "gateway/signals.h"
#include "gateway/socket.h"
#include "gateway/store-watch.h"
#include "gateway/target-feed.h"
#include "log-writer.h"
#include "log.h"
#include "net.h"
#include "platform/names.h"
#include "version.h"

#include <glib.h>
#include <stdio.h>
#include <unistd.h>

/** Default port of the metrics page, on the VM's own address; declared to the
 * platform in deploy/system.toml. */
#define METRICS_PORT 9464
/** Interval of housekeeping, which also dispatches queued requests: a target's
 * pause or ejection may have ended. */
#define HOUSEKEEPING_INTERVAL_S 0.05
/** How long idle connections stay open after SIGTERM.  The platform still sends
 * callers here until it has probed readiness twice, a second apart.  If no
 * other VM serves the data centre, callers arrive even after that. */
#define STOP_PROPAGATION_MS 2300
/** How long before SIGKILL the remaining requests are ended in an orderly
 * way. */
#define STOP_MARGIN_MS 400
/** Longest time to write the remaining log lines at exit. */
#define LOG_FLUSH_TIMEOUT_MS 200

static CfGateway gw;
static CfStoreWatch operator_watch;
static CfStoreWatch target_watch;
static ev_io front_io;
static CfRankService *ranks;
static CfPeerService *peers;
static ev_timer housekeeping;
static ev_check iteration_begin;
static ev_prepare iteration_end;

/* The event loop's own time follows the time of day and may jump; durations
 * and deadlines use the monotonic clock, read once per iteration. */
static void
on_iteration_begin (struct ev_loop *loop, ev_check *w, int revents)
{
  gw.now_ms = cf_now_ms ();
  cf_loop_watch_begin (&gw.loop_watch, g_get_monotonic_time ());
}

static void
on_iteration_end (struct ev_loop *loop, ev_prepare *w, int revents)
{
  cf_loop_watch_end (&gw.loop_watch, g_get_monotonic_time (),
                     &gw.stats.iteration_ms);
}

static void
on_front_connection (struct ev_loop *loop, ev_io *w, int revents)
{
  cf_caller_accept (&gw, w->fd);
}

static void
continue_stop (CfGateway *g)
{
  gint64 now = cf_gateway_now (g);

  cf_exchange_refuse_all_too_late (g);
  if (now < MIN (g->stop_started_ms + STOP_PROPAGATION_MS, g->stop_deadline_ms))
    return;
  if (!g->stop_propagated)
    cf_log (LOG_NOTICE, CF_EV_DRAIN_DONE,
            "action=close-idle callers=%u requests=%u", g->n_callers,
            g->n_exchanges);
  g->stop_propagated = TRUE;
  cf_caller_close_idle (g);
  if (g->n_callers == 0 || now > g->stop_deadline_ms)
    ev_break (g->loop, EVBREAK_ALL);
}

/* Sends changed records of requests that crash targets to all peers, and those
 * of quarantined requests to the rank agents. */
static void
replicate_crash_records (CfGateway *g)
{
  CfPeerMsg all;
  CfPeerMsg quarantined;

  if (!cf_quarantine_has_changes (g->quarantine))
    return;
  cf_exchange_refuse_all_quarantined (g);
  cf_peer_crashes_collect_changes (g->quarantine, cf_gateway_now (g), &all,
                                   &quarantined);
  cf_peer_service_notify (peers, &all);
  if (quarantined.u.crashes->len > 0)
    cf_rank_service_notify (ranks, &quarantined);
  cf_peer_msg_clear (&all);
  cf_peer_msg_clear (&quarantined);
}

static void
on_housekeeping (struct ev_loop *loop, ev_timer *w, int revents)
{
  cf_exchange_route_unrouted (&gw);
  cf_operator_feed_tick (&gw);
  cf_target_feed_tick (&gw);
  cf_service_share_update (&gw);
  cf_service_retries_tick (&gw);
  cf_exchange_refuse_unservable (&gw);
  cf_exchange_dispatch_queued (&gw);
  replicate_crash_records (&gw);
  cf_peer_service_tick (peers);
  if (gw.stopping)
    continue_stop (&gw);
}

static void
on_stop (struct ev_loop *loop, ev_signal *w, int revents)
{
  if (gw.stopping)
    return;
  gw.stopping = TRUE;
  gw.stop_started_ms = cf_gateway_now (&gw);
  gw.stop_deadline_ms
      = gw.stop_started_ms + gw.settings.grace_ms - STOP_MARGIN_MS;
  cf_log (LOG_NOTICE, CF_EV_DRAIN_BEGIN,
          "signal=%d callers=%u requests=%u grace_ms=%" G_GINT64_FORMAT,
          w->signum, gw.n_callers, gw.n_exchanges, gw.settings.grace_ms);
  cf_log (LOG_NOTICE, CF_EV_READY, "ready=no reason=stopping");
}

/* Listen addresses stay bound for the life of the process; only settings that
 * can change without interrupting requests are reloaded. */
static void
on_reload (struct ev_loop *loop, ev_signal *w, int revents)
{
  CfPlatformSettings s;

  if (cf_platform_settings_load (cf_platform_settings_path (), CF_ROLE_GATEWAY,
                                 &s)
      != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_SETTINGS, "action=keep-old error=\"%s\"",
              cf_last_error ());
      return;
    }
  gw.settings.grace_ms = s.grace_ms;
  gw.settings.stall_ms = s.stall_ms;
  cf_platform_settings_clear (&s);
  cf_log (LOG_NOTICE, CF_EV_RELOAD, "outcome=done");
}

static CfStatus
listen_all (CfGateway *g, int port)
{
  char *metrics = g_strdup_printf ("%s:%d", g->settings.ip, port);
  CfStatus st;
  int fd;

  st = cf_socket_listen (g->settings.front_addr, &fd);
  if (st == CF_OK)
    {
      ev_io_init (&front_io, on_front_connection, fd, EV_READ);
      ev_io_start (g->loop, &front_io);
      st = cf_ops_listen (g, g->settings.ready_addr);
    }
  if (st == CF_OK)
    st = cf_ops_listen (g, metrics);
  if (st == CF_OK && g->settings.control_addr)
    st = cf_control_listen (g, peers, ranks);
  g_free (metrics);
  return st;
}

static void
notify_seeds (void *data, const CfPeerMsg *m)
{
  cf_peer_service_notify_seeds (data, m);
}

static int
run (CfGateway *g, int metrics)
{
  cf_signals_catch (g->loop, on_stop, on_reload);
  ranks = cf_rank_service_new (g);
  peers = cf_peer_service_new (g);
  cf_rank_service_set_notify (ranks, notify_seeds, peers);
  cf_peer_service_set_hold_lease_handler (
      peers, cf_rank_service_take_hold_lease, ranks);
  ev_check_init (&iteration_begin, on_iteration_begin);
  ev_set_priority (&iteration_begin, EV_MAXPRI);
  ev_check_start (g->loop, &iteration_begin);
  ev_prepare_init (&iteration_end, on_iteration_end);
  ev_prepare_start (g->loop, &iteration_end);
  if (listen_all (g, metrics) != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_STOP, "error=\"%s\"", cf_last_error ());
      return 1;
    }
  cf_operator_feed_start (&operator_watch, g);
  cf_target_feed_start (&target_watch, g);
  ev_timer_init (&housekeeping, on_housekeeping, HOUSEKEEPING_INTERVAL_S,
                 HOUSEKEEPING_INTERVAL_S);
  ev_timer_start (g->loop, &housekeeping);
  cf_log (LOG_NOTICE, CF_EV_START, "name=%s version=%s dc=%s front=%s",
          g->settings.node_name ? g->settings.node_name : "-", CF_VERSION,
          g->settings.data_centre ? g->settings.data_centre : "-",
          g->settings.front_addr);
  ev_run (g->loop, 0);
  cf_log (LOG_NOTICE, CF_EV_STOP, "callers=%u requests=%u", g->n_callers,
          g->n_exchanges);
  g->exiting = TRUE;
  ev_io_stop (g->loop, &front_io);
  close (front_io.fd);
  cf_caller_abort_all (g);
  return 0;
}

static int
parse_options (int *argc, char ***argv, gboolean *check, int *metrics)
{
  GOptionEntry entries[] = {
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, check,
      "Check the platform's settings file and exit", NULL },
    { "metrics-port", 0, 0, G_OPTION_ARG_INT, metrics,
      "Serve /metrics on this port of the VM's address", "PORT" },
    { NULL },
  };
  GOptionContext *ctx = g_option_context_new (NULL);
  GError *err = NULL;
  int rc = 0;

  g_option_context_set_summary (
      ctx, "The gateway daemon: accepts callers' requests and streams and "
           "forwards each to a target.\nThe path of the settings file is "
           "read from " PF_ENV_SETTINGS ".");
  g_option_context_add_main_entries (ctx, entries, NULL);
  if (!g_option_context_parse (ctx, argc, argv, &err))
    {
      fprintf (stderr, "comfrey-gateway: %s; see --help\n", err->message);
      g_error_free (err);
      rc = 2;
    }
  g_option_context_free (ctx);
  return rc;
}

int
main (int argc, char **argv)
{
  gboolean check = FALSE;
  int metrics = METRICS_PORT;
  CfPlatformSettings settings;
  int rc = parse_options (&argc, &argv, &check, &metrics);

  if (rc)
    return rc;
  cf_log_init ("comfrey-gateway");
  if (cf_platform_settings_load (cf_platform_settings_path (), CF_ROLE_GATEWAY,
                                 &settings)
      != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_SETTINGS, "error=\"%s\"", cf_last_error ());
      return 2;
    }
  if (check)
    {
      printf ("%s: valid\n", cf_platform_settings_path ());
      return 0;
    }
  if (!cf_log_writer_start (STDOUT_FILENO))
    cf_log (LOG_WARNING, CF_EV_START,
            "error=\"cannot start the log writer thread\"");
  cf_gateway_init (&gw, ev_default_loop (EVBACKEND_EPOLL | EVFLAG_NOENV),
                   &settings);
  rc = run (&gw, metrics);
  cf_log_writer_stop (LOG_FLUSH_TIMEOUT_MS);
  return rc;
}
