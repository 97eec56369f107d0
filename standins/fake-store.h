#pragma once

#include "fake-http.h"

/**
 * The stand-in of the platform's metadata store: range in pages, watch,
 * revisions, a history that can be forgotten.  Tests steer it by calls of
 * their own under /test/:
 *
 *   POST /test/put?key=K        write the body under K
 *   POST /test/put-raw?key=K    the same, as the text that stands for the
 *                               bytes: it need not be base64
 *   GET /test/get?key=K         what was written
 *   POST /test/delete?key=K
 *   POST /test/mode?mode=M      up, silent, busy (503), reset, slow (each
 *                               answer 300 ms late), some (every second
 *                               call is refused), stale (ranges and watches
 *                               show nothing newer than now)
 *   POST /test/forget           drop the history; waiting watches are cut
 */
typedef struct FakeStore FakeStore;

FakeStore *fake_store_new (struct ev_loop *loop, const char *addr);

/** fake_store_put: as the operator or a target writes. */
void fake_store_put (FakeStore *s, const char *key, const char *value);
