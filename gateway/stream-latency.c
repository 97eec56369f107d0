#include "stream-latency.h"

#include <math.h>

/** EWMA weight of a new event: at some 1,000 events per second, the mean covers
 * about the last 0.1 s, one or two passes of all streams. */
#define EVENT_EWMA_WEIGHT 0.01
/** EWMA weight of a new first event: the mean covers about the last 16. */
#define FIRST_EVENT_EWMA_WEIGHT 0.06
/** Five of six first events come within the mean plus this many mean
 * deviations. */
#define FIRST_EVENT_DEVIATIONS 1.5
/** Assumed batch size of an engine until its pass time has been observed. */
#define TYPICAL_BATCH 8
/** Safety factor for passes that get slower during a stream, as more streams
 * arrive, experts are copied or demand shifts: 70 ms passes may become 105 ms.
 */
#define TOTAL_MARGIN 1.5
/** Length of a window of the slowest pause; the last two windows count.  It is
 * longer than the lull while gateways are restarted one after another, each for
 * some 8 s, and refuse requests that they could not complete: in such a lull,
 * 40 ms passes become 25 ms, and 52 ms after it. */
#define WINDOW_MS 15000L
/** Longer pauses are stalls rather than slow passes: a rank that is five times
 * slower makes passes of 300 to 500 ms, while a group with a rank missing
 * stalls for 1.5 s or more. */
#define MAX_PASS_MS 1000
/** Cap for estimates, longer than any timeout. */
#define MAX_TOTAL_MS 1e9

/** A target that sends nothing for this many mean pauses is stalled.  All
 * streams of a target write in the same pass, so even the least loaded target
 * sends something each pass; processing a prompt alone takes two or three. */
#define STALL_PAUSES 4
/** Minimum stall timeout: under light load, 40 ms passes and the processing of
 * a long prompt. */
#define MIN_STALL_MS 300

static void
update_ewma (double *mean, double value, double weight)
{
  *mean = *mean > 0 ? *mean + (value - *mean) * weight : value;
}

static void
update_slowest (CfStreamLatency *l, gint64 now)
{
  if (now - l->window_start_ms >= WINDOW_MS)
    {
      l->slowest_pause_ms[1] = now - l->window_start_ms < 2 * WINDOW_MS
                                   ? l->slowest_pause_ms[0]
                                   : 0;
      l->slowest_pause_ms[0] = 0;
      l->window_start_ms = now;
    }
  l->slowest_pause_ms[0] = MAX (l->slowest_pause_ms[0], l->unstalled_pause_ms);
}

void
cf_stream_latency_add_event (CfStreamLatency *l, gint64 now, gint64 pause_ms)
{
  if (pause_ms <= MAX_PASS_MS)
    {
      update_ewma (&l->unstalled_pause_ms, (double)pause_ms, EVENT_EWMA_WEIGHT);
      update_slowest (l, now);
    }
  update_ewma (&l->pause_ms, (double)pause_ms, EVENT_EWMA_WEIGHT);
}

void
cf_stream_latency_add_first_event (CfStreamLatency *l, gint64 ms)
{
  double deviation = l->first_ms > 0 ? fabs ((double)ms - l->first_ms) : 0;

  update_ewma (&l->first_ms, (double)ms, FIRST_EVENT_EWMA_WEIGHT);
  update_ewma (&l->first_deviation_ms, deviation, FIRST_EVENT_EWMA_WEIGHT);
}

gint64
cf_stream_latency_stall_timeout_ms (const CfStreamLatency *l)
{
  return MAX (MIN_STALL_MS, (gint64)(STALL_PAUSES * l->pause_ms));
}

/* Duration of a typical pass of the engine, in which all its streams write one
 * event. */
static double
get_typical_pass_ms (const CfStreamLatency *l, const CfEngineModel *e)
{
  if (l->pause_ms > 0)
    return l->pause_ms;
  return e ? e->stride * (e->step_ms + e->per_seq_ms * TYPICAL_BATCH) : 0;
}

static double
get_prompt_ms (const CfEngineModel *e, const CfStreamSize *size)
{
  return e && e->prompt_tokens_per_ms > 0
             ? (double)size->prompt / e->prompt_tokens_per_ms
             : 0;
}

/* The first event takes the rest of the current pass, the processing of the
 * prompt, and the stream's own first pass. */
double
cf_stream_latency_unqueued_ms (const CfStreamLatency *l, const CfEngineModel *e,
                               const CfStreamSize *size)
{
  double pass = get_typical_pass_ms (l, e);

  return pass > 0 ? 2 * pass + get_prompt_ms (e, size) : 0;
}

gint64
cf_stream_latency_first_event_ms (const CfStreamLatency *l,
                                  const CfEngineModel *e,
                                  const CfStreamSize *size)
{
  if (l->first_ms > 0)
    return (gint64)(l->first_ms
                    + FIRST_EVENT_DEVIATIONS * l->first_deviation_ms);
  return (gint64)cf_stream_latency_unqueued_ms (l, e, size);
}

gint64
cf_stream_latency_typical_total_ms (const CfStreamLatency *l,
                                    const CfEngineModel *e,
                                    const CfStreamSize *size)
{
  double answer;

  if (!e || e->stride < 1)
    return 0;
  answer = e->mean_answer_tokens;
  if (size->answer > 0)
    answer = MIN (answer, (double)size->answer);
  return (gint64)(cf_stream_latency_unqueued_ms (l, e, size)
                  + get_typical_pass_ms (l, e) * answer / e->stride);
}

/* Duration of a pass of an engine with all slots in use. */
static double
get_full_pass_ms (const CfEngineModel *e)
{
  return e->stride
         * (e->step_ms + e->per_seq_ms * MAX (e->slots, TYPICAL_BATCH));
}

/* Duration of the slowest pass to be expected, regardless of a current lull. */
static double
get_slow_pass_ms (const CfStreamLatency *l, const CfEngineModel *e, gint64 now)
{
  gint64 age = now - l->window_start_ms;
  double pass = MAX (get_typical_pass_ms (l, e), get_full_pass_ms (e));

  if (age < 2 * WINDOW_MS)
    pass = MAX (pass, l->slowest_pause_ms[0]);
  if (age < WINDOW_MS)
    pass = MAX (pass, l->slowest_pause_ms[1]);
  return pass;
}

gint64
cf_stream_latency_max_total_ms (const CfStreamLatency *l,
                                const CfEngineModel *e,
                                const CfStreamSize *size, gint64 now)
{
  double answer = (double)size->answer;
  double first;
  double pass;

  if (!e || e->stride < 1)
    return -1;
  pass = TOTAL_MARGIN * get_slow_pass_ms (l, e, now);
  if (pass <= 0)
    return -1;
  if (answer <= 0)
    answer = e->mean_answer_tokens;
  first = MAX ((double)cf_stream_latency_first_event_ms (l, e, size),
               2 * pass + get_prompt_ms (e, size));
  return (gint64)MIN (first + pass * ceil (answer / e->stride), MAX_TOTAL_MS);
}
