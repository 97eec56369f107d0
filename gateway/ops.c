#include "ops.h"

#include "http-reader.h"
#include "log-writer.h"
#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 8192
#define READ_SIZE 4096
/** A probe comes each second; a connection idle for longer is dropped. */
#define IDLE_S 10.0

/** CfOpsConn: a connection of an operator or of the platform. */
typedef struct
{
  CfGateway *g;
  ev_io io;
  ev_timer timer;
  CfHttpReader reader;
} CfOpsConn;

static void
shut (CfOpsConn *c)
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
  cf_stats_gauge (out, "config_version",
                  g->policy ? (double)g->policy->version : 0);
  cf_stats_gauge (out, "targets", g_hash_table_size (g->targets.by_id));
  cf_stats_gauge (out, "target_list_age_ms",
                  (double)(cf_gateway_now (g) - g->targets_at_ms));
  cf_stats_gauge (out, "suspected_requests",
                  cf_quarantine_size (g->quarantine));
  cf_stats_gauge (out, "callers", g->n_callers);
  cf_stats_gauge (out, "requests_in_progress", g->n_exchanges);
  cf_stats_gauge (out, "request_bytes_held", (double)g->body_bytes);
  cf_stats_gauge (out, "ready", cf_gateway_ready (g));
  cf_stats_gauge (out, "log_lines_dropped",
                  (double)cf_log_writer_dropped_lines ());
}

static int
answer_text (CfGateway *g, const char *path, GString *body)
{
  if (cf_platform_is_readiness_path (path))
    {
      g_string_assign (body, cf_gateway_ready (g) ? "ready\n" : "not ready\n");
      return cf_gateway_ready (g) ? 200 : 503;
    }
  if (strcmp (path, "/metrics") == 0)
    {
      print_metrics (g, body);
      return 200;
    }
  g_string_assign (body, "no such page\n");
  return 404;
}

/* Answers are short, so one that does not fit the socket's buffer goes to
 * a reader that does not read: the connection ends. */
static gboolean
answer (CfOpsConn *c)
{
  GString *body = g_string_new (NULL);
  GString *out = g_string_new (NULL);
  gboolean keep = cf_http_reader_keeps (&c->reader);
  int status = answer_text (c->g, cf_http_reader_target (&c->reader), body);
  ssize_t sent;

  g_string_printf (out,
                   "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
                   "Content-Length: %" G_GSIZE_FORMAT "\r\n%s\r\n%s",
                   status, http_status_str ((enum http_status)status),
                   body->len, keep ? "" : "Connection: close\r\n", body->str);
  sent = send (c->io.fd, out->str, out->len, MSG_NOSIGNAL);
  keep = keep && sent == (ssize_t)out->len;
  g_string_free (out, TRUE);
  g_string_free (body, TRUE);
  cf_http_reader_next (&c->reader);
  return keep;
}

static void
on_body (void *owner, const char *data, gsize n)
{
  /* A probe has no body; one that comes all the same is read and dropped. */
}

static const CfHttpReaderCalls reader_calls = { NULL, on_body, NULL };

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  CfOpsConn *c = w->data;
  char buf[READ_SIZE];
  ssize_t n = recv (w->fd, buf, sizeof buf, 0);
  gsize used;

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0 || !cf_http_reader_feed (&c->reader, buf, (gsize)n, &used)
      || (c->reader.is_complete && !answer (c)))
    {
      shut (c);
      return;
    }
  ev_timer_again (loop, &c->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  shut (t->data);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int revents)
{
  int fd = cf_socket_accept (w->fd);
  CfOpsConn *c;

  if (fd < 0)
    return;
  c = g_new0 (CfOpsConn, 1);
  c->g = w->data;
  cf_http_reader_init (&c->reader, HTTP_REQUEST, &reader_calls, c, HEAD_MAX);
  ev_io_init (&c->io, on_io, fd, EV_READ);
  c->io.data = c;
  ev_timer_init (&c->timer, on_timer, 0, IDLE_S);
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
  w = g_new0 (ev_io, 1); /* lives as long as the process */
  ev_io_init (w, on_accept, fd, EV_READ);
  w->data = g;
  ev_io_start (g->loop, w);
  return CF_OK;
}
