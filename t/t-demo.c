/*
 * The demos print their summary lines, and no request in them is lost.
 *
 * Guards against a `make demo` on a clean clone that ends with "Segmentation
 * fault" and no summary line.  That happened when a list was added to the
 * target struct: of the three places that set up a target by hand, the one in
 * the load tool comfrey-callers did not initialize the list.  The tool's first
 * request crashed where cf_upstream_send(), called by its send_attempt(),
 * inserted the new connection into the target's list of busy connections, whose
 * head was all zeros.  No test ran the tool.
 *
 * The two scripts choose free ports, so they can run beside other tests and
 * beside each other.
 */
#include "harness.h"

#include <stdio.h>
#include <string.h>

#define DEMO_REQUESTS 300
/** Number of requests taken from the recorded session.  The first ones include
 * the kinds of request of both deployments. */
#define SESSION_REQUESTS 100
/** Directory for all output of the runs. */
#define OUT "t/out/t-demo/"
#define SESSION OUT "session.jsonl"

/** DemoRun: a running demo script. */
typedef struct
{
  FILE *out;
  char *log; /**< name of the file with its standard error */
} DemoRun;

static DemoRun
start_script (const char *command, const char *name)
{
  DemoRun r;
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

/* Returns the number after "@name=" in @line; fails the test if there is
 * none. */
static gint64
read_number (const char *line, const char *name)
{
  g_autofree char *key = g_strdup_printf ("%s=", name);
  const char *at = strstr (line, key);
  char *end = NULL;
  gint64 n;

  ck_assert_msg (at != NULL, "no %s in \"%s\"", name, line);
  n = g_ascii_strtoll (at + strlen (key), &end, 10);
  ck_assert_msg (end != at + strlen (key), "no number after %s= in \"%s\"",
                 name, line);
  return n;
}

/* Waits until the script exits with status 0; returns its summary line, which
 * the caller frees. */
static char *
wait_for_script (DemoRun *r)
{
  g_autofree char *errors = NULL;
  char line[1024] = "";
  int status;

  if (!fgets (line, sizeof line, r->out))
    line[0] = '\0';
  status = pclose (r->out);
  g_file_get_contents (r->log, &errors, NULL, NULL);
  g_free (r->log);
  ck_assert_msg (status == 0, "wait status 0x%x after \"%s\": %s",
                 (unsigned)status, line, errors);
  return g_strdup (line);
}

static void
check_summary (const char *line, gint64 n_requests)
{
  gint64 answered = read_number (line, "answered");

  ck_assert_int_gt (answered, 0);
  ck_assert_int_eq (answered + read_number (line, "refused"), n_requests);
  ck_assert_int_eq (read_number (line, "lost"), 0);
  ck_assert_int_eq (read_number (line, "doubled"), 0);
}

static void
check_demo (DemoRun *r)
{
  g_autofree char *line = wait_for_script (r);

  check_summary (line, DEMO_REQUESTS);
  ck_assert_int_eq (read_number (line, "wrong"), 0);
}

static DemoRun
start_demo (const char *name)
{
  g_autofree char *command
      = g_strdup_printf ("sh scripts/demo.sh %d", DEMO_REQUESTS);

  return start_script (command, name);
}

START_TEST (two_demos_side_by_side_print_their_summaries)
{
  DemoRun a = start_demo ("a");
  DemoRun b = start_demo ("b");

  check_demo (&a);
  check_demo (&b);
}
END_TEST

/* Writes the first requests of the recorded session to SESSION. */
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

START_TEST (two_own_demos_side_by_side_print_their_summaries)
{
  const char command[] = "sh scripts/demo-own.sh " SESSION;
  DemoRun runs[2];

  write_session ();
  runs[0] = start_script (command, "own-a");
  runs[1] = start_script (command, "own-b");
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *line = wait_for_script (&runs[i]);

      check_summary (line, SESSION_REQUESTS);
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

  add_case (s, "platform", two_demos_side_by_side_print_their_summaries);
  add_case (s, "own", two_own_demos_side_by_side_print_their_summaries);
  return t_run_suite (s);
}
