#include "pace.h"

#include <math.h>

/** Weight of a new event: with some 1,000 events a second, the mean of about
 * the last 0.1 s, one or two passes of all streams. */
#define EVENT_WEIGHT 0.01
/** Weight of a new first event: the mean of about the last 16. */
#define FIRST_WEIGHT 0.06
/** Deviations beyond the mean that five of six stay within. */
#define FIRST_DEVIATIONS 1.5
/** Streams that an engine works on at once, until its pace is seen. */
#define USUAL_BATCH 8
/** Pauses grow while more streams come, experts are copied or demand shifts:
 * by half where passes of 70 ms became 105 ms. */
#define WHOLE_MARGIN 1.5
/** The slowest pace of so long is remembered, twice: longer than the lull in
 * which gateways that are stopped in turn, each for some 8 s, refuse what they
 * will not end.  Passes of 40 ms became 25 in one, then 52. */
#define SPAN_MS 15000L

/** Pauses that a target may take without standing still.  Streams of one
 * target all write in the same pass, so the least loaded one shows a sign
 * each pass; a prompt that is read alone takes two or three. */
#define STALL_PAUSES 4
/** Under light load, passes of 40 ms and the reading of a long prompt. */
#define STALL_LEAST_MS 300

static void
blend (double *mean, double value, double weight)
{
  *mean = *mean > 0 ? *mean + (value - *mean) * weight : value;
}

/* What is no pass any more, where they take @pass_ms. */
static gint64
stall_ms (double pass_ms)
{
  return MAX (STALL_LEAST_MS, (gint64)(STALL_PAUSES * pass_ms));
}

static void
remember_slowest (CfPace *p, gint64 now)
{
  if (now - p->span_at_ms >= SPAN_MS)
    {
      p->slowest_ms[1]
          = now - p->span_at_ms < 2 * SPAN_MS ? p->slowest_ms[0] : 0;
      p->slowest_ms[0] = 0;
      p->span_at_ms = now;
    }
  p->slowest_ms[0] = MAX (p->slowest_ms[0], p->pass_ms);
}

void
cf_pace_event (CfPace *p, gint64 now, gint64 pause_ms)
{
  if (pause_ms <= stall_ms (p->pass_ms))
    {
      blend (&p->pass_ms, (double)pause_ms, EVENT_WEIGHT);
      remember_slowest (p, now);
    }
  blend (&p->pause_ms, (double)pause_ms, EVENT_WEIGHT);
}

void
cf_pace_first (CfPace *p, gint64 ms)
{
  double off = p->first_ms > 0 ? fabs ((double)ms - p->first_ms) : 0;

  blend (&p->first_ms, (double)ms, FIRST_WEIGHT);
  blend (&p->first_dev_ms, off, FIRST_WEIGHT);
}

gint64
cf_pace_stall_ms (const CfPace *p)
{
  return stall_ms (p->pause_ms);
}

/* A pass of the engine: all its streams write one event in it. */
static double
pass_ms (const CfPace *p, const CfEngineModel *e)
{
  if (p->pause_ms > 0)
    return p->pause_ms;
  return e ? e->stride * (e->step_ms + e->per_seq_ms * USUAL_BATCH) : 0;
}

gint64
cf_pace_first_ms (const CfPace *p, const CfEngineModel *e,
                  const CfStreamSize *size)
{
  double read
      = e && e->read_per_ms > 0 ? (double)size->prompt / e->read_per_ms : 0;

  if (p->first_ms > 0)
    return (gint64)(p->first_ms + FIRST_DEVIATIONS * p->first_dev_ms);
  /* The pass that is under way, the prompt, and its own first pass. */
  return (gint64)(2 * pass_ms (p, e) + read);
}

/* A pass of an engine whose slots are all taken. */
static double
full_pass_ms (const CfEngineModel *e)
{
  return e->stride * (e->step_ms + e->per_seq_ms * MAX (e->slots, USUAL_BATCH));
}

/* The slowest pass to reckon with: what a lull shows now is left out. */
static double
slow_pass_ms (const CfPace *p, const CfEngineModel *e, gint64 now)
{
  gint64 age = now - p->span_at_ms;
  double pass = MAX (pass_ms (p, e), full_pass_ms (e));

  if (age < 2 * SPAN_MS)
    pass = MAX (pass, p->slowest_ms[0]);
  if (age < SPAN_MS)
    pass = MAX (pass, p->slowest_ms[1]);
  return pass;
}

gint64
cf_pace_whole_ms (const CfPace *p, const CfEngineModel *e,
                  const CfStreamSize *size, gint64 now)
{
  double answer = (double)size->answer;
  double pass;

  if (!e || e->stride < 1)
    return -1;
  pass = WHOLE_MARGIN * slow_pass_ms (p, e, now);
  if (pass <= 0)
    return -1;
  if (answer <= 0)
    answer = e->usual_answer;
  return (gint64)(pass * ceil (answer / e->stride))
         + MAX (cf_pace_first_ms (p, e, size), (gint64)(2 * pass));
}
