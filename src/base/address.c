#include "base/address.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/number.h"

#define MAX_PORT 65535

static struct str
strip_brackets(struct str s)
{
    return s.len > 2 && s.ptr[0] == '[' && s.ptr[s.len - 1] == ']'
               ? str_from_bytes(s.ptr + 1, s.len - 2)
               : s;
}

bool
address_is_ip(struct str s)
{
    unsigned char raw[16];
    char tmp[64];
    s = strip_brackets(s);
    if (s.len == 0 || s.len >= sizeof(tmp) || memchr(s.ptr, 0, s.len)) {
        return false;
    }
    memcpy(tmp, s.ptr, s.len);
    tmp[s.len] = 0;
    return inet_pton(AF_INET, tmp, raw) == 1 ||
           inet_pton(AF_INET6, tmp, raw) == 1;
}

bool
address_split(struct str s, struct str *ip, int *port)
{
    size_t colon = s.len;
    int64_t n;
    while (colon > 0 && s.ptr[colon - 1] != ':') {
        colon--;
    }
    if (colon == 0 || colon == s.len || s.ptr[colon] == '0') {
        return false;
    }
    struct str host = str_from_bytes(s.ptr, colon - 1);
    bool bare_ipv6 =
        host.len > 0 && host.ptr[0] != '[' && memchr(host.ptr, ':', host.len);
    if (bare_ipv6 || !address_is_ip(host) ||
        !number_from_text(str_from_bytes(s.ptr + colon, s.len - colon), 1,
                          MAX_PORT, &n)) {
        return false;
    }
    *ip = strip_brackets(host);
    *port = (int)n;
    return true;
}

bool
address_split_url(struct str s, const char *scheme, struct str *ip, int *port)
{
    struct str prefix = str_from_cstr(scheme);
    return str_starts_with(s, prefix) &&
           address_split(
               str_from_bytes(s.ptr + prefix.len, s.len - prefix.len), ip,
               port);
}
