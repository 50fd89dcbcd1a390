/**
 * @file stage_order.h
 * The order in which the owner of a group of stage endpoints serves jobs,
 * without I/O. Made for a queue of up to a few hundred jobs of several ranks,
 * of which some are past their latency objective and some hold results that
 * occupy the memory of endpoints.
 *
 * Main order: rank; then jobs that hold memory; then teams within their fair
 * share, then the least time left to the latency objective. A late job, whose
 * objective cannot be met any more, follows all jobs of its rank and of the
 * next less urgent one that can be on time. Among late jobs the least late one
 * comes first: it is the likeliest to be on time after all, and the others
 * have lost their objective in any case.
 *
 * Reserve: one in STAGE_ORDER_RESERVE_SHARE 6of the pieces sent goes to jobs
 * of ranks below the most urgent one that waits, if they hold memory or have
 * waited for half of the time in which they are useful. So memory is always
 * freed, and no rank is starved by more urgent ones. Within a rank there is no
 * reserve: late jobs get what jobs that can be on time leave, since each late
 * one served before them would make one of those late as well.
 */
#ifndef FORWARD_STAGE_ORDER_H
#define FORWARD_STAGE_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/** With one in six, the most urgent rank keeps five sixths of a full pool. In
 * tests/test_stage_load.c, with 2.6 times the usual load, this raises the
 * share of rank 2 with large results that is served from 75% to 82%, and makes
 * 1 in 100 of rank 1 late. With one in four, that is up to 3 in 100. */
#define STAGE_ORDER_RESERVE_SHARE 6

struct stage_order_job {
    int rank; /**< 0: most urgent */
    /** Use of its team above its fair share, in the unit of
     * team_share_excess(); 0: within it, or unknown. */
    double team_excess;
    int64_t received_us;
    int64_t latest_start_us; /**< latest start that meets the latency objective
                                if no later stage has to wait */
    int64_t latest_useful_start_us; /**< latest start that is of use */
    bool has_started; /**< a piece was sent; the others have memory reserved */
    bool holds_large_results; /**< at endpoints of other stages */
};

/** A job and its place in both orders. */
struct stage_order_entry {
    void *job;
    int pieces;        /**< that wait, at least 1 */
    bool in_reserve;   /**< if more urgent jobs wait */
    bool from_reserve; /**< set by stage_order_arrange: its place is one of the
                          reserve */
    bool is_placed;    /**< scratch of stage_order_arrange */
    int rank;
    int band; /**< rank and lateness; lower first */
    int64_t received_us;
    int holder; /**< 0: has started; 1: holds large results; 2: none */
    double team_excess;
    int64_t time_us;     /**< least first within a band */
    int64_t starving_us; /**< when half of its useful time has passed */
};

/** Element of the scratch memory of stage_order_arrange. */
struct stage_order_ref {
    struct stage_order_entry *entry;
};

/** Fills in an entry. */
void stage_order_classify(const struct stage_order_job *job, int64_t now_us,
                          struct stage_order_entry *out);

/** Writes the entries to @p out in the order in which they are to be served;
 * sorts @p entries.
 * @param credit see stage_order_charge
 * @param scratch room for @p count entries
 * @return the credit to continue with; credit is not kept while the reserve
 * has no jobs */
int64_t stage_order_arrange(struct stage_order_entry *entries, int count,
                            int64_t credit, int batch,
                            struct stage_order_entry *out,
                            struct stage_order_ref *scratch);

/** Updates the credit of the reserve after pieces of a job were sent. The next
 * place is one of the reserve if the credit is at least
 * STAGE_ORDER_RESERVE_SHARE - 1.
 * @param batch pieces in a full call; the credit is limited to one call */
int64_t stage_order_charge(int64_t credit, bool from_reserve, int pieces,
                           int batch);

#endif
