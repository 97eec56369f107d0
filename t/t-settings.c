#include "settings.h"
#include "harness.h"

#include <check.h>

static const char defaults[] = "[a]\nname = \"x\"\nn = 5\nb = true\n";
static const char *const known[] = { "a.name", "a.n", "a.b", NULL };

static CfStatus
load_text (CfSettings *s, const char *text)
{
  g_autofree char *path = g_strdup ("t/out/settings-test.toml");

  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents (path, text, -1, NULL);
  return cf_settings_load (s, path, defaults);
}

START_TEST (test_defaults_and_override)
{
  CfSettings s = { 0 };
  g_autofree char *name = NULL;
  gint64 n;
  gboolean b;

  ck_assert_int_eq (load_text (&s, "[a]\nn = 7\n"), CF_OK);
  ck_assert_int_eq (cf_settings_only (&s, known), CF_OK);
  ck_assert_int_eq (cf_settings_string (&s, "a", "name", &name), CF_OK);
  ck_assert_str_eq (name, "x");
  ck_assert_int_eq (cf_settings_int (&s, "a", "n", 0, 10, &n), CF_OK);
  ck_assert_int_eq (n, 7);
  ck_assert_int_eq (cf_settings_bool (&s, "a", "b", &b), CF_OK);
  ck_assert (b);
  cf_settings_clear (&s);
}
END_TEST

START_TEST (test_errors_name_key_and_remedy)
{
  CfSettings s = { 0 };
  g_autofree char *str = NULL;
  gint64 n;
  gboolean b;

  ck_assert_int_eq (load_text (&s, "[a]\nname = x\nn = 50\nb = yes\nzz = 1\n"),
                    CF_OK);
  ck_assert_int_eq (cf_settings_string (&s, "a", "name", &str),
                    CF_ERR_SETTINGS);
  ck_assert (strstr (cf_last_error (), "[a] name = x is not a quoted string"));
  ck_assert_int_eq (cf_settings_int (&s, "a", "n", 0, 10, &n), CF_ERR_SETTINGS);
  ck_assert (strstr (cf_last_error (), "outside [0, 10]"));
  ck_assert_int_eq (cf_settings_bool (&s, "a", "b", &b), CF_ERR_SETTINGS);
  ck_assert_int_eq (cf_settings_only (&s, known), CF_ERR_SETTINGS);
  ck_assert (strstr (cf_last_error (), "unknown key [a] zz"));
  ck_assert (strstr (cf_last_error (), "remedy:"));
  cf_settings_clear (&s);
  ck_assert_int_eq (load_text (&s, "[a\nbroken"), CF_ERR_SETTINGS);
  ck_assert (strstr (cf_last_error (), "settings-test.toml"));
  cf_settings_clear (&s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("settings");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_defaults_and_override);
  tcase_add_test (tc, test_errors_name_key_and_remedy);
  suite_add_tcase (s, tc);
  return t_run (s);
}
