/**
 * @file hash.h
 * 128-bit non-cryptographic digests (xxh3) for keys, bodies and rendezvous
 * hashing. All nodes compute the same values.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct digest {
    uint64_t hi;
    uint64_t lo;
};

/** Digest of the parts with their lengths, so "ab","c" != "a","bc". */
struct digest digest_of(const struct str *parts, int count);
uint64_t hash64(struct str s);
bool digest_eq(struct digest a, struct digest b);

/** Writes 32 lower-case hex digits and a NUL. */
void digest_hex(struct digest d, char out[33]);
bool digest_from_hex(struct str hex, struct digest *out);

#endif
