/*
 * make soak: runs seeds one after another, each in a process of its own, and
 * prints the totals.  Exit status: 1 if a seed failed.
 */
#include "soak.h"

#include "harness.h"
#include "platform-harness.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <unistd.h>

/** A seed normally takes 20 s; one that takes longer than this hangs. */
#define SEED_TIMEOUT_S 90

static int base_port = 19000;
static int first_seed = 1;
static int n_seeds = 1;
static gboolean keep_logs;

static const GOptionEntry entries[] = {
  { "seed", 0, 0, G_OPTION_ARG_INT, &first_seed, "First seed", "S" },
  { "seeds", 0, 0, G_OPTION_ARG_INT, &n_seeds, "Number of seeds", "N" },
  { "base", 0, 0, G_OPTION_ARG_INT, &base_port,
    "First of the 700 ports that are used", "PORT" },
  { "keep", 0, 0, G_OPTION_ARG_NONE, &keep_logs,
    "Keep the logs of seeds that pass", NULL },
  { NULL },
};

/** Set by the parent for the process that runs the seed. */
static struct
{
  const SoakPlan *plan;
  const char *log_dir;
  int result_fd;
} seed_run;

static void
run_plan (const SoakPlan *p, SoakResult *r)
{
  SoakFleet *f = soak_fleet_start (p, base_port);
  gint64 calm_until_ms;

  soak_shared_start (p, base_port);
  soak_callers_start (p, base_port);
  soak_fleet_run_plan (f);
  calm_until_ms = soak_record_calm ();
  soak_callers_wait_for_recovery ();
  g_usleep ((gulong)MAX (calm_until_ms - soak_now_ms (), 0) * 1000);
  soak_shared_check ();
  soak_callers_stop (r);
  soak_fleet_check_targets (f);
  r->violations = soak_check_requests ();
  r->faults = p->faults->len;
  soak_plan_count_overlaps (p, r);
  soak_fleet_stop (f);
}

/* The output of a seed goes to a file beside its logs.  Each seed runs as a
 * test case, so that a failed assertion in the harness ends this seed only. */
START_TEST (run_plan_of_seed)
{
  g_autofree char *output_path
      = g_build_filename (seed_run.log_dir, "played.txt", NULL);
  SoakResult r = { 0 };

  ck_assert_ptr_nonnull (freopen (output_path, "w", stdout));
  p_overrides.log_dir = seed_run.log_dir;
  run_plan (seed_run.plan, &r);
  fflush (stdout);
  ck_assert_int_eq (write (seed_run.result_fd, &r, sizeof r), sizeof r);
}
END_TEST

static void
run_child (void)
{
  Suite *s = suite_create ("soak");
  TCase *t = tcase_create ("seed");
  SRunner *runner = srunner_create (s);

  tcase_set_timeout (t, SEED_TIMEOUT_S);
  tcase_add_test (t, run_plan_of_seed);
  suite_add_tcase (s, t);
  srunner_run_all (runner, CK_SILENT);
  if (srunner_ntests_failed (runner))
    srunner_print (runner, CK_NORMAL);
  srunner_free (runner);
}

/* Creates the directory, or removes the files that earlier runs of the seed
 * left in it. */
static void
empty_dir (const char *path)
{
  g_autoptr (GDir) dir = NULL;
  const char *name;

  g_mkdir_with_parents (path, 0755);
  dir = g_dir_open (path, 0, NULL);
  while (dir && (name = g_dir_read_name (dir)))
    {
      g_autofree char *file = g_build_filename (path, name, NULL);

      g_unlink (file);
    }
}

static void
print_failure (const SoakPlan *p, const char *log_dir)
{
  g_autofree char *file = g_build_filename (log_dir, "played.txt", NULL);
  g_autofree char *text = NULL;

  soak_plan_print (p);
  if (g_file_get_contents (file, &text, NULL, NULL))
    fputs (text, stdout);
  printf ("logs: %s\nagain: make soak SEED=%u\n", log_dir, p->seed);
}

/* Runs seed @number in a process of its own; FALSE if it failed. */
static gboolean
run_seed (guint32 number, SoakResult *r)
{
  SoakPlan *p = soak_plan_new (number);
  g_autofree char *log_dir = g_strdup_printf ("t/out/soak-%u", number);
  int fds[2];
  gboolean passed = FALSE;

  empty_dir (log_dir);
  fflush (stdout);
  if (pipe (fds) != 0)
    goto out;
  seed_run.plan = p;
  seed_run.log_dir = log_dir;
  seed_run.result_fd = fds[1];
  run_child ();
  close (fds[1]);
  passed = read (fds[0], r, sizeof *r) == sizeof *r && r->violations == 0;
  close (fds[0]);
  if (passed && !keep_logs)
    {
      empty_dir (log_dir);
      g_rmdir (log_dir);
    }
  if (!passed)
    print_failure (p, log_dir);
out:
  soak_plan_free (p);
  return passed;
}

static void
add_result (SoakResult *total, const SoakResult *r)
{
  total->requests += r->requests;
  total->served += r->served;
  total->faults += r->faults;
  for (int i = 0; i < SOAK_N_KINDS; i++)
    for (int j = i; j < SOAK_N_KINDS; j++)
      total->overlaps[i][j] += r->overlaps[i][j];
}

/* Prints how many pairs of fault kinds overlapped, and which ones did not. */
static void
print_overlaps (const SoakResult *total)
{
  int n_overlapping = 0;
  int n_pairs = 0;
  GString *missing = g_string_new (NULL);

  for (int i = 0; i < SOAK_N_KINDS; i++)
    for (int j = i; j < SOAK_N_KINDS; j++)
      {
        n_pairs++;
        if (total->overlaps[i][j])
          n_overlapping++;
        else
          g_string_append_printf (missing, " %s+%s",
                                  soak_kind_name ((SoakFaultKind)i),
                                  soak_kind_name ((SoakFaultKind)j));
      }
  printf ("served=%u pairs=%d of %d, not played:%s\n", total->served,
          n_overlapping, n_pairs, missing->len ? missing->str : " none");
  g_string_free (missing, TRUE);
}

int
main (int argc, char **argv)
{
  GOptionContext *ctx = g_option_context_new (NULL);
  g_autofree char *lock_name = NULL;
  GError *err = NULL;
  SoakResult total = { 0 };
  guint failed_seeds = 0;

  g_option_context_set_summary (
      ctx, "Injects faults on schedules generated from seeds.");
  g_option_context_add_main_entries (ctx, entries, NULL);
  if (!g_option_context_parse (ctx, &argc, &argv, &err))
    {
      fprintf (stderr, "soak: %s\n", err->message);
      return 2;
    }
  lock_name = g_strdup_printf ("soak-%d", base_port);
  t_acquire_lock (lock_name);
  for (int i = 0; i < n_seeds; i++)
    {
      SoakResult r = { 0 };

      failed_seeds += !run_seed ((guint32)(first_seed + i), &r);
      add_result (&total, &r);
      fflush (stdout);
    }
  print_overlaps (&total);
  printf ("seeds=%d broken=%u requests=%u faults=%u\n", n_seeds, failed_seeds,
          total.requests, total.faults);
  return failed_seeds > 0;
}
