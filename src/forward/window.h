/**
 * @file window.h
 * Sliding-window counters and the retry budget that nodes share without
 * coordination: each node uses its own share.
 */
#ifndef FORWARD_WINDOW_H
#define FORWARD_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#define WINDOW_SLOTS 64

/** Zero-initialised: empty. */
struct window {
    int64_t slot_us; /**< width of a slot; set by window_init */
    int64_t newest;  /**< number of the newest slot */
    int counts[WINDOW_SLOTS];
    int total;
};

void window_init(struct window *w, int64_t length_us);
void window_add(struct window *w, int64_t now_us, int n);
/** Removes what was added at @p added_us, unless it has left the window. */
void window_remove(struct window *w, int64_t now_us, int64_t added_us, int n);
/** Returns the sum over the window that ends now; the oldest slot counts in
 * full. */
int window_sum(struct window *w, int64_t now_us);

/** The configured limit on repeated sends, over all nodes. */
struct repeat_limit {
    double ratio; /**< repeated sends per request */
    int slack;    /**< additional repeated sends in each window */
    int64_t window_us;
};

/** Requests and repeated sends of one service at this node. */
struct repeat_budget {
    int64_t full_share_from_us; /**< until then, repeats of an earlier process
                                   of this node may count as well */
    struct window requests;
    struct window repeats;
};

/** @param predecessor_until_us an earlier process of this node may have sent
 * repeats until then; 0: there was none */
void repeat_budget_init(struct repeat_budget *b, const struct repeat_limit *r,
                        int64_t predecessor_until_us);
void repeat_budget_request(struct repeat_budget *b, int64_t now_us);

/** Returns whether this node's share has one more repeated send left. */
bool repeat_budget_allows(struct repeat_budget *b,
                          const struct repeat_limit *r, int nodes,
                          int64_t now_us);
/** Takes one repeated send from this node's share.
 * @param nodes number of nodes that share the limit
 * @return false if the share is used up */
bool repeat_budget_take(struct repeat_budget *b, const struct repeat_limit *r,
                        int nodes, int64_t now_us);
/** Gives back a repeated send that was taken and is not made. */
void repeat_budget_give_back(struct repeat_budget *b, int64_t now_us,
                             int64_t taken_us);
/** Counts a repeated send from now on, since it is made later than it was
 * taken. */
void repeat_budget_move(struct repeat_budget *b, int64_t now_us,
                        int64_t taken_us);

#endif
