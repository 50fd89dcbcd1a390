#include "control/join.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/clean.h"
#include "base/rng.h"

#define OP_TAG (UINT64_C(0xd1) << 56)
#define OP_MASK (UINT64_C(0xff) << 56)

#define CHECK_INTERVAL_US 250000
#define STORE_TIMEOUT_US 1000000
#define MIN_BACKOFF_US 50000
#define MAX_BACKOFF_US 2000000
/* Shortest backoff during an outage of the store, which may last long. */
#define OUTAGE_BACKOFF_US 1000000
#define REMOVE_DEAD_AFTER_US 30000000
#define REMOVE_DEAD_VOTER_AFTER_US 3600000000
#define LEAVE_TIMEOUT_US 3000000

struct join {
    struct roster_member self;
    struct rng rng;
    bool leaving;
    int64_t leave_start_us;
    uint64_t next_op;
    uint64_t op; /* in flight, 0: none */
    bool op_is_get;
    bool must_reread;     /* the stored roster may differ from this node's */
    struct str cas_value; /* owned: document of the CAS in flight */
    int64_t next_us;
    int64_t backoff_us;
    uint64_t writes, conflicts, failures;
};

struct join *
join_new(const struct join_options *o, int64_t now_us)
{
    struct join *j = mem_calloc(1, sizeof(*j));
    j->self = o->self;
    j->self.name = str_dup(o->self.name);
    j->self.address = str_dup(o->self.address);
    j->self.zone = str_dup(o->self.zone);
    j->self.region = str_dup(o->self.region);
    j->self.key = str_dup(o->self.key);
    rng_seed(&j->rng, o->seed ^ (o->self.node * 5));
    j->next_us = now_us;
    j->backoff_us = MIN_BACKOFF_US;
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
        str_free(&j->cas_value);
        free(j);
    }
}

void
join_start_leave(struct join *j, int64_t now_us)
{
    j->leaving = true;
    j->leave_start_us = now_us;
    j->next_us = now_us;
}

bool
join_is_leave_done(const struct join *j, const struct docs *d, int64_t now_us)
{
    bool gone = !roster_find(docs_roster(d), j->self.node);
    return j->leaving &&
           (gone || now_us >= j->leave_start_us + LEAVE_TIMEOUT_US);
}

bool
join_is_in_roster(const struct join *j, const struct docs *d)
{
    const struct roster_member *me = roster_find(docs_roster(d), j->self.node);
    return me && me->incarnation >= j->self.incarnation;
}

/* Checks whether the set of voters of the region may change now. A majority of
 * the voters must also be alive: otherwise a region that is partitioned from
 * this node could lose a vote. */
static bool
may_change_voters(struct docs *d, struct member *m, struct str region)
{
    const struct roster *r = docs_roster(d);
    int alive = 0;
    for (int i = 0; i < r->count; i++) {
        const struct roster_member *rm = &r->members[i];
        enum member_state state = MEMBER_DEAD;
        int64_t since;
        if (rm->vote && str_eq(rm->region, region)) {
            member_get_state(m, rm->node, &state, &since);
            alive += state == MEMBER_ALIVE || state == MEMBER_SUSPECT;
        }
    }
    int voters = roster_count_voters(r, region);
    return (voters == 0 || alive > voters / 2) &&
           member_is_confirmed(m, region, DOC_ROSTER,
                               docs_get(d, DOC_ROSTER).revision);
}

static bool
plan_join(struct join *j, struct docs *d, struct buf *out)
{
    const struct roster *r = docs_roster(d);
    const struct roster_member *me = roster_find(r, j->self.node);
    struct roster_member next = j->self;
    if (me && me->incarnation >= j->self.incarnation &&
        str_eq(me->address, j->self.address)) {
        return false;
    }
    next.vote = me ? me->vote && str_eq(me->region, next.region)
                   : roster_count_voters(r, next.region) == 0;
    if (me && me->incarnation > next.incarnation) {
        next.incarnation = me->incarnation;
    }
    roster_write_with(r, &next, out);
    return true;
}

static bool
plan_leave(struct join *j, struct docs *d, struct member *m, struct buf *out)
{
    const struct roster *r = docs_roster(d);
    const struct roster_member *me = roster_find(r, j->self.node);
    if (!me || (me->vote && !may_change_voters(d, m, me->region))) {
        return false;
    }
    roster_write_without(r, j->self.node, out);
    return true;
}

/* Plans one change by the roster's owner: removes a member or grants a vote.
 * @return false if nothing needs to change */
static bool
plan_maintenance(struct join *j, int64_t now_us, struct docs *d,
                 struct member *m, struct buf *out)
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
        member_get_state(m, rm->node, &state, &since);
        bool gone =
            (state == MEMBER_DEAD && now_us - since >= REMOVE_DEAD_AFTER_US) ||
            state == MEMBER_LEFT;
        if (gone &&
            (!rm->vote || now_us - since >= REMOVE_DEAD_VOTER_AFTER_US ||
             may_change_voters(d, m, rm->region))) {
            roster_write_without(r, rm->node, out);
            return true;
        }
        if (state == MEMBER_ALIVE && !rm->vote &&
            may_change_voters(d, m, rm->region)) {
            struct roster_member voter = *rm;
            voter.vote = true;
            roster_write_with(r, &voter, out);
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
    a.store.value = j->cas_value;
    a.store.timeout_us = STORE_TIMEOUT_US;
    outbox_push(out, &a);
}

void
join_tick(struct join *j, int64_t now_us, struct docs *d, struct member *m,
          struct outbox *out)
{
    CLEANUP(buf_free) struct buf next = {0};
    if (j->op || now_us < j->next_us) {
        return;
    }
    j->next_us = now_us + CHECK_INTERVAL_US;
    if (!docs_is_known(d, DOC_ROSTER)) {
        return;
    }
    bool planned = j->leaving ? plan_leave(j, d, m, &next)
                              : plan_join(j, d, &next) ||
                                    plan_maintenance(j, now_us, d, m, &next);
    if (!planned) {
        return;
    }
    str_free(&j->cas_value);
    if (j->must_reread) {
        start(j, STORE_GET, 0, out);
        return;
    }
    j->cas_value = buf_take_str(&next);
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
    int64_t wait = j->backoff_us > at_least_us ? j->backoff_us : at_least_us;
    j->next_us =
        now_us + wait / 2 + (int64_t)rng_below(&j->rng, (uint64_t)wait);
    j->backoff_us = j->backoff_us * 2 < MAX_BACKOFF_US ? j->backoff_us * 2
                                                       : MAX_BACKOFF_US;
}

void
join_handle_store_result(struct join *j, int64_t now_us, struct docs *d,
                         struct member *m, const struct store_result *r,
                         struct outbox *out)
{
    if (r->id != j->op) {
        return;
    }
    j->op = 0;
    switch (r->outcome) {
    case STORE_OK:
        j->must_reread = false;
        j->next_us = now_us;
        j->backoff_us = MIN_BACKOFF_US;
        j->writes += !j->op_is_get;
        docs_apply(d, member_view(m), DOC_ROSTER, r->revision,
                   j->op_is_get ? r->value : j->cas_value, !j->op_is_get, out);
        break;
    case STORE_NOT_FOUND:
        j->must_reread = false;
        j->next_us = now_us;
        break;
    case STORE_CONFLICT:
        j->must_reread = true;
        j->conflicts++;
        back_off(j, now_us, 0);
        break;
    case STORE_FAILED:
    case STORE_OUTCOME_UNKNOWN:
        j->must_reread = true;
        j->failures++;
        back_off(j, now_us, OUTAGE_BACKOFF_US);
        break;
    }
    str_free(&j->cas_value);
}

int64_t
join_next_wakeup_us(const struct join *j)
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
