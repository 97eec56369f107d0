#include "fake-text.h"

char *
fake_text_make (const char *target, const char *id, gsize size)
{
  GString *s = g_string_sized_new (size + 128);

  for (int line = 0; s->len < size; line++)
    g_string_append_printf (s, "%s %s line %d\n", target, id, line);
  g_string_truncate (s, size);
  return g_string_free (s, FALSE);
}
