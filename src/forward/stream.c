#include <string.h>

#include "forward/state.h"

/* Returns the number of an "id" line; -1 if the line is another one. */
static int64_t
event_id(const char *p, size_t len)
{
    int64_t id;
    if (len < 3 || memcmp(p, "id:", 3) != 0) {
        return -1;
    }
    p += 3;
    len -= 3;
    while (len > 0 && *p == ' ') {
        p++;
        len--;
    }
    if (len > 0 && p[len - 1] == '\r') {
        len--;
    }
    return str_to_i64(str_from_bytes(p, len), &id) ? id : -1;
}

size_t
stream_complete_bytes(const struct buf *b, int64_t *last_id)
{
    size_t whole = 0;
    size_t from = 0;
    int64_t id = -1;
    while (from < b->len) {
        const char *line = b->ptr + from;
        const char *end = memchr(line, '\n', b->len - from);
        if (!end) {
            break;
        }
        size_t len = (size_t)(end - line);
        from += len + 1;
        if (len == 0 || (len == 1 && line[0] == '\r')) {
            whole = from;
            if (id >= 0) {
                *last_id = id;
            }
            id = -1;
        }
        else {
            int64_t n = event_id(line, len);
            id = n >= 0 ? n : id;
        }
    }
    return whole;
}
