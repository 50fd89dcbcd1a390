#include "wire/msg.h"

#include <string.h>

#include "wire/scalar.h"

#define NAME_MAX_BYTES 512
#define CONTACTS_MAX_BYTES 4096
#define ARRAY_HEADER_MAX_BYTES 3
/* Limits of times and amounts, with which the receiver's sums and products
 * stay in int64_t. Senders stay far below them. */
#define DURATION_MAX_US (1000LL * 24 * 3600 * 1000000)
#define AMOUNT_MAX 100000000000000LL

/* State of one pass over the fields of a message. Encoding makes a counting
 * pass and a writing pass, decoding a reading pass; all use the same field
 * list. A message is one flat array of integers, booleans and byte strings. */
struct io {
    enum { IO_COUNT, IO_WRITE, IO_READ } mode;
    msgpack_packer pk;
    uint32_t fields; /**< fields counted so far, or left to read */
    struct str in;
    size_t at;
    bool is_malformed;
};

/* Reads the next object. An object of another type marks the message as
 * malformed. */
static bool
read_scalar(struct io *io, msgpack_object_type type, msgpack_object *out)
{
    io->is_malformed = io->is_malformed || io->fields == 0 ||
                       !scalar_read(io->in, &io->at, out) || out->type != type;
    io->fields--;
    return !io->is_malformed;
}

static void
io_u64(struct io *io, uint64_t *v)
{
    msgpack_object o;
    switch (io->mode) {
    case IO_COUNT:
        io->fields++;
        break;
    case IO_WRITE:
        msgpack_pack_uint64(&io->pk, *v);
        break;
    case IO_READ:
        if (read_scalar(io, MSGPACK_OBJECT_POSITIVE_INTEGER, &o)) {
            *v = o.via.u64;
        }
        break;
    }
}

/* Encodes or decodes a number in [0, max]; negative values are encoded as
 * 0. */
static void
io_i64(struct io *io, int64_t *v, int64_t max)
{
    uint64_t u = *v < 0 ? 0 : (uint64_t)*v;
    io_u64(io, &u);
    if (io->mode == IO_READ && !io->is_malformed) {
        io->is_malformed = u > (uint64_t)max;
        *v = (int64_t)u;
    }
}

static void
io_int(struct io *io, int *v, int max)
{
    int64_t i = *v;
    io_i64(io, &i, max);
    *v = (int)i;
}

#define IO_ENUM(io, field, count)                                             \
    do {                                                                      \
        int e_ = (int)(field);                                                \
        io_int((io), &e_, (count)-1);                                         \
        (field) = e_;                                                         \
    } while (0)

static void
io_bool(struct io *io, bool *v)
{
    msgpack_object o;
    switch (io->mode) {
    case IO_COUNT:
        io->fields++;
        break;
    case IO_WRITE:
        *v ? msgpack_pack_true(&io->pk) : msgpack_pack_false(&io->pk);
        break;
    case IO_READ:
        if (read_scalar(io, MSGPACK_OBJECT_BOOLEAN, &o)) {
            *v = o.via.boolean;
        }
        break;
    }
}

static void
io_str(struct io *io, struct str *v, size_t max)
{
    msgpack_object o;
    switch (io->mode) {
    case IO_COUNT:
        io->fields++;
        break;
    case IO_WRITE:
        msgpack_pack_bin(&io->pk, v->len);
        msgpack_pack_bin_body(&io->pk, v->ptr, v->len);
        break;
    case IO_READ:
        if (read_scalar(io, MSGPACK_OBJECT_BIN, &o)) {
            *v = str_from_bytes(o.via.bin.ptr, o.via.bin.size);
            io->is_malformed = v->len > max;
        }
        break;
    }
}

static void
io_digest(struct io *io, struct digest *d)
{
    io_u64(io, &d->hi);
    io_u64(io, &d->lo);
}

static void
io_attempt(struct io *io, struct attempt_id *a)
{
    io_u64(io, &a->node);
    io_u64(io, &a->incarnation);
    io_u64(io, &a->seq);
}

static void
io_gossip(struct io *io, struct gossip *g)
{
    IO_ENUM(io, g->kind, GOSSIP_SUSPECT + 1);
    if (io->is_malformed) {
        return;
    }
    switch (g->kind) {
    case GOSSIP_MEMBER:
        io_u64(io, &g->member.node);
        io_u64(io, &g->member.incarnation);
        IO_ENUM(io, g->member.state, MEMBER_LEFT + 1);
        break;
    case GOSSIP_ENDPOINT:
        io_str(io, &g->endpoint.endpoint, NAME_MAX_BYTES);
        io_str(io, &g->endpoint.start_id, NAME_MAX_BYTES);
        io_u64(io, &g->endpoint.seq);
        io_bool(io, &g->endpoint.cold);
        break;
    case GOSSIP_SUSPECT:
        io_digest(io, &g->suspect.content);
        io_int(io, &g->suspect.strikes, INT32_MAX);
        io_i64(io, &g->suspect.hold_us, DURATION_MAX_US);
        break;
    }
}

static void
io_probe(struct io *io, struct probe_body *b)
{
    io_u64(io, &b->seq);
    io_u64(io, &b->target);
    for (int i = 0; i < DOC_COUNT; i++) {
        io_i64(io, &b->revisions[i], INT64_MAX);
    }
    io_i64(io, &b->contact_roster, INT64_MAX);
    io_str(io, &b->contact_age_bytes, CONTACTS_MAX_BYTES);
    io_int(io, &b->gossip_count, MSG_MAX_GOSSIP);
    for (int i = 0; !io->is_malformed && i < b->gossip_count; i++) {
        io_gossip(io, &b->gossip[i]);
    }
}

static void
io_doc(struct io *io, struct doc_body *b)
{
    IO_ENUM(io, b->doc, DOC_COUNT);
    io_i64(io, &b->revision, INT64_MAX);
    io_str(io, &b->bytes, MSG_MAX_BYTES);
}

static void
io_claim(struct io *io, struct claim_request *b)
{
    IO_ENUM(io, b->verb, CLAIM_VERB_ABANDON + 1);
    io_digest(io, &b->key);
    io_digest(io, &b->body);
    io_attempt(io, &b->attempt);
    io_i64(io, &b->valid_us, INT64_MAX);
    io_int(io, &b->http_status, 999);
    io_str(io, &b->answer, CLAIM_ANSWER_MAX_BYTES + 1);
}

static void
io_claim_reply(struct io *io, struct claim_reply *b)
{
    IO_ENUM(io, b->verb, CLAIM_VERB_ABANDON + 1);
    IO_ENUM(io, b->state, CLAIM_CLOSED + 1);
    io_digest(io, &b->key);
    io_attempt(io, &b->attempt);
    io_int(io, &b->http_status, 999);
    io_bool(io, &b->answer_stored);
    io_bool(io, &b->key_free);
    io_str(io, &b->answer, CLAIM_ANSWER_MAX_BYTES);
}

static void
io_credit(struct io *io, struct credit_request *b)
{
    io_u64(io, &b->credit);
    io_str(io, &b->endpoint, NAME_MAX_BYTES);
    io_i64(io, &b->lifetime_us, CREDIT_MAX_LIFETIME_US);
    io_bool(io, &b->renew);
    io_u64(io, &b->sent);
}

static void
io_credit_reply(struct io *io, struct credit_reply *b)
{
    io_u64(io, &b->credit);
    io_str(io, &b->endpoint, NAME_MAX_BYTES);
    io_bool(io, &b->granted);
    io_i64(io, &b->retry_us, DURATION_MAX_US);
    io_u64(io, &b->warm_seq);
    io_u64(io, &b->sent);
}

static void
io_credit_release(struct io *io, struct credit_release *b)
{
    io_u64(io, &b->credit);
    io_str(io, &b->endpoint, NAME_MAX_BYTES);
    io_bool(io, &b->used);
    io_bool(io, &b->ok);
    IO_ENUM(io, b->report, CREDIT_REPORT_COUNT);
    io_u64(io, &b->sent);
}

static void
io_credit_query(struct io *io, struct credit_query *b)
{
    io_str(io, &b->endpoint, NAME_MAX_BYTES);
    io_u64(io, &b->query);
}

static void
io_credit_state(struct io *io, struct credit_state *b)
{
    io_str(io, &b->endpoint, NAME_MAX_BYTES);
    io_u64(io, &b->query);
    io_u64(io, &b->bound);
    io_u64(io, &b->warm_seq);
    io_int(io, &b->in_flight, INT32_MAX);
    io_int(io, &b->count, MSG_MAX_CREDITS);
    for (int i = 0; !io->is_malformed && i < b->count; i++) {
        io_u64(io, &b->credits[i]);
    }
}

static void
io_cold(struct io *io, struct cold_notice *b)
{
    io_str(io, &b->endpoint, NAME_MAX_BYTES);
    io_str(io, &b->start_id, NAME_MAX_BYTES);
    io_int(io, &b->in_flight, INT32_MAX);
    io_bool(io, &b->detected);
    io_u64(io, &b->seq);
}

static void
io_stage_work_request(struct io *io, struct stage_work_request *b)
{
    io_u64(io, &b->correlation_id);
    io_u64(io, &b->service);
    io_int(io, &b->group, INT32_MAX);
    io_str(io, &b->request_id, NAME_MAX_BYTES);
    io_int(io, &b->stage, INT32_MAX);
    io_int(io, &b->priority, INT32_MAX);
    io_i64(io, &b->target_left_us, DURATION_MAX_US);
    io_i64(io, &b->expiry_left_us, DURATION_MAX_US);
    io_i64(io, &b->end_left_us, DURATION_MAX_US);
    io_i64(io, &b->bytes, AMOUNT_MAX);
    io_str(io, &b->zone, NAME_MAX_BYTES);
    io_i64(io, &b->zone_bytes, AMOUNT_MAX);
    io_i64(io, &b->held_bytes, AMOUNT_MAX);
    io_bool(io, &b->keyed);
    io_str(io, &b->key, NAME_MAX_BYTES);
    io_int(io, &b->piece_count, STAGE_MAX_PIECES);
    for (int i = 0; !io->is_malformed && i < b->piece_count; i++) {
        io_int(io, &b->pieces[i], INT32_MAX);
    }
    io_int(io, &b->input_count, STAGE_MAX_INPUTS);
    for (int i = 0; !io->is_malformed && i < b->input_count; i++) {
        io_str(io, &b->inputs[i], NAME_MAX_BYTES);
    }
    /* Builds without these fields reject them. They send none, and are sent
     * none. */
    if (io->mode == IO_READ ? io->fields > 0
                            : b->team || b->waited_before_us > 0) {
        io_u64(io, &b->team);
        io_i64(io, &b->waited_before_us, DURATION_MAX_US);
    }
}

static void
io_stage_results(struct io *io, struct stage_results *b)
{
    io_u64(io, &b->correlation_id);
    io_u64(io, &b->maker);
    io_i64(io, &b->waited_us, DURATION_MAX_US);
    io_int(io, &b->count, STAGE_MAX_PIECES);
    for (int i = 0; !io->is_malformed && i < b->count; i++) {
        io_int(io, &b->items[i].piece, INT32_MAX);
        io_str(io, &b->items[i].handle, NAME_MAX_BYTES);
    }
}

static void
io_stage_ack(struct io *io, struct stage_ack *b)
{
    io_u64(io, &b->correlation_id);
    io_i64(io, &b->wait_us, DURATION_MAX_US);
}

static void
io_stage_result(struct io *io, struct stage_result *b)
{
    io_u64(io, &b->correlation_id);
    io_int(io, &b->piece, INT32_MAX);
    IO_ENUM(io, b->outcome, PIECE_OUTCOME_COUNT);
    io_str(io, &b->handle, NAME_MAX_BYTES);
    io_u64(io, &b->maker);
    io_i64(io, &b->waited_us, DURATION_MAX_US);
}

static void
io_stage_drop(struct io *io, struct stage_drop *b)
{
    io_u64(io, &b->correlation_id);
    io_bool(io, &b->keep_results);
}

static void
io_prefill(struct io *io, struct prefill_notice *b)
{
    io_u64(io, &b->endpoint);
    io_i64(io, &b->tokens, AMOUNT_MAX);
    io_int(io, &b->part_count, PREFILL_MAX_PARTS);
    for (int i = 0; !io->is_malformed && i < b->part_count; i++) {
        io_u64(io, &b->parts[i]);
        io_int(io, &b->part_tokens[i], INT32_MAX);
    }
}

static void
io_engine_notice(struct io *io, struct engine_notice *b)
{
    io_int(io, &b->count, ENGINE_NOTICE_MAX);
    for (int i = 0; !io->is_malformed && i < b->count; i++) {
        io_u64(io, &b->samples[i].endpoint);
        io_i64(io, &b->samples[i].actual_us, DURATION_MAX_US);
        io_i64(io, &b->samples[i].tokens, AMOUNT_MAX);
        io_int(io, &b->samples[i].running, INT32_MAX);
    }
}

/* The kinds of notices of contents follow those of parts, so a build that
 * knows only these rejects them. */
static void
io_part_notice(struct io *io, struct part_notice *b)
{
    int kind = (int)b->subject * PART_NOTICE_KIND_COUNT + (int)b->kind;
    io_int(io, &kind, CRASH_SUBJECT_COUNT * PART_NOTICE_KIND_COUNT - 1);
    b->subject = (enum crash_subject)(kind / PART_NOTICE_KIND_COUNT);
    b->kind = (enum part_notice_kind)(kind % PART_NOTICE_KIND_COUNT);
    io_i64(io, &b->age_us, DURATION_MAX_US);
    io_u64(io, &b->endpoint);
    io_bool(io, &b->head_sent);
    io_int(io, &b->trials, INT32_MAX);
    io_int(io, &b->part_count, PART_NOTICE_MAX_PARTS);
    for (int i = 0; !io->is_malformed && i < b->part_count; i++) {
        io_u64(io, &b->parts[i]);
    }
}

static void
io_return_notice(struct io *io, struct return_notice *b)
{
    io_int(io, &b->count, RETURN_NOTICE_MAX);
    for (int i = 0; !io->is_malformed && i < b->count; i++) {
        io_u64(io, &b->returns[i].content);
        io_i64(io, &b->returns[i].due_left_us, DURATION_MAX_US);
        io_i64(io, &b->returns[i].waited_us, DURATION_MAX_US);
    }
}

static void
io_feed_query(struct io *io, struct feed_query *b)
{
    io_u64(io, &b->correlation_id);
    io_int(io, &b->track, INT32_MAX);
    io_i64(io, &b->revision, INT64_MAX);
    io_bool(io, &b->wait_for_contact);
}

static void
io_feed_reply(struct io *io, struct feed_reply *b)
{
    io_u64(io, &b->correlation_id);
    io_bool(io, &b->known);
    io_i64(io, &b->age_us, INT64_MAX);
    io_i64(io, &b->revision, INT64_MAX);
    io_int(io, &b->item_count, FEED_RELAY_MAX_ITEMS);
    for (int i = 0; !io->is_malformed && i < b->item_count; i++) {
        io_str(io, &b->items[i].key, NAME_MAX_BYTES);
        io_str(io, &b->items[i].value, MSG_MAX_BYTES);
        io_i64(io, &b->items[i].revision, INT64_MAX);
        io_bool(io, &b->items[i].deleted);
    }
    /* Builds without eras reject these fields. They send queries without an
     * era, and get replies without one. */
    if (io->mode == IO_READ ? io->fields > 0 : b->era > 0) {
        io_i64(io, &b->era, INT64_MAX);
        io_i64(io, &b->version, INT64_MAX);
    }
}

/* Most buckets are empty, so a tally has only those from the first one to the
 * last one that are not. */
static void
io_tally(struct io *io, struct rollout_tally *t)
{
    int first = 0;
    int end = ROLLOUT_BUCKETS;
    io_i64(io, &t->sent, AMOUNT_MAX);
    io_i64(io, &t->failed, AMOUNT_MAX);
    while (end > 0 && t->buckets[end - 1] == 0) {
        end--;
    }
    while (first < end && t->buckets[first] == 0) {
        first++;
    }
    io_int(io, &first, ROLLOUT_BUCKETS);
    io_int(io, &end, ROLLOUT_BUCKETS);
    for (int i = first; !io->is_malformed && i < end; i++) {
        io_i64(io, &t->buckets[i], AMOUNT_MAX);
    }
}

static void
io_rollout_report(struct io *io, struct rollout_report *b)
{
    io_u64(io, &b->service);
    io_u64(io, &b->order);
    io_i64(io, &b->step, INT64_MAX);
    io_bool(io, &b->is_ack);
    io_bool(io, &b->stop);
    io_i64(io, &b->longest_us, DURATION_MAX_US);
    for (int side = 0; side < ROLLOUT_SIDES; side++) {
        io_i64(io, &b->counts.running[side], AMOUNT_MAX);
    }
    io_int(io, &b->counts.route_count, ROLLOUT_MAX_ROUTES);
    for (int i = 0; !io->is_malformed && i < b->counts.route_count; i++) {
        io_u64(io, &b->counts.routes[i].route);
        for (int side = 0; side < ROLLOUT_SIDES; side++) {
            io_tally(io, &b->counts.routes[i].sides[side]);
        }
    }
}

static void
io_msg(struct io *io, struct msg *m)
{
    uint64_t version = MSG_VERSION;
    io_u64(io, &version);
    io->is_malformed = io->is_malformed || version != MSG_VERSION;
    IO_ENUM(io, m->type, MSG_TYPE_COUNT);
    io_u64(io, &m->from);
    io_u64(io, &m->incarnation);
    if (io->is_malformed) {
        return;
    }
    switch (m->type) {
#define X(id, name, field, type)                                              \
    case MSG_##id:                                                            \
        io_##field(io, &m->field);                                            \
        break;
        MSG_LIST(X)
#undef X
    case MSG_TYPE_COUNT:
        io->is_malformed = true;
        break;
    }
}

const char *
msg_type_name(enum msg_type t)
{
    static const char *const names[] = {
#define X(id, name, field, type) name,
        MSG_LIST(X)
#undef X
    };
    return t < MSG_TYPE_COUNT ? names[t] : "unknown";
}

void
msg_encode(const struct msg *m, struct buf *out)
{
    struct msg copy = *m;
    struct io io = {.mode = IO_COUNT};
    io_msg(&io, &copy);
    io.mode = IO_WRITE;
    msgpack_packer_init(&io.pk, out, scalar_write_packed);
    msgpack_pack_array(&io.pk, io.fields);
    io_msg(&io, &copy);
}

enum status
msg_decode(struct str bytes, struct msg *out)
{
    struct io io = {.mode = IO_READ, .in = bytes};
    const unsigned char *p = (const unsigned char *)bytes.ptr;
    memset(out, 0, sizeof(*out));
    if (bytes.len < ARRAY_HEADER_MAX_BYTES || bytes.len > MSG_MAX_BYTES) {
        return err_set(ST_INVALID, "a message cannot have %zu bytes",
                       bytes.len);
    }
    if ((p[0] & 0xf0) == 0x90) {
        io.fields = p[0] & 0x0f;
        io.at = 1;
    }
    else if (p[0] == 0xdc) {
        io.fields = (uint32_t)p[1] << 8 | p[2];
        io.at = ARRAY_HEADER_MAX_BYTES;
    }
    io_msg(&io, out);
    if (io.is_malformed || io.fields != 0 || io.at != bytes.len) {
        return err_set(ST_INVALID, "malformed message near byte %zu", io.at);
    }
    return ST_OK;
}
