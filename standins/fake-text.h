#pragma once

#include <glib.h>

/**
 * fake_text_make:
 * Makes the text of @size bytes that @target answers request @id with.  It
 * differs for each target and request, so that the bytes of two answers can be
 * told apart.
 */
char *fake_text_make (const char *target, const char *id, gsize size);
