#include "control/claim_record.h"

#include "wire/scalar.h"

#define RECORD_VERSION 1
#define HEADER_FIELDS 6
#define ENTRY_FIELDS 12

void
claim_header_encode(const struct claim_header *h, struct buf *out)
{
    msgpack_packer pk;
    msgpack_packer_init(&pk, out, scalar_write_packed);
    msgpack_pack_array(&pk, HEADER_FIELDS);
    msgpack_pack_uint64(&pk, RECORD_VERSION);
    msgpack_pack_uint64(&pk, h->owner);
    msgpack_pack_uint64(&pk, h->incarnation);
    msgpack_pack_uint64(&pk, h->epoch);
    msgpack_pack_uint64(&pk, h->write_id);
    msgpack_pack_uint64(&pk, h->count);
}

void
claim_entry_encode(const struct claim_entry *e, struct buf *out)
{
    msgpack_packer pk;
    uint64_t flags = (e->done ? 1 : 0) | (e->answer_stored ? 2 : 0);
    msgpack_packer_init(&pk, out, scalar_write_packed);
    msgpack_pack_array(&pk, ENTRY_FIELDS);
    msgpack_pack_uint64(&pk, e->key.hi);
    msgpack_pack_uint64(&pk, e->key.lo);
    msgpack_pack_uint64(&pk, e->body.hi);
    msgpack_pack_uint64(&pk, e->body.lo);
    msgpack_pack_uint64(&pk, e->attempt.node);
    msgpack_pack_uint64(&pk, e->attempt.incarnation);
    msgpack_pack_uint64(&pk, e->attempt.seq);
    msgpack_pack_uint64(&pk, flags);
    msgpack_pack_uint64(&pk, (uint64_t)e->http_status);
    msgpack_pack_bin(&pk, e->answer.len);
    msgpack_pack_bin_body(&pk, e->answer.ptr, e->answer.len);
    msgpack_pack_uint64(&pk, (uint64_t)(e->age_us / 1000));
    msgpack_pack_uint64(&pk, (uint64_t)(e->valid_us / 1000));
}

/* Reads an array of @p fields integers; element @p bin is a byte string
 * instead, unless @p bin is @p fields or more. */
static bool
read_array(struct str bytes, size_t *offset, uint32_t fields, uint32_t bin,
           uint64_t *ints, struct str *str)
{
    if (*offset >= bytes.len ||
        (unsigned char)bytes.ptr[*offset] != (0x90 | fields)) {
        return false;
    }
    ++*offset;
    for (uint32_t i = 0; i < fields; i++) {
        msgpack_object o;
        msgpack_object_type want =
            i == bin ? MSGPACK_OBJECT_BIN : MSGPACK_OBJECT_POSITIVE_INTEGER;
        if (!scalar_read(bytes, offset, &o) || o.type != want) {
            return false;
        }
        if (i == bin) {
            *str = str_from_bytes(o.via.bin.ptr, o.via.bin.size);
        }
        else {
            ints[i] = o.via.u64;
        }
    }
    return true;
}

enum status
claim_header_decode(struct str bytes, struct claim_header *h, size_t *offset)
{
    uint64_t f[HEADER_FIELDS];
    *offset = 0;
    if (!read_array(bytes, offset, HEADER_FIELDS, HEADER_FIELDS, f, NULL) ||
        f[0] != RECORD_VERSION || f[5] > bytes.len) {
        return err_set(ST_INVALID, "malformed claim record header");
    }
    *h = (struct claim_header){f[1], f[2], f[3], f[4], (uint32_t)f[5]};
    return ST_OK;
}

enum status
claim_entry_decode(struct str bytes, size_t *offset, struct claim_entry *e)
{
    uint64_t f[ENTRY_FIELDS] = {0};
    struct str answer = {0};
    const uint64_t max_ms = INT64_MAX / 4000;
    if (!read_array(bytes, offset, ENTRY_FIELDS, 9, f, &answer) || f[7] > 3 ||
        f[8] > 999 || answer.len > CLAIM_ANSWER_MAX_BYTES || f[10] > max_ms ||
        f[11] > max_ms) {
        return err_set(ST_INVALID, "malformed claim entry near byte %zu",
                       *offset);
    }
    *e = (struct claim_entry){
        .key = {f[0], f[1]},
        .body = {f[2], f[3]},
        .attempt = {f[4], f[5], f[6]},
        .done = f[7] & 1,
        .http_status = (int)f[8],
        .answer_stored = f[7] & 2,
        .answer = answer,
        .age_us = (int64_t)f[10] * 1000,
        .valid_us = (int64_t)f[11] * 1000,
    };
    return ST_OK;
}
