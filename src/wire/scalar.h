/**
 * @file scalar.h
 * Reads one MessagePack scalar. Containers are refused before the library
 * sees them, so that no count in damaged bytes makes it allocate.
 */
#ifndef WIRE_SCALAR_H
#define WIRE_SCALAR_H

#include <msgpack.h>
#include <stdbool.h>

#include "base/str.h"

/**
 * Reads the object at @p at and advances it. Byte strings point into @p in.
 * @return false if the bytes end early or hold no scalar
 */
bool scalar_next(struct str in, size_t *at, msgpack_object *out);

/** Writer of a msgpack_packer; @p data is a struct buf. */
int scalar_write(void *data, const char *p, size_t len);

#endif
