/*
 * The operator's command line: check records, show an agent's status,
 * drain an agent.
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

/* NULL, and says why, if the file cannot be read. */
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

static int
exchange (const char *addr, const CfMsg *m, CfMsg *r)
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
  rc = exchange (addr, &m, &r);
  if (rc == 0 && r.kind != CF_MSG_ANSWER)
    {
      fprintf (stderr,
               "comfrey: agent %s refused: %s; ask the agent of a rank that "
               "has a [group] table\n",
               addr, r.kind == CF_MSG_REFUSAL ? r.u.refusal.reason : "?");
      rc = 1;
    }
  else if (rc == 0)
    printf ("agent %s: deciding placement; see its log for E1501\n", addr);
  cf_msg_clear (&r);
  return rc;
}

static int
ask (const char *addr, CfMsgKind kind)
{
  CfMsg m = { .kind = kind, .id = 1 };
  CfMsg r = { 0 };

  if (exchange (addr, &m, &r) != 0)
    return 1;
  printf ("agent %s: in_flight=%" G_GINT64_FORMAT " queued=%" G_GINT64_FORMAT
          " draining=%s fence=%" G_GINT64_FORMAT " served=%" G_GINT64_FORMAT
          " refused=%" G_GINT64_FORMAT "\n",
          addr, r.load.in_flight, r.load.queued, r.load.draining ? "yes" : "no",
          r.u.status.fence, r.u.status.served, r.u.status.refused);
  cf_msg_clear (&r);
  return 0;
}

/* Exit status 1 if the request is in none of the logs. */
static int
explain (const char *id, char **files)
{
  CfTimeline s = { 0 };
  GString *out = g_string_new (NULL);
  int rc = 0;

  for (char **f = files; *f; f++)
    {
      g_autofree char *text = read_file ("explain", *f);

      if (text)
        cf_timeline_read_log (&s, id, *f, text);
      else
        rc = 2;
    }
  cf_timeline_finish (&s);
  cf_timeline_print (&s, id, out);
  fputs (out->str, stdout);
  if (rc == 0 && s.lines->len == 0)
    rc = 1;
  g_string_free (out, TRUE);
  cf_timeline_clear (&s);
  return rc;
}

static int
report (const CfReportObjectives *aims, char **files)
{
  GString *out = g_string_new (NULL);
  CfReport r;
  int rc = 0;

  cf_report_init (&r, aims);
  for (char **f = files; *f; f++)
    {
      g_autofree char *text = read_file ("report", *f);

      if (text)
        cf_report_read (&r, text);
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
  CfReportObjectives aims = { 500, 120 };
  GOptionEntry entries[] = {
    { "late-first-ms", 0, 0, G_OPTION_ARG_INT64, &aims.first_ms,
      "report: a stream whose first event takes longer is late (500)", "MS" },
    { "late-pause-ms", 0, 0, G_OPTION_ARG_INT64, &aims.pause_ms,
      "report: a stream with a longer pause is late (120)", "MS" },
    { NULL },
  };
  int rc;

  rc = cf_daemon_parse_options (
      &argc, &argv, "comfrey",
      "Use: comfrey COMMAND ARG\n"
      "Commands:\n"
      "  explain ID FILE...  what the logs say of one request, and why it\n"
      "                ended as it did\n"
      "  report FILE...  second by second, what gateways' logs say of how\n"
      "                requests ended, what was late and why\n"
      "  check FILE    check configuration records (schema 1 and 2)\n"
      "  status ADDR   show an agent's load, fencing token and counts\n"
      "  drain ADDR    tell an agent to take no new work\n"
      "  rebalance ADDR  have a rank's agent decide expert placement "
      "now",
      entries);
  if (rc >= 0)
    return rc;
  if (argc > 3 && strcmp (argv[1], "explain") == 0)
    return explain (argv[2], argv + 3);
  if (argc > 2 && strcmp (argv[1], "report") == 0)
    return report (&aims, argv + 2);
  if (argc != 3)
    {
      fprintf (stderr,
               "comfrey: give a command and its argument (try --help)\n");
      return 2;
    }
  if (strcmp (argv[1], "check") == 0)
    return check (argv[2]);
  if (strcmp (argv[1], "status") == 0)
    return ask (argv[2], CF_MSG_PING);
  if (strcmp (argv[1], "rebalance") == 0)
    return rebalance (argv[2]);
  if (strcmp (argv[1], "drain") == 0)
    return ask (argv[2], CF_MSG_DRAIN);
  fprintf (stderr, "comfrey: unknown command '%s' (try --help)\n", argv[1]);
  return 2;
}
