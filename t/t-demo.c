/*
 * What a newcomer runs first ends with its line, and nothing in it is lost.
 *
 * The story.  `make demo` on a clean clone ended with "Segmentation fault" and
 * no summary line.
 *
 * Order of events: the stand-ins, gateways and agents come up; the callers'
 * tool sends its first request; the new connection goes into the list of the
 * target's busy ones, whose head is all zeros.
 *
 * Cause: a list was added to a target, and of the three places that filled
 * one by hand the tool's did not initialize it.
 *
 * Evidence: a trace with cf_upstream_send() at the insertion, called by the
 * tool's send_try(); the tests passed, since none ran the tool.
 *
 * The two scripts choose their ports, so they run here beside other tests and
 * beside each other.
 */
#include "harness.h"

#include <stdio.h>
#include <string.h>

#define DEMO_REQUESTS 300
/** Of the recorded session; both deployments' kinds of request are among
 * the first ones. */
#define SESSION_REQUESTS 100
/** Everything that the runs leave behind. */
#define OUT "t/out/t-demo/"
#define SESSION OUT "session.jsonl"

/** Run: a script at work. */
typedef struct
{
  FILE *out;
  char *log; /**< the file of its standard error */
} Run;

static Run
begin (const char *command, const char *name)
{
  Run r;
  g_autofree char *line = NULL;

  r.log = g_strdup_printf (OUT "%s.err", name);
  line = g_strdup_printf ("rm -rf " OUT "%s && mkdir -p " OUT "%s && "
                          "TMPDIR=" OUT "%s exec %s 2>%s",
                          name, name, name, command, r.log);
  g_mkdir_with_parents (OUT, 0755);
  r.out = popen (line, "r");
  ck_assert_ptr_nonnull (r.out);
  return r;
}

/* The number after @name= in @line; fails the test if it says none. */
static gint64
number (const char *line, const char *name)
{
  g_autofree char *key = g_strdup_printf ("%s=", name);
  const char *at = strstr (line, key);
  char *end = NULL;
  gint64 n;

  ck_assert_msg (at != NULL, "no %s in \"%s\"", name, line);
  n = g_ascii_strtoll (at + strlen (key), &end, 10);
  ck_assert_msg (end != at + strlen (key), "no number of %s: \"%s\"", name,
                 line);
  return n;
}

/* Waits for the script's end; its summary line, to be freed. */
static char *
end (Run *r)
{
  g_autofree char *said = NULL;
  char line[1024] = "";
  int status;

  if (!fgets (line, sizeof line, r->out))
    line[0] = '\0';
  status = pclose (r->out);
  g_file_get_contents (r->log, &said, NULL, NULL);
  g_free (r->log);
  ck_assert_msg (status == 0, "wait status 0x%x after \"%s\": %s",
                 (unsigned)status, line, said);
  return g_strdup (line);
}

static void
check_line (const char *line, gint64 asked)
{
  gint64 answered = number (line, "answered");

  ck_assert_int_gt (answered, 0);
  ck_assert_int_eq (answered + number (line, "refused"), asked);
  ck_assert_int_eq (number (line, "lost"), 0);
  ck_assert_int_eq (number (line, "doubled"), 0);
}

static void
check_demo (Run *r)
{
  g_autofree char *line = end (r);

  check_line (line, DEMO_REQUESTS);
  ck_assert_int_eq (number (line, "wrong"), 0);
}

static Run
begin_demo (const char *name)
{
  g_autofree char *command
      = g_strdup_printf ("sh scripts/demo.sh %d", DEMO_REQUESTS);

  return begin (command, name);
}

START_TEST (two_demos_side_by_side_end_with_their_lines)
{
  Run a = begin_demo ("a");
  Run b = begin_demo ("b");

  check_demo (&a);
  check_demo (&b);
}
END_TEST

/* The first requests of the recorded session, as a session of its own. */
static void
write_session (void)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  GString *out = g_string_new (NULL);
  int n = 0;

  ck_assert (g_file_get_contents ("demo/session.jsonl", &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l && n < SESSION_REQUESTS; l++)
    if (**l && **l != '#')
      {
        g_string_append_printf (out, "%s\n", *l);
        n++;
      }
  ck_assert_int_eq (n, SESSION_REQUESTS);
  g_mkdir_with_parents (OUT, 0755);
  ck_assert (g_file_set_contents (SESSION, out->str, -1, NULL));
  g_string_free (out, TRUE);
}

START_TEST (two_own_demos_side_by_side_end_with_their_lines)
{
  const char command[] = "sh scripts/demo-own.sh " SESSION;
  Run runs[2];

  write_session ();
  runs[0] = begin (command, "own-a");
  runs[1] = begin (command, "own-b");
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *line = end (&runs[i]);

      check_line (line, SESSION_REQUESTS);
    }
}
END_TEST

static void
add_case (Suite *s, const char *tag, const TTest *test)
{
  TCase *c = tcase_create (tag);

  tcase_set_timeout (c, 60);
  tcase_set_tags (c, tag);
  tcase_add_test (c, test);
  suite_add_tcase (s, c);
}

int
main (void)
{
  Suite *s = suite_create ("demo");

  add_case (s, "platform", two_demos_side_by_side_end_with_their_lines);
  add_case (s, "own", two_own_demos_side_by_side_end_with_their_lines);
  return t_run_suite (s);
}
