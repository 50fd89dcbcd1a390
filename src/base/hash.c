#include "base/hash.h"

#include <stdio.h>
#include <xxhash.h>

struct digest
digest_compute(const struct str *parts, int count)
{
    XXH3_state_t *st = XXH3_createState();
    XXH3_128bits_reset(st);
    for (int i = 0; i < count; i++) {
        uint64_t len = parts[i].len;
        XXH3_128bits_update(st, &len, sizeof(len));
        XXH3_128bits_update(st, parts[i].ptr, parts[i].len);
    }
    XXH128_hash_t h = XXH3_128bits_digest(st);
    XXH3_freeState(st);
    return (struct digest){h.high64, h.low64};
}

uint64_t
hash64(struct str s)
{
    return XXH3_64bits(s.ptr, s.len);
}

bool
digest_eq(struct digest a, struct digest b)
{
    return a.hi == b.hi && a.lo == b.lo;
}

void
digest_hex(struct digest d, char out[33])
{
    snprintf(out, 33, "%016llx%016llx", (unsigned long long)d.hi,
             (unsigned long long)d.lo);
}

static bool
parse_hex_u64(const char *p, uint64_t *out)
{
    uint64_t v = 0;
    for (int i = 0; i < 16; i++) {
        char c = p[i];
        int d = c >= '0' && c <= '9'   ? c - '0'
                : c >= 'a' && c <= 'f' ? c - 'a' + 10
                                       : -1;
        if (d < 0) {
            return false;
        }
        v = v << 4 | (uint64_t)d;
    }
    *out = v;
    return true;
}

bool
digest_from_hex(struct str hex, struct digest *out)
{
    return hex.len == 32 && parse_hex_u64(hex.ptr, &out->hi) &&
           parse_hex_u64(hex.ptr + 16, &out->lo);
}
