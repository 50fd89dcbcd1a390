#include "wire/scalar.h"

#define SHORT_CONTAINER_FIRST 0x80 /* fixmap and fixarray up to 0x9f */
#define SHORT_CONTAINER_LAST 0x9f
#define LONG_CONTAINER_FIRST 0xdc /* array 16, array 32, map 16, map 32 */
#define LONG_CONTAINER_LAST 0xdf

bool
scalar_read(struct str in, size_t *at, msgpack_object *out)
{
    if (*at >= in.len) {
        return false;
    }
    unsigned char c = (unsigned char)in.ptr[*at];
    if ((c >= SHORT_CONTAINER_FIRST && c <= SHORT_CONTAINER_LAST) ||
        (c >= LONG_CONTAINER_FIRST && c <= LONG_CONTAINER_LAST)) {
        return false;
    }
    msgpack_unpacked u;
    msgpack_unpacked_init(&u);
    bool ok =
        msgpack_unpack_next(&u, in.ptr, in.len, at) == MSGPACK_UNPACK_SUCCESS;
    *out = u.data;
    msgpack_unpacked_destroy(&u);
    return ok;
}

int
scalar_write_packed(void *data, const char *p, size_t len)
{
    buf_append(data, p, len);
    return 0;
}
