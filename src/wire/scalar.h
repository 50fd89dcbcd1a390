/**
 * @file scalar.h
 * Reads one MessagePack scalar. Containers are refused before the library
 * parses them, so that a count in damaged bytes cannot make it allocate
 * memory.
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
bool scalar_read(struct str in, size_t *at, msgpack_object *out);

/** Write callback for msgpack_packer_init; @p data is a struct buf. */
int scalar_write_packed(void *data, const char *p, size_t len);

#endif
