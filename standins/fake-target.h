#pragma once

#include "fake-document.h"
#include "fake-store.h"

/**
 * The stand-in of a target: a plain service, or a rank of a model engine's
 * rank group.  It signs its answers, counts the requests that it runs, and
 * misbehaves on demand.  Tests control it by calls under /test/:
 *
 * POST /test/fault?kind=K&x=N: the next N requests meet fault K:
 *   full      refused with 503, as by a target without free slots
 *   full-late as full, but the answer comes again where that to the next
 *             request is due
 *   broken    refused with 503; the answer names this target as the one at
 *             fault, as a rank does whose group is not open
 *   moved     refused with 421 and this target's address, as by another
 *             incarnation that took over the address
 *   fail      answered 500
 *   fail-long answered 500, with a body of which 256 KiB come and no more
 *   lost      run, then the connection is reset
 *   truncate  the connection is reset within the answer
 *   garbage   answered with bytes that are not HTTP
 *   extra     a second answer follows the first
 *   unsigned  answered without a signature
 *   unframed  answered without a length; closing the connection ends it
 *   hang      never answered
 *   cut       a stream is reset in the middle of an event
 *   cut-close as cut, but the connection is closed in order
 *   cut-end   as cut, but the answer ends as if it were complete, by its
 *             framing
 *   tardy     a stream begins 1 s late
 *   document  a stream's request is answered with a JSON document
 *   no-content a stream's request is answered 204
 *   crash     the target crashes, as by /test/crash
 * The kinds from fail to unframed affect only plain services, and tardy and
 * document affect only ranks; other targets run the requests normally.  Cuts
 * affect ranks, and plain services that answer with documents.
 *
 * POST /test/fault?kind=cut...&x=N&at=B: an answer breaks off after B bytes of
 * its body.  With &resumed=K, requests that resume a stream meet fault K
 * instead, which may be none.
 *
 * POST /test/framing?as=F: from now on F marks the end of a rank's streams and
 * of a plain service's documents: chunked (the default), length, or close
 * (neither a length nor chunks).
 *
 * POST /test/unnumbered?from=N: from now on the events of a rank's streams have
 * no ids from the Nth on; without N, all have one.
 *
 * POST /test/document?size=N&pause-at=B&pause-ms=P: from now on a plain service
 * answers with documents of N bytes, with a pause of P ms after B bytes, or
 * before the break-off; without N, with its short answers.
 *
 * POST /test/crasher: from now on a request with the body of this call crashes
 * the target that runs it: all its connections in use are reset, and it
 * restarts under another id.
 *
 * POST /test/crasher?part=ID: from now on a prompt with this part, unless it is
 * the last one, crashes the rank that begins to answer it, after the head and
 * before the first event; without ID, none does.
 *
 * POST /test/crash: the target crashes now, in the same way.  A group that has
 * lost a rank, and whose shape says how long it takes to form again, makes no
 * passes until then and refuses requests with 503 and the rank's address; then
 * it resets the streams that waited.
 *
 * POST /test/limit?per-s=X: from now on its answers carry a rate limit of X
 * requests a second; without X, none.
 *
 * POST /test/pause?s=X: from now on it refuses all requests with 503 and a
 * Retry-After of X seconds; without X, it runs them again.
 *
 * POST /test/leave: from now on its answers say that it leaves, though its
 * store record does not; a restart ends that.
 *
 * GET /test/arrivals: each request that reached it: id, instance, at-ms
 * (monotonic clock), pause-s (the pause that its answer requested; 0: none),
 * and leaving.
 *
 * POST /test/late-orders?tenths=N: N of every ten orders to a rank get no
 * answer and are executed a second later.
 *
 * POST /test/cold?ms=N: its store record says that it stays cold for N ms.
 *
 * POST /test/omit?fields=LIST: from now on a rank's answers leave out these
 * fields: born-in-reports, born-in-counts, epoch-in-counts, step-in-counts.
 *
 * POST /test/mute-orders: orders to a rank are executed but not answered.
 *
 * POST /test/drain: its store record and its answers say that it leaves.
 *
 * POST /test/restart: restarts under another id; the record of the previous
 * incarnation stays in the store, as after a crash.
 *
 * POST /test/restart?same=1&later-ms=N: restarts under the same id, with a
 * start time N ms after that of the previous incarnation (N may be negative:
 * the clock was set back).  The running requests of a plain service get
 * no answer, as from a VM that lost power; a rank loses its state except for
 * its streams, and its group re-forms at once.
 *
 * GET /test/runs?id=ID: counters: runs, doubled (ids that ran more than once,
 * also after a restart under the same id), gone (callers that disconnected
 * while their requests ran), late (requests that arrived after it had been
 * draining for 2 s), crashes, mixed (passes begun while ranks had different
 * maps), passes, skew (mean per pass), and times (how often ID ran).
 *
 * GET /test/ran: each request id, and how often it ran.
 */
typedef struct FakeTarget FakeTarget;
typedef struct FakeGroup FakeGroup;

/**
 * fake_target_new_plain: starts a target of a plain service at @addr.
 * @slots: requests that it runs at once, as its store record says; it accepts
 *   and runs twice as many unless fake_target_set_queue() is called
 * @work_ms: time that a request takes
 */
FakeTarget *fake_target_new_plain (struct ev_loop *loop, FakeStore *store,
                                   const char *id, const char *service,
                                   const char *addr, int slots, int work_ms);

/** fake_target_set_data_centre: moves @t, which is in "dc1" at first. */
void fake_target_set_data_centre (FakeTarget *t, const char *data_centre);

/**
 * fake_target_set_queue: from now on @t, a target of a plain service, works on
 * as many requests at once as it has slots.
 * @queue_max: how many more it accepts, which wait in order of arrival; it
 *   refuses further ones with 503, not run
 */
void fake_target_set_queue (FakeTarget *t, int queue_max);

/** FakeGroupShape: the size and the speed of a rank group. */
typedef struct
{
  int ranks;
  int sets;
  int experts;       /**< in a set */
  int places;        /**< experts that a rank can hold of a set */
  int spare;         /**< new experts a rank can take of a set in one change */
  double step_ms;    /**< duration of a pass at even load, without streams */
  double per_seq_ms; /**< added to it for each stream per rank, on average */
  double copy_ms;    /**< time to copy one expert */
  double shift_s;    /**< interval at which demand moves to other experts;
                          0: it does not */
  double form_ms;    /**< time until the group opens again after a crash of a
                          rank; 0: it stays open */
} FakeGroupShape;

FakeGroup *fake_group_new (struct ev_loop *loop, const char *name,
                           const FakeGroupShape *shape);

/** fake_target_new_rank: starts the target of rank @rank of @g at @addr. */
FakeTarget *fake_target_new_rank (struct ev_loop *loop, FakeStore *store,
                                  FakeGroup *g, int rank, const char *id,
                                  const char *service, const char *addr,
                                  int slots);
