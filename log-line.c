#include "log-line.h"

#include <string.h>

const char *
cf_log_line_event (const char *line)
{
  const char *at = strstr (line, "]: E");

  return at ? at + strlen ("]: ") : NULL;
}

char *
cf_log_line_field (const char *line, const char *name)
{
  g_autofree char *key = g_strconcat (" ", name, "=", NULL);
  const char *at = strstr (line, key);

  if (!at)
    return NULL;
  at += strlen (key);
  if (*at == '"')
    return g_strndup (at + 1, strcspn (at + 1, "\""));
  return g_strndup (at, strcspn (at, " \n"));
}

double
cf_log_line_number (const char *line, const char *name, double missing)
{
  g_autofree char *text = cf_log_line_field (line, name);

  return text ? g_ascii_strtod (text, NULL) : missing;
}
