/* The log writer: logging never blocks on the reader of the log. */
#include "harness.h"
#include "log-writer.h"
#include "log.h"
#include "net.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

START_TEST (a_full_pipe_does_not_block)
{
  int fds[2];
  gint64 start_ms;

  ck_assert_int_eq (pipe (fds), 0);
  ck_assert (cf_log_writer_start (fds[1]));
  start_ms = cf_now_ms ();
  for (int i = 0; i < 20000; i++)
    cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d target=%s", i, "some-target");
  ck_assert_int_lt (cf_now_ms () - start_ms, 1000);
  /* The ring and the pipe hold some lines; the rest are dropped and counted. */
  ck_assert_uint_gt (cf_log_writer_dropped_lines (), 10000);
  start_ms = cf_now_ms ();
  cf_log_writer_stop (100);
  ck_assert_int_lt (cf_now_ms () - start_ms, 1000);
}
END_TEST

START_TEST (lines_are_written_whole_and_in_order)
{
  char text[65536] = "";
  int fds[2];
  ssize_t n;
  char *at = text;

  ck_assert_int_eq (pipe (fds), 0);
  ck_assert (cf_log_writer_start (fds[1]));
  for (int i = 0; i < 100; i++)
    cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d end", i);
  cf_log_writer_stop (1000);
  n = read (fds[0], text, sizeof text - 1);
  ck_assert_int_gt (n, 0);
  for (int i = 0; i < 100; i++)
    {
      char expected[32];

      g_snprintf (expected, sizeof expected, "route id=%d end t=", i);
      at = strstr (at, expected);
      ck_assert_ptr_nonnull (at);
    }
}
END_TEST

/** Lines logged with a slow reader: about forty times the capacity of a
 * pipe. */
#define BURST_LINES 20000
/** Lines logged between two pauses: fewer than the ring holds, so that only the
 * pipe is full. */
#define BURST_BATCH_LINES 500
#define BURST_PAUSE_US 20000

/* Reads all that is in the pipe now. */
static void
read_available (int fd, GString *out)
{
  char buf[65536];
  ssize_t n;

  while ((n = read (fd, buf, sizeof buf)) > 0)
    g_string_append_len (out, buf, n);
}

/* Whether @line is complete: it ends with its number, the end mark and the
 * time. */
static gboolean
is_complete (const char *line)
{
  return g_regex_match_simple ("^<\\d>t-log-writer\\[\\d+\\]: E\\d+ route "
                               "id=\\d+ end t=[0-9.]+$",
                               line, 0, 0);
}

/*
 * Each line is written whole or dropped whole, and each dropped line is
 * counted.
 *
 * Guards against a log in which a line breaks off in the middle and the next
 * one follows without a line break, so that neither can be read.  It happened
 * with a slow reader and a non-blocking pipe: the pipe accepted only part of a
 * batch, and the writer gave up the rest of the batch in the middle of a line
 * and counted one dropped line, however many the rest held.
 */
START_TEST (a_full_pipe_cuts_no_line)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_auto (GStrv) lines = NULL;
  guint64 before = cf_log_writer_dropped_lines ();
  guint64 n_complete = 0;
  guint64 reported = 0;
  int fds[2];

  ck_assert_int_eq (pipe2 (fds, O_NONBLOCK), 0);
  cf_log_init ("t-log-writer");
  ck_assert (cf_log_writer_start (fds[1]));
  for (int i = 0; i < BURST_LINES; i++)
    {
      cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d end", i);
      if (i % BURST_BATCH_LINES == 0)
        usleep (BURST_PAUSE_US);
      if (i % (BURST_BATCH_LINES * 8) == 0)
        read_available (fds[0], text);
    }
  read_available (fds[0], text);
  usleep (300000);
  cf_log_writer_stop (1000);
  read_available (fds[0], text);
  lines = g_strsplit (text->str, "\n", -1);
  for (char **l = lines; *l && **l; l++)
    {
      const char *dropped = strstr (*l, "log-dropped lines=");

      if (dropped)
        reported += g_ascii_strtoull (dropped + strlen ("log-dropped lines="),
                                      NULL, 10);
      else
        ck_assert_msg (is_complete (*l), "incomplete line: %s", *l);
      n_complete += !dropped;
    }
  ck_assert_uint_gt (n_complete, 0);
  ck_assert_uint_lt (n_complete, BURST_LINES);
  /* Each line is either present or counted, and none is reported twice. */
  ck_assert_uint_eq (n_complete + cf_log_writer_dropped_lines () - before,
                     BURST_LINES);
  ck_assert_uint_le (reported, cf_log_writer_dropped_lines () - before);
}
END_TEST

/* Nobody reads until the writer has ended: lines that do not fit into the pipe
 * are counted, both those in the batch and those still in the ring. */
START_TEST (lines_left_at_the_end_are_counted)
{
  g_autoptr (GString) text = g_string_new (NULL);
  guint64 before = cf_log_writer_dropped_lines ();
  guint64 n_complete = 0;
  int fds[2];

  ck_assert_int_eq (pipe2 (fds, O_NONBLOCK), 0);
  ck_assert (cf_log_writer_start (fds[1]));
  for (int i = 0; i < 2500; i++)
    cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d end", i);
  cf_log_writer_stop (1000);
  read_available (fds[0], text);
  for (const char *at = text->str; (at = strchr (at, '\n')); at++)
    n_complete++;
  ck_assert_uint_lt (n_complete, 2500);
  ck_assert_uint_eq (n_complete + cf_log_writer_dropped_lines () - before,
                     2500);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("log-writer");
  TCase *t = tcase_create ("log-writer");

  tcase_add_test (t, a_full_pipe_does_not_block);
  tcase_add_test (t, a_full_pipe_cuts_no_line);
  tcase_add_test (t, lines_left_at_the_end_are_counted);
  tcase_add_test (t, lines_are_written_whole_and_in_order);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
