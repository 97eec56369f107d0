/*
 * The operators' command-line tool: explains and summarizes gateways' logs,
 * checks configuration records, and sends status, drain and rebalance requests
 * to agents.
 */
#include "daemon.h"
#include "error.h"
#include "explain.h"
#include "net.h"
#include "records.h"
#include "report.h"
#include "wire.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Returns NULL and prints the error if the file cannot be read. */
static char *
read_file (const char *command, const char *path)
{
  g_autoptr (GError) err = NULL;
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, &err))
    fprintf (stderr, "comfrey %s: %s\n", command, err->message);
  return text;
}

static int
check (const char *path)
{
  g_autofree char *text = read_file ("check", path);
  CfConfig *c = NULL;

  if (!text)
    return 2;
  if (cf_config_parse_lines (text, path, 0, &c) != CF_OK)
    {
      fprintf (stderr, "comfrey check: %s\n", cf_last_error ());
      return 1;
    }
  printf ("%s: ok: %u intents, %u groups\n", path, c->intents->len,
          g_hash_table_size (c->groups));
  cf_config_unref (c);
  return 0;
}

/* Sends @m to the agent at @addr and waits for its reply.  Returns the exit
 * status; prints the error if there is one. */
static int
send_and_receive (const char *addr, const CfMsg *m, CfMsg *r)
{
  int fd;

  if (cf_connect_tcp (addr, 2000, &fd) != CF_OK || cf_msg_write (fd, m) != CF_OK
      || cf_msg_read (fd, r) != CF_OK)
    {
      fprintf (stderr, "comfrey: %s\n", cf_last_error ());
      return 1;
    }
  close (fd);
  return 0;
}

static int
rebalance (const char *addr)
{
  CfMsg m = { .kind = CF_MSG_ORDER, .id = 1 };
  CfMsg r = { 0 };
  int rc;

  m.u.order.op = "rebalance";
  rc = send_and_receive (addr, &m, &r);
  if (rc == 0 && r.kind != CF_MSG_ANSWER)
    {
      fprintf (stderr,
               "comfrey: agent %s refused: %s; send the command to an agent "
               "whose settings have a [group] table\n",
               addr, r.kind == CF_MSG_REFUSAL ? r.u.refusal.reason : "?");
      rc = 1;
    }
  else if (rc == 0)
    printf ("agent %s: placement decision started; see E1501 in its log\n",
            addr);
  cf_msg_clear (&r);
  return rc;
}

/* Sends a ping or drain message and prints the status in the agent's reply. */
static int
request_status (const char *addr, CfMsgKind kind)
{
  CfMsg m = { .kind = kind, .id = 1 };
  CfMsg r = { 0 };

  if (send_and_receive (addr, &m, &r) != 0)
    return 1;
  printf ("agent %s: in_flight=%" G_GINT64_FORMAT " queued=%" G_GINT64_FORMAT
          " draining=%s fence=%" G_GINT64_FORMAT " served=%" G_GINT64_FORMAT
          " refused=%" G_GINT64_FORMAT "\n",
          addr, r.load.in_flight, r.load.queued, r.load.draining ? "yes" : "no",
          r.u.status.fence, r.u.status.served, r.u.status.refused);
  cf_msg_clear (&r);
  return 0;
}

/* Returns the exit status: 1 if no log mentions the request, 2 if a log cannot
 * be read. */
static int
explain (const char *id, char **files)
{
  CfTimeline t = { 0 };
  GString *out = g_string_new (NULL);
  int rc = 0;

  for (char **f = files; *f; f++)
    {
      g_autofree char *text = read_file ("explain", *f);

      if (text)
        cf_timeline_read_log (&t, id, *f, text);
      else
        rc = 2;
    }
  cf_timeline_finish (&t);
  cf_timeline_print (&t, id, out);
  fputs (out->str, stdout);
  if (rc == 0 && t.lines->len == 0)
    rc = 1;
  g_string_free (out, TRUE);
  cf_timeline_clear (&t);
  return rc;
}

/* Returns the exit status: 2 if a log cannot be read. */
static int
report (const CfReportObjectives *objectives, char **files)
{
  GString *out = g_string_new (NULL);
  CfReport r;
  int rc = 0;

  cf_report_init (&r, objectives);
  for (char **f = files; *f; f++)
    {
      g_autofree char *text = read_file ("report", *f);

      if (text)
        cf_report_read (&r, *f, text);
      else
        rc = 2;
    }
  cf_report_print (&r, out);
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
  cf_report_clear (&r);
  return rc;
}

int
main (int argc, char **argv)
{
  CfReportObjectives objectives = { 500, 120 };
  GOptionEntry entries[] = {
    { "late-first-ms", 0, 0, G_OPTION_ARG_INT64, &objectives.first_ms,
      "report: longest time to a stream's first event that is in time (500)",
      "MS" },
    { "late-pause-ms", 0, 0, G_OPTION_ARG_INT64, &objectives.pause_ms,
      "report: longest pause between a stream's events that is in time (120)",
      "MS" },
    { NULL },
  };
  int rc;

  rc = cf_daemon_parse_options (
      &argc, &argv, "comfrey",
      "Usage: comfrey COMMAND ARG...\n"
      "Commands:\n"
      "  explain ID FILE...  show the log lines of one request in order of\n"
      "                time, and the cause of its outcome\n"
      "  report FILE...  count from gateways' logs, for each second, how\n"
      "                requests ended, how many were late and why; and how\n"
      "                gateways divided services in contention\n"
      "  check FILE    check configuration records (schema 1 and 2)\n"
      "  status ADDR   show an agent's load, fencing token and counters\n"
      "  drain ADDR    tell an agent to accept no new work\n"
      "  rebalance ADDR  make a rank's agent decide expert placement "
      "now",
      entries);
  if (rc >= 0)
    return rc;
  if (argc > 3 && strcmp (argv[1], "explain") == 0)
    return explain (argv[2], argv + 3);
  if (argc > 2 && strcmp (argv[1], "report") == 0)
    return report (&objectives, argv + 2);
  if (argc != 3)
    {
      fprintf (stderr,
               "comfrey: expected a command and argument (try --help)\n");
      return 2;
    }
  if (strcmp (argv[1], "check") == 0)
    return check (argv[2]);
  if (strcmp (argv[1], "status") == 0)
    return request_status (argv[2], CF_MSG_PING);
  if (strcmp (argv[1], "rebalance") == 0)
    return rebalance (argv[2]);
  if (strcmp (argv[1], "drain") == 0)
    return request_status (argv[2], CF_MSG_DRAIN);
  fprintf (stderr, "comfrey: unknown command '%s' (try --help)\n", argv[1]);
  return 2;
}
