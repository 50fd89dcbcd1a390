#include "control/join.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/clean.h"
#include "base/rng.h"

#define OP_TAG (UINT64_C(0xd1) << 56)
#define OP_MASK (UINT64_C(0xff) << 56)

#define CHECK_US 100000
#define TIMEOUT_US 1000000
#define RETRY_MIN_US 50000
#define RETRY_MAX_US 2000000
/* Outages last long; a joining node asks this often meanwhile. */
#define OUTAGE_RETRY_US 1000000
#define DEAD_US 30000000
#define DEAD_FORCED_US 3600000000
#define LEAVE_US 3000000

struct join {
    struct roster_member self;
    struct rng rng;
    bool leaving;
    int64_t leave_us;
    uint64_t next_op;
    uint64_t op; /* in flight, 0: none */
    bool op_is_get;
    bool reread;     /* what the store has is not known for certain */
    struct str sent; /* owned: document of the CAS in flight */
    int64_t next_us;
    int64_t wait_us;
    uint64_t writes, conflicts, failures;
};

struct join *
join_new(const struct join_options *o, int64_t now_us)
{
    struct join *j = mem_zero(1, sizeof(*j));
    j->self = o->self;
    j->self.name = str_dup(o->self.name);
    j->self.address = str_dup(o->self.address);
    j->self.zone = str_dup(o->self.zone);
    j->self.region = str_dup(o->self.region);
    j->self.key = str_dup(o->self.key);
    rng_seed(&j->rng, o->seed ^ (o->self.node * 5));
    j->next_us = now_us;
    j->wait_us = RETRY_MIN_US;
    return j;
}

void
join_free(struct join *j)
{
    if (j) {
        str_free(&j->self.name);
        str_free(&j->self.address);
        str_free(&j->self.zone);
        str_free(&j->self.region);
        str_free(&j->self.key);
        str_free(&j->sent);
        free(j);
    }
}

void
join_leave(struct join *j, int64_t now_us)
{
    j->leaving = true;
    j->leave_us = now_us;
    j->next_us = now_us;
}

bool
join_left(const struct join *j, const struct docs *d, int64_t now_us)
{
    bool gone = !roster_find(docs_roster(d), j->self.node);
    return j->leaving && (gone || now_us >= j->leave_us + LEAVE_US);
}

bool
join_done(const struct join *j, const struct docs *d)
{
    const struct roster_member *me = roster_find(docs_roster(d), j->self.node);
    return me && me->incarnation >= j->self.incarnation;
}

/* Whether the voters of the region may change now. */
static bool
may_change(struct docs *d, struct member *m, struct str region)
{
    return member_confirmed(m, region, DOC_ROSTER,
                            docs_get(d, DOC_ROSTER).revision);
}

static bool
want_self(struct join *j, struct docs *d, struct buf *out)
{
    const struct roster *r = docs_roster(d);
    const struct roster_member *me = roster_find(r, j->self.node);
    struct roster_member next = j->self;
    if (me && me->incarnation >= j->self.incarnation &&
        str_eq(me->address, j->self.address)) {
        return false;
    }
    next.vote = me ? me->vote && str_eq(me->region, next.region)
                   : roster_voters(r, next.region) == 0;
    if (me && me->incarnation > next.incarnation) {
        next.incarnation = me->incarnation;
    }
    roster_with(r, &next, out);
    return true;
}

static bool
want_leave(struct join *j, struct docs *d, struct member *m, struct buf *out)
{
    const struct roster *r = docs_roster(d);
    const struct roster_member *me = roster_find(r, j->self.node);
    if (!me || (me->vote && !may_change(d, m, me->region))) {
        return false;
    }
    roster_without(r, j->self.node, out);
    return true;
}

/* The roster owner's clean-up: one removal or one vote. */
static bool
want_upkeep(struct join *j, int64_t now_us, struct docs *d, struct member *m,
            struct buf *out)
{
    const struct roster *r = docs_roster(d);
    struct str all = {0};
    if (view_owner(member_view(m), STR_LIT("roster"), all) != j->self.node) {
        return false;
    }
    for (int i = 0; i < r->count; i++) {
        const struct roster_member *rm = &r->members[i];
        enum member_state state = MEMBER_ALIVE;
        int64_t since = now_us;
        member_state_of(m, rm->node, &state, &since);
        bool gone = (state == MEMBER_DEAD && now_us - since >= DEAD_US) ||
                    state == MEMBER_LEFT;
        if (gone && (!rm->vote || now_us - since >= DEAD_FORCED_US ||
                     may_change(d, m, rm->region))) {
            roster_without(r, rm->node, out);
            return true;
        }
        if (state == MEMBER_ALIVE && !rm->vote &&
            may_change(d, m, rm->region)) {
            struct roster_member voter = *rm;
            voter.vote = true;
            roster_with(r, &voter, out);
            return true;
        }
    }
    return false;
}

static void
start(struct join *j, enum store_op_kind kind, int64_t expect,
      struct outbox *out)
{
    struct control_action a = {.kind = CONTROL_ACT_STORE};
    j->op = OP_TAG | ++j->next_op;
    j->op_is_get = kind == STORE_GET;
    a.store.id = j->op;
    a.store.kind = kind;
    a.store.key = STR_LIT("cf/roster");
    a.store.expect = expect;
    a.store.value = j->sent;
    a.store.timeout_us = TIMEOUT_US;
    outbox_push(out, &a);
}

void
join_tick(struct join *j, int64_t now_us, struct docs *d, struct member *m,
          struct outbox *out)
{
    CLEAN(buf_free) struct buf next = {0};
    if (j->op || now_us < j->next_us || !docs_known(d, DOC_ROSTER)) {
        return;
    }
    j->next_us = now_us + CHECK_US;
    bool want = j->leaving ? want_leave(j, d, m, &next)
                           : want_self(j, d, &next) ||
                                 want_upkeep(j, now_us, d, m, &next);
    if (!want) {
        return;
    }
    str_free(&j->sent);
    if (j->reread) {
        start(j, STORE_GET, 0, out);
        return;
    }
    j->sent = buf_take(&next);
    start(j, STORE_CAS, docs_get(d, DOC_ROSTER).revision, out);
}

bool
join_owns_op(const struct join *j, uint64_t op)
{
    (void)j;
    return (op & OP_MASK) == OP_TAG;
}

static void
back_off(struct join *j, int64_t now_us, int64_t at_least_us)
{
    int64_t wait = j->wait_us > at_least_us ? j->wait_us : at_least_us;
    j->next_us =
        now_us + wait / 2 + (int64_t)rng_below(&j->rng, (uint64_t)wait);
    j->wait_us = j->wait_us * 2 < RETRY_MAX_US ? j->wait_us * 2 : RETRY_MAX_US;
}

void
join_store(struct join *j, int64_t now_us, struct docs *d, struct member *m,
           const struct store_result *r, struct outbox *out)
{
    if (r->id != j->op) {
        return;
    }
    j->op = 0;
    switch (r->outcome) {
    case STORE_OK:
        j->reread = false;
        j->next_us = now_us;
        j->wait_us = RETRY_MIN_US;
        j->writes += !j->op_is_get;
        docs_offer(d, member_view(m), DOC_ROSTER, r->revision,
                   j->op_is_get ? r->value : j->sent, !j->op_is_get, out);
        break;
    case STORE_ABSENT:
        j->reread = false;
        j->next_us = now_us;
        break;
    case STORE_CONFLICT:
        j->reread = true;
        j->conflicts++;
        back_off(j, now_us, 0);
        break;
    case STORE_FAILED:
    case STORE_LOST:
        j->reread = true;
        j->failures++;
        back_off(j, now_us, OUTAGE_RETRY_US);
        break;
    }
    str_free(&j->sent);
}

int64_t
join_wakeup(const struct join *j)
{
    return j->op ? INT64_MAX : j->next_us;
}

void
join_metrics(const struct join *j, struct buf *out)
{
    buf_printf(out,
               "camphorfall_roster_writes_total %" PRIu64 "\n"
               "camphorfall_roster_conflicts_total %" PRIu64 "\n"
               "camphorfall_roster_failures_total %" PRIu64 "\n",
               j->writes, j->conflicts, j->failures);
}
