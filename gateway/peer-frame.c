#include "peer-frame.h"

/* The first byte of a value, as msgpack defines it. */
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

/** Head: what a value's first bytes say of it. */
typedef struct
{
  guint length_bytes; /* that follow and hold @parts or @bytes */
  gboolean is_parts;  /* the length counts values, not bytes */
  guint per_part;     /* values for each of them: two of a map */
  guint64 length;
  guint64 more; /* bytes besides */
} Head;

/* Bytes of a number: 0xca float32, float64, uint 8 to 64, int 8 to 64. */
static guint
number_bytes (guchar b)
{
  static const guchar sizes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };

  return sizes[b - FLOAT32];
}

static Head
read_head (guchar b)
{
  Head h = { 0, FALSE, 1, 0, 0 };

  if (b < FIXMAP || b >= NEGATIVE_FIXINT)
    return h;
  if (b < FIXARRAY)
    h = (Head){ 0, TRUE, 2, b & 0x0f, 0 };
  else if (b < FIXSTR)
    h = (Head){ 0, TRUE, 1, b & 0x0f, 0 };
  else if (b < NIL)
    h.length = b & 0x1f;
  else if (b < BIN8)
    return h;
  else if (b < EXT8)
    h.length_bytes = 1U << (b - BIN8);
  else if (b < FLOAT32)
    h = (Head){ 1U << (b - EXT8), FALSE, 1, 0, 1 };
  else if (b < FIXEXT1)
    h.more = number_bytes (b);
  else if (b < STR8)
    h.more = 1 + (1U << (b - FIXEXT1));
  else if (b < ARRAY16)
    h.length_bytes = 1U << (b - STR8);
  else
    h = (Head){ b & 1 ? 4 : 2, TRUE, b < MAP16 ? 1 : 2, 0, 0 };
  return h;
}

gboolean
cf_peer_frame_is_complete (const char *data, gsize n)
{
  guint64 open = 1; /* values that are still to come */
  gsize at = 0;

  while (open > 0)
    {
      Head h;

      if (at >= n)
        return FALSE;
      h = read_head ((guchar)data[at++]);
      if (h.length_bytes > n - at)
        return FALSE;
      for (guint i = 0; i < h.length_bytes; i++)
        h.length = h.length << 8 | (guchar)data[at++];
      open--;
      if (h.is_parts)
        open += h.length * h.per_part;
      else
        h.more += h.length;
      if (h.more > n - at)
        return FALSE;
      at += h.more;
      /* Each value takes a byte at least. */
      if (open > n - at)
        return FALSE;
    }
  return TRUE;
}
