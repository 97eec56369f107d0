#include "peer-frame.h"

/* First bytes of values in msgpack.  Each starts a range of types. */
#define FIXMAP 0x80
#define FIXARRAY 0x90
#define FIXSTR 0xa0
#define NIL 0xc0
#define BIN8 0xc4
#define EXT8 0xc7
#define FLOAT32 0xca
#define FIXEXT1 0xd4
#define STR8 0xd9
#define ARRAY16 0xdc
#define MAP16 0xde
#define NEGATIVE_FIXINT 0xe0

/** Header: what the first bytes of a value say about its size. */
typedef struct
{
  guint length_size;        /* bytes of the length field that follows */
  gboolean is_container;    /* an array or a map */
  guint values_per_element; /* two in a map */
  guint64 length;           /* elements of a container, else bytes */
  guint64 skip_bytes;       /* bytes to skip besides @length */
} Header;

/* Returns the size of a number in bytes.  The types from 0xca on are float32,
 * float64, uint 8 to 64 and int 8 to 64. */
static guint
number_size (guchar b)
{
  static const guchar sizes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };

  return sizes[b - FLOAT32];
}

static Header
parse_header (guchar b)
{
  Header h = { 0, FALSE, 1, 0, 0 };

  if (b < FIXMAP || b >= NEGATIVE_FIXINT)
    return h;
  if (b < FIXARRAY)
    h = (Header){ 0, TRUE, 2, b & 0x0f, 0 };
  else if (b < FIXSTR)
    h = (Header){ 0, TRUE, 1, b & 0x0f, 0 };
  else if (b < NIL)
    h.length = b & 0x1f;
  else if (b < BIN8)
    return h;
  else if (b < EXT8)
    h.length_size = 1U << (b - BIN8);
  else if (b < FLOAT32)
    h = (Header){ 1U << (b - EXT8), FALSE, 1, 0, 1 };
  else if (b < FIXEXT1)
    h.skip_bytes = number_size (b);
  else if (b < STR8)
    h.skip_bytes = 1 + (1U << (b - FIXEXT1));
  else if (b < ARRAY16)
    h.length_size = 1U << (b - STR8);
  else
    h = (Header){ b & 1 ? 4 : 2, TRUE, b < MAP16 ? 1 : 2, 0, 0 };
  return h;
}

gboolean
cf_peer_frame_is_complete (const char *data, gsize n)
{
  guint64 n_pending = 1; /* values that are still expected */
  gsize pos = 0;

  while (n_pending > 0)
    {
      Header h;

      if (pos >= n)
        return FALSE;
      h = parse_header ((guchar)data[pos++]);
      if (h.length_size > n - pos)
        return FALSE;
      for (guint i = 0; i < h.length_size; i++)
        h.length = h.length << 8 | (guchar)data[pos++];
      n_pending--;
      if (h.is_container)
        n_pending += h.length * h.values_per_element;
      else
        h.skip_bytes += h.length;
      if (h.skip_bytes > n - pos)
        return FALSE;
      pos += h.skip_bytes;
      /* Each value takes at least one byte. */
      if (n_pending > n - pos)
        return FALSE;
    }
  return TRUE;
}
