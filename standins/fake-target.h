#pragma once

#include "fake-store.h"

/**
 * The stand-in of a target: a plain service, or a rank of a model engine's
 * group.  It signs its answers, keeps count of what it ran, and can be told
 * to misbehave.  Tests steer it under /test/:
 *
 * POST /test/fault?kind=K&x=N: the next N requests meet fault K: full,
 * broken (names itself at fault, as a rank whose group is not open does),
 * moved (421, naming itself, as a start at an address reused), fail, lost
 * (run, then reset), truncate, garbage, extra (a second answer),
 * unsigned, unframed, hang, cut (a stream, in an event).
 *
 * POST /test/crasher: a request with the body of this call crashes the target
 * that runs it: all its work is reset, and it starts anew under another id.
 *
 * POST /test/crash: it crashes now, in the same way.
 *
 * POST /test/limit?per-s=X: its answers name a limit of X requests a second
 * from now on; without X, none.
 *
 * POST /test/late-orders?tenths=N: N in ten orders to a rank get no answer
 * and are carried out a second later.
 *
 * POST /test/mute-orders: orders to a rank are carried out, and get no answer.
 *
 * POST /test/drain: says that it leaves.
 *
 * POST /test/restart: starts anew under another id; the entry of the start
 * before stays listed, as after a crash.
 *
 * POST /test/restart?same=1&later-ms=N: starts anew under its id, N ms after
 * the start before by the clock (N may be negative: the clock went back).
 * What it worked on goes silent, as on a VM that lost power; a rank forgets
 * all it held, and its group forms anew at once.
 *
 * GET /test/runs?id=ID: what it ran: runs, doubled (ids that ran again, also
 * after a restart under the same id), gone, late (work that came though it had
 * been leaving for 2 s), crashes, mixed, and how many times ID did.
 *
 * GET /test/ran: each request id, and how often it ran.
 */
typedef struct FakeTarget FakeTarget;
typedef struct FakeGroup FakeGroup;

/** fake_target_new_plain: a plain service at @addr that works @work_ms. */
FakeTarget *fake_target_new_plain (struct ev_loop *loop, FakeStore *store,
                                   const char *id, const char *service,
                                   const char *addr, int slots, int work_ms);

/** FakeGroupShape: the engine of a rank group. */
typedef struct
{
  int ranks;
  int sets;
  int experts;
  int places;
  int spare;
  double step_ms;    /**< a pass at even load */
  double per_seq_ms; /**< added to it by each stream of a rank in the mean */
  double copy_ms;    /**< for one expert */
  double shift_s;    /**< other experts are in demand each so often; 0: never */
} FakeGroupShape;

FakeGroup *fake_group_new (struct ev_loop *loop, const FakeGroupShape *shape);

/** fake_target_new_rank: rank @rank of @g at @addr. */
FakeTarget *fake_target_new_rank (struct ev_loop *loop, FakeStore *store,
                                  FakeGroup *g, int rank, const char *id,
                                  const char *service, const char *addr,
                                  int slots);
