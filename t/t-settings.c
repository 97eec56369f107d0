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
  ck_assert_int_eq (cf_settings_check_known_keys (&s, known), CF_OK);
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
  ck_assert_int_eq (cf_settings_check_known_keys (&s, known), CF_ERR_SETTINGS);
  ck_assert (strstr (cf_last_error (), "unknown key [a] zz"));
  ck_assert (strstr (cf_last_error (), "remedy:"));
  cf_settings_clear (&s);
  ck_assert_int_eq (load_text (&s, "[a\nbroken"), CF_ERR_SETTINGS);
  ck_assert (strstr (cf_last_error (), "settings-test.toml"));
  cf_settings_clear (&s);
}
END_TEST

/* The settings of a program, with one field of each kind. */
typedef struct
{
  char *name;
  gint64 n;
  gboolean b;
  double weight;
  GPtrArray *list;
} AllKinds;

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "a", "name", offsetof (AllKinds, name), 0, 0 },
  { CF_SETTING_INT, "a", "n", offsetof (AllKinds, n), 0, 10 },
  { CF_SETTING_BOOL, "a", "b", offsetof (AllKinds, b), 0, 0 },
  { CF_SETTING_DOUBLE, "a", "weight", offsetof (AllKinds, weight), 0, 1 },
  { CF_SETTING_STRINGS, "a", "list", offsetof (AllKinds, list), 0, 0 },
};

START_TEST (test_fields_of_every_kind_are_read)
{
  CfSettings s = { 0 };
  AllKinds all = { 0 };

  ck_assert_int_eq (
      load_text (&s, "[a]\nweight = 0.25\nlist = [\"x\", \"y\"]\n"), CF_OK);
  ck_assert_int_eq (cf_settings_read (&s, fields, G_N_ELEMENTS (fields), &all),
                    CF_OK);
  ck_assert_str_eq (all.name, "x");
  ck_assert_int_eq (all.n, 5);
  ck_assert (all.b);
  ck_assert_double_eq (all.weight, 0.25);
  ck_assert_int_eq (all.list->len, 2);
  ck_assert_str_eq (g_ptr_array_index (all.list, 1), "y");
  g_free (all.name);
  g_ptr_array_unref (all.list);
  cf_settings_clear (&s);
}
END_TEST

START_TEST (test_field_errors_name_key_and_value)
{
  static const char *const bad[][2] = {
    { "[a]\nweight = 2\nlist = []\n", "[a] weight = 2 is outside [0, 1]" },
    { "[a]\nweight = x\nlist = []\n", "[a] weight = x is not a number" },
    { "[a]\nweight = 0\nlist = [1]\n",
      "[a] list = [1] is not an array of strings" },
    { "[a]\nweight = 0\nlist = \"x\"\n",
      "[a] list = \"x\" is not an array of strings" },
    { "[a]\nweight = 0\n", "[a] list is missing" },
    { "[a]\nweigth = 0\n", "unknown key [a] weigth" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      CfSettings s = { 0 };
      AllKinds all = { 0 };

      ck_assert_int_eq (load_text (&s, bad[i][0]), CF_OK);
      ck_assert_int_eq (
          cf_settings_read (&s, fields, G_N_ELEMENTS (fields), &all),
          CF_ERR_SETTINGS);
      ck_assert_msg (strstr (cf_last_error (), bad[i][1]), "%s",
                     cf_last_error ());
      cf_settings_clear (&s);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("settings");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_defaults_and_override);
  tcase_add_test (tc, test_errors_name_key_and_remedy);
  tcase_add_test (tc, test_fields_of_every_kind_are_read);
  tcase_add_test (tc, test_field_errors_name_key_and_value);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
