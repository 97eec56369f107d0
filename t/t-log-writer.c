/* The log writer: nobody who logs waits for the reader of the log. */
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
  gint64 begun;

  ck_assert_int_eq (pipe (fds), 0);
  ck_assert (cf_log_writer_start (fds[1]));
  begun = cf_now_ms ();
  for (int i = 0; i < 20000; i++)
    cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d target=%s", i, "some-target");
  ck_assert_int_lt (cf_now_ms () - begun, 1000);
  /* The ring and the pipe hold some; the rest is dropped and counted. */
  ck_assert_uint_gt (cf_log_writer_dropped (), 10000);
  begun = cf_now_ms ();
  cf_log_writer_stop (100);
  ck_assert_int_lt (cf_now_ms () - begun, 1000);
}
END_TEST

START_TEST (lines_come_whole_and_in_order)
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
      char want[32];

      g_snprintf (want, sizeof want, "route id=%d end t=", i);
      at = strstr (at, want);
      ck_assert_ptr_nonnull (at);
    }
}
END_TEST

/** Lines put while nobody reads: some forty times what a pipe holds. */
#define STORM_LINES 20000
/** Lines put at a time, and the pause after them: less than the ring holds,
 * so that it is the pipe that is full. */
#define STORM_BATCH 500
#define STORM_PAUSE_US 20000

/* What is in the pipe now. */
static void
read_all (int fd, GString *out)
{
  char buf[65536];
  ssize_t n;

  while ((n = read (fd, buf, sizeof buf)) > 0)
    g_string_append_len (out, buf, n);
}

/* Whether @line is whole: its number, then the end mark and the time. */
static gboolean
is_whole (const char *line)
{
  return g_regex_match_simple ("^<\\d>t-log-writer\\[\\d+\\]: E\\d+ route "
                               "id=\\d+ end t=[0-9.]+$",
                               line, 0, 0);
}

/*
 * In the log of a busy gateway a line broke off in its middle and the next
 * began on it, so that neither could be read.  Its reader was slow and its
 * pipe did not block: the writer wrote a part of a batch, was refused the rest,
 * and gave the batch up in the middle of a line, counting one line as dropped
 * whatever the batch held.  A line is written whole or dropped whole, and each
 * that is dropped is counted.
 */
START_TEST (a_full_pipe_tears_no_line)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_auto (GStrv) lines = NULL;
  guint64 before = cf_log_writer_dropped ();
  guint64 whole = 0;
  guint64 told = 0;
  int fds[2];

  ck_assert_int_eq (pipe2 (fds, O_NONBLOCK), 0);
  cf_log_init ("t-log-writer");
  ck_assert (cf_log_writer_start (fds[1]));
  for (int i = 0; i < STORM_LINES; i++)
    {
      cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d end", i);
      if (i % STORM_BATCH == 0)
        usleep (STORM_PAUSE_US);
      if (i % (STORM_BATCH * 8) == 0)
        read_all (fds[0], text);
    }
  read_all (fds[0], text);
  usleep (300000);
  cf_log_writer_stop (1000);
  read_all (fds[0], text);
  lines = g_strsplit (text->str, "\n", -1);
  for (char **l = lines; *l && **l; l++)
    {
      const char *dropped = strstr (*l, "log-dropped lines=");

      if (dropped)
        told += g_ascii_strtoull (dropped + strlen ("log-dropped lines="), NULL,
                                  10);
      else
        ck_assert_msg (is_whole (*l), "torn: %s", *l);
      whole += !dropped;
    }
  ck_assert_uint_gt (whole, 0);
  ck_assert_uint_lt (whole, STORM_LINES);
  /* Each line is either there or counted, and none is told of twice. */
  ck_assert_uint_eq (whole + cf_log_writer_dropped () - before, STORM_LINES);
  ck_assert_uint_le (told, cf_log_writer_dropped () - before);
}
END_TEST

/* The reader takes nothing more until the writer has ended: what its pipe has
 * no room for is counted, in the batch and behind it. */
START_TEST (lines_left_at_the_end_are_counted)
{
  g_autoptr (GString) text = g_string_new (NULL);
  guint64 before = cf_log_writer_dropped ();
  guint64 whole = 0;
  int fds[2];

  ck_assert_int_eq (pipe2 (fds, O_NONBLOCK), 0);
  ck_assert (cf_log_writer_start (fds[1]));
  for (int i = 0; i < 2500; i++)
    cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d end", i);
  cf_log_writer_stop (1000);
  read_all (fds[0], text);
  for (const char *at = text->str; (at = strchr (at, '\n')); at++)
    whole++;
  ck_assert_uint_lt (whole, 2500);
  ck_assert_uint_eq (whole + cf_log_writer_dropped () - before, 2500);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("log-writer");
  TCase *t = tcase_create ("log-writer");

  tcase_add_test (t, a_full_pipe_does_not_block);
  tcase_add_test (t, a_full_pipe_tears_no_line);
  tcase_add_test (t, lines_left_at_the_end_are_counted);
  tcase_add_test (t, lines_come_whole_and_in_order);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
