#include "rank-agent-parts.h"

#include "log.h"
#include "net.h"
#include "peer-crashes.h"
#include "platform/platform-rank.h"
#include "rank-call.h"
#include "socket.h"

#include <string.h>

/** Without a leader the rank is read so often, and all gateways are told, so
 * that one of them takes the lead soon. */
#define READ_MS 250
/** What a leader may ask for: more often costs 0.2 ms of processor each. */
#define READ_LEAST_MS 50
#define READ_MOST_MS 5000
/** While the rank copies experts, so that the group can switch soon after
 * the last copy. */
#define READ_COPYING_MS 40
/** A copy that takes longer is not waited for any more. */
#define COPYING_MAX_MS 5000
/** How often gateways that stand by get the status. */
#define STANDBY_MS 1000
/** A gateway that did not tick for so long is taken as down: three ticks. */
#define HEARD_MS 1300L
/** Between two looks for seeds without a link, while another has one... */
#define RECONNECT_MS 500
/** ...and while none has: no one leads the group, and its map stays as it
 * formed with, at a skew of 3 where 1.3 could be. */
#define RECONNECT_ALONE_MS 100
/** Looks of the quicker kind: for 3 s, in which gateways that were killed are
 * back; in a longer outage of theirs thousands of agents should not press. */
#define QUICK_LOOKS 30
#define CALL_TIMEOUT_MS 1000

static gboolean
heard (const CfSeed *s, gint64 now)
{
  return s->up && s->heard_ms && now - s->heard_ms < HEARD_MS;
}

static guint
seeds_up (const CfRankAgent *a, gint64 now)
{
  guint bits = 0;

  for (int i = 0; i < a->n_seeds; i++)
    if (heard (&a->seeds[i], now))
      bits |= 1U << i;
  return bits;
}

/* The gateway that leads: the one with the highest token. */
static CfSeed *
leader (CfRankAgent *a, gint64 now)
{
  CfSeed *best = NULL;

  for (int i = 0; i < a->n_seeds; i++)
    {
      CfSeed *s = &a->seeds[i];

      if (heard (s, now) && s->fence > 0 && (!best || s->fence > best->fence))
        best = s;
    }
  return best;
}

static void
tell_status (CfRankAgent *a, GArray *drawn)
{
  gint64 now = cf_now_ms ();
  CfSeed *lead = leader (a, now);
  CfPeerMsg m = { .kind = CF_PEER_RANK_STATUS };

  m.u.rank_status.status = a->status;
  m.u.rank_status.fence_seen = a->fence_seen;
  m.u.rank_status.seeds_up = seeds_up (a, now);
  m.u.rank_status.led = lead ? lead->fence : 0;
  for (int i = 0; i < a->n_seeds; i++)
    {
      CfSeed *s = &a->seeds[i];

      if (!s->up || (lead && s != lead && now - s->told_ms < STANDBY_MS))
        continue;
      m.u.rank_status.drawn = s == lead ? drawn : NULL;
      if (s == lead)
        a->told = a->status;
      s->told_ms = now;
      cf_peer_msg_send (s->link, &m);
    }
}

/* Readings of the rank */

void
cf_rank_agent_plan_read (CfRankAgent *a, gint64 ms)
{
  ev_timer_stop (a->loop, &a->poll);
  ev_timer_set (&a->poll, (double)ms / 1000, 0);
  ev_timer_start (a->loop, &a->poll);
}

static void
note_rank (CfRankAgent *a, gboolean answers)
{
  if (a->rank_lost == !answers)
    return;
  a->rank_lost = !answers;
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL, "target=%s outcome=%s",
          a->set.target_addr, answers ? "answers-again" : "no-answer");
}

/* Its group formed anew, or the rank itself started anew: no copy is under
 * way any more.  While one is awaited the leader is told of changes alone,
 * so that it would not settle for up to %COPYING_MAX_MS. */
static void
note_new_epoch (CfRankAgent *a, const CfRankStatus *s)
{
  a->awaited = 0;
  if (s->incarnation == a->status.incarnation)
    return;
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL,
          "target=%s outcome=restarted incarnation=%" G_GINT64_FORMAT
          " before=%" G_GINT64_FORMAT,
          a->set.target_addr, s->incarnation, a->status.incarnation);
}

gboolean
cf_rank_agent_take_report (CfRankAgent *a, int status, const GString *body)
{
  CfRankStatus s;

  note_rank (a, status == 200);
  if (status != 200)
    return FALSE;
  if (cf_platform_rank_parse_report (body->str, body->len, &s) != CF_OK)
    {
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL, "target=%s error=\"%s\"",
              a->set.target_addr, cf_last_error ());
      return FALSE;
    }
  if (a->has_status
      && (s.incarnation != a->status.incarnation || s.epoch != a->status.epoch))
    note_new_epoch (a, &s);
  a->status = s;
  a->has_status = TRUE;
  cf_map_history_uses (&a->maps, s.map);
  if (a->awaited
      && (s.map == a->awaited || cf_now_ms () - a->awaited_ms > COPYING_MAX_MS))
    a->awaited = 0;
  return TRUE;
}

void
cf_rank_agent_await_copy (CfRankAgent *a, gint64 version)
{
  a->awaited = version;
  a->awaited_ms = cf_now_ms ();
  cf_rank_agent_plan_read (a, READ_COPYING_MS);
}

static gint64
read_pause (CfRankAgent *a)
{
  CfSeed *lead = leader (a, cf_now_ms ());

  if (!lead)
    return READ_MS;
  if (a->awaited)
    return READ_COPYING_MS;
  return CLAMP (lead->read_ms, READ_LEAST_MS, READ_MOST_MS);
}

static void
reading_done (CfRankAgent *a)
{
  a->reading = FALSE;
  cf_rank_agent_plan_read (a, read_pause (a));
}

/* Whether the leader has to know what the last reading showed at once. */
static gboolean
has_news (const CfRankAgent *a)
{
  const CfRankStatus *s = &a->status;
  const CfRankStatus *t = &a->told;

  return s->map != t->map || s->prepared != t->prepared || s->armed != t->armed
         || s->held != t->held || s->epoch != t->epoch || s->open != t->open
         || s->incarnation != t->incarnation;
}

static void
on_counts (void *data, int status, const GString *body)
{
  CfRankAgent *a = data;
  GArray *counts = NULL;
  GArray *drawn = NULL;
  gint64 incarnation = 0;

  if (status == 200
      && cf_platform_rank_parse_counts (body->str, body->len, &incarnation,
                                        &counts)
             != CF_OK)
    cf_log (LOG_WARNING, CF_EV_TARGET_FAIL, "target=%s error=\"%s\"",
            a->set.target_addr, cf_last_error ());
  /* It restarted between the two calls: the next reading has both. */
  if (counts && incarnation != a->status.incarnation)
    g_clear_pointer (&counts, g_array_unref);
  if (counts)
    drawn = cf_expert_counts_since (&a->counts, counts, incarnation,
                                    cf_now_ms ());
  tell_status (a, drawn);
  if (drawn)
    g_array_unref (drawn);
  reading_done (a);
}

static void
on_report (void *data, int status, const GString *body)
{
  CfRankAgent *a = data;
  const CfSeed *lead;

  if (!cf_rank_agent_take_report (a, status, body) || !a->status.group[0])
    {
      reading_done (a);
      return;
    }
  lead = leader (a, cf_now_ms ());
  /* Whoever is to lead has to hear of the rank first.  A leader that waits
   * for a copy has, and is told only of changes. */
  if (!lead || a->awaited)
    {
      if (!lead || has_news (a))
        tell_status (a, NULL);
      reading_done (a);
    }
  else
    cf_rank_call (a->loop, a->target,
                  cf_platform_rank_build_counts_request (a->set.target_addr),
                  CALL_TIMEOUT_MS, on_counts, a);
}

static void
on_poll (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfRankAgent *a = t->data;

  if (a->reading)
    return;
  if (seeds_up (a, cf_now_ms ()) == 0)
    {
      cf_rank_agent_plan_read (a, READ_MS);
      return;
    }
  a->reading = TRUE;
  cf_rank_call (loop, a->target,
                cf_platform_rank_build_report_request (a->set.target_addr),
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
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "target=%s call=lists status=%d error=\"%s\"",
              s->a->set.target_addr, status,
              status == 200 ? cf_last_error () : "");
      return;
    }
  m.u.lists.epoch = s->a->status.epoch;
  if (s->up)
    cf_peer_msg_send (s->link, &m);
  cf_peer_msg_clear (&m);
}

/* Links to the gateways */

/* Not passed on: each gateway notifies all agents itself. */
static void
take_crashes (CfSeed *s, const CfPeerMsg *m)
{
  char *name = g_strdup_printf ("seed-%d", s->index);

  cf_peer_crashes_merge (s->a->quarantine, m, name, cf_now_ms ());
  cf_quarantine_discard_changes (s->a->quarantine);
  g_free (name);
}

static void
on_up (void *owner, CfPeerLink *l)
{
  CfSeed *s = owner;
  CfPeerMsg m = { .kind = CF_PEER_AGENT_HELLO };
  const char *addr = s->a->set.target_addr;

  s->up = TRUE;
  s->told_ms = 0;
  m.u.agent_hello.target_addr.data = addr;
  m.u.agent_hello.target_addr.n = strlen (addr);
  cf_peer_msg_send (l, &m);
  cf_peer_crashes_send_all (s->a->quarantine, l, TRUE, cf_now_ms ());
  /* Whoever is to lead has to hear of the rank. */
  if (!s->a->reading)
    cf_rank_agent_plan_read (s->a, 0);
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

/* A new leader's token guards the rank from here on; it waits to be told, as
 * does one that wants to be told more often from now on. */
static void
take_tick (CfSeed *s, gint64 fence, gint64 read_ms)
{
  CfRankAgent *a = s->a;
  gboolean sooner = fence > 0 && read_ms < s->read_ms;

  s->heard_ms = cf_now_ms ();
  s->fence = fence;
  s->read_ms = read_ms;
  if (fence <= a->fence_seen)
    {
      if (sooner && fence == a->fence_seen && !a->reading && !a->awaited)
        cf_rank_agent_plan_read (a, 0);
      return;
    }
  a->fence_seen = fence;
  /* The copy was the earlier leader's; this one knows nothing of the rank. */
  a->awaited = 0;
  cf_log (LOG_NOTICE, CF_EV_PEER,
          "seed=%d outcome=leads fence=%" G_GINT64_FORMAT, s->index, fence);
  if (!a->reading)
    cf_rank_agent_plan_read (a, 0);
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
      case CF_PEER_TICK:
        take_tick (s, m.u.tick.fence, m.u.tick.read_ms);
        break;
      case CF_PEER_CRASHES:
        take_crashes (s, &m);
        break;
      case CF_PEER_ORDER:
        cf_rank_agent_order (s, &m);
        break;
      case CF_PEER_PREPARE:
        cf_rank_agent_prepare (s, &m);
        break;
      case CF_PEER_WANT_LISTS:
        cf_rank_call (
            s->a->loop, s->a->target,
            cf_platform_rank_build_lists_request (s->a->set.target_addr),
            CALL_TIMEOUT_MS, on_lists, s);
        break;
      default:
        break;
      }
  cf_peer_msg_clear (&m);
  msgpack_unpacked_destroy (&zone);
}

static const CfPeerLinkCalls link_calls = { on_up, on_frame, on_down };

static gboolean
is_alone (const CfRankAgent *a)
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
  gint64 pause = RECONNECT_MS;

  cf_quarantine_expire (a->quarantine, cf_now_ms ());
  a->looks_alone = is_alone (a) ? a->looks_alone + 1 : 0;
  if (a->looks_alone > 0 && a->looks_alone <= QUICK_LOOKS)
    pause = RECONNECT_ALONE_MS;

  for (int i = 0; i < a->n_seeds; i++)
    {
      CfSeed *s = &a->seeds[i];
      gint64 quiet = cf_now_ms () - s->heard_ms;

      /* A link that went silent is made anew. */
      if (s->up && s->heard_ms && quiet > 2 * HEARD_MS)
        {
          cf_peer_link_close (s->link);
          on_down (s, s->link);
        }
      if (s->valid && !s->link)
        {
          s->heard_ms = 0;
          s->link = cf_peer_link_connect (loop, &s->addr, &link_calls, s);
        }
    }
  ev_timer_set (t, (double)pause / 1000, 0);
  ev_timer_start (loop, t);
}

CfStatus
cf_rank_agent_start (CfRankAgent *a)
{
  static ev_timer again;

  a->quarantine = cf_quarantine_new ();
  a->target = cf_target_new_at (a->set.target_addr);
  if (!a->target)
    return CF_ERR_SETTINGS;
  for (char **s = a->set.seed_addrs; *s && a->n_seeds < CF_SEEDS_MAX; s++)
    {
      CfSeed *seed = &a->seeds[a->n_seeds];

      seed->a = a;
      seed->index = a->n_seeds++;
      seed->valid = cf_socket_parse (*s, &seed->addr) == CF_OK;
    }
  ev_timer_init (&a->poll, on_poll, 0, 0);
  a->poll.data = a;
  cf_rank_agent_plan_read (a, READ_MS);
  ev_timer_init (&again, reconnect, 0.01, 0);
  again.data = a;
  ev_timer_start (a->loop, &again);
  return CF_OK;
}
