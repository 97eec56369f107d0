#include "ops.h"

#include "http-reader.h"
#include "log-writer.h"
#include "operator-feed.h"
#include "service-retries.h"
#include "service-share.h"
#include "socket.h"
#include "target-feed.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 8192
#define READ_BYTES 4096
/** The platform probes readiness once a second; a connection idle for longer
 * than this is closed. */
#define IDLE_TIMEOUT_S 10.0

/** OpsConnection: a connection from an operator or from the platform. */
typedef struct
{
  CfGateway *g;
  ev_io io;
  ev_timer timer;
  CfHttpReader reader;
} OpsConnection;

static void
close_connection (OpsConnection *c)
{
  ev_io_stop (c->g->loop, &c->io);
  ev_timer_stop (c->g->loop, &c->timer);
  close (c->io.fd);
  cf_http_reader_clear (&c->reader);
  g_free (c);
}

static void
print_metrics (CfGateway *g, GString *out)
{
  cf_stats_print (&g->stats, out);
  cf_service_share_print_metrics (g, out);
  cf_service_retries_print_metrics (g, out);
  cf_operator_feed_print_metrics (out);
  cf_target_feed_print_metrics (out);
  cf_stats_gauge (out, "config_version",
                  g->policy ? (double)g->policy->version : 0);
  cf_stats_gauge (out, "targets", g_hash_table_size (g->targets.by_id));
  cf_stats_gauge (out, "target_list_age_ms",
                  (double)(cf_gateway_now (g) - g->targets_confirmed_ms));
  cf_stats_gauge (out, "suspected_requests",
                  cf_quarantine_size (g->quarantine));
  cf_stats_gauge (out, "readings_dropped",
                  (double)cf_reading_log_total (&g->dropped));
  cf_stats_gauge (out, "groups_without_demand", g->groups_without_demand);
  cf_stats_gauge (out, "evacuated_data_centres",
                  g_hash_table_size (g->evacuations.data_centres));
  cf_stats_gauge (out, "callers", g->n_callers);
  cf_stats_gauge (out, "requests_in_progress", g->n_exchanges);
  cf_stats_gauge (out, "request_bytes_held", (double)g->body_bytes);
  cf_stats_gauge (out, "ready", cf_gateway_is_ready (g));
  cf_stats_gauge (out, "log_lines_dropped",
                  (double)cf_log_writer_dropped_lines ());
}

/* Writes the page at @path to @body and returns the HTTP status. */
static int
write_page (CfGateway *g, const char *path, GString *body)
{
  if (cf_platform_is_readiness_path (path))
    {
      g_string_assign (body,
                       cf_gateway_is_ready (g) ? "ready\n" : "not ready\n");
      return cf_gateway_is_ready (g) ? 200 : 503;
    }
  if (strcmp (path, "/metrics") == 0)
    {
      print_metrics (g, body);
      return 200;
    }
  g_string_assign (body, "no such page\n");
  return 404;
}

/* Answers are short, so one that does not fit into the socket buffer means
 * that the client does not read.  Returns whether the connection stays open. */
static gboolean
send_answer (OpsConnection *c)
{
  GString *body = g_string_new (NULL);
  GString *out = g_string_new (NULL);
  gboolean keep_alive = cf_http_reader_can_keep_alive (&c->reader);
  int status
      = write_page (c->g, cf_http_reader_request_target (&c->reader), body);
  ssize_t sent;

  g_string_printf (out,
                   "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
                   "Content-Length: %" G_GSIZE_FORMAT "\r\n%s\r\n%s",
                   status, http_status_str ((enum http_status)status),
                   body->len, keep_alive ? "" : "Connection: close\r\n",
                   body->str);
  sent = send (c->io.fd, out->str, out->len, MSG_NOSIGNAL);
  keep_alive = keep_alive && sent == (ssize_t)out->len;
  g_string_free (out, TRUE);
  g_string_free (body, TRUE);
  cf_http_reader_next (&c->reader);
  return keep_alive;
}

static void
on_body (void *owner, const char *data, gsize n)
{
  /* Probes have no body; if there is one, it is read and dropped. */
}

static const CfHttpReaderCallbacks reader_callbacks = { NULL, on_body, NULL };

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  OpsConnection *c = w->data;
  char buf[READ_BYTES];
  ssize_t n = recv (w->fd, buf, sizeof buf, 0);
  gsize used;

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0 || !cf_http_reader_feed (&c->reader, buf, (gsize)n, &used)
      || (c->reader.is_complete && !send_answer (c)))
    {
      close_connection (c);
      return;
    }
  ev_timer_again (loop, &c->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  close_connection (t->data);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int revents)
{
  int fd = cf_socket_accept (w->fd);
  OpsConnection *c;

  if (fd < 0)
    return;
  c = g_new0 (OpsConnection, 1);
  c->g = w->data;
  cf_http_reader_init (&c->reader, HTTP_REQUEST, &reader_callbacks, c,
                       HEAD_MAX_BYTES);
  ev_io_init (&c->io, on_io, fd, EV_READ);
  c->io.data = c;
  ev_timer_init (&c->timer, on_timer, 0, IDLE_TIMEOUT_S);
  c->timer.data = c;
  ev_io_start (loop, &c->io);
  ev_timer_again (loop, &c->timer);
}

CfStatus
cf_ops_listen (CfGateway *g, const char *addr)
{
  ev_io *w;
  int fd;
  CfStatus st = cf_socket_listen (addr, &fd);

  if (st != CF_OK)
    return st;
  w = g_new0 (ev_io, 1); /* never freed: lives as long as the process */
  ev_io_init (w, on_accept, fd, EV_READ);
  w->data = g;
  ev_io_start (g->loop, w);
  return CF_OK;
}
