#include "rank-agent-parts.h"

#include "log.h"
#include "net.h"
#include "peer-crashes.h"
#include "platform/platform-rank.h"
#include "rank-call.h"
#include "socket.h"

#include <string.h>

/** Read interval while no gateway leads.  All gateways then get the status, so
 * that one soon takes the lead. */
#define NO_LEADER_READ_MS 250
/** Bounds of the read interval that a leader may ask for.  Each read costs
 * 0.2 ms of processor time, so the interval must not be too short. */
#define READ_MIN_MS 50
#define READ_MAX_MS 5000
/** Read interval while the rank copies experts, so that the group can switch
 * soon after the last copy is complete. */
#define COPYING_READ_MS 40
/** The agent stops waiting for a copy that takes longer. */
#define COPY_TIMEOUT_MS 5000
/** Interval at which gateways that do not lead get the status. */
#define STANDBY_STATUS_MS 1000
/** A gateway counts as down if no heartbeat came for this long, three times
 * their interval. */
#define HEARTBEAT_TIMEOUT_MS 1300L
/** Interval between reconnect attempts to seeds while another has a link... */
#define RECONNECT_MS 500
/** ...and while none has.  Until a gateway leads, the group keeps the map that
 * it started with, at a skew of 3 where 1.3 is possible. */
#define ISOLATED_RECONNECT_MS 100
/** Attempts at the shorter interval, 3 s in total: gateways that were killed
 * are back by then, and thousands of agents must not load them for long if
 * they are not. */
#define ISOLATED_RECONNECTS_MAX 30
#define CALL_TIMEOUT_MS 1000

static gboolean
is_alive (const CfSeed *s, gint64 now)
{
  return s->up && s->heartbeat_seen_ms
         && now - s->heartbeat_seen_ms < HEARTBEAT_TIMEOUT_MS;
}

/* Returns a bit mask of the seeds that are alive; bit i is seed i. */
static guint
seeds_up (const CfRankAgent *a, gint64 now)
{
  guint bits = 0;

  for (int i = 0; i < a->n_seeds; i++)
    if (is_alive (&a->seeds[i], now))
      bits |= 1U << i;
  return bits;
}

/* Returns the leader: the live gateway with the highest token; NULL if none. */
static CfSeed *
find_leader (CfRankAgent *a, gint64 now)
{
  CfSeed *best = NULL;

  for (int i = 0; i < a->n_seeds; i++)
    {
      CfSeed *s = &a->seeds[i];

      if (is_alive (s, now) && s->fence > 0
          && (!best || s->fence > best->fence))
        best = s;
    }
  return best;
}

static void
send_status (CfRankAgent *a, GArray *increases)
{
  gint64 now = cf_now_ms ();
  CfSeed *lead = find_leader (a, now);
  CfPeerMsg m = { .kind = CF_PEER_RANK_STATUS };

  m.u.rank_status.status = a->status;
  m.u.rank_status.highest_fence = a->highest_fence;
  m.u.rank_status.seeds_up = seeds_up (a, now);
  m.u.rank_status.leader_fence = lead ? lead->fence : 0;
  m.u.rank_status.readings_dropped = cf_reading_log_total (&a->dropped);
  for (int i = 0; i < a->n_seeds; i++)
    {
      CfSeed *s = &a->seeds[i];

      if (!s->up
          || (lead && s != lead && now - s->status_sent_ms < STANDBY_STATUS_MS))
        continue;
      m.u.rank_status.expert_counts = s == lead ? increases : NULL;
      if (s == lead)
        a->sent_status = a->status;
      s->status_sent_ms = now;
      cf_peer_msg_send (s->link, &m);
    }
}

/* Reads of the rank */

void
cf_rank_agent_schedule_read (CfRankAgent *a, gint64 ms)
{
  ev_timer_stop (a->loop, &a->read_timer);
  ev_timer_set (&a->read_timer, (double)ms / 1000, 0);
  ev_timer_start (a->loop, &a->read_timer);
}

static void
note_rank_reachable (CfRankAgent *a, gboolean answers)
{
  if (a->rank_unreachable == !answers)
    return;
  a->rank_unreachable = !answers;
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL, "target=%s outcome=%s",
          a->settings.target_addr, answers ? "answers-again" : "no-answer");
}

/* The group re-formed or the rank restarted, so no copy is in progress any
 * more.  During a copy the leader is sent only changes; if the copy were not
 * dropped here, the leader could not settle for up to %COPY_TIMEOUT_MS. */
static void
handle_new_epoch (CfRankAgent *a, const CfRankStatus *s)
{
  a->copying_version = 0;
  if (!cf_optional_int_conflict (s->incarnation, a->status.incarnation))
    return;
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL,
          "target=%s outcome=restarted incarnation=%" G_GINT64_FORMAT
          " before=%" G_GINT64_FORMAT,
          a->settings.target_addr, s->incarnation.value,
          a->status.incarnation.value);
}

/* Reports that name no incarnation are of the known one while the epoch lasts:
 * a rank that restarts breaks its group. */
static void
keep_incarnation (const CfRankAgent *a, CfRankStatus *s)
{
  if (a->has_status && !s->incarnation.is_set && s->epoch == a->status.epoch)
    s->incarnation = a->status.incarnation;
}

gboolean
cf_rank_agent_take_report (CfRankAgent *a, int status, const GString *body)
{
  CfRankStatus s;

  note_rank_reachable (a, status == 200);
  if (status != 200)
    return FALSE;
  if (cf_platform_rank_parse_report (body->str, body->len, &s) != CF_OK)
    {
      cf_reading_log_drop (&a->dropped, CF_READING_RANK_REPORT,
                           a->settings.target_addr, cf_last_error (),
                           cf_now_ms ());
      return FALSE;
    }
  keep_incarnation (a, &s);
  if (a->has_status
      && (cf_optional_int_conflict (s.incarnation, a->status.incarnation)
          || s.epoch != a->status.epoch))
    handle_new_epoch (a, &s);
  a->status = s;
  a->has_status = TRUE;
  cf_map_history_set_in_use (&a->maps, s.map);
  if (a->copying_version
      && (s.map == a->copying_version
          || cf_now_ms () - a->copying_since_ms > COPY_TIMEOUT_MS))
    a->copying_version = 0;
  return TRUE;
}

void
cf_rank_agent_track_copy (CfRankAgent *a, gint64 version)
{
  a->copying_version = version;
  a->copying_since_ms = cf_now_ms ();
  cf_rank_agent_schedule_read (a, COPYING_READ_MS);
}

static gint64
read_interval (CfRankAgent *a)
{
  CfSeed *lead = find_leader (a, cf_now_ms ());

  if (!lead)
    return NO_LEADER_READ_MS;
  if (a->copying_version)
    return COPYING_READ_MS;
  return CLAMP (lead->read_interval_ms, READ_MIN_MS, READ_MAX_MS);
}

static void
finish_read (CfRankAgent *a)
{
  a->read_pending = FALSE;
  cf_rank_agent_schedule_read (a, read_interval (a));
}

/* Whether the leader has to learn of a change at once. */
static gboolean
has_urgent_change (const CfRankAgent *a)
{
  const CfRankStatus *s = &a->status;
  const CfRankStatus *t = &a->sent_status;

  return s->map != t->map || s->prepared != t->prepared || s->armed != t->armed
         || s->held != t->held || s->epoch != t->epoch || s->open != t->open
         || cf_optional_int_conflict (s->incarnation, t->incarnation);
}

static void
drop_counts (CfRankAgent *a, const char *reason)
{
  cf_reading_log_drop (&a->dropped, CF_READING_EXPERT_COUNTS,
                       a->settings.target_addr, reason, cf_now_ms ());
}

/* Returns the increases of the counters in an answer; %NULL if it has none that
 * can be used.  The next read repeats both calls. */
static GArray *
take_counts (CfRankAgent *a, int status, const GString *body)
{
  CfExpertReading reading = { 0 };
  GArray *increases = NULL;
  CfReadingOutcome outcome;

  if (status != 200)
    drop_counts (a, status == 0 ? "no answer" : "refused");
  else if (cf_platform_rank_parse_counts (body->str, body->len, &reading)
           != CF_OK)
    drop_counts (a, cf_last_error ());
  else
    {
      outcome = cf_expert_counts_take (&a->counts, &reading, &a->status,
                                       cf_now_ms (), &increases);
      if (cf_reading_outcome_is_drop (outcome))
        drop_counts (a, cf_reading_outcome_name (outcome));
    }
  cf_expert_reading_clear (&reading);
  return increases;
}

static void
on_counts (void *data, int status, const GString *body)
{
  CfRankAgent *a = data;
  GArray *increases = take_counts (a, status, body);

  send_status (a, increases);
  if (increases)
    g_array_unref (increases);
  finish_read (a);
}

static void
on_report (void *data, int status, const GString *body)
{
  CfRankAgent *a = data;
  const CfSeed *lead;

  if (!cf_rank_agent_take_report (a, status, body) || !a->status.group[0])
    {
      finish_read (a);
      return;
    }
  lead = find_leader (a, cf_now_ms ());
  /* A gateway needs the status of the ranks to take the lead.  A leader that
   * waits for a copy has it, and is sent only changes. */
  if (!lead || a->copying_version)
    {
      if (!lead || has_urgent_change (a))
        send_status (a, NULL);
      finish_read (a);
    }
  else
    cf_rank_call (
        a->loop, a->target,
        cf_platform_rank_build_counts_request (a->settings.target_addr),
        CALL_TIMEOUT_MS, on_counts, a);
}

static void
on_read_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfRankAgent *a = t->data;
  gint64 pause_ms = cf_target_pause_ms (a->target, cf_now_ms ());

  if (a->read_pending)
    return;
  if (pause_ms > 0)
    {
      cf_rank_agent_schedule_read (a, pause_ms);
      return;
    }
  if (seeds_up (a, cf_now_ms ()) == 0)
    {
      cf_rank_agent_schedule_read (a, NO_LEADER_READ_MS);
      return;
    }
  a->read_pending = TRUE;
  cf_rank_call (loop, a->target,
                cf_platform_rank_build_report_request (a->settings.target_addr),
                CALL_TIMEOUT_MS, on_report, a);
}

static void
on_lists (void *data, int status, const GString *body)
{
  CfSeed *s = data;
  CfPeerMsg m = { .kind = CF_PEER_LISTS };

  if (status != 200
      || cf_platform_rank_parse_lists (body->str, body->len, &m.u.lists.version,
                                       &m.u.lists.experts)
             != CF_OK)
    {
      cf_reading_log_drop (&s->agent->dropped, CF_READING_EXPERT_LISTS,
                           s->agent->settings.target_addr,
                           status == 200 ? cf_last_error () : "no answer",
                           cf_now_ms ());
      return;
    }
  m.u.lists.epoch = s->agent->status.epoch;
  if (s->up)
    cf_peer_msg_send (s->link, &m);
  cf_peer_msg_clear (&m);
}

/* Links to the gateways */

/* The changes are not forwarded: each gateway notifies all agents itself. */
static void
handle_crashes (CfSeed *s, const CfPeerMsg *m)
{
  char *name = g_strdup_printf ("seed-%d", s->index);

  cf_peer_crashes_merge (s->agent->quarantine, m, name, cf_now_ms ());
  cf_quarantine_discard_changes (s->agent->quarantine);
  g_free (name);
}

static void
on_up (void *owner, CfPeerLink *l)
{
  CfSeed *s = owner;
  CfPeerMsg m = { .kind = CF_PEER_AGENT_HELLO };
  const char *addr = s->agent->settings.target_addr;

  s->up = TRUE;
  s->status_sent_ms = 0;
  m.u.agent_hello.target_addr.data = addr;
  m.u.agent_hello.target_addr.n = strlen (addr);
  cf_peer_msg_send (l, &m);
  cf_peer_crashes_send_all (s->agent->quarantine, l, TRUE, cf_now_ms ());
  /* A gateway needs the status of the ranks to take the lead. */
  if (!s->agent->read_pending)
    cf_rank_agent_schedule_read (s->agent, 0);
  cf_log (LOG_NOTICE, CF_EV_PEER, "seed=%d outcome=up", s->index);
}

static void
on_down (void *owner, CfPeerLink *l)
{
  CfSeed *s = owner;

  if (s->up)
    cf_log (LOG_NOTICE, CF_EV_PEER, "seed=%d outcome=down", s->index);
  s->up = FALSE;
  s->link = NULL;
  s->fence = 0;
}

/* Records a heartbeat.  A higher token fences off earlier leaders from now on.
 * A new leader, and one that asks for a shorter interval, waits for the
 * status, so the rank is read at once. */
static void
handle_heartbeat (CfSeed *s, gint64 fence, gint64 read_interval_ms)
{
  CfRankAgent *a = s->agent;
  gboolean wants_faster = fence > 0 && read_interval_ms < s->read_interval_ms;

  s->heartbeat_seen_ms = cf_now_ms ();
  s->fence = fence;
  s->read_interval_ms = read_interval_ms;
  if (fence <= a->highest_fence)
    {
      if (wants_faster && fence == a->highest_fence && !a->read_pending
          && !a->copying_version)
        cf_rank_agent_schedule_read (a, 0);
      return;
    }
  a->highest_fence = fence;
  /* The copy was ordered by an earlier leader, and the new one does not know
   * the rank's state, so it gets every status. */
  a->copying_version = 0;
  cf_log (LOG_NOTICE, CF_EV_PEER,
          "seed=%d outcome=leads fence=%" G_GINT64_FORMAT, s->index, fence);
  if (!a->read_pending)
    cf_rank_agent_schedule_read (a, 0);
}

static void
on_frame (void *owner, CfPeerLink *l, const char *data, gsize n)
{
  CfSeed *s = owner;
  msgpack_unpacked zone;
  CfPeerMsg m;

  if (cf_peer_msg_unpack (data, n, &zone, &m) != CF_OK)
    cf_log (LOG_WARNING, CF_EV_PEER, "seed=%d outcome=bad error=\"%s\"",
            s->index, cf_last_error ());
  else
    switch (m.kind)
      {
      case CF_PEER_HEARTBEAT:
        handle_heartbeat (s, m.u.heartbeat.fence,
                          m.u.heartbeat.report_interval_ms);
        break;
      case CF_PEER_CRASHES:
        handle_crashes (s, &m);
        break;
      case CF_PEER_ORDER:
        cf_rank_agent_handle_order (s, &m);
        break;
      case CF_PEER_PREPARE:
        cf_rank_agent_handle_prepare (s, &m);
        break;
      case CF_PEER_REQUEST_LISTS:
        cf_rank_call (s->agent->loop, s->agent->target,
                      cf_platform_rank_build_lists_request (
                          s->agent->settings.target_addr),
                      CALL_TIMEOUT_MS, on_lists, s);
        break;
      default:
        break;
      }
  cf_peer_msg_clear (&m);
  msgpack_unpacked_destroy (&zone);
}

static const CfPeerLinkCallbacks link_callbacks = { on_up, on_frame, on_down };

static gboolean
is_isolated (const CfRankAgent *a)
{
  for (int i = 0; i < a->n_seeds; i++)
    if (a->seeds[i].up)
      return FALSE;
  return TRUE;
}

static void
reconnect (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfRankAgent *a = t->data;
  gint64 interval = RECONNECT_MS;

  cf_quarantine_expire (a->quarantine, cf_now_ms ());
  a->isolated_reconnects = is_isolated (a) ? a->isolated_reconnects + 1 : 0;
  if (a->isolated_reconnects > 0
      && a->isolated_reconnects <= ISOLATED_RECONNECTS_MAX)
    interval = ISOLATED_RECONNECT_MS;

  for (int i = 0; i < a->n_seeds; i++)
    {
      CfSeed *s = &a->seeds[i];
      gint64 silent_ms = cf_now_ms () - s->heartbeat_seen_ms;

      /* A silent link is replaced. */
      if (s->up && s->heartbeat_seen_ms && silent_ms > 2 * HEARTBEAT_TIMEOUT_MS)
        {
          cf_peer_link_close (s->link);
          on_down (s, s->link);
        }
      if (s->has_addr && !s->link)
        {
          s->heartbeat_seen_ms = 0;
          s->link = cf_peer_link_connect (loop, &s->addr, &link_callbacks, s);
        }
    }
  ev_timer_set (t, (double)interval / 1000, 0);
  ev_timer_start (loop, t);
}

CfStatus
cf_rank_agent_start (CfRankAgent *a)
{
  static ev_timer reconnect_timer;

  a->quarantine = cf_quarantine_new ();
  a->target = cf_target_new_at (a->settings.target_addr);
  if (!a->target)
    return CF_ERR_SETTINGS;
  for (char **s = a->settings.seed_addrs; *s && a->n_seeds < CF_SEEDS_MAX; s++)
    {
      CfSeed *seed = &a->seeds[a->n_seeds];

      seed->agent = a;
      seed->index = a->n_seeds++;
      seed->has_addr = cf_socket_parse_address (*s, &seed->addr) == CF_OK;
    }
  ev_timer_init (&a->read_timer, on_read_timer, 0, 0);
  a->read_timer.data = a;
  cf_rank_agent_schedule_read (a, NO_LEADER_READ_MS);
  ev_timer_init (&reconnect_timer, reconnect, 0.01, 0);
  reconnect_timer.data = a;
  ev_timer_start (a->loop, &reconnect_timer);
  return CF_OK;
}
