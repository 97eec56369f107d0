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
/** Longest pause that counts as a pace: a rank at five times its time makes
 * passes of 300 to 500 ms, a group that misses a rank stands still for 1.5 s
 * and more. */
#define PASS_MOST_MS 1000
/** More than any time limit; what is longer is no time to reckon with. */
#define WHOLE_MOST_MS 1e9

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
  p->slowest_ms[0] = MAX (p->slowest_ms[0], p->steady_ms);
}

void
cf_pace_event (CfPace *p, gint64 now, gint64 pause_ms)
{
  if (pause_ms <= PASS_MOST_MS)
    {
      blend (&p->steady_ms, (double)pause_ms, EVENT_WEIGHT);
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
  return MAX (STALL_LEAST_MS, (gint64)(STALL_PAUSES * p->pause_ms));
}

/* A pass of the engine: all its streams write one event in it. */
static double
usual_pass_ms (const CfPace *p, const CfEngineModel *e)
{
  if (p->pause_ms > 0)
    return p->pause_ms;
  return e ? e->stride * (e->step_ms + e->per_seq_ms * USUAL_BATCH) : 0;
}

static double
read_ms (const CfEngineModel *e, const CfStreamSize *size)
{
  return e && e->prompt_tokens_per_ms > 0
             ? (double)size->prompt / e->prompt_tokens_per_ms
             : 0;
}

/* The pass that is under way, the prompt, and its own first pass. */
double
cf_pace_unqueued_ms (const CfPace *p, const CfEngineModel *e,
                     const CfStreamSize *size)
{
  double pass = usual_pass_ms (p, e);

  return pass > 0 ? 2 * pass + read_ms (e, size) : 0;
}

gint64
cf_pace_first_ms (const CfPace *p, const CfEngineModel *e,
                  const CfStreamSize *size)
{
  if (p->first_ms > 0)
    return (gint64)(p->first_ms + FIRST_DEVIATIONS * p->first_dev_ms);
  return (gint64)cf_pace_unqueued_ms (p, e, size);
}

gint64
cf_pace_usual_whole_ms (const CfPace *p, const CfEngineModel *e,
                        const CfStreamSize *size)
{
  double answer;

  if (!e || e->stride < 1)
    return 0;
  answer = e->mean_answer_tokens;
  if (size->answer > 0)
    answer = MIN (answer, (double)size->answer);
  return (gint64)(cf_pace_unqueued_ms (p, e, size)
                  + usual_pass_ms (p, e) * answer / e->stride);
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
  double pass = MAX (usual_pass_ms (p, e), full_pass_ms (e));

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
  double first;
  double pass;

  if (!e || e->stride < 1)
    return -1;
  pass = WHOLE_MARGIN * slow_pass_ms (p, e, now);
  if (pass <= 0)
    return -1;
  if (answer <= 0)
    answer = e->mean_answer_tokens;
  first = MAX ((double)cf_pace_first_ms (p, e, size),
               2 * pass + read_ms (e, size));
  return (gint64)MIN (first + pass * ceil (answer / e->stride), WHOLE_MOST_MS);
}
