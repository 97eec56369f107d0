#include "pass-record.h"

#include <string.h>

/** Events of one pass arrive within this time, also from another data centre;
 * passes take 50 ms or more. */
#define SAME_PASS_MS 20

double
cf_pass_record_mean_ms (const CfPassRecord *p)
{
  guint n = p->streams - p->begun;

  return n ? (double)p->sum_ms / n : 0;
}

gboolean
cf_pass_record_add (CfPassRecord *p, const CfPassEvent *e, CfPassRecord *done)
{
  gboolean is_new_pass
      = p->began_ms == 0 || e->now_ms - p->began_ms > SAME_PASS_MS;
  gboolean is_previous_done = is_new_pass && p->began_ms != 0;

  if (is_previous_done)
    *done = *p;
  if (is_new_pass)
    {
      memset (p, 0, sizeof *p);
      p->began_ms = e->now_ms;
    }
  p->streams++;
  p->longest_ms = MAX (p->longest_ms, e->pause_ms);
  p->sum_ms += e->pause_ms;
  p->late += e->gap_objective_ms > 0 && e->pause_ms > e->gap_objective_ms;
  if (e->pause_ms == 0)
    {
      p->begun++;
      p->begun_tokens += e->prompt_tokens;
    }
  return is_previous_done;
}
