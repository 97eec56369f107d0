/* The adapter: parses the platform's data into the project's types, and
 * rejects invalid data. */
#include "harness.h"
#include "platform/platform-headers.h"
#include "platform/platform-policy.h"
#include "platform/platform-rank.h"
#include "platform/platform-settings.h"
#include "platform/platform-store.h"
#include "platform/platform-target.h"

#include <string.h>

static const char valid_settings[]
    = "node-name=vm-1\nip=10.0.0.1\nzone=dc1\nlisten.front=10.0.0.1:80\n"
      "listen.ready=10.0.0.1:81\nlisten.control=10.0.0.1:82\n"
      "seed-addrs=10.0.0.1:82,10.0.0.2:82\nplatform.addr=10.0.0.9:90\n"
      "bounds.grace-s=8\nbounds.retry-ratio=0.2\nbounds.retry-slack=88\n"
      "bounds.require-fence=true\nlimits.memory-mb=260\nsome.new.field=7\n";

START_TEST (settings_are_parsed)
{
  CfPlatformSettings s;

  ck_assert_int_eq (
      cf_platform_settings_parse (valid_settings, CF_ROLE_GATEWAY, &s), CF_OK);
  ck_assert_str_eq (s.front_addr, "10.0.0.1:80");
  ck_assert_str_eq (s.data_centre, "dc1");
  ck_assert_uint_eq (g_strv_length (s.seed_addrs), 2);
  ck_assert_int_eq (s.grace_ms, 8000);
  ck_assert_int_eq (s.retry_slack, 88);
  ck_assert_int_eq (s.retry_window_ms, 10000);
  ck_assert_int_eq (s.memory_mb, 260);
  ck_assert (s.ranks_check_fence);
  cf_platform_settings_clear (&s);
}
END_TEST

/* Settings that the programs do not use are not parsed, so none of their values
 * is an error. */
START_TEST (unused_settings_are_ignored)
{
  static const char *const fields[] = { "limits.cpu-share", "heartbeat-ms",
                                        "bounds.recover-s", "some.new.field" };

  for (gsize i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      g_autofree char *text
          = g_strdup_printf ("%s%s=lots\n", valid_settings, fields[i]);
      CfPlatformSettings s;

      ck_assert_int_eq (cf_platform_settings_parse (text, CF_ROLE_GATEWAY, &s),
                        CF_OK);
      ck_assert_int_eq (s.retry_slack, 88);
      cf_platform_settings_clear (&s);
    }
}
END_TEST

START_TEST (invalid_settings_name_the_field)
{
  CfPlatformSettings s;

  ck_assert_int_eq (
      cf_platform_settings_parse ("ip=1.2.3.4\n", CF_ROLE_GATEWAY, &s),
      CF_ERR_SETTINGS);
  ck_assert_ptr_nonnull (strstr (cf_last_error (), "listen.front"));
  ck_assert_int_eq (
      cf_platform_settings_parse ("ip=1.2.3.4\n", CF_ROLE_RANK_AGENT, &s),
      CF_ERR_SETTINGS);
  ck_assert_ptr_nonnull (strstr (cf_last_error (), "app"));
  ck_assert_int_eq (cf_platform_settings_parse ("ip=1.2.3.4\napp=1.2.3.4:5\n"
                                                "limits.memory-mb=lots\n",
                                                CF_ROLE_RANK_AGENT, &s),
                    CF_ERR_SETTINGS);
  ck_assert_ptr_nonnull (strstr (cf_last_error (), "limits.memory-mb"));
  ck_assert_ptr_nonnull (strstr (cf_last_error (), "remedy"));
}
END_TEST

static const char config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"a\",\"host\":\"h.example\",\"prefix\":\"/x/\","
      "\"kind\":\"streaming\",\"resumable\":true,\"timeout-ms\":8000,"
      "\"aim-ms\":500,\"priority\":1,\"split\":[{\"service\":\"s1\","
      "\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
      "\"max-attempts\":2},"
      "{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/x/y/\","
      "\"kind\":\"unsafe\",\"service\":\"s2\",\"public\":true}],"
      "\"services\":[{\"name\":\"s1\",\"max-conns\":5,\"engine\":"
      "{\"slots\":12,\"sets\":4,\"experts\":64,\"places\":5,\"spare\":2,"
      "\"expert-mb\":170,\"link-mbps\":180000}}],"
      "\"limits\":{\"max-header-bytes\":100},"
      "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],"
      "\"priority\":0}]}";

START_TEST (homes_and_regions_are_parsed)
{
  static const char format[]
      = "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
        "\"prefix\":\"/x/\",\"kind\":\"safe\",\"service\":\"s\"%s}],"
        "\"tenants\":[{\"name\":\"t\",\"api-keys\":[]%s}]}";
  static const char *const none[]
      = { "", ",\"home-regions\":null", ",\"home-regions\":[]" };
  static const char *const bad[]
      = { ",\"home-regions\":\"r\"", ",\"home-regions\":[7]" };
  static const char some[] = ",\"home-regions\":[\"r1\",\"r2\"]";
  CfPlatformSettings s;
  CfPolicy *p;

  for (gsize i = 0; i < G_N_ELEMENTS (none); i++)
    {
      g_autofree char *text = g_strdup_printf (format, none[i], none[i]);

      ck_assert_int_eq (cf_platform_policy_parse (text, strlen (text), &p),
                        CF_OK);
      ck_assert_ptr_null (cf_policy_route (p, "h", "/x/")->home_regions);
      ck_assert_uint_eq (g_hash_table_size (p->org_home_regions), 0);
      cf_policy_unref (p);
    }
  for (gsize i = 0; i < 2 * G_N_ELEMENTS (bad); i++)
    {
      g_autofree char *text = g_strdup_printf (format, i % 2 ? bad[i / 2] : "",
                                               i % 2 ? "" : bad[i / 2]);

      ck_assert_int_eq (cf_platform_policy_parse (text, strlen (text), &p),
                        CF_ERR_RECORD);
    }
  {
    g_autofree char *text = g_strdup_printf (format, some, some);

    ck_assert_int_eq (cf_platform_policy_parse (text, strlen (text), &p),
                      CF_OK);
    ck_assert_str_eq (cf_policy_route (p, "h", "/x/")->home_regions[1], "r2");
    ck_assert_str_eq (
        ((char **)g_hash_table_lookup (p->org_home_regions, "t"))[0], "r1");
    cf_policy_unref (p);
  }
  ck_assert_int_eq (cf_platform_settings_parse ("ip=1.2.3.4\napp=1.2.3.4:5\n"
                                                "zones.dc1=r1\nzones.dc2=\n",
                                                CF_ROLE_RANK_AGENT, &s),
                    CF_OK);
  ck_assert_str_eq (g_hash_table_lookup (s.regions, "dc1"), "r1");
  ck_assert_uint_eq (g_hash_table_size (s.regions), 1);
  cf_platform_settings_clear (&s);
}
END_TEST

/* A rate of 0 is stated; a missing one is not. */
START_TEST (warmup_is_parsed)
{
  static const struct
  {
    const char *fields;
    gboolean is_set;
    gint64 thousandths;
  } cases[] = {
    { "", FALSE, 0 },
    { ",\"cold-per-s\":null", FALSE, 0 },
    { ",\"cold-per-s\":0.0", TRUE, 0 },
    { ",\"cold-per-s\":32.5,\"cold-start-s\":3", TRUE, 32500 },
  };
  static const char *const bad_headers[]
      = { NULL, "", "-1", "1.5", "x", "99999999999999999999", "86400001" };
  CfPolicy *p;

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\"%s}]}",
          cases[i].fields);
      const CfService *sv;

      ck_assert_int_eq (cf_platform_policy_parse (text, strlen (text), &p),
                        CF_OK);
      sv = cf_policy_service (p, "s");
      ck_assert_int_eq (sv->warmup_thousandths_per_s.is_set, cases[i].is_set);
      ck_assert_int_eq (sv->warmup_thousandths_per_s.value,
                        cases[i].thousandths);
      cf_policy_unref (p);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (bad_headers); i++)
    ck_assert (!cf_platform_parse_warmup (bad_headers[i]).is_set);
  ck_assert (cf_platform_parse_warmup ("0").is_set);
  ck_assert_int_eq (cf_platform_parse_warmup ("2500").value, 2500);
}
END_TEST

START_TEST (configuration_is_parsed)
{
  CfPolicy *p;
  const CfRoute *r;
  guint first = 0;

  ck_assert_int_eq (cf_platform_policy_parse (config, strlen (config), &p),
                    CF_OK);
  ck_assert_int_eq (p->version, 7);
  r = cf_policy_route (p, "H.example:80", "/x/1?q=/x/y/");
  ck_assert_str_eq (r->name, "a");
  ck_assert_int_eq (r->retry_safety, CF_RETRY_RESUMABLE);
  ck_assert (r->stream);
  for (guint i = 0; i < 1000; i++)
    first += strcmp (cf_route_pick (r, i), "s1") == 0;
  ck_assert_uint_eq (first, 900);
  r = cf_policy_route (p, "h.example", "/x/y/z");
  ck_assert_str_eq (r->name, "b");
  ck_assert_int_eq (r->retry_safety, CF_RETRY_UNSAFE);
  ck_assert (r->keyless);
  ck_assert_ptr_null (cf_policy_route (p, "h.example", "/xx/"));
  ck_assert_ptr_null (cf_policy_route (p, "other", "/x/1"));
  ck_assert_ptr_null (cf_policy_route (p, "h.example", "/x"));
  ck_assert_str_eq (g_hash_table_lookup (p->org_by_api_key, "k2"), "t");
  ck_assert_int_eq (cf_policy_service (p, "s1")->engine.experts, 64);
  ck_assert_double_eq (cf_policy_service (p, "s1")->engine.slots, 12);
  ck_assert_double_eq_tol (cf_policy_service (p, "s1")->engine.copy_ms, 7.56,
                           0.01);
  ck_assert_int_eq (p->limits.max_header_bytes, 100);
  cf_policy_unref (p);
}
END_TEST

/* The order by priority and the pass limit change nothing for services whose
 * routes all have the same priority. */
START_TEST (services_with_several_priorities_are_known)
{
  static const char text[]
      = "{\"version\":1,\"routes\":["
        "{\"host\":\"h\",\"prefix\":\"/a/\",\"kind\":\"safe\",\"priority\":0,"
        "\"service\":\"s1\"},"
        "{\"host\":\"h\",\"prefix\":\"/b/\",\"kind\":\"safe\",\"priority\":0,"
        "\"service\":\"s1\"},"
        "{\"host\":\"h\",\"prefix\":\"/c/\",\"kind\":\"safe\",\"priority\":1,"
        "\"service\":\"s2\"},"
        "{\"host\":\"h\",\"prefix\":\"/d/\",\"kind\":\"safe\",\"priority\":2,"
        "\"service\":\"s2\"}],\"services\":[{\"name\":\"s1\"}]}";
  CfPolicy *p;

  ck_assert_int_eq (cf_platform_policy_parse (text, strlen (text), &p), CF_OK);
  ck_assert (!cf_policy_has_urgency_levels (p, "s1"));
  ck_assert (cf_policy_has_urgency_levels (p, "s2"));
  ck_assert (!cf_policy_has_urgency_levels (p, "s3"));
  cf_policy_unref (p);
}
END_TEST

START_TEST (invalid_configurations_are_rejected)
{
  const char *const bad[] = {
    "",
    "{",
    "[]",
    "{\"version\":1}",
    "{\"version\":\"x\",\"routes\":[]}",
    "{\"version\":1,\"routes\":[{\"host\":\"h\",\"kind\":\"safe\"}]}",
    "{\"version\":1,\"routes\":[{\"prefix\":\"/a/\",\"kind\":\"safe\"}]}",
    "{\"version\":1,\"routes\":[{\"host\":\"h\",\"prefix\":\"/a/\"}]}",
    "{\"version\":1,\"routes\":[{\"host\":\"h\",\"prefix\":\"/a/\","
    "\"kind\":\"safe\"}]}",
    "{\"version\":1,\"routes\":[],\"services\":[{}]}",
    "{\"version\":1,\"routes\":[],\"tenants\":[{\"api-keys\":[\"k\"]}]}",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      CfPolicy *p;

      ck_assert_int_eq (cf_platform_policy_parse (bad[i], strlen (bad[i]), &p),
                        CF_ERR_RECORD);
      ck_assert_ptr_null (p);
      ck_assert_ptr_nonnull (strstr (cf_last_error (), "remedy"));
    }
}
END_TEST

START_TEST (store_replies_are_parsed)
{
  const char text[] = "{\"events\":[{\"key\":\"servers/i-1\",\"value\":"
                      "\"e30=\",\"rev\":5},{\"key\":\"servers/i-2\",\"rev\":"
                      "6,\"removed\":true}],\"as-of\":6,\"has-more\":true}";
  CfStoreReply r;
  const CfStoreItem *it;
  gsize n;

  ck_assert_int_eq (cf_platform_store_parse_reply (text, strlen (text), &r),
                    CF_OK);
  ck_assert_int_eq (r.as_of, 6);
  ck_assert (r.more);
  it = r.items->pdata[0];
  ck_assert_str_eq (cf_platform_target_id_from_key (it->key), "i-1");
  ck_assert_str_eq (g_bytes_get_data (it->value, &n), "{}");
  it = r.items->pdata[1];
  ck_assert_ptr_null (it->value);
  cf_store_reply_clear (&r);
  ck_assert_int_eq (cf_platform_store_parse_reply ("{}", 2, &r), CF_ERR_PROTO);
  ck_assert_int_eq (
      cf_platform_store_parse_reply ("{\"items\":[{}],\"as-of\":1}", 24, &r),
      CF_ERR_PROTO);
}
END_TEST

START_TEST (target_records_are_parsed)
{
  const char text[]
      = "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"dc\",\"version\":"
        "\"v1\",\"slots\":12,\"state\":\"draining\",\"cold-left-ms\":0,"
        "\"seq\":4,\"born\":1783022913149}";
  CfTargetRecord r;

  ck_assert_int_eq (cf_platform_target_parse ("i-1", text, strlen (text), &r),
                    CF_OK);
  ck_assert_str_eq (r.id, "i-1");
  ck_assert (r.leaving);
  ck_assert_int_eq (r.slots, 12);
  ck_assert_int_eq (r.incarnation, 1783022913149);
  cf_target_record_clear (&r);
  ck_assert_int_eq (cf_platform_target_parse ("i-1", "{}", 2, &r),
                    CF_ERR_RECORD);
}
END_TEST

/* Any client of the store can write a record: it is accepted as a whole or not
 * at all. */
START_TEST (invalid_target_records_are_rejected)
{
  const struct
  {
    const char *field; /* the invalid field */
    const char *value; /* its value; NULL: missing */
  } cases[] = {
    { "service", NULL },
    { "service", "7" },
    { "service", "\"\"" },
    { "service", "\"a\\u0000b\"" },
    { "addr", NULL },
    { "addr", "[\"1.2.3.4:5\"]" },
    { "zone", NULL },
    { "zone", "null" },
    { "version", NULL },
    { "version", "1" },
    { "slots", NULL },
    { "slots", "\"12\"" },
    { "slots", "0" },
    { "slots", "-3" },
    { "slots", "1e30" },
    { "slots", "4000000000" },
    { "slots", "12.5" },
    { "state", NULL },
    { "state", "\"retired\"" },
    { "state", "true" },
    { "cold-left-ms", "-1" },
    { "cold-left-ms", "\"0\"" },
    { "seq", NULL },
    { "seq", "99999999999999999999999" },
    { "born", "0" },
    { "born", "-5" },
    { "born", "1.5" },
    { "born", "\"1783022913149\"" },
    { "born", "null" },
    { "slots", "3,\"slots\":4" },
  };
  const char *const good[][2]
      = { { "service", "\"s\"" },     { "addr", "\"1.2.3.4:5\"" },
          { "zone", "\"dc\"" },       { "version", "\"v1\"" },
          { "slots", "12" },          { "state", "\"ready\"" },
          { "cold-left-ms", "0" },    { "seq", "4" },
          { "born", "1783022913149" } };
  CfTargetRecord r;

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *o = g_string_new ("{");

      for (gsize f = 0; f < G_N_ELEMENTS (good); f++)
        {
          gboolean invalid = strcmp (good[f][0], cases[i].field) == 0;
          const char *v = invalid ? cases[i].value : good[f][1];

          if (v)
            g_string_append_printf (o, "%s\"%s\":%s", o->len > 1 ? "," : "",
                                    good[f][0], v);
        }
      g_string_append_c (o, '}');
      ck_assert_msg (cf_platform_target_parse ("i-1", o->str, o->len, &r)
                         == CF_ERR_RECORD,
                     "accepted: %s", o->str);
      ck_assert_ptr_null (r.id);
      ck_assert_ptr_null (r.service);
      ck_assert_ptr_nonnull (strstr (cf_last_error (), "remedy"));
      g_string_free (o, TRUE);
    }
  ck_assert_int_eq (cf_platform_target_parse ("i-1", "\xff\xfe{", 3, &r),
                    CF_ERR_RECORD);
  ck_assert_int_eq (cf_platform_target_parse ("i-1", "[]", 2, &r),
                    CF_ERR_RECORD);
}
END_TEST

START_TEST (ids_are_safe_in_headers_and_paths)
{
  const char *const bad[]
      = { "servers/",         "servers/a/b",       "servers/../x",
          "servers/a b",      "servers/a\r\nX: 1", "servers/.hidden",
          "servers/\xc3\xa9", "op/config" };
  g_autofree char *id = g_strnfill (201, 'x');
  g_autofree char *too_long = g_strconcat ("servers/", id, NULL);

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    ck_assert_msg (!cf_platform_target_id_from_key (bad[i]), "accepted: %s",
                   bad[i]);
  ck_assert_ptr_null (cf_platform_target_id_from_key (too_long));
  ck_assert_str_eq (cf_platform_target_id_from_key ("servers/i-7f3a.x_1:2"),
                    "i-7f3a.x_1:2");
}
END_TEST

/* An unreadable value does not affect the other items. */
START_TEST (values_that_are_not_base64_are_unreadable)
{
  const char text[]
      = "{\"items\":[{\"key\":\"servers/a\",\"value\":\"e3\",\"rev\":5},"
        "{\"key\":\"servers/b\",\"value\":\"e*0=\",\"rev\":6},"
        "{\"key\":\"servers/c\",\"value\":7,\"rev\":7},"
        "{\"key\":\"servers/d\",\"rev\":8},"
        "{\"key\":\"servers/e\",\"value\":\"e30=\",\"rev\":9}],\"as-of\":9}";
  CfStoreReply r;

  ck_assert_int_eq (cf_platform_store_parse_reply (text, strlen (text), &r),
                    CF_OK);
  ck_assert_uint_eq (r.items->len, 5);
  for (guint i = 0; i < r.items->len; i++)
    {
      const CfStoreItem *it = r.items->pdata[i];

      ck_assert_int_eq (it->unreadable, i < 4);
      ck_assert_int_eq (it->value != NULL, i == 4);
    }
  cf_store_reply_clear (&r);
}
END_TEST

START_TEST (invalid_rank_reports_counts_and_lists_are_rejected)
{
  const char *const reports[] = {
    "[]",
    "{\"group\":7}",
    "{\"group\":{\"name\":\"g\",\"epoch\":-1,\"rank\":0,\"state\":\"open\"},"
    "\"size\":8}",
    "{\"group\":{\"name\":\"g\",\"epoch\":1,\"rank\":8,\"state\":\"open\"},"
    "\"size\":8}",
    "{\"group\":{\"name\":\"g\",\"epoch\":1,\"rank\":0,\"state\":\"open\"},"
    "\"size\":2000000000}",
    "{\"step\":\"9\"}",
    "{\"held\":-1}",
    "{\"pace\":1e300}",
    "{\"pace\":\"1\"}",
    "{\"born\":1.0}",
  };
  const char *const counts[] = { "{}",
                                 "{\"counts\":7}",
                                 "{\"counts\":[1,-1]}",
                                 "{\"counts\":[1.5]}",
                                 "{\"counts\":[[[1]]]}",
                                 "{\"counts\":[1],\"born\":\"x\"}",
                                 "{\"counts\":[1],\"born\":0}",
                                 "{\"counts\":[1],\"epoch\":1.5}",
                                 "{\"counts\":[1],\"step\":-1}" };
  const char *const lists[]
      = { "{}", "{\"map\":{\"version\":1,\"experts\":[[-1]]}}",
          "{\"map\":{\"version\":-1,\"experts\":[[1]]}}",
          "{\"map\":{\"version\":1,\"experts\":[1]}}" };
  CfExpertReading r;
  CfRankStatus s;
  gint64 n;
  GArray *a;

  for (gsize i = 0; i < G_N_ELEMENTS (reports); i++)
    ck_assert_msg (
        cf_platform_rank_parse_report (reports[i], strlen (reports[i]), &s)
            == CF_ERR_PROTO,
        "accepted: %s", reports[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      ck_assert_msg (
          cf_platform_rank_parse_counts (counts[i], strlen (counts[i]), &r)
              == CF_ERR_PROTO,
          "accepted: %s", counts[i]);
      ck_assert_ptr_null (r.counts);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (lists); i++)
    ck_assert_msg (
        cf_platform_rank_parse_lists (lists[i], strlen (lists[i]), &n, &a)
            == CF_ERR_PROTO,
        "accepted: %s", lists[i]);
}
END_TEST

/* A field that a rank leaves out is not set; it is not 0. */
START_TEST (fields_missing_in_rank_answers_are_not_set)
{
  static const char *const counts[] = {
    "{\"counts\":[]}",
    "{\"counts\":[],\"born\":null,\"epoch\":null,\"step\":null}",
  };
  static const char report[] = "{\"born\":null,\"pace\":null}";
  CfExpertReading r;
  CfRankStatus s;

  for (gsize i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      ck_assert_int_eq (
          cf_platform_rank_parse_counts (counts[i], strlen (counts[i]), &r),
          CF_OK);
      ck_assert (!r.incarnation.is_set && !r.epoch.is_set && !r.step.is_set);
      cf_expert_reading_clear (&r);
    }
  ck_assert_int_eq (cf_platform_rank_parse_report (report, strlen (report), &s),
                    CF_OK);
  ck_assert (!s.incarnation.is_set);
  ck_assert_double_eq (s.slowdown, 1);
}
END_TEST

START_TEST (rank_reports_are_parsed_and_orders_built)
{
  const char report[]
      = "{\"running\":3,\"waiting\":1,\"group\":{\"name\":\"g\",\"epoch\":2,"
        "\"rank\":1,\"state\":\"open\"},\"size\":16,\"step\":9,\"map\":4,"
        "\"prepared\":5,\"armed\":0,\"held\":11,\"born\":1783022913149}";
  const char lists[] = "{\"map\":{\"version\":4,\"experts\":[[0,2],[1]]}}";
  const char counts[] = "{\"step\":1,\"counts\":[[1,2],[3,4]],"
                        "\"born\":1783022913149}";
  const CfGroupShape shape
      = { .sets = 1, .experts = 2, .ranks = 2, .places = 2, .spare = 1 };
  CfGroupMap *m = cf_group_map_new (&shape);
  CfRankOrder o = { .kind = CF_ORDER_PREPARE, .version = 8, .map = m };
  CfRankStatus s;
  GArray *a;
  gint64 version;
  CfExpertReading r;
  char *json;

  ck_assert_int_eq (cf_platform_rank_parse_report (report, strlen (report), &s),
                    CF_OK);
  ck_assert_str_eq (s.group, "g");
  ck_assert_int_eq (s.size, 16);
  ck_assert_int_eq (s.held, 11);
  ck_assert (s.open);
  ck_assert (s.incarnation.is_set);
  ck_assert_int_eq (s.incarnation.value, 1783022913149);
  ck_assert_int_eq (
      cf_platform_rank_parse_lists (lists, strlen (lists), &version, &a),
      CF_OK);
  ck_assert_int_eq (version, 4);
  ck_assert_uint_eq (a->len, 5);
  ck_assert_int_eq (g_array_index (a, gint64, 2), -1);
  g_array_unref (a);
  ck_assert_int_eq (cf_platform_rank_parse_counts (counts, strlen (counts), &r),
                    CF_OK);
  ck_assert_int_eq (r.incarnation.value, 1783022913149);
  ck_assert (r.step.is_set && !r.epoch.is_set);
  ck_assert_uint_eq (r.counts->len, 4);
  cf_expert_reading_clear (&r);
  cf_group_map_row (m, 0, 0)[0] = 1;
  cf_group_map_row (m, 0, 1)[0] = 0;
  cf_group_map_row (m, 0, 1)[1] = 1;
  o.epoch = 2;
  o.fence = 9;
  json = cf_platform_rank_build_order_body (&o);
  ck_assert_str_eq (json, "{\"op\":\"prepare\",\"epoch\":2,\"fence\":9,"
                          "\"version\":8,\"map\":[[[1],[0,1]]]}");
  g_free (json);
  o.kind = CF_ORDER_HOLD;
  o.step = 30;
  json = cf_platform_rank_build_order_body (&o);
  ck_assert_str_eq (json,
                    "{\"op\":\"hold\",\"epoch\":2,\"fence\":9,\"step\":30}");
  g_free (json);
  cf_group_map_free (m);
  ck_assert_int_eq (cf_platform_rank_ack_from_status (412), CF_RANK_ACK_FENCED);
  ck_assert_int_eq (cf_platform_rank_ack_from_status (0), CF_RANK_ACK_UNKNOWN);
}
END_TEST

/* Agents may build the same map from different base maps, so that its rows list
 * their experts in different orders.  The orders to the ranks are identical. */
START_TEST (orders_do_not_depend_on_the_order_of_experts_in_a_row)
{
  const CfGroupShape shape
      = { .sets = 1, .experts = 9, .ranks = 1, .places = 4, .spare = 1 };
  const gint16 rows[2][4] = { { 7, -1, 2, 5 }, { 5, 7, -1, 2 } };
  char *json[2];

  for (int i = 0; i < 2; i++)
    {
      CfGroupMap *m = cf_group_map_new (&shape);
      CfRankOrder o = { .kind = CF_ORDER_PREPARE, .version = 8, .map = m };

      memcpy (cf_group_map_row (m, 0, 0), rows[i], sizeof rows[i]);
      json[i] = cf_platform_rank_build_order_body (&o);
      cf_group_map_free (m);
    }
  ck_assert_str_eq (json[0], json[1]);
  ck_assert_ptr_nonnull (strstr (json[0], "[[[2,5,7]]]"));
  g_free (json[0]);
  g_free (json[1]);
}
END_TEST

START_TEST (headers_are_recognized_and_forwarded)
{
  GString *out = g_string_new (NULL);
  const CfForwardHeaders h = { 120, "i-1", "org", 4 };

  ck_assert_int_eq (cf_platform_header_kind ("authorization", 13),
                    CF_HDR_API_KEY);
  ck_assert_int_eq (cf_platform_header_kind ("X-Other", 7), CF_HDR_OTHER);
  ck_assert_str_eq (cf_platform_parse_api_key ("token  k1"), "k1");
  ck_assert_ptr_null (cf_platform_parse_api_key ("Basic k1"));
  cf_platform_append_forward_headers (out, &h);
  ck_assert_str_eq (out->str, "Comfreypost-Deadline-Ms: 120\r\n"
                              "Comfreypost-Expect-Instance: i-1\r\n"
                              "Comfreypost-Tenant: org\r\n"
                              "Last-Event-Id: 4\r\n");
  g_string_free (out, TRUE);
}
END_TEST

START_TEST (rate_limits_are_parsed)
{
  const struct
  {
    const char *value;
    double rate;
  } cases[] = { { "1.1", 1.1 }, { " 20", 20 },    { NULL, 0 }, { "", 0 },
                { "many", 0 },  { "0", 0 },       { "-3", 0 }, { "inf", 0 },
                { "nan", 0 },   { "1e-3", 0.001 } };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (cf_platform_parse_rate_limit (cases[i].value)
                       == cases[i].rate,
                   "case %zu", i);
}
END_TEST

START_TEST (only_positive_decimal_retry_after_is_accepted)
{
  const struct
  {
    const char *value;
    double seconds;
  } cases[] = { { "3", 3 },
                { "0.25", 0.25 },
                { "7.", 7 },
                { "0", 0 },
                { NULL, 0 },
                { "", 0 },
                { "-3", 0 },
                { ".5", 0 },
                { "1e3", 0 },
                { "0x10", 0 },
                { "3, 9", 0 },
                { "soon", 0 },
                { "inf", 0 },
                { "nan", 0 },
                { "Thu, 03 Dec 2026 08:00:00 GMT", 0 },
                { "100000000000000000000", 1e20 } };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (cf_platform_parse_retry_after (cases[i].value)
                       == cases[i].seconds,
                   "case %zu", i);
}
END_TEST

START_TEST (only_one_value_says_that_a_target_leaves)
{
  const char *others[] = { NULL, "", "0", "-1", "1.0", "11", "true", "1e0" };

  ck_assert (cf_platform_parse_leaving ("1"));
  for (gsize i = 0; i < G_N_ELEMENTS (others); i++)
    ck_assert_msg (!cf_platform_parse_leaving (others[i]), "case %zu", i);
}
END_TEST

START_TEST (shared_prompt_parts_are_parsed)
{
  static const struct
  {
    const char *value;
    guint n;
  } cases[] = {
    { NULL, 0 },
    { "", 0 },
    { "5c1e:800", 0 },
    { "5c1e:800,91BD3F06:410,e4402b7d:250", 2 },
    { "5c1e:800, 91bd:410,e4:1", 2 },
    { "a:1,b:2,c:3,d:4,e:5,f:6", 4 },
    { "5c1e:800,", 0 },
    { "5c1e:800,,e4:1", 0 },
    { ",5c1e:800", 0 },
    { "5c1e,91bd:410,e4:1", 0 },
    { "5c1e:,91bd:410", 0 },
    { "5c1e:-1,91bd:410", 0 },
    { "xyz:1,91bd:410", 0 },
    { "5c1e:800,91bd:410x", 0 },
    { "00000000000000000000000000000000:1,1:1", 1 },
    { "000000000000000000000000000000000:1,1:1", 0 },
  };
  CfPromptPart parts[4];

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (cf_platform_parse_shared_parts (cases[i].value, parts, 4)
                       == cases[i].n,
                   "case %zu", i);
  cf_platform_parse_shared_parts (cases[3].value, parts, 4);
  ck_assert_str_eq (parts[0].id, "5c1e");
  ck_assert_str_eq (parts[1].id, "91bd3f06");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("platform");
  TCase *t = tcase_create ("platform");

  tcase_add_test (t, settings_are_parsed);
  tcase_add_test (t, unused_settings_are_ignored);
  tcase_add_test (t, invalid_settings_name_the_field);
  tcase_add_test (t, configuration_is_parsed);
  tcase_add_test (t, services_with_several_priorities_are_known);
  tcase_add_test (t, homes_and_regions_are_parsed);
  tcase_add_test (t, warmup_is_parsed);
  tcase_add_test (t, shared_prompt_parts_are_parsed);
  tcase_add_test (t, invalid_configurations_are_rejected);
  tcase_add_test (t, store_replies_are_parsed);
  tcase_add_test (t, target_records_are_parsed);
  tcase_add_test (t, invalid_target_records_are_rejected);
  tcase_add_test (t, ids_are_safe_in_headers_and_paths);
  tcase_add_test (t, values_that_are_not_base64_are_unreadable);
  tcase_add_test (t, invalid_rank_reports_counts_and_lists_are_rejected);
  tcase_add_test (t, fields_missing_in_rank_answers_are_not_set);
  tcase_add_test (t, rank_reports_are_parsed_and_orders_built);
  tcase_add_test (t, orders_do_not_depend_on_the_order_of_experts_in_a_row);
  tcase_add_test (t, headers_are_recognized_and_forwarded);
  tcase_add_test (t, rate_limits_are_parsed);
  tcase_add_test (t, only_one_value_says_that_a_target_leaves);
  tcase_add_test (t, only_positive_decimal_retry_after_is_accepted);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
