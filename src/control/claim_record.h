/**
 * @file claim_record.h
 * The MessagePack encoding of one claim bucket's record in the key-value
 * service: a header array, then one array per entry.
 */
#ifndef CONTROL_CLAIM_RECORD_H
#define CONTROL_CLAIM_RECORD_H

#include "base/err.h"
#include "model/control_request.h"

/** Identifies the write of a record: (owner, incarnation, write_id) is
 * unique per write. */
struct claim_header {
    uint64_t owner;
    uint64_t incarnation;
    uint64_t epoch; /**< increases with each change of owner */
    uint64_t write_id;
    uint32_t count; /**< number of entries that follow */
};

/** One claim. Times are encoded in ms. */
struct claim_entry {
    struct digest key;
    struct digest body;
    struct attempt_id attempt;
    bool done; /**< the outcome is recorded */
    int http_status;
    bool answer_stored;
    struct str answer;
    int64_t age_us; /**< time since the claim, or since its outcome if done */
    int64_t valid_us; /**< the attempt's validity when it claimed */
};

/** Upper bound of an entry's encoded size without its answer, in bytes. */
#define CLAIM_ENTRY_BYTES 112

void claim_header_encode(const struct claim_header *h, struct buf *out);
void claim_entry_encode(const struct claim_entry *e, struct buf *out);

/** Decodes the header; @p offset receives the offset of the first entry. */
enum status claim_header_decode(struct str bytes, struct claim_header *h,
                                size_t *offset);

/** Decodes the entry at @p offset and advances @p offset to the next entry.
 * The answer points into @p bytes. */
enum status claim_entry_decode(struct str bytes, size_t *offset,
                               struct claim_entry *e);

#endif
