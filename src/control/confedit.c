#include "control/confedit.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "model/edit.h"

#define OP_TAG (UINT64_C(0xd2) << 56)
#define OP_MASK (UINT64_C(0xff) << 56)
#define MAX_OPEN_EDITS 64
#define STORE_TIMEOUT_US 1000000
#define MIN_BACKOFF_US 50000
#define MAX_BACKOFF_US 1000000
/* Delay of the first ping of voters whose acknowledgement is missing. Pushed
 * documents are acknowledged sooner if no message is lost. */
#define FIRST_CONFIRM_PING_US 250000
#define CONFIRM_PING_INTERVAL_US 500000

enum phase {
    PHASE_QUEUED, /* waits for earlier edits or for a retry */
    PHASE_READ,
    PHASE_WRITE,
    PHASE_CONFIRM,
};

struct pending_edit {
    uint64_t id;
    struct edit *edit;
    int64_t deadline_us;
    enum phase phase;
    uint64_t op;
    int64_t expect;             /* revision that the CAS in flight replaces */
    bool must_read;             /* this node's copy may be too old */
    bool write_outcome_unknown; /* a CAS without an answer may still take
                                   effect */
    int64_t unknown_write_expect; /* revision that this CAS replaces */
    struct str cas_value;         /* owned: document of the CAS in flight */
    int64_t revision; /* PHASE_CONFIRM: of the document that contains
                         the change */
    int64_t next_us;
    int64_t backoff_us;
};

struct confedit {
    struct rng rng;
    uint64_t next_op;
    int count;
    struct pending_edit *requests[MAX_OPEN_EDITS]; /* in order of arrival */
    uint64_t answered[ERRKIND_COUNT];
    uint64_t retries;
};

struct confedit *
confedit_new(uint64_t node, uint64_t seed)
{
    struct confedit *c = mem_calloc(1, sizeof(*c));
    rng_seed(&c->rng, seed ^ (node * 7));
    return c;
}

static void
pending_edit_free(struct pending_edit *r)
{
    edit_free(r->edit);
    str_free(&r->cas_value);
    free(r);
}

void
confedit_free(struct confedit *c)
{
    if (!c) {
        return;
    }
    for (int i = 0; i < c->count; i++) {
        pending_edit_free(c->requests[i]);
    }
    free(c);
}

int
confedit_open_count(const struct confedit *c)
{
    return c->count;
}

/* Converts lines of text to a JSON array of strings. */
static json_t *
lines(struct str text)
{
    json_t *list = json_array();
    size_t from = 0;
    for (size_t i = 0; i < text.len; i++) {
        if (text.ptr[i] == '\n') {
            json_array_append_new(list,
                                  json_stringn(text.ptr + from, i - from));
            from = i + 1;
        }
    }
    return list;
}

/* Answers an edit; takes ownership of the reference to body. */
static void
answer(struct confedit *c, uint64_t id, enum errkind error, json_t *body,
       struct outbox *out)
{
    struct control_action a = {.kind = CONTROL_ACT_ADMIN};
    if (error != ERRKIND_NONE) {
        json_object_set_new(body, "message",
                            json_string(errkind_info(error)->message));
    }
    char *s = json_dumps(body, JSON_COMPACT);
    a.admin.id = id;
    a.admin.error = error;
    a.admin.body = str_from_cstr(s);
    outbox_push(out, &a);
    c->answered[error]++;
    free(s);
    json_decref(body);
}

static void
finish(struct confedit *c, struct pending_edit *r, enum errkind error,
       json_t *body, struct outbox *out)
{
    answer(c, r->id, error, body, out);
    int i = 0;
    while (c->requests[i] != r) {
        i++;
    }
    memmove(&c->requests[i], &c->requests[i + 1],
            sizeof(struct pending_edit *) * (size_t)(c->count - i - 1));
    c->count--;
    pending_edit_free(r);
}

static void
start_op(struct confedit *c, struct pending_edit *r, enum store_op_kind kind,
         int64_t now_us, struct outbox *out)
{
    struct control_action a = {.kind = CONTROL_ACT_STORE};
    int64_t left = r->deadline_us - now_us;
    r->op = OP_TAG | ++c->next_op;
    r->phase = kind == STORE_GET ? PHASE_READ : PHASE_WRITE;
    a.store.id = r->op;
    a.store.kind = kind;
    a.store.key = STR_LIT("cf/config");
    a.store.expect = r->expect;
    a.store.value = kind == STORE_CAS ? r->cas_value : (struct str){0};
    a.store.timeout_us = left < STORE_TIMEOUT_US ? left : STORE_TIMEOUT_US;
    outbox_push(out, &a);
}

static void
wait_for_confirmation(struct pending_edit *r, int64_t now_us, int64_t revision)
{
    r->phase = PHASE_CONFIRM;
    r->revision = revision;
    r->next_us = now_us + FIRST_CONFIRM_PING_US;
}

/* Applies the edit to a document and starts the CAS, or answers the edit if
 * there is nothing to write. */
static void
apply(struct confedit *c, struct pending_edit *r, int64_t now_us,
      struct str doc, int64_t revision, struct outbox *out)
{
    struct buf next = {0};
    struct buf reasons = {0};
    switch (edit_apply(r->edit, doc, revision, &next, &reasons)) {
    case EDIT_APPLIED:
        str_free(&r->cas_value);
        r->cas_value = buf_take_str(&next);
        r->expect = revision;
        start_op(c, r, STORE_CAS, now_us, out);
        break;
    case EDIT_DUPLICATE:
        wait_for_confirmation(r, now_us, revision);
        break;
    case EDIT_CONFLICT:
        finish(c, r, ERRKIND_CONFLICT,
               json_pack("{s:o s:I}", "conflicts", lines(buf_str(&reasons)),
                         "revision", (json_int_t)revision),
               out);
        break;
    case EDIT_INVALID:
        finish(c, r, ERRKIND_BAD_REQUEST,
               json_pack("{s:o}", "faults", lines(buf_str(&reasons))), out);
        break;
    }
    buf_free(&next);
    buf_free(&reasons);
}

/* Starts the next edit. Only one edit of this node reads and writes at a time,
 * so that the edits of one node do not conflict with each other. */
static void
start_next(struct confedit *c, int64_t now_us, struct docs *d,
           struct outbox *out)
{
    int i = 0;
    while (i < c->count && c->requests[i]->phase == PHASE_CONFIRM) {
        i++;
    }
    if (i == c->count) {
        return;
    }
    struct pending_edit *r = c->requests[i];
    struct doc own = docs_get(d, DOC_CONFIG);
    if (r->phase != PHASE_QUEUED || now_us < r->next_us) {
        return;
    }
    if (r->must_read || own.revision == 0 ||
        edit_base(r->edit) > own.revision) {
        start_op(c, r, STORE_GET, now_us, out);
        return;
    }
    apply(c, r, now_us, own.bytes, own.revision, out);
}

static json_t *
list_unconfirmed_regions(struct docs *d, struct member *m, int64_t revision)
{
    const struct roster *r = docs_roster(d);
    json_t *list = json_array();
    for (int i = 0; i < r->count; i++) {
        struct str region = r->members[i].region;
        bool seen = false;
        for (int k = 0; k < i && !seen; k++) {
            seen = str_eq(r->members[k].region, region);
        }
        if (!seen && !member_is_confirmed(m, region, DOC_CONFIG, revision)) {
            json_array_append_new(list, json_stringn(region.ptr, region.len));
        }
    }
    return list;
}

/* Checks whether all regions have confirmed the revision. Without a roster,
 * this node does not know which voters to wait for. A member with a newer
 * roster uses other majorities, so that roster must be in force here first. */
static bool
is_confirmed(struct docs *d, struct member *m, int64_t revision)
{
    json_t *list = list_unconfirmed_regions(d, m, revision);
    bool all =
        json_array_size(list) == 0 && docs_get(d, DOC_ROSTER).revision > 0;
    json_decref(list);
    return all && docs_get(d, DOC_CONFIG).revision >= revision &&
           member_newest_revision(m, DOC_ROSTER) <=
               docs_get(d, DOC_ROSTER).revision;
}

/* Answers the edit if it is confirmed or its deadline has passed; otherwise
 * pings voters when due. @return true if the edit was answered */
static bool
check(struct confedit *c, struct pending_edit *r, int64_t now_us,
      struct docs *d, struct member *m, struct outbox *out)
{
    if (r->phase == PHASE_CONFIRM && is_confirmed(d, m, r->revision)) {
        struct str change = edit_change(r->edit);
        finish(c, r, ERRKIND_NONE,
               json_pack("{s:I s:s%}", "revision", (json_int_t)r->revision,
                         "change", change.ptr, change.len),
               out);
        return true;
    }
    if (now_us >= r->deadline_us) {
        if (r->phase == PHASE_CONFIRM) {
            finish(c, r, ERRKIND_CHANGE_UNCONFIRMED,
                   json_pack("{s:I s:o}", "revision", (json_int_t)r->revision,
                             "regions",
                             list_unconfirmed_regions(d, m, r->revision)),
                   out);
        }
        else if (r->phase == PHASE_WRITE || r->write_outcome_unknown) {
            finish(c, r, ERRKIND_CHANGE_UNCONFIRMED,
                   json_pack("{s:s s:o}", "stored", "unknown", "regions",
                             list_unconfirmed_regions(d, m, INT64_MAX)),
                   out);
        }
        else {
            finish(c, r, ERRKIND_NOT_ACCEPTED, json_object(), out);
        }
        return true;
    }
    if (r->phase == PHASE_CONFIRM && now_us >= r->next_us) {
        member_ping_unconfirmed(m, now_us, DOC_CONFIG, r->revision, out);
        r->next_us = now_us + CONFIRM_PING_INTERVAL_US;
    }
    return false;
}

void
confedit_tick(struct confedit *c, int64_t now_us, struct docs *d,
              struct member *m, struct outbox *out)
{
    int i = 0;
    while (i < c->count) {
        if (!check(c, c->requests[i], now_us, d, m, out)) {
            i++;
        }
    }
    start_next(c, now_us, d, out);
}

void
confedit_start(struct confedit *c, int64_t now_us, struct docs *d,
               struct member *m, uint64_t id, bool full_document,
               struct str body, int64_t deadline_us, struct outbox *out)
{
    struct buf faults = {0};
    struct edit *e = NULL;
    if (edit_parse(body, full_document, &e, &faults) != ST_OK) {
        answer(c, id, ERRKIND_BAD_REQUEST,
               json_pack("{s:o}", "faults", lines(buf_str(&faults))), out);
    }
    else if (c->count == MAX_OPEN_EDITS) {
        answer(c, id, ERRKIND_NOT_ACCEPTED, json_object(), out);
        edit_free(e);
    }
    else {
        struct pending_edit *r = mem_calloc(1, sizeof(*r));
        r->id = id;
        r->edit = e;
        r->deadline_us = deadline_us;
        r->next_us = now_us;
        r->backoff_us = MIN_BACKOFF_US;
        c->requests[c->count++] = r;
        confedit_tick(c, now_us, d, m, out);
    }
    buf_free(&faults);
}

bool
confedit_owns_op(const struct confedit *c, uint64_t op)
{
    (void)c;
    return (op & OP_MASK) == OP_TAG;
}

static void
schedule_retry(struct confedit *c, struct pending_edit *r, int64_t now_us)
{
    r->phase = PHASE_QUEUED;
    r->must_read = true;
    r->next_us = now_us + r->backoff_us / 2 +
                 (int64_t)rng_below(&c->rng, (uint64_t)r->backoff_us);
    r->backoff_us = r->backoff_us * 2 < MAX_BACKOFF_US ? r->backoff_us * 2
                                                       : MAX_BACKOFF_US;
    c->retries++;
}

static void
handle_read(struct confedit *c, struct pending_edit *r, int64_t now_us,
            struct docs *d, struct member *m, const struct store_result *res,
            struct outbox *out)
{
    bool absent = res->outcome == STORE_NOT_FOUND;
    if (res->outcome != STORE_OK && !absent) {
        schedule_retry(c, r, now_us);
        return;
    }
    int64_t revision = absent ? 0 : res->revision;
    struct str doc = absent ? (struct str){0} : res->value;
    bool ours = r->write_outcome_unknown &&
                edit_document_has_change(doc, edit_change(r->edit));
    if (!absent) {
        docs_apply(d, member_view(m), DOC_CONFIG, revision, doc, ours, out);
    }
    if (r->write_outcome_unknown && revision > r->unknown_write_expect) {
        /* The stored revision is newer than the one that the CAS expects, so
         * the CAS has either taken effect or never will. */
        r->write_outcome_unknown = false;
    }
    apply(c, r, now_us, doc, revision, out);
}

static void
handle_write(struct confedit *c, struct pending_edit *r, int64_t now_us,
             struct docs *d, struct member *m, const struct store_result *res,
             struct outbox *out)
{
    switch (res->outcome) {
    case STORE_OK:
        docs_apply(d, member_view(m), DOC_CONFIG, res->revision, r->cas_value,
                   true, out);
        wait_for_confirmation(r, now_us, res->revision);
        break;
    case STORE_OUTCOME_UNKNOWN:
        r->write_outcome_unknown = true;
        r->unknown_write_expect = r->expect;
        schedule_retry(c, r, now_us);
        break;
    case STORE_NOT_FOUND:
    case STORE_CONFLICT:
    case STORE_FAILED:
        schedule_retry(c, r, now_us);
        break;
    }
}

void
confedit_handle_store_result(struct confedit *c, int64_t now_us,
                             struct docs *d, struct member *m,
                             const struct store_result *res,
                             struct outbox *out)
{
    int i = 0;
    while (i < c->count && c->requests[i]->op != res->id) {
        i++;
    }
    if (i == c->count) {
        return;
    }
    struct pending_edit *r = c->requests[i];
    r->op = 0;
    if (r->phase == PHASE_READ) {
        handle_read(c, r, now_us, d, m, res, out);
    }
    else {
        handle_write(c, r, now_us, d, m, res, out);
    }
}

int64_t
confedit_next_wakeup_us(const struct confedit *c)
{
    int64_t at = INT64_MAX;
    bool first = true;
    for (int i = 0; i < c->count; i++) {
        const struct pending_edit *r = c->requests[i];
        bool confirms = r->phase == PHASE_CONFIRM;
        /* Of the edits that are not written yet, only the first is retried. */
        bool timed = confirms || (first && r->phase == PHASE_QUEUED);
        int64_t t = r->deadline_us;
        if (timed && r->next_us < t) {
            t = r->next_us;
        }
        first = first && confirms;
        at = t < at ? t : at;
    }
    return at;
}

void
confedit_metrics(const struct confedit *c, struct buf *out)
{
    for (int k = 0; k < ERRKIND_COUNT; k++) {
        if (c->answered[k]) {
            buf_printf(out,
                       "camphorfall_edits_total{answer=\"%s\"} %" PRIu64 "\n",
                       errkind_info((enum errkind)k)->name, c->answered[k]);
        }
    }
    buf_printf(out, "camphorfall_edit_retries_total %" PRIu64 "\n",
               c->retries);
}
