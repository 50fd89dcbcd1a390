#include "edge/status_line.h"

#include <glib.h>
#include <string.h>

#define MIN_STATUS 100
#define MAX_STATUS 599

int
status_line_parse(struct str line)
{
    static const char version[] = "HTTP/1.";
    const size_t minor = sizeof(version) - 1;
    const size_t code = minor + 2;
    const size_t end = code + 3;
    int status = 0;
    line = str_trim(line);
    if (line.len < end || memcmp(line.ptr, version, minor) != 0 ||
        !g_ascii_isdigit(line.ptr[minor]) || line.ptr[minor + 1] != ' ' ||
        (line.len > end && line.ptr[end] != ' ')) {
        return -1;
    }
    for (size_t i = code; i < end; i++) {
        if (!g_ascii_isdigit(line.ptr[i])) {
            return -1;
        }
        status = 10 * status + g_ascii_digit_value(line.ptr[i]);
    }
    return status >= MIN_STATUS && status <= MAX_STATUS ? status : -1;
}
