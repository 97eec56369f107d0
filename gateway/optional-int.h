#pragma once

#include <glib.h>

/** CfOptionalInt: a number that its sender may leave out.  A missing number is
 * no number: 0 least of all. */
typedef struct
{
  gboolean is_set;
  gint64 value; /**< defined only if @is_set */
} CfOptionalInt;

/** cf_optional_int_conflict: whether both numbers are known and differ. */
static inline gboolean
cf_optional_int_conflict (CfOptionalInt a, CfOptionalInt b)
{
  return a.is_set && b.is_set && a.value != b.value;
}
