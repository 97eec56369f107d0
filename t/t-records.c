#include "records.h"
#include "harness.h"

#include <check.h>

#define GROUP                                                                  \
  "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","     \
  "\"agents\":[\"127.0.0.1:1\"]}\n"

static CfStatus
parse (const char *text, CfConfig **c)
{
  *c = NULL;
  return cf_config_parse_lines (text, "r.jsonl", 1, c);
}

static void
expect_error (const char *text, const char *needle)
{
  CfConfig *c;

  ck_assert_int_eq (parse (text, &c), CF_ERR_RECORD);
  ck_assert_msg (strstr (cf_last_error (), needle), "'%s' lacks '%s'",
                 cf_last_error (), needle);
  ck_assert_msg (strstr (cf_last_error (), "remedy:"), "no remedy in '%s'",
                 cf_last_error ());
}

START_TEST (test_schemas_1_and_2_in_one_file)
{
  CfConfig *c;
  const CfIntent *it;

  ck_assert_int_eq (
      parse (
          GROUP
          "{\"schema\":1,\"kind\":\"intent\",\"name\":\"a\",\"org\":\"o\","
          "\"service\":\"s\",\"model\":\"m\",\"groups\":[\"g\"],"
          "\"priority\":3,\"worth\":2}\n"
          "{\"schema\":2,\"kind\":\"intent\",\"name\":\"b\",\"match\":{"
          "\"orgs\":[\"*\"],\"services\":[\"s\"],\"models\":[\"m\"]},"
          "\"groups\":[{\"name\":\"g\"}],\"priority\":7,\"worth_milli\":5}\n",
          &c),
      CF_OK);
  it = cf_config_find_intent (c, "o", "s", "m");
  ck_assert_str_eq (it->name, "b");
  ck_assert_int_eq (it->schema, 2);
  it = cf_config_find_intent (c, "other", "s", "m");
  ck_assert_str_eq (it->name, "b");
  ck_assert_ptr_null (cf_config_find_intent (c, "o", "s", "other"));
  cf_config_unref (c);
}
END_TEST

START_TEST (test_errors_contain_line_and_remedy)
{
  expect_error ("\n{not json}\n", "r.jsonl:2");
  expect_error ("{\"schema\":3,\"kind\":\"group\"}", "'schema' must be 1 or 2");
  expect_error ("{\"schema\":1,\"kind\":\"other\"}", "'kind' must be");
  expect_error ("{\"schema\":1,\"kind\":\"group\",\"name\":\"g\","
                "\"target\":\"gpu\",\"agents\":[\"1.2.3.4:5\"]}",
                "'target' must be");
  expect_error ("{\"schema\":1,\"kind\":\"group\",\"name\":\"g\","
                "\"target\":\"engine\",\"agents\":[\"nohost\"]}",
                "IP:PORT");
  expect_error (GROUP GROUP, "r.jsonl:2: a group of this name is already");
  expect_error (GROUP "{\"schema\":1,\"kind\":\"intent\",\"name\":\"a\","
                      "\"org\":\"o\",\"service\":\"s\",\"model\":\"m\","
                      "\"groups\":[\"g\"],\"priority\":10,\"worth\":1}",
                "r.jsonl:2: field 'priority'");
  expect_error (GROUP "{\"schema\":2,\"kind\":\"intent\",\"name\":\"a\","
                      "\"groups\":[{\"name\":\"g\"}],\"priority\":1,"
                      "\"worth_milli\":1}",
                "'match'");
  expect_error ("{\"schema\":1,\"kind\":\"intent\",\"name\":\"a\","
                "\"org\":\"o\",\"service\":\"s\",\"model\":\"m\","
                "\"groups\":[\"nope\"],\"priority\":1,\"worth\":1}",
                "names group 'nope'");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("records");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_schemas_1_and_2_in_one_file);
  tcase_add_test (tc, test_errors_contain_line_and_remedy);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
