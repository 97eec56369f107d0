#pragma once

#include <glib.h>

/**
 * cf_peer_frame_is_complete:
 * Whether all arrays, maps and strings of a msgpack frame have no more parts
 * than the frame has bytes left.  msgpack-c reserves memory for as many
 * parts as a header claims before it looks for them: 64 bytes can claim an
 * array of 64 GB.
 */
gboolean cf_peer_frame_is_complete (const char *data, gsize n);
