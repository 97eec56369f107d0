#include "fake-document.h"

#include "fake-text.h"

/** FakeDocument: a document of which a part has been sent. */
typedef struct
{
  FakeConn *conn;
  FakeDocumentShape shape;
  char *text;
  ev_timer pause_timer;
} FakeDocument;

static void
free_document (FakeDocument *d)
{
  ev_timer_stop (d->conn->loop, &d->pause_timer);
  d->conn->pending = NULL;
  g_free (d->text);
  g_free (d);
}

static void
on_disconnect (FakeConn *c)
{
  free_document (c->pending);
}

static void
on_pause_end (struct ev_loop *loop, ev_timer *t, int revents)
{
  FakeDocument *d = t->data;
  FakeConn *c = d->conn;
  const FakeDocumentShape shape = d->shape;

  if (shape.cut == FAKE_CUT_NONE && shape.size > shape.cut_at)
    fake_http_send_part (c, d->text + shape.cut_at, shape.size - shape.cut_at);
  free_document (d);
  switch (shape.cut)
    {
    case FAKE_CUT_RESET:
      fake_http_reset (c);
      break;
    case FAKE_CUT_CLOSE:
      fake_http_close (c);
      break;
    case FAKE_CUT_NONE:
    case FAKE_CUT_END:
      fake_http_end (c);
      break;
    }
}

void
fake_document_send (FakeConn *c, const FakeDocumentShape *shape,
                    const char *headers, const char *target, const char *id)
{
  FakeDocument *d = g_new0 (FakeDocument, 1);

  d->conn = c;
  d->shape = *shape;
  d->shape.cut_at = MIN (shape->cut_at, shape->size);
  d->text = fake_text_make (target, id, shape->size);
  c->pending = d;
  c->on_disconnect = on_disconnect;
  ev_timer_init (&d->pause_timer, on_pause_end, shape->pause_ms / 1000.0, 0);
  d->pause_timer.data = d;
  ev_timer_start (c->loop, &d->pause_timer);
  fake_http_begin (c, 200, headers, shape->framing,
                   shape->cut == FAKE_CUT_END ? d->shape.cut_at : shape->size);
  if (d->shape.cut_at > 0)
    fake_http_send_part (c, d->text, d->shape.cut_at);
}
