/**
 * @file hash.h
 * 64-bit hashes and 128-bit digests (xxh3, not cryptographic) for keys, bodies
 * and rendezvous hashing. All nodes compute the same values.
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

/** Returns the digest of the parts and their lengths, so that "ab","c" differs
 * from "a","bc". */
struct digest digest_compute(const struct str *parts, int count);
uint64_t hash64(struct str s);
bool digest_eq(struct digest a, struct digest b);

/** Writes 32 lower-case hex digits and a NUL. */
void digest_hex(struct digest d, char out[33]);

/** Parses 32 lower-case hex digits; returns false on other text. */
bool digest_from_hex(struct str hex, struct digest *out);

#endif
