#include "forward/state.h"

/* Interval in which a node is asked again whether it knows struct
 * stage_results; it stays unanswered by older builds. */
#define ASK_RESULTS_INTERVAL_US (2 * SECOND)

static struct stage_msg
single_result(const struct stage_results *r, int i)
{
    struct stage_msg m = {.kind = STAGE_MSG_RESULT};
    m.result = (struct stage_result){.correlation_id = r->correlation_id,
                                     .piece = r->items[i].piece,
                                     .outcome = PIECE_DONE,
                                     .handle = r->items[i].handle,
                                     .maker = r->maker,
                                     .waited_us = r->waited_us};
    return m;
}

void
owner_results_split(const struct stage_results *r, uint64_t node,
                    void (*send)(void *ctx, uint64_t node,
                                 const struct stage_msg *m),
                    void *ctx)
{
    for (int i = 0; i < r->count; i++) {
        struct stage_msg m = single_result(r, i);
        send(ctx, node, &m);
    }
}

/* Sends a message without results, which older builds ignore. */
static void
show_results(struct forward *f, uint64_t node, bool ask)
{
    struct stage_msg m = {.kind = STAGE_MSG_RESULTS};
    m.results.correlation_id = ask;
    f->io.send_message(f->io.ctx, node, &m);
}

void
owner_results_ask(struct forward *f, int64_t now_us, struct peer *p)
{
    if (!p->results_asked_us ||
        now_us - p->results_asked_us >= ASK_RESULTS_INTERVAL_US) {
        p->results_asked_us = now_us;
        show_results(f, p->node, true);
    }
}

void
owner_results_handle(struct forward *f, int64_t now_us, struct peer *p,
                     const struct stage_results *r)
{
    uint64_t from = p->node;
    p->knows_results = true;
    if (r->count == 0 && r->correlation_id) {
        show_results(f, from, false);
    }
    for (int i = 0; i < r->count; i++) {
        struct stage_msg m = single_result(r, i);
        pieces_handle_reply(f, now_us, from, &m);
    }
}
