#pragma once

#include "fake-http.h"

/**
 * The stand-in of the platform's metadata store, with paged ranges, watches,
 * revisions and a history that can be compacted.  Tests control it by calls
 * under /test/:
 *
 *   POST /test/put?key=K        write the body under K
 *   POST /test/put-raw?key=K    the same, but the body is stored as the base64
 *                               text of the value and may be invalid base64
 *   GET /test/get?key=K         the value of K
 *   POST /test/delete?key=K
 *   POST /test/forget           compact the history up to the current revision
 *                               and reset the watches that wait
 *   POST /test/copy             copy the contents
 *   POST /test/replica          from now on, ranges that accept a stale answer
 *                               show the contents of this moment
 *   GET /test/calls             calls so far: range, stale (ranges that accept
 * a stale answer), watch POST /test/restore?rewrite-ms=N   go back to the copy,
 * in the next era; reset the watches that wait.  After N ms what was lost is
 * written again, as by the operator and the targets; 0: never POST
 * /test/restore-at-page?rewrite-ms=N   the same before the next page of a range
 * that is not its first POST /test/era?value=V      answers state V as the era
 * from now on; without V, none POST /test/mode?mode=M      how the store
 * answers from now on: up      normally silent  not at all busy    503 reset by
 * a reset of the connection slow    each answer 300 ms late some    503 to
 * every second call stale   a watch reports no changes, though its answer names
 * the current revision; ranges are as in mode up
 */
typedef struct FakeStore FakeStore;

FakeStore *fake_store_new (struct ev_loop *loop, const char *addr);

/** fake_store_put: writes @value under @key, as the operator or a target
 * does. */
void fake_store_put (FakeStore *s, const char *key, const char *value);
