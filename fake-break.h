#pragma once

#include "http-server.h"

/**
 * fake_break_serve:
 * @listen: "IP:PORT" to listen on
 * @fn: the stand-in's handler
 *
 * Serves HTTP as cf_daemon_serve_http() does.  In addition,
 * /test/break?path=P&framing=length|chunked|close&after=N&count=C frames the
 * next C answers (default: 1) to path P as stated, and breaks them off after N
 * bytes of the body (default: not at all).  With framing=short the length
 * states these N bytes.
 *
 * Returns: the exit status for main().
 */
int fake_break_serve (const char *listen, CfHttpHandler fn);
