#pragma once

#include <glib.h>

/**
 * cf_peer_frame_is_complete:
 * Checks that the frame holds a complete msgpack value, and that no array, map
 * or string in it claims more elements than the frame has bytes left.
 * msgpack-c allocates memory for the number of elements that a header claims
 * before it reads them: 64 bytes can claim an array of 64 GB.
 */
gboolean cf_peer_frame_is_complete (const char *data, gsize n);
