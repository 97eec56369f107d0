/* The memory of prompt parts that do not crash targets. */
#include "gateway/sound-parts.h"
#include "harness.h"

static CfRequestDigest
digest_of (int i)
{
  g_autofree char *id = g_strdup_printf ("%x", i);

  return cf_prompt_part_digest (id);
}

START_TEST (part_is_forgotten_after_its_retention)
{
  CfSoundParts *s = cf_sound_parts_new ();
  CfRequestDigest a = digest_of (1);
  CfRequestDigest b = digest_of (2);

  cf_sound_parts_add (s, &a, 1000);
  ck_assert (cf_sound_parts_contains (s, &a, 1000));
  ck_assert (!cf_sound_parts_contains (s, &b, 1000));
  ck_assert (
      cf_sound_parts_contains (s, &a, 1000 + CF_SOUND_PARTS_RETENTION_MS));
  ck_assert (
      !cf_sound_parts_contains (s, &a, 1001 + CF_SOUND_PARTS_RETENTION_MS));
  cf_sound_parts_add (s, &a, 5000);
  ck_assert (
      cf_sound_parts_contains (s, &a, 5000 + CF_SOUND_PARTS_RETENTION_MS));
  cf_sound_parts_free (s);
}
END_TEST

/* Parts of single sessions do not displace one that most prompts share. */
START_TEST (least_recently_seen_part_is_dropped)
{
  CfSoundParts *s = cf_sound_parts_new ();
  CfRequestDigest shared = digest_of (-1);
  CfRequestDigest first = digest_of (0);
  CfRequestDigest last = digest_of (2 * CF_SOUND_PARTS_MAX - 1);

  for (int i = 0; i < 2 * CF_SOUND_PARTS_MAX; i++)
    {
      CfRequestDigest d = digest_of (i);

      cf_sound_parts_add (s, &d, i);
      if (i % 100 == 0)
        cf_sound_parts_add (s, &shared, i);
    }
  ck_assert (cf_sound_parts_contains (s, &shared, 0));
  ck_assert (cf_sound_parts_contains (s, &last, 0));
  ck_assert (!cf_sound_parts_contains (s, &first, 0));
  cf_sound_parts_free (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("sound-parts");
  TCase *t = tcase_create ("all");

  tcase_add_test (t, part_is_forgotten_after_its_retention);
  tcase_add_test (t, least_recently_seen_part_is_dropped);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
