#include "rank-call.h"

#include "net.h"
#include "target-notice.h"
#include "upstream.h"

/** Reports and counters are some kilobytes; expert lists of large groups are
 * longer.  A longer answer fails the call. */
#define BODY_MAX_BYTES 4194304

/** RankCall: a call in progress; freed when it ends. */
typedef struct
{
  struct ev_loop *loop;
  CfUpstream *upstream;
  ev_timer timer;
  int status;
  GString *body;
  CfRankCallDone done;
  void *data;
} RankCall;

static void
finish (RankCall *c, int status)
{
  ev_timer_stop (c->loop, &c->timer);
  c->done (c->data, status, c->body);
  g_string_free (c->body, TRUE);
  g_free (c);
}

static void
on_head (void *owner, const CfHttpReader *r)
{
  RankCall *c = owner;

  c->status = (int)r->parser.status_code;
  cf_target_take_notice (c->upstream->target, r, cf_now_ms ());
}

static void
on_body (void *owner, const char *data, gsize n)
{
  RankCall *c = owner;

  if (c->body->len + n <= BODY_MAX_BYTES)
    g_string_append_len (c->body, data, (gssize)n);
  else
    cf_upstream_reject (c->upstream);
}

static void
on_done (void *owner)
{
  RankCall *c = owner;

  finish (c, c->status);
}

static void
on_fail (void *owner, CfUpstreamFailure f)
{
  finish (owner, 0);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *t, int revents)
{
  RankCall *c = t->data;

  cf_upstream_cancel (c->upstream);
  finish (c, 0);
}

static const CfUpstreamCallbacks callbacks
    = { on_head, on_body, on_done, on_fail };

void
cf_rank_call (struct ev_loop *loop, CfTarget *t, GString *request,
              gint64 timeout_ms, CfRankCallDone done, void *data)
{
  RankCall *c = g_new0 (RankCall, 1);

  c->loop = loop;
  c->body = g_string_new (NULL);
  c->done = done;
  c->data = data;
  ev_timer_init (&c->timer, on_timeout, (double)timeout_ms / 1000, 0);
  c->timer.data = c;
  c->upstream = cf_upstream_send (loop, t, request, NULL, FALSE, &callbacks, c);
  if (!c->upstream)
    {
      finish (c, 0);
      return;
    }
  ev_timer_start (loop, &c->timer);
}
